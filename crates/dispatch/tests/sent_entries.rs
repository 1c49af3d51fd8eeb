//! Property test: an entry sends each agent the entries that the agent would choose among
//! all known ones, whatever entries were added and removed before.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::Directory;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::MAX_LINKED_ENTRIES;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::Resources;
use gannetvane_wire::NodeId;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

const NOW_MS: u64 = 1_000;
const AGENT: LinkId = LinkId(1);
const LATE_AGENT: LinkId = LinkId(2);

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, number), 7_720))
}

fn hello(host: &str) -> AgentHello {
    AgentHello {
        node: NodeId(1),
        host: host.into(),
        zone: "selfoss".into(),
        service: "bretti-desk".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        clock_ms: 0,
        retained_ends: Vec::new(),
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: "minion-1".into(),
    }
}

/// Returns the entries that the agent on `host` chooses among `entries`.
fn chosen(host: &str, entries: &[SocketAddr]) -> Vec<SocketAddr> {
    let directory = Directory::new(None, []);
    let mut directory = directory.with_max_targets(host.into(), MAX_LINKED_ENTRIES);
    directory.add_mentioned(NOW_MS, entries);
    directory.targets(NOW_MS).into_iter().collect()
}

/// Returns the entries in the last frame to the agent on this link that holds any.
fn last_sent_entries(dispatcher: &mut Dispatcher, link: LinkId) -> Option<Vec<SocketAddr>> {
    dispatcher.tick(NOW_MS);
    let orders = dispatcher.take_actions().into_iter().filter_map(|action| {
        let DispatcherAction::Send(to, frame) = action else {
            return None;
        };
        (to == link).then_some(frame.orders)
    });
    let entries = orders.flatten().filter_map(|order| match order {
        Order::Entries(entries) => Some(entries),
        _ => None,
    });
    entries.last()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_agent_is_sent_its_selection_of_all_entries(
        changes in proptest::collection::vec((0_u8..40, 0_u8..8), 1..60),
    ) {
        let mut dispatcher = Dispatcher::new(
            DispatcherSettings { zone: "selfoss".into(), remote_factor: 1.0, seed: 1 },
            NOW_MS,
        );
        dispatcher.agent_up(NOW_MS, AGENT, hello("early"));
        let mut entries: BTreeSet<SocketAddr> = (0..20).map(addr).collect();
        for (number, kind) in changes {
            if !entries.remove(&addr(number)) {
                entries.insert(addr(number));
            }
            let list: Vec<SocketAddr> = entries.iter().copied().collect();
            if kind == 0 {
                // This agent connects before the others are sent the change.
                dispatcher.agent_up(NOW_MS, LATE_AGENT, hello("late"));
                dispatcher.send_entries_to(LATE_AGENT, &list);
                prop_assert_eq!(last_sent_entries(&mut dispatcher, LATE_AGENT), Some(chosen("late", &list)));
            } else {
                dispatcher.send_entries(&list);
                let link = if kind % 2 == 0 { LATE_AGENT } else { AGENT };
                let host = if link == AGENT { "early" } else { "late" };
                if let Some(sent) = last_sent_entries(&mut dispatcher, link) {
                    prop_assert_eq!(sent, chosen(host, &list));
                }
            }
        }
    }
}
