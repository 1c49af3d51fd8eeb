//! Whether the fleet that an entry sees is still growing after a start.
//!
//! The load pattern that it answers: many processes start at the same time, and their agents
//! find the entries one after the other within about a second. The capacity of the few agents
//! that are connected first says nothing about that of the fleet, so no job is refused for
//! want of capacity until most agents are there.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use gannetvane_wire::Name;

/// Time for which a greeting counts as recent, in milliseconds. Agents learn of entries from
/// each other, a few exchanges after they have found the first one.
const RECENT_MS: u64 = 150;
/// The fleet is growing while more than one in this many of its agents greeted recently. A
/// single agent that restarts is no growth.
const GROWING_DIVISOR: usize = 8;

/// Times of the recent greetings of agents, by service.
#[derive(Debug, Default)]
pub(crate) struct FleetGrowth {
    greeted_ms: BTreeMap<Name, VecDeque<u64>>,
}

impl FleetGrowth {
    /// Notes that an agent of a service has greeted.
    pub(crate) fn greeted(&mut self, now_ms: u64, service: &Name) {
        let greeted_ms = self.greeted_ms.entry(service.clone()).or_default();
        greeted_ms.push_back(now_ms);
    }

    /// Removes the greetings that are not recent any more.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        for greeted_ms in self.greeted_ms.values_mut() {
            while greeted_ms
                .front()
                .is_some_and(|at_ms| !is_recent(now_ms, *at_ms))
            {
                greeted_ms.pop_front();
            }
        }
    }

    /// Returns whether many of the connected agents of a service have greeted only recently.
    pub(crate) fn is_growing(&self, now_ms: u64, service: &Name, connected: usize) -> bool {
        let recent = self.greeted_ms.get(service).map_or(0, |greeted_ms| {
            let is_recent = |at_ms: &&u64| is_recent(now_ms, **at_ms);
            greeted_ms.iter().filter(is_recent).count()
        });
        recent * GROWING_DIVISOR > connected
    }
}

fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms < at_ms + RECENT_MS
}
