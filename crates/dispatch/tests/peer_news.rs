//! What an entry tells another one of the entries that it knows.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::KnownEntry;
use gannetvane_dispatch::PeerNews;
use gannetvane_dispatch::PeerTeller;

const BEGIN_MS: u64 = 100_000;
/// Pause between two frames, in milliseconds.
const KEEPALIVE_MS: u64 = 1_000;

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, number), 7_720))
}

fn news(numbers: &[u8]) -> PeerNews {
    PeerNews {
        entries: numbers.iter().copied().map(addr).collect(),
        ..PeerNews::default()
    }
}

/// The entries in the next frame of a process that knows `numbers`.
fn told(teller: &mut PeerTeller, now_ms: u64, numbers: &[u8]) -> Vec<SocketAddr> {
    let news = news(numbers);
    let known = |addr: &SocketAddr| KnownEntry {
        addr: *addr,
        age_ms: 0,
    };
    let known = || news.entries.iter().map(known).collect();
    let frame = teller.next_frame(now_ms, &news, known);
    frame.entries.into_iter().map(|entry| entry.addr).collect()
}

#[test]
fn the_first_frame_tells_all_and_later_ones_what_became_known() {
    let mut teller = PeerTeller::default();
    assert_eq!(told(&mut teller, BEGIN_MS, &[1, 3]), [addr(1), addr(3)]);
    let now_ms = BEGIN_MS + KEEPALIVE_MS;
    assert_eq!(told(&mut teller, now_ms, &[1, 3]), []);
    assert_eq!(told(&mut teller, now_ms, &[1, 2, 3]), [addr(2)]);
    assert_eq!(told(&mut teller, now_ms, &[1, 2]), []);
    assert_eq!(told(&mut teller, now_ms, &[1, 2, 3]), [addr(3)]);
}

#[test]
fn all_are_told_with_every_fifth_frame() {
    let mut teller = PeerTeller::default();
    let all = [addr(1), addr(2)];
    for frame in 0..20 {
        let now_ms = BEGIN_MS + frame * KEEPALIVE_MS;
        let expected = if frame % 5 == 0 { &all[..] } else { &[] };
        assert_eq!(told(&mut teller, now_ms, &[1, 2]), expected, "{frame}");
    }
}

#[test]
fn a_set_that_changes_all_the_time_does_not_keep_ages_back() {
    let mut teller = PeerTeller::default();
    let pause_ms = KEEPALIVE_MS / 10;
    let mut listed = 0;
    for frame in 0..200 {
        let extra = if frame % 2 == 0 { 8 } else { 9 };
        let told = told(&mut teller, BEGIN_MS + frame * pause_ms, &[1, 2, extra]);
        listed += usize::from(told.contains(&addr(1)));
    }
    assert!((4..=6).contains(&listed), "{listed} lists in 20 s");
}
