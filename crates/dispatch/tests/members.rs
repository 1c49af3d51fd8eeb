//! Tests of how entries discover each other over a few connections each, and forget removed
//! entries.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::Directory;
use gannetvane_dispatch::MAX_LINKED_PEERS;

/// Number of entries in a fleet of the target size.
const ENTRIES: usize = 183;
/// Interval between two full lists of entries on a connection, in milliseconds.
const FULL_LIST_INTERVAL_MS: u64 = 5_000;
/// Time within which a removed entry must be forgotten, in milliseconds: 30 s without
/// contact, and two list intervals by which its reported age can lag behind.
const FORGOTTEN_WITHIN_MS: u64 = 30_000 + 2 * FULL_LIST_INTERVAL_MS;

struct Fleet {
    now_ms: u64,
    directories: Vec<Directory>,
    is_up: Vec<bool>,
}

fn addr(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 7_720))
}

impl Fleet {
    /// Creates entries that know three seeds.
    fn new() -> Self {
        let seeds = [addr(0), addr(1), addr(2)];
        let directory = |number| {
            let own = addr(number);
            Directory::new(Some(own), seeds)
                .with_max_targets(own.to_string().into(), MAX_LINKED_PEERS)
        };
        Self {
            now_ms: 100_000,
            directories: (0..ENTRIES).map(directory).collect(),
            is_up: vec![true; ENTRIES],
        }
    }

    /// Advances the time by one list interval; each entry sends its list to all its targets.
    fn exchange(&mut self) {
        self.now_ms += FULL_LIST_INTERVAL_MS;
        for number in 0..ENTRIES {
            if !self.is_up[number] {
                continue;
            }
            for target in self.directories[number].targets(self.now_ms) {
                self.send_list(number, target);
            }
        }
    }

    /// Sends the list of entry `number` to the entry at `target`, if that one is up.
    fn send_list(&mut self, number: usize, target: SocketAddr) {
        let Some(other) = (0..ENTRIES).find(|other| addr(*other) == target) else {
            return;
        };
        if !self.is_up[other] {
            return;
        }
        let list = self.directories[number].seen_entries(self.now_ms);
        self.directories[number].mark_seen(self.now_ms, target);
        self.directories[other].mark_seen(self.now_ms, addr(number));
        self.directories[other].merge_seen(self.now_ms, &list);
    }

    /// Returns the number of running entries that know entry `number`.
    fn count_entries_that_know(&self, number: usize) -> usize {
        let up = (0..ENTRIES).filter(|other| self.is_up[*other]);
        let has_addr = |other: &usize| {
            self.directories[*other]
                .recent_addrs(self.now_ms)
                .contains(&addr(number))
        };
        up.filter(has_addr).count()
    }
}

#[test]
fn all_entries_know_each_other_after_four_lists() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        fleet.exchange();
    }
    for number in 0..ENTRIES {
        assert_eq!(
            fleet.count_entries_that_know(number),
            ENTRIES,
            "of entry {number}"
        );
        let targets = fleet.directories[number].targets(fleet.now_ms).len();
        assert_eq!(targets, MAX_LINKED_PEERS);
    }
}

#[test]
fn a_removed_entry_is_forgotten_everywhere() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        fleet.exchange();
    }
    fleet.is_up[17] = false;
    let removed_at_ms = fleet.now_ms;
    fleet.exchange();
    assert_eq!(fleet.count_entries_that_know(17), ENTRIES - 1);
    while fleet.now_ms < removed_at_ms + FORGOTTEN_WITHIN_MS {
        fleet.exchange();
    }
    assert_eq!(fleet.count_entries_that_know(17), 0);
    assert_eq!(fleet.count_entries_that_know(18), ENTRIES - 1);
}

#[test]
fn addresses_from_the_store_are_dialed_but_not_gossiped() {
    let mut directory = Directory::new(Some(addr(1)), []);
    directory.add_mentioned(1_000, &[addr(9)]);
    assert!(directory.targets(1_000).contains(&addr(9)));
    assert_eq!(directory.recent_addrs(1_000), [addr(1)]);
    directory.mark_seen(1_500, addr(9));
    assert_eq!(directory.recent_addrs(1_500), [addr(1), addr(9)]);
}
