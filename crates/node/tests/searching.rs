//! Tests an agent that knows no entry and searches for one in the store during an
//! outage.

mod fakes;

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use fakes::log;
use fakes::on_one_thread;
use gannetvane_dispatch::AgentIdentity;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::StopResult;
use gannetvane_node::AgentNode;
use gannetvane_node::AgentNodeSettings;
use gannetvane_node::Clock;
use gannetvane_node::Metrics;
use gannetvane_node::StoreClient;
use gannetvane_node::TimeSource;
use gannetvane_node::Tunables;
use gannetvane_node::ports::Announced;
use gannetvane_node::ports::ListCall;
use gannetvane_node::ports::MinionPort;
use gannetvane_node::ports::StartCall;
use gannetvane_node::ports::StoreError;
use gannetvane_node::ports::StorePage;
use gannetvane_node::ports::StorePort;
use gannetvane_wire::NodeId;
use tokio::time::Instant;

/// A store that refuses and counts all calls.
struct RefusingStore {
    calls: Rc<Cell<usize>>,
}

impl RefusingStore {
    fn refuse<T>(&self) -> Result<T, StoreError> {
        self.calls.set(self.calls.get() + 1);
        Err(StoreError::Refused(503))
    }
}

#[async_trait(?Send)]
impl StorePort for RefusingStore {
    async fn newest_operators(&self) -> Result<StorePage, StoreError> {
        self.refuse()
    }

    async fn next_operators(&self, _: u64, _: u64) -> Result<StorePage, StoreError> {
        self.refuse()
    }

    async fn announced(&self) -> Result<Announced, StoreError> {
        self.refuse()
    }

    async fn announce(&self, _: SocketAddr) -> Result<(), StoreError> {
        self.refuse()
    }

    async fn announce_stored_jobs(&self) -> Result<(), StoreError> {
        self.refuse()
    }
}

/// A minion that never reports itself, so the agent does not call it.
struct NoMinion;

#[async_trait(?Send)]
impl MinionPort for NoMinion {
    async fn start(&self, _: StartCall) -> StartResult {
        pending().await
    }

    async fn stop(&self, _: &Incarnation, _: RunKey, _: u64) -> StopResult {
        pending().await
    }

    async fn list(&self, _: ListCall) -> ListResult {
        pending().await
    }
}

/// The clock of the runtime, which advances without waiting in these tests.
struct RuntimeTime(Instant);

impl TimeSource for RuntimeTime {
    fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

fn start_agent(calls: &Rc<Cell<usize>>) {
    let settings = AgentNodeSettings {
        identity: AgentIdentity {
            node: NodeId(1),
            host: "host-1".into(),
            zone: "selfoss".into(),
        },
        max_lease_ms: 1_000,
        tunables: Tunables {
            seeds: Vec::new(),
            remote_factor: 1.5,
            stop_limit_ms: 4_000,
        },
    };
    let clock = Clock::with_source(Rc::new(RuntimeTime(Instant::now())));
    let metrics = Rc::new(Metrics::new());
    let node = AgentNode::new(settings, Rc::new(NoMinion), log(), metrics, clock);
    let store = RefusingStore {
        calls: Rc::clone(calls),
    };
    let store_client = StoreClient::new(Rc::new(store), log());
    tokio::task::spawn_local(node.run(store_client));
}

#[tokio::test(start_paused = true)]
async fn an_agent_does_not_search_more_often_during_a_long_store_outage() {
    on_one_thread(async {
        let calls = Rc::new(Cell::new(0));
        start_agent(&calls);
        let minute = Duration::from_mins(1);
        tokio::time::sleep(minute).await;
        let first = calls.get();
        tokio::time::sleep(minute).await;
        let second = calls.get() - first;
        assert!(first > 10, "{first} calls");
        assert!(second <= first, "{first} calls, then {second}");
    })
    .await;
}
