//! Availability zones that operators are emptying: nothing is started there
//! until they take the zone back.
//!
//! Entries learn it with the configuration and place nothing there, so that the
//! room that is left counts at once. Agents learn it from entries, ahead of any
//! order on the same link, and refuse starts: an entry that has not heard of it
//! yet, or stood still, starts nothing in such a zone either.

use std::collections::BTreeSet;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;

/// The zones that are being emptied, as of a position in the operators' records.
///
/// The position orders two of these, wherever they come from: the same records
/// lead to the same zones, and later records overrule earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Records that are taken account of; 0 before any was read.
    pub log_offset: u64,
    /// The zones.
    pub zones: BTreeSet<Name>,
}

impl Evacuations {
    /// Whether a zone is being emptied.
    #[must_use]
    pub fn contains(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// Takes over what is newer; whether it was.
    pub fn advance(&mut self, newer: &Self) -> bool {
        let is_newer = newer.log_offset > self.log_offset;
        if is_newer {
            self.clone_from(newer);
        }
        is_newer
    }

    /// Names for the log.
    pub(crate) fn names(&self) -> String {
        let names: Vec<&str> = self.zones.iter().map(AsRef::as_ref).collect();
        names.join(",")
    }
}
