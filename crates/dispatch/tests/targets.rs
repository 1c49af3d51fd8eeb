//! Property test: the targets that a [`Directory`] caches equal those that it would choose
//! now.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::Directory;
use gannetvane_dispatch::MAX_LINKED_PEERS;
use gannetvane_dispatch::SeenEntry;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

const START_MS: u64 = 100_000;

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, number), 7_720))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn cached_targets_equal_newly_chosen_targets(
        updates in proptest::collection::vec((0_u8..24, 0_u32..32_000, 0_u64..4_000), 1..120),
    ) {
        let seeds = [addr(1), addr(100), addr(101)];
        let own = addr(0);
        let uncached = Directory::new(Some(own), seeds);
        let mut uncached = uncached.with_max_targets("chooser".into(), MAX_LINKED_PEERS);
        let mut directory = uncached.clone();
        let mut now_ms = START_MS;
        for (number, age_ms, pause_ms) in updates {
            now_ms += pause_ms;
            let known = [SeenEntry { addr: addr(number), age_ms }];
            directory.merge_seen(now_ms, &known);
            uncached.merge_seen(now_ms, &known);
            let chosen = uncached.clone().targets(now_ms);
            prop_assert_eq!(directory.targets(now_ms), chosen);
        }
    }
}
