//! Tests of suspended hosts: the monotonic clock of a process does not advance during
//! a suspension, so an agent could act on grants from before it.

mod fakes;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use fakes::FakeStore;
use fakes::accept;
use fakes::free_addr;
use fakes::log;
use fakes::on_one_thread;
use fakes::read_frame;
use fakes::until;
use fakes::write_frame;
use gannetvane_dispatch::ActiveRun;
use gannetvane_dispatch::AgentFrame;
use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::AgentIdentity;
use gannetvane_dispatch::Demand;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::GRANT_MS;
use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::Listing;
use gannetvane_dispatch::MinionReport;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartOrder;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::StopResult;
use gannetvane_dispatch::Suspicion;
use gannetvane_dispatch::TaskId;
use gannetvane_dispatch::decode;
use gannetvane_node::AgentHandle;
use gannetvane_node::AgentNode;
use gannetvane_node::AgentNodeSettings;
use gannetvane_node::BootTime;
use gannetvane_node::Clock;
use gannetvane_node::Metrics;
use gannetvane_node::StoreClient;
use gannetvane_node::TimeSource;
use gannetvane_node::Tunables;
use gannetvane_node::ports::ListCall;
use gannetvane_node::ports::MinionPort;
use gannetvane_node::ports::StartCall;
use gannetvane_wire::NodeId;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use yare::parameterized;

const CAPACITY: Resources = Resources {
    cpu_milli: 8_000,
    memory_mb: 1_024,
    accelerators: 0,
};

/// The clock of the runtime plus the time for which the host was suspended.
struct HostTime {
    start: Instant,
    suspended_ms: Cell<u64>,
}

impl TimeSource for HostTime {
    fn elapsed(&self) -> Duration {
        self.start.elapsed() + Duration::from_millis(self.suspended_ms.get())
    }
}

/// A minion that lists the runs that it started and has not stopped.
struct FakeMinion {
    start: Instant,
    started: RefCell<Vec<RunKey>>,
    stopped: RefCell<Vec<RunKey>>,
    /// Number of calls that extended its lease.
    extended: Cell<usize>,
}

impl FakeMinion {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            started: RefCell::default(),
            stopped: RefCell::default(),
            extended: Cell::new(0),
        })
    }

    fn listing(&self) -> Listing {
        let stopped = self.stopped.borrow();
        let started = self.started.borrow();
        let running = started.iter().filter(|key| !stopped.contains(key));
        let running = running.map(|key| ActiveRun {
            key: Some(key.clone()),
            percent: 10,
        });
        Listing {
            clock_ms: self.clock_ms(),
            running: running.collect(),
            ..Listing::default()
        }
    }

    fn clock_ms(&self) -> u64 {
        1 + u64::try_from(self.start.elapsed().as_millis()).expect("a short test")
    }
}

#[async_trait(?Send)]
impl MinionPort for FakeMinion {
    async fn start(&self, call: StartCall) -> StartResult {
        self.started.borrow_mut().push(call.key);
        StartResult::Started
    }

    async fn stop(&self, _: &Incarnation, key: RunKey, _: u64) -> StopResult {
        self.stopped.borrow_mut().push(key);
        StopResult::Acknowledged {
            clock_ms: self.clock_ms(),
        }
    }

    async fn list(&self, call: ListCall) -> ListResult {
        if call.deadline_ms.is_some() {
            self.extended.set(self.extended.get() + 1);
        }
        tokio::time::sleep(Duration::from_millis(call.wait_ms.min(20))).await;
        ListResult::Listed(self.listing())
    }
}

/// A host with an agent and a minion. The agent is connected to the test, which acts
/// as an entry.
struct Host {
    time: Rc<HostTime>,
    minion: Rc<FakeMinion>,
    entry: TcpListener,
    link: TcpStream,
    hello: AgentHello,
}

impl Host {
    async fn start() -> Self {
        let time = Rc::new(HostTime {
            start: Instant::now(),
            suspended_ms: Cell::new(0),
        });
        let minion = FakeMinion::new();
        let addr = free_addr();
        let entry = TcpListener::bind(addr).await.expect("a free address");
        start_agent(addr, &time, &minion);
        let mut link = accept(&entry).await;
        let hello = read_greeting(&mut link).await;
        Self {
            time,
            minion,
            entry,
            link,
            hello,
        }
    }

    /// The frame of an entry that received `at_ms` as the agent's clock: it extends
    /// the grant and orders a start.
    fn frame(&self, at_ms: u64, job: &str) -> EntryFrame {
        EntryFrame {
            grant_until_ms: at_ms + GRANT_MS,
            demand: Demand::default(),
            specs: vec!["".into()],
            orders: vec![Order::Start(start_order(job))],
        }
    }

    /// Orders a task and waits until the minion has started it.
    async fn run_task(&mut self, job: &str) {
        let frame = self.frame(self.hello.clock_ms, job);
        write_frame(&mut self.link, &frame).await;
        until("the start", || self.has_started(job)).await;
    }

    fn has_started(&self, job: &str) -> bool {
        self.minion.started.borrow().contains(&key(job))
    }

    fn has_stopped(&self, job: &str) -> bool {
        self.minion.stopped.borrow().contains(&key(job))
    }
}

fn start_agent(entry: SocketAddr, time: &Rc<HostTime>, minion: &Rc<FakeMinion>) {
    let settings = AgentNodeSettings {
        identity: AgentIdentity {
            node: NodeId(1),
            host: "host-1".into(),
            zone: "selfoss".into(),
        },
        max_lease_ms: 1_000,
        tunables: Tunables {
            seeds: vec![entry],
            remote_factor: 1.5,
            stop_limit_ms: 4_000,
        },
    };
    let clock = Clock::with_source(Rc::clone(time) as Rc<dyn TimeSource>);
    let port = Rc::clone(minion) as Rc<dyn MinionPort>;
    let node = AgentNode::new(settings, port, log(), Rc::new(Metrics::new()), clock);
    let handle = node.handle();
    let store_client = StoreClient::new(Rc::new(FakeStore::default()), log());
    tokio::task::spawn_local(node.run(store_client));
    tokio::task::spawn_local(report_repeatedly(handle));
}

