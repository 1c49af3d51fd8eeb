//! Cost at an entry of sending its agents a changed set of entries.

use std::net::SocketAddr;
use std::time::Instant;

use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::LinkId;

use crate::agent::hello;
use crate::fleet::addr;

const NOW_MS: u64 = 1_000;
/// Number of agents with a link to one entry: each agent has 12 links, and there are four
/// agents for each entry.
const AGENTS: usize = 48;
/// Number of entries that are added, one by one.
const CHANGES: usize = 50;

/// Returns the mean time in which an entry chooses the entries for all its agents after one
/// more entry became known, in microseconds.
pub fn mean_change_us(entries: usize) -> f64 {
    let settings = DispatcherSettings {
        zone: "selfoss".into(),
        remote_factor: 1.0,
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(settings, NOW_MS);
    for agent in 0..AGENTS {
        dispatcher.agent_up(NOW_MS, LinkId(agent as u64), hello(agent));
    }
    let all: Vec<SocketAddr> = (0..entries + CHANGES).map(addr).collect();
    dispatcher.send_entries(&all[..entries]);
    let started = Instant::now();
    for known in entries..entries + CHANGES {
        dispatcher.send_entries(&all[..=known]);
    }
    started.elapsed().as_secs_f64() * 1e6 / CHANGES as f64
}
