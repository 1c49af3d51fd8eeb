//! Tests of the entry process: gossip between entries, what agents are sent, and
//! planned stops.

mod fakes;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fakes::FakeStore;
use fakes::accept;
use fakes::free_addr;
use fakes::log;
use fakes::on_one_thread;
use fakes::read_frame;
use fakes::until;
use fakes::write_frame;
use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::AppendResult;
use gannetvane_dispatch::Assignment;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Evacuations;
use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::LogRecord;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::Partition;
use gannetvane_dispatch::PeerAck;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::StoredAnswer;
use gannetvane_dispatch::decode;
use gannetvane_node::ClientSettings;
use gannetvane_node::Clock;
use gannetvane_node::EntryHandle;
use gannetvane_node::EntryNode;
use gannetvane_node::EntryNodeSettings;
use gannetvane_node::HttpServer;
use gannetvane_node::Metrics;
use gannetvane_node::StoreClient;
use gannetvane_node::Tunables;
use gannetvane_node::ports::AppendCall;
use gannetvane_node::ports::JobLogPort;
use gannetvane_node::ports::StoreError;
use gannetvane_node::ports::ZoneRecord;
use gannetvane_wire::NodeId;
use http_body_util::Full;
use hyper::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A job log that refuses all calls.
struct NoJobLog;

#[async_trait(?Send)]
impl JobLogPort for NoJobLog {
    async fn is_in_use(&self) -> Result<bool, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn join(&self, _: u64) -> Result<Assignment, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn leave(&self) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn owners(&self) -> Result<BTreeMap<Partition, SocketAddr>, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn append(&self, _: &AppendCall) -> AppendResult {
        AppendResult::Refused
    }

    async fn newest(&self, _: Partition) -> Result<Vec<LogRecord>, StoreError> {
        Err(StoreError::Refused(503))
    }
}

fn table(version: u64) -> RoutingTable {
    let queue = Queue {
        name: "slots".into(),
        host: "desk.example".into(),
        path_prefix: "/slots/".into(),
        service: "desk".into(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        needs_advice: false,
    };
    RoutingTable {
        version,
        queues: vec![Arc::new(queue)],
        max_body_bytes: 0,
    }
}

fn entry(addr: SocketAddr, seeds: Vec<SocketAddr>) -> EntryNode {
    let settings = EntryNodeSettings {
        link_addr: addr,
        zone: "selfoss".into(),
        stop_notice_ms: 150,
        link_mbps: None,
        partitions: 4,
        store_writes_per_s: 800,
        tunables: Tunables {
            seeds,
            remote_factor: 1.5,
            stop_limit_ms: 4_000,
        },
    };
    let metrics = Rc::new(Metrics::new());
    EntryNode::new(settings, Rc::new(NoJobLog), log(), metrics, Clock::start())
}

fn start(node: EntryNode, store: FakeStore) -> EntryHandle {
    let handle = node.handle();
    let store_client = StoreClient::new(Rc::new(store), log());
    tokio::task::spawn_local(async move { node.run(store_client).await.expect("a free address") });
    handle
}

#[tokio::test]
async fn an_entry_without_the_store_gets_the_configuration_from_a_peer() {
    on_one_thread(async {
        let (first, second) = (free_addr(), free_addr());
        let serving = FakeStore {
            table: RefCell::new(Some(table(7))),
            ..FakeStore::default()
        };
        let refusing = FakeStore {
            is_down: true,
            ..FakeStore::default()
        };
        let _first = start(entry(first, Vec::new()), serving);
        let second = start(entry(second, vec![first]), refusing);
        until("the configuration", || second.table().version == 7).await;
    })
    .await;
}

#[tokio::test]
async fn an_entry_connects_to_the_seeds_of_reloaded_settings() {
    on_one_thread(async {
        let (first, second) = (free_addr(), free_addr());
        let serving = FakeStore {
            table: RefCell::new(Some(table(7))),
            ..FakeStore::default()
        };
        let refusing = FakeStore {
            is_down: true,
            ..FakeStore::default()
        };
        let first_handle = start(entry(first, Vec::new()), serving);
        let second_handle = start(entry(second, Vec::new()), refusing);
        until("the first's configuration", || {
            first_handle.table().version == 7
        })
        .await;
        assert_eq!(second_handle.table().version, 0);
        first_handle.reload(Tunables {
            seeds: vec![second],
            remote_factor: 1.5,
            stop_limit_ms: 4_000,
        });
        until("the configuration", || second_handle.table().version == 7).await;
    })
    .await;
}

#[tokio::test]
async fn an_entry_never_goes_back_to_an_older_configuration() {
    on_one_thread(async {
        let (first, second) = (free_addr(), free_addr());
        let newer = FakeStore {
            table: RefCell::new(Some(table(9))),
            ..FakeStore::default()
        };
        let older = FakeStore {
            table: RefCell::new(Some(table(4))),
            ..FakeStore::default()
        };
        let _first = start(entry(first, vec![second]), newer);
        let second = start(entry(second, Vec::new()), older);
        until("the newer configuration", || second.table().version == 9).await;
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            assert_eq!(second.table().version, 9);
        }
    })
    .await;
}

