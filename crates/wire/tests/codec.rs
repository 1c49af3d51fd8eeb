//! Tests of encoding: messages and ids round-trip, arbitrary bytes cause no panic,
//! and the newer state of a member supersedes the older one.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_wire::Credit;
use gannetvane_wire::Envelope;
use gannetvane_wire::IdError;
use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::SlotCredit;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::decode;
use gannetvane_wire::encode;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use yare::parameterized;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn envelope(message: Message) -> Envelope {
    let from_addr = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7_100);
    Envelope {
        from: NodeId(1),
        from_addr,
        to: Some(NodeId(2)),
        message,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn credits_round_trip_through_the_encoding(agent in any::<u64>(), slot in any::<u16>(), sequence in any::<u64>(), idle_ms in any::<u64>()) {
        let credit = Credit { agent: NodeId(agent), slot, sequence };
        let credits = vec![SlotCredit { credit, idle_ms }; 3];
        let sent = envelope(Message::CreditGrant { service: "bretti-desk".into(), credits });
        assert_eq!(decode(&encode(&sent).unwrap()).unwrap(), sent);
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn ids_round_trip_through_their_text(home in any::<u64>(), generation in any::<u32>(), nonce in any::<u64>()) {
        let id = SubmissionId { home: NodeId(home), generation, nonce };
        assert_eq!(id.to_string().parse(), Ok(id));
    }
}

#[parameterized(
    empty = { "" },
    too_few = { "1-2" },
    too_many = { "1-2-3-4" },
    not_hexadecimal = { "x-2-3" },
    too_large = { "10000000000000000-0-0" },
    large_generation = { "1-100000000-0" },
    sign = { "-1-2-3" },
)]
fn text_that_is_not_an_id_is_rejected(text: &str) {
    let error: IdError = text.parse::<SubmissionId>().unwrap_err();
    assert!(error.to_string().contains(text));
}

#[parameterized(
    later_version = { 1, MemberState::Alive, true },
    suspicion = { 0, MemberState::Suspect, true },
    death = { 0, MemberState::Dead, true },
    same = { 0, MemberState::Alive, false },
)]
fn newer_update_of_a_member_supersedes_older(version: u32, state: MemberState, is_newer: bool) {
    let member = Member {
        node: NodeId(1),
        addr: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7_100),
        zone: "selfoss".into(),
        service: "bretti-desk".into(),
        slots: 8,
        capacity: gannetvane_wire::Needs::default(),
        version: 0,
        state: MemberState::Alive,
        uptime_ms: 0,
    };
    let update = Member {
        version,
        state,
        ..member.clone()
    };
    assert_eq!(update.supersedes(&member), is_newer);
    assert!(!(update.supersedes(&member) && member.supersedes(&update)));
}
