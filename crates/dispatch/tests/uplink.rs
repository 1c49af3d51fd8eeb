//! Unit tests of the load of an entry's network link, and of the specs that start orders share.

use gannetvane_dispatch::Uplink;

/// Rate of a narrow link, in megabits per second: 3,125 bytes a millisecond.
const NARROW_MBPS: f64 = 25.0;
/// Length of a spec, in bytes.
const SPEC_BYTES: usize = 1_250;

/// Returns a link over which frames of this size were sent each millisecond for a second.
fn loaded_link(bytes: usize) -> Uplink {
    let mut link = Uplink::new(NARROW_MBPS);
    for at_ms in 0..1_000 {
        link.frame_sent(at_ms, bytes);
    }
    link
}

#[test]
fn a_copy_costs_the_time_to_send_it_on_an_idle_link() {
    let link = Uplink::new(NARROW_MBPS);
    assert!((link.copy_delay_ms(0, SPEC_BYTES) - 0.4).abs() < 1e-9);
}

#[test]
fn a_copy_costs_more_the_busier_the_link_is() {
    let delays = [0, 1_500, 2_300, 6_000].map(|bytes| {
        let link = loaded_link(bytes);
        link.copy_delay_ms(1_000, SPEC_BYTES)
    });
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[2] > 5.0, "{delays:?}");
}

#[test]
fn a_copy_costs_nothing_on_a_link_of_unknown_rate() {
    let mut link = Uplink::default();
    link.frame_sent(0, 1_000_000);
    assert!(link.copy_delay_ms(0, SPEC_BYTES) == 0.0);
    assert_eq!(link.take_change(0), None);
}

#[test]
fn the_load_is_forgotten_within_a_fifth_of_a_second() {
    let link = loaded_link(2_500);
    assert!(link.utilization(1_000) > 0.75);
    assert!(link.utilization(1_200) < 0.05);
}

#[test]
fn a_link_becomes_busy_once_and_free_once() {
    let mut link = loaded_link(2_500);
    let changes: Vec<bool> = (1_000..1_400)
        .filter_map(|now_ms| link.take_change(now_ms))
        .collect();
    assert_eq!(changes, [true, false]);
}
