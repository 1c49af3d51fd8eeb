//! What an agent does about a zone that operators empty: it starts nothing, even
//! for an entry that has not heard of it.

use crate::Agent;
use crate::Evacuations;
use crate::StartOrder;

impl Agent {
    /// Whether operators are emptying the zone of this agent.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.identity.zone)
    }

    /// Counts a start that is refused since the zone is being emptied: its entry
    /// had not heard of it.
    pub(crate) fn log_evacuated_start(&mut self, start: &StartOrder) {
        if self.is_evacuated() {
            let detail = format!("as_of={}", self.evacuations.log_offset);
            let job = start.task.job.clone();
            self.event("start-refused-evacuated", Some(job), detail);
        }
    }

    /// An entry told which zones are being emptied.
    pub(crate) fn apply_evacuations(&mut self, newer: &Evacuations) {
        let was_evacuated = self.is_evacuated();
        if !self.evacuations.advance(newer) || self.is_evacuated() == was_evacuated {
            return;
        }
        let event = match self.is_evacuated() {
            true => "zone-evacuated",
            false => "zone-taken-back",
        };
        let detail = format!("as_of={} runs={}", newer.log_offset, self.active_runs());
        self.event(event, None, detail);
    }
}
