//! The room of a minion, which may shrink and grow while it runs.
//!
//! Nothing is started that does not fit the room of the last report. What runs
//! when the room shrinks is let run, and room comes up as it ends.

use crate::Agent;
use crate::Report;
use crate::Resources;
use crate::agent::minion::Minion;

impl Agent {
    /// The minion reported other room than before.
    pub(crate) fn capacity_changed(&mut self, former: Resources, capacity: Resources) {
        let detail = format!("from={former:?} to={capacity:?}");
        self.event("minion-resized", None, detail);
        self.report_to_all(&Report::Capacity(capacity));
    }

    /// Whether the runs fit the minion: a start of one of them that is sent again
    /// then brings it over its room in no case.
    pub(crate) fn runs_fit(&self) -> bool {
        let capacity = self.minion.as_ref().map(Minion::capacity);
        capacity.is_some_and(|capacity| capacity.can_fit(&self.runs.taken_resources()))
    }
}
