//! How what processes know of each other grows with the fleet: frames between
//! entries and orders to agents, without sockets, on a clock that the test advances.
//!
//! All sizes, with a table of what was counted:
//!
//! ```sh
//! cargo test --release --locked -p gannetvane-dispatch --test growth -- \
//!     --ignored --nocapture --test-threads 2
//! ```

mod agent;
mod change;
mod entry;
mod fleet;
mod queue;
mod report;
mod tally;

use change::Change;
use change::Findings;

const SMALL_SIZES: [usize; 2] = [100, 300];
const ALL_SIZES: [usize; 5] = [100, 300, 1_000, 2_000, 4_000];

#[test]
fn a_new_entry_is_known_within_a_second() {
    for hosts in SMALL_SIZES {
        let findings = change::play(Change::NewEntry, hosts);
        assert!(findings.last_ms() <= 1_000, "{findings:?}");
    }
}

#[test]
fn a_changed_configuration_is_known_within_a_second() {
    for hosts in SMALL_SIZES {
        let findings = change::play(Change::Configuration, hosts);
        assert!(findings.last_ms() <= 1_000, "{findings:?}");
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

fn print_all_sizes(change: Change) {
    let play = |hosts: &usize| change::play(change, *hosts);
    let findings: Vec<Findings> = ALL_SIZES.iter().map(play).collect();
    println!("{}", report::table(&findings));
}
