//! The agent's part in the evacuation of a zone: it starts nothing, even for an entry
//! that has not received the evacuation.

use crate::Agent;
use crate::Evacuations;
use crate::StartOrder;

impl Agent {
    /// Whether the zone of this agent is evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.identity.zone)
    }

    /// Logs the refusal of a start if the zone is evacuated: its entry had not received
    /// the evacuation.
    pub(crate) fn log_evacuated_start(&mut self, start: &StartOrder) {
        if self.is_evacuated() {
            let detail = format!("as_of={}", self.evacuations.log_offset);
            let job = start.task.job.clone();
            self.event("start-refused-evacuated", Some(job), detail);
        }
    }

    /// Applies an entry's list of evacuated zones if it is newer.
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
