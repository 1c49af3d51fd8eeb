//! Property tests of the frame codec: any bytes are decoded or rejected, with bounded
//! memory.

use gannetvane_dispatch::AgentFrame;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Evacuations;
use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::StoredReply;
use gannetvane_dispatch::StoredRequest;
use gannetvane_dispatch::decode;
use gannetvane_dispatch::encode;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) {
        let _ = decode::<Greeting>(&bytes);
        let _ = decode::<EntryFrame>(&bytes);
        let _ = decode::<AgentFrame>(&bytes);
        let _ = decode::<PeerFrame>(&bytes);
        let _ = decode::<StoredRequest>(&bytes);
        let _ = decode::<StoredReply>(&bytes);
    }

    #[test]
    fn a_frame_with_a_flipped_byte_is_decoded_or_refused(
        log_offset: u64,
        zones: Vec<String>,
        at: proptest::sample::Index,
        flip in 1_u8..,
    ) {
        let evacuations = Evacuations {
            log_offset,
            zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
        };
        let frame = EntryFrame {
            grant_until_ms: log_offset,
            demand: gannetvane_dispatch::Demand::default(),
            specs: Vec::new(),
            orders: vec![Order::Evacuations(evacuations)],
        };
        let mut bytes = encode(&frame).expect("the frame encodes");
        prop_assert_eq!(decode::<EntryFrame>(&bytes).ok(), Some(frame));
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        let _ = decode::<EntryFrame>(&bytes);
    }
}
