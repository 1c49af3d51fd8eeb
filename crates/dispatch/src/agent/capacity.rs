//! The capacity of a minion, which may shrink and grow while the minion runs.
//!
//! The agent starts nothing that exceeds the capacity in the last report. When the
//! capacity shrinks, active runs go on, and resources become free again as these end.

use crate::Agent;
use crate::Report;
use crate::Resources;
use crate::agent::minion::Minion;

impl Agent {
    /// Reports to all entries that the capacity of the minion has changed.
    pub(crate) fn capacity_changed(&mut self, former: Resources, capacity: Resources) {
        let detail = format!("from={former:?} to={capacity:?}");
        self.event("minion-resized", None, detail);
        self.report_to_all(&Report::Capacity(capacity));
    }

    /// Whether all runs fit the capacity of the minion. If so, sending a start of one
    /// of them again cannot exceed the capacity.
    pub(crate) fn runs_fit(&self) -> bool {
        let capacity = self.minion.as_ref().map(Minion::capacity);
        capacity.is_some_and(|capacity| capacity.can_fit(&self.runs.taken_resources()))
    }
}
