//! Evacuations of availability zones, and the starts that are observed there.

use gannetvane_dispatch::Evacuations;

use super::Session;
use super::zone;

/// A start that a minion answered, or a call to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedStart {
    pub at_ms: u64,
    pub agent: usize,
}

/// Creates the set of zones that are evacuated as of an offset in the operators'
/// records.
pub fn evacuations(log_offset: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        log_offset,
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    }
}

impl Session {
    /// Sends one entry the zones that are evacuated; the source doesn't matter.
    pub fn send_evacuations(&mut self, entry: usize, evacuations: &Evacuations) {
        let process = &mut self.entries[entry];
        process.core.dispatcher.evacuate(self.now_ms, evacuations);
        process.due_ms = self.now_ms;
    }

    pub fn send_evacuations_to_all(&mut self, evacuations: &Evacuations) {
        self.evacuated = evacuations.zones.iter().map(ToString::to_string).collect();
        for entry in 0..self.entries.len() {
            self.send_evacuations(entry, evacuations);
        }
    }

    /// Returns the number of calls to start a task in a zone after this time.
    pub fn start_calls_in_zone(&self, name: &str, after_ms: u64) -> usize {
        let is_there = |call: &&ObservedStart| zone(call.agent) == name && call.at_ms > after_ms;
        self.start_calls.iter().filter(is_there).count()
    }

    /// Returns the number of tasks that minions of a zone started after this time.
    pub fn starts_in_zone(&self, name: &str, after_ms: u64) -> usize {
        let is_there = |start: &&ObservedStart| zone(start.agent) == name && start.at_ms > after_ms;
        self.answered_starts.iter().filter(is_there).count()
    }
}