#[tokio::test]
async fn an_entry_sends_everything_again_after_a_peer_stops_answering() {
    on_one_thread(async {
        let peer = free_addr();
        let listener = TcpListener::bind(peer).await.expect("a free address");
        let store = FakeStore {
            table: RefCell::new(Some(table(7))),
            ..FakeStore::default()
        };
        let entry = start(entry(free_addr(), vec![peer]), store);
        until("the configuration", || entry.table().version == 7).await;
        // The first connection stays open, and its frames are never acknowledged.
        let _unanswered = accept(&listener).await;
        let mut next = accept(&listener).await;
        let greeting = decode::<Greeting>(&read_frame(&mut next).await);
        assert!(matches!(greeting, Ok(Greeting::Entry(_))), "{greeting:?}");
        let frame = decode::<PeerFrame>(&read_frame(&mut next).await).expect("a frame");
        assert_eq!(frame.table.map(|table| table.version), Some(7));
    })
    .await;
}

async fn connect(addr: SocketAddr) -> TcpStream {
    let mut stream = None;
    until("an open port", || {
        stream = std::net::TcpStream::connect(addr).ok();
        stream.is_some()
    })
    .await;
    let stream = stream.expect("just connected");
    stream.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(stream).expect("a socket")
}

fn hello() -> AgentHello {
    AgentHello {
        node: NodeId(1),
        host: "host-1".into(),
        zone: "selfoss".into(),
        service: "desk".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        clock_ms: 1,
        retained_ends: Vec::new(),
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: "minion-1".into(),
    }
}

#[tokio::test]
async fn an_entry_sends_a_new_entry_to_its_agents_at_once() {
    on_one_thread(async {
        let (addr, newcomer) = (free_addr(), free_addr());
        let _entry = start(entry(addr, Vec::new()), FakeStore::default());
        let mut agent = connect(addr).await;
        write_frame(&mut agent, &Greeting::Agent(hello())).await;
        read_frame(&mut agent).await;
        let mut peer = connect(addr).await;
        write_frame(&mut peer, &Greeting::Entry(newcomer)).await;
        write_frame(&mut peer, &PeerFrame::default()).await;
        assert!(decode::<PeerAck>(&read_frame(&mut peer).await).is_ok());
        // Keepalive frames come every 100 ms, regular checks of the set of entries
        // every 500 ms: two frames arrive before the next regular check.
        let mut sent = Vec::new();
        for _ in 0..2 {
            let frame = decode::<EntryFrame>(&read_frame(&mut agent).await).expect("a frame");
            sent.extend(frame.orders);
        }
        let lists_newcomer = |order: &Order| match order {
            Order::Entries(entries) => entries.contains(&newcomer),
            _ => false,
        };
        assert!(sent.iter().any(lists_newcomer), "{sent:?}");
    })
    .await;
}

/// Reads the evacuations that an entry sends to an agent, up to this log offset.
async fn evacuations_until(agent: &mut TcpStream, log_offset: u64) -> Vec<Evacuations> {
    let mut all = Vec::new();
    while all
        .last()
        .is_none_or(|sent: &Evacuations| sent.log_offset < log_offset)
    {
        let frame = decode::<EntryFrame>(&read_frame(agent).await).expect("a frame");
        let sent = frame.orders.into_iter().filter_map(|order| match order {
            Order::Evacuations(sent) => Some(sent),
            _ => None,
        });
        all.extend(sent);
    }
    all
}

fn evacuations(log_offset: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        log_offset,
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    }
}

