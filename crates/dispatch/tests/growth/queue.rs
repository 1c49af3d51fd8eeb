//! The event queue of the simulation.

use std::collections::BTreeMap;

/// Events ordered by time; events of the same time are in the order of their addition.
#[derive(Debug)]
pub struct EventQueue<T> {
    events: BTreeMap<(u64, u64), T>,
    added: u64,
}

impl<T> EventQueue<T> {
    pub fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            added: 0,
        }
    }

    pub fn add(&mut self, at_ms: u64, event: T) {
        self.added += 1;
        self.events.insert((at_ms, self.added), event);
    }

    /// Removes and returns the next event and its time, if it is due by `until_ms`.
    pub fn next(&mut self, until_ms: u64) -> Option<(u64, T)> {
        let first = self.events.first_entry()?;
        let (at_ms, _) = *first.key();
        (at_ms <= until_ms).then(|| (at_ms, first.remove()))
    }
}