/// Reports the minion more often than a real one does, so that tests are short.
async fn report_repeatedly(handle: AgentHandle) {
    let mut sequence = 1;
    while handle.reported(report(sequence)) {
        sequence += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn report(sequence: u64) -> MinionReport {
    MinionReport {
        incarnation: Incarnation::new("minion-1".into(), Some(1_700_000_000_000)),
        service: "desk".into(),
        zone: "selfoss".into(),
        labels: Vec::new(),
        capacity: CAPACITY,
        is_draining: false,
        clock_ms: 1,
        sequence,
    }
}

fn key(job: &str) -> RunKey {
    RunKey {
        task: TaskId {
            job: job.into(),
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

fn start_order(job: &str) -> StartOrder {
    StartOrder {
        id: OrderId(u64::from(job.as_bytes()[0])),
        task: key(job).task,
        run: 1,
        spec: 0,
        suspicion: Suspicion::None,
        needs: Resources {
            cpu_milli: 1_000,
            memory_mb: 16,
            accelerators: 0,
        },
        expected_ms: 5_000,
        is_stored: false,
    }
}

async fn read_greeting(link: &mut TcpStream) -> AgentHello {
    let frame = read_frame(link).await;
    match decode::<Greeting>(&frame) {
        Ok(Greeting::Agent(hello)) => hello,
        other => panic!("a greeting of an agent: {other:?}"),
    }
}

/// The clock of the last frame that the agent sent before the link closed.
async fn last_clock_ms(link: &mut TcpStream) -> u64 {
    let frame = read_frame(link).await;
    decode::<AgentFrame>(&frame).expect("a frame").clock_ms
}

/// Guards against acting on starts and grants that were in transit when the host was
/// suspended: when it resumes, the entry has already ordered the tasks elsewhere.
#[tokio::test]
async fn an_agent_starts_nothing_on_a_grant_from_before_a_suspension() {
    for suspended_ms in [600, 1_000, 3_000, 10_000, 60_000] {
        on_one_thread(async move {
            let mut host = Host::start().await;
            host.run_task("before").await;
            let at_ms = last_clock_ms(&mut host.link).await;
            host.time.suspended_ms.set(suspended_ms);
            let frame = host.frame(at_ms, "after");
            write_frame(&mut host.link, &frame).await;
            // The agent closes the link, and greets again once none of the runs that
            // were ordered on it is left.
            let mut next = accept(&host.entry).await;
            let hello = read_greeting(&mut next).await;
            assert!(hello.clock_ms >= at_ms + suspended_ms);
            assert!(!host.has_started("after"), "after {suspended_ms} ms");
            assert!(host.has_stopped("before"), "after {suspended_ms} ms");
        })
        .await;
    }
}

/// Guards against runs that go on after a suspension when no frame arrives any more.
/// The agent's own timer stops the runs of the last grant; it can fire one keepalive
/// interval late.
#[tokio::test]
async fn an_agent_without_frames_after_a_suspension_soon_stops_its_runs() {
    on_one_thread(async {
        let mut host = Host::start().await;
        host.run_task("a").await;
        host.time.suspended_ms.set(2_000);
        let resumed_at = Instant::now();
        until("the stop", || host.has_stopped("a")).await;
        assert!(
            resumed_at.elapsed() < Duration::from_millis(150),
            "{resumed_at:?}"
        );
    })
    .await;
}

/// Guards against stops after a suspension that is shorter than a grant: the grant
/// and the link stay valid.
#[tokio::test]
async fn a_suspension_shorter_than_a_grant_stops_nothing() {
    on_one_thread(async {
        let mut host = Host::start().await;
        host.run_task("a").await;
        let at_ms = last_clock_ms(&mut host.link).await;
        host.time.suspended_ms.set(200);
        let frame = host.frame(at_ms + 200, "b");
        write_frame(&mut host.link, &frame).await;
        until("the next start", || host.has_started("b")).await;
        assert!(!host.has_stopped("a"));
    })
    .await;
}

#[parameterized(
    never = { 0 },
    once = { 1_500 },
    long = { 3_600_000 },
)]
fn a_clock_counts_the_time_of_a_suspension(suspended_ms: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let time = Rc::new(HostTime {
            start: Instant::now(),
            suspended_ms: Cell::new(0),
        });
        let clock = Clock::with_source(Rc::clone(&time) as Rc<dyn TimeSource>);
        tokio::time::advance(Duration::from_millis(40)).await;
        time.suspended_ms.set(suspended_ms);
        let observed_ms = clock.observe();
        assert_eq!(
            observed_ms,
            Some(suspended_ms).filter(|observed_ms| *observed_ms > 0)
        );
        assert_eq!(clock.observe(), None, "it is counted once");
        assert_eq!(clock.now_ms(), 40 + suspended_ms);
        // A later time maps to the runtime's clock without the suspension.
        let due = clock.at(clock.now_ms() + 25) - Instant::now();
        assert_eq!(due, Duration::from_millis(25));
        assert!(clock.at(3) <= Instant::now(), "it is overdue");
    });
}

#[test]
fn boot_time_advances() {
    let before = BootTime.elapsed();
    std::thread::sleep(Duration::from_millis(5));
    let passed = BootTime.elapsed() - before;
    assert!(passed >= Duration::from_millis(5), "{passed:?}");
}
