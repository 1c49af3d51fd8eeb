//! Tests of how gossip traffic grows with the size of the fleet: frames between entries and
//! orders to agents, without sockets, on a simulated clock.
//!
//! This command runs all sizes and prints a table of the measurements:
//!
//! ```sh
//! cargo test --release --locked -p gannetvane-dispatch --test growth -- \
//!     --ignored --nocapture --test-threads 2
//! ```

mod agent;
mod change;
mod entry;
mod fleet;
mod gossip;
mod queue;
mod report;
mod tally;

use std::collections::BTreeSet;

use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::decode;

use change::Change;
use change::Measurements;
use fleet::Fleet;

const SMALL_SIZES: [usize; 2] = [100, 300];
const ALL_SIZES: [usize; 5] = [100, 300, 1_000, 2_000, 4_000];

#[test]
fn a_new_entry_is_known_everywhere_within_a_second() {
    for hosts in SMALL_SIZES {
        let measurements = change::simulate(Change::NewEntry, hosts);
        assert!(measurements.last_ms() <= 1_000, "{measurements:?}");
    }
}

#[test]
fn a_changed_configuration_is_known_everywhere_within_a_second() {
    for hosts in SMALL_SIZES {
        let measurements = change::simulate(Change::Configuration, hosts);
        assert!(measurements.last_ms() <= 1_000, "{measurements:?}");
    }
}

#[test]
fn a_change_costs_no_more_than_n_log_n_in_all() {
    let [small, large] = [300, 1_000];
    let n_log_n = |hosts: usize| hosts as f64 * (hosts as f64).ln();
    let growth = n_log_n(large) / n_log_n(small);
    for change in [Change::NewEntry, Change::Configuration] {
        let (before, after) = (
            change::simulate(change, small),
            change::simulate(change, large),
        );
        assert!(after.last_ms() <= 1_000, "{after:?}");
        let messages = after.all.messages as f64 / before.all.messages as f64;
        assert!(messages <= growth, "{messages} for {growth}");
        let bytes = after.all.bytes as f64 / before.all.bytes as f64;
        assert!(bytes <= growth, "{bytes} for {growth}");
    }
}

#[test]
fn agents_are_sent_the_entries_that_they_choose() {
    for entries in [8, 200] {
        let mut fleet = Fleet::connected(entries, 20);
        let now_ms = fleet.now_ms;
        let agents: BTreeSet<usize> = (0..20).collect();
        let frames = fleet.entries[0].frames_to(now_ms, &agents);
        assert_eq!(frames.len(), agents.len());
        for (agent, frame) in frames {
            let frame: EntryFrame = decode(&frame).unwrap();
            let chosen = change::chosen(agent, entries).into_iter().collect();
            assert_eq!(frame.orders, [Order::Entries(chosen)]);
        }
    }
}

#[test]
#[ignore = "takes minutes; prints a table"]
fn calm_at_all_sizes() {
    print_all_sizes(Change::Calm);
}

#[test]
#[ignore = "takes minutes; prints a table"]
fn configuration_at_all_sizes() {
    print_all_sizes(Change::Configuration);
}

#[test]
#[ignore = "takes minutes; prints a table"]
fn new_entry_at_all_sizes() {
    print_all_sizes(Change::NewEntry);
}

#[test]
#[ignore = "takes minutes; prints a table"]
fn lost_entry_at_all_sizes() {
    print_all_sizes(Change::LostEntry);
}

#[test]
#[ignore = "prints a table"]
fn sending_at_all_sizes() {
    println!("hosts,tell_us");
    for hosts in ALL_SIZES {
        println!("{hosts},{:.0}", gossip::mean_change_us(hosts / 5));
    }
}

fn print_all_sizes(change: Change) {
    let simulate = |hosts: &usize| change::simulate(change, *hosts);
    let measurements: Vec<Measurements> = ALL_SIZES.iter().map(simulate).collect();
    println!("{}", report::table(&measurements));
    // A lost entry is forgotten later, as it may return.
    if change != Change::LostEntry {
        let is_late = |measurements: &&Measurements| measurements.last_ms() > 2_000;
        assert!(
            !measurements
                .iter()
                .any(|measurements| is_late(&measurements))
        );
    }
}