#[tokio::test]
async fn an_agent_learns_evacuated_zones_from_an_entry_without_the_store() {
    on_one_thread(async {
        let (first, second) = (free_addr(), free_addr());
        let serving = FakeStore {
            table: RefCell::new(Some(table(7))),
            zones: vec![ZoneRecord {
                zone: "hella".into(),
                is_evacuated: true,
            }],
            ..FakeStore::default()
        };
        let refusing = FakeStore {
            is_down: true,
            ..FakeStore::default()
        };
        let _first = start(entry(first, Vec::new()), serving);
        let second_handle = start(entry(second, vec![first]), refusing);
        until("the configuration", || second_handle.table().version == 7).await;
        let mut agent = connect(second).await;
        write_frame(&mut agent, &Greeting::Agent(hello())).await;
        assert_eq!(
            evacuations_until(&mut agent, 1).await,
            [evacuations(1, &["hella"])]
        );
        // The agent gets newer sets of evacuated zones only, and an agent that
        // connects later gets the newest one in its first frame.
        let mut peer = connect(second).await;
        write_frame(&mut peer, &Greeting::Entry(free_addr())).await;
        for sent in [
            evacuations(9, &["selfoss"]),
            evacuations(4, &[]),
            evacuations(11, &[]),
        ] {
            let frame = PeerFrame {
                evacuations: Some(sent),
                ..PeerFrame::default()
            };
            write_frame(&mut peer, &frame).await;
        }
        let newer = [evacuations(9, &["selfoss"]), evacuations(11, &[])];
        assert_eq!(evacuations_until(&mut agent, 11).await, newer);
        let mut later = connect(second).await;
        let hello = AgentHello {
            host: "host-2".into(),
            ..hello()
        };
        write_frame(&mut later, &Greeting::Agent(hello)).await;
        let frame = decode::<EntryFrame>(&read_frame(&mut later).await).expect("a frame");
        let sent = Order::Evacuations(evacuations(11, &[]));
        assert!(frame.orders.contains(&sent), "{frame:?}");
    })
    .await;
}

#[tokio::test]
async fn an_entry_acknowledges_frames_and_closes_an_idle_connection() {
    on_one_thread(async {
        let addr = free_addr();
        let entry = start(entry(addr, Vec::new()), FakeStore::default());
        let mut peer = connect(addr).await;
        write_frame(&mut peer, &Greeting::Entry(free_addr())).await;
        let frame = PeerFrame {
            entries: Vec::new(),
            table: Some(table(5)),
            has_stored_jobs: false,
            evacuations: None,
            crashes: Vec::new(),
            delayed_starts: Vec::new(),
            witnessed_starts: Vec::new(),
        };
        write_frame(&mut peer, &frame).await;
        assert!(decode::<PeerAck>(&read_frame(&mut peer).await).is_ok());
        assert_eq!(entry.table().version, 5);
        let ended = tokio::time::timeout(Duration::from_secs(10), peer.read_u8());
        assert!(ended.await.expect("the connection ends").is_err());
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_waits_for_the_request_in_progress() {
    on_one_thread(async {
        let node = entry(free_addr(), Vec::new());
        let handle = node.handle();
        let (stop, open) = (node.http_stop(), node.open_connections());
        let front = free_addr();
        let listener = TcpListener::bind(front).await.expect("a free address");
        let serve = |_| async {
            tokio::time::sleep(Duration::from_millis(600)).await;
            Response::new(Full::new(Bytes::from_static(b"whole")))
        };
        let server = HttpServer::new(ClientSettings::default().limits(), log())
            .with_stop(stop)
            .with_open_connections(open);
        tokio::task::spawn_local(server.serve(listener, serve));
        let store_client = StoreClient::new(Rc::new(FakeStore::default()), log());
        let running = tokio::task::spawn_local(node.run(store_client));
        let mut stream = TcpStream::connect(front).await.expect("an open front");
        let request = b"GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        stream.write_all(request).await.expect("a writable stream");
        tokio::time::sleep(Duration::from_millis(50)).await;
        handle.stop();
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        assert!(
            read.is_ok() && answer.ends_with("whole"),
            "{read:?} {answer}"
        );
        assert!(running.await.expect("no panic").is_ok());
        assert!(TcpStream::connect(front).await.is_err());
    })
    .await;
}

#[tokio::test]
async fn an_entry_without_the_store_does_not_deny_that_a_job_exists() {
    on_one_thread(async {
        let entry = start(entry(free_addr(), Vec::new()), FakeStore::default());
        let id: gannetvane_wire::Name = "00000000000000e1".into();
        let state = entry.state(id.clone(), 300).await;
        assert_eq!(state, StoredAnswer::NotOwner);
        let cancelled = entry.cancel(id, 300).await;
        assert_eq!(cancelled, StoredAnswer::NotOwner);
    })
    .await;
}
