//! Tests of the gossip between entries: known entries and crashes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::Crash;
use gannetvane_dispatch::CrashEvidence;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::GossipSender;
use gannetvane_dispatch::GossipState;
use gannetvane_dispatch::SeenEntry;
use gannetvane_dispatch::TaskId;

const START_MS: u64 = 100_000;
/// Interval between two frames on a connection, in milliseconds.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, number), 7_720))
}

fn gossip(numbers: &[u8]) -> GossipState {
    GossipState {
        entries: numbers.iter().copied().map(addr).collect(),
        ..GossipState::default()
    }
}

/// Returns the entries in the next frame of an entry whose known entries are `numbers`.
fn sent_entries(sender: &mut GossipSender, now_ms: u64, numbers: &[u8]) -> Vec<SocketAddr> {
    let gossip = gossip(numbers);
    let seen = |addr: &SocketAddr| SeenEntry {
        addr: *addr,
        age_ms: 0,
    };
    let known = || gossip.entries.iter().map(seen).collect();
    let frame = sender.next_frame(now_ms, &gossip, known);
    frame.entries.into_iter().map(|entry| entry.addr).collect()
}

#[test]
fn the_first_frame_lists_all_entries_and_later_frames_list_new_ones() {
    let mut sender = GossipSender::default();
    assert_eq!(
        sent_entries(&mut sender, START_MS, &[1, 3]),
        [addr(1), addr(3)]
    );
    let now_ms = START_MS + KEEPALIVE_INTERVAL_MS;
    assert_eq!(sent_entries(&mut sender, now_ms, &[1, 3]), []);
    assert_eq!(sent_entries(&mut sender, now_ms, &[1, 2, 3]), [addr(2)]);
    assert_eq!(sent_entries(&mut sender, now_ms, &[1, 2]), []);
    assert_eq!(sent_entries(&mut sender, now_ms, &[1, 2, 3]), [addr(3)]);
}

#[test]
fn every_fifth_frame_lists_all_entries() {
    let mut sender = GossipSender::default();
    let all = [addr(1), addr(2)];
    for frame in 0..20 {
        let now_ms = START_MS + frame * KEEPALIVE_INTERVAL_MS;
        let expected = if frame % 5 == 0 { &all[..] } else { &[] };
        assert_eq!(
            sent_entries(&mut sender, now_ms, &[1, 2]),
            expected,
            "{frame}"
        );
    }
}

/// Full lists carry the ages of all entries, so constant changes must not delay them.
#[test]
fn full_lists_are_sent_although_the_set_changes_constantly() {
    let mut sender = GossipSender::default();
    let interval_ms = KEEPALIVE_INTERVAL_MS / 10;
    let mut listed = 0;
    for frame in 0..200 {
        let extra = if frame % 2 == 0 { 8 } else { 9 };
        let sent = sent_entries(&mut sender, START_MS + frame * interval_ms, &[1, 2, extra]);
        listed += usize::from(sent.contains(&addr(1)));
    }
    assert!((4..=6).contains(&listed), "{listed} lists in 20 s");
}

fn entry(now_ms: u64) -> Dispatcher {
    let settings = DispatcherSettings {
        zone: "selfoss".into(),
        remote_factor: 1.5,
        seed: 1,
    };
    Dispatcher::new(settings, now_ms)
}

fn crash(number: u64) -> Crash {
    Crash {
        number,
        task: TaskId {
            job: format!("job-{number}").into(),
            step: 0,
            index: 0,
        },
        evidence: CrashEvidence::Strong,
        age_ms: 1_000,
    }
}

/// Returns number and age of each crash in the next frame of an entry, ages in
/// milliseconds.
fn sent_crashes(sender: &mut GossipSender, now_ms: u64, entry: &Dispatcher) -> Vec<(u64, u64)> {
    let gossip = GossipState {
        crashes: entry.crashes().clone(),
        ..GossipState::default()
    };
    let frame = sender.next_frame(now_ms, &gossip, Vec::new);
    let crashes = frame.crashes.into_iter();
    crashes.map(|crash| (crash.number, crash.age_ms)).collect()
}

#[test]
fn a_crash_is_sent_once_on_a_connection_with_its_age() {
    let mut entry = entry(START_MS);
    let mut sender = GossipSender::default();
    entry.add_crashes(START_MS, vec![crash(1), crash(2), crash(1)]);
    let sent = sent_crashes(&mut sender, START_MS + 50, &entry);
    assert_eq!(sent, [(1, 1_050), (2, 1_050)]);
    entry.add_crashes(START_MS + 60, vec![crash(2), crash(3)]);
    assert_eq!(
        sent_crashes(&mut sender, START_MS + 60, &entry),
        [(3, 1_000)]
    );
    let mut next = GossipSender::default();
    assert_eq!(sent_crashes(&mut next, START_MS + 60, &entry).len(), 3);
}

#[test]
fn known_crashes_are_limited_by_age_and_count() {
    let mut entry = entry(START_MS);
    entry.add_crashes(START_MS, (0..2_000).map(crash).collect());
    let sent = sent_crashes(&mut GossipSender::default(), START_MS, &entry);
    assert_eq!(sent.first(), Some(&(976, 1_000)));
    assert_eq!(sent.len(), 1_024);
    let later_ms = START_MS + 29_000;
    entry.tick(later_ms);
    assert_eq!(
        sent_crashes(&mut GossipSender::default(), later_ms, &entry),
        []
    );
    let old = Crash {
        age_ms: 30_000,
        ..crash(5_000)
    };
    entry.add_crashes(later_ms, vec![old]);
    assert_eq!(
        sent_crashes(&mut GossipSender::default(), later_ms, &entry),
        []
    );
}
