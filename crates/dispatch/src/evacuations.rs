//! Availability zones under evacuation: no task starts in such a zone until operators end
//! its evacuation.
//!
//! Entries read the evacuations with the configuration. They place no tasks in these zones
//! and immediately count only the capacity outside them. Agents receive the evacuations from
//! entries, ahead of any order on the same link, and refuse starts in their zone. So an
//! entry that has not received the evacuation yet, or was suspended, starts nothing there
//! either.

use std::collections::BTreeSet;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;

/// The evacuated zones, as of an offset in the log of the operators' records.
///
/// Of two values, whatever process they come from, the one with the higher offset is
/// newer: all processes derive the same zones from the same records, and later records
/// override earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Offset up to which records are included; 0 before any was read.
    pub log_offset: u64,
    /// Names of the evacuated zones.
    pub zones: BTreeSet<Name>,
}

impl Evacuations {
    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// Replaces this value by `newer` if that has a higher offset. Returns whether it had.
    pub fn advance(&mut self, newer: &Self) -> bool {
        let is_newer = newer.log_offset > self.log_offset;
        if is_newer {
            self.clone_from(newer);
        }
        is_newer
    }

    /// Returns the names of the zones for log lines, separated by commas.
    pub(crate) fn names(&self) -> String {
        let names: Vec<&str> = self.zones.iter().map(AsRef::as_ref).collect();
        names.join(",")
    }
}
