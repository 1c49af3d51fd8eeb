//! Answers to the copies of a start, one by one.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::Agent;
use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::AgentIdentity;
use gannetvane_dispatch::Demand;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::HoldResult;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::Listing;
use gannetvane_dispatch::MinionReport;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::Room;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartOrder;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::TaskId;
use gannetvane_wire::NodeId;

const INSTANCE: &str = "minion-1";
const LINK: LinkId = LinkId(1);
const ROOM: Room = Room {
    cpu_milli: 4_000,
    memory_mb: 1_024,
    accelerators: 0,
};

struct Driver {
    agent: Agent,
    now_ms: u64,
}

impl Driver {
    /// An agent that greeted one entry, and that lost one call of late.
    fn new() -> Self {
        let identity = AgentIdentity {
            node: NodeId(1),
            host: "host-1".into(),
            zone: "selfoss".into(),
        };
        let mut driver = Self {
            agent: Agent::new(identity),
            now_ms: 1_000,
        };
        let entry = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_720));
        driver.agent.link_up(driver.now_ms, LINK, entry);
        let report = MinionReport {
            instance: INSTANCE.into(),
            service: "desk".into(),
            zone: "selfoss".into(),
            labels: Vec::new(),
            capacity: ROOM,
            is_draining: false,
            clock_ms: 500,
            sequence: 1,
        };
        driver.agent.minion_reported(driver.now_ms, report);
        driver.answer_holds(&HoldResult::NoAnswer);
        for _ in 0..10 {
            driver.answer_holds(&listed());
        }
        assert_eq!(driver.agent.greeted_links(), 1);
        driver
    }

    /// Passes some time and answers the listings that were asked for.
    fn answer_holds(&mut self, result: &HoldResult) {
        for action in self.pass(50) {
            if let AgentAction::Hold { call, instance, .. } = action {
                self.agent
                    .listed(self.now_ms, &instance, call, result.clone());
            }
        }
    }

    fn pass(&mut self, for_ms: u64) -> Vec<AgentAction> {
        self.now_ms += for_ms;
        self.agent.tick(self.now_ms);
        self.agent.take_actions()
    }

    fn order(&mut self, order: Order) -> Vec<AgentAction> {
        let frame = EntryFrame {
            grant_until_ms: self.now_ms + 400,
            demand: Demand::default(),
            orders: vec![order],
        };
        self.agent.frame(self.now_ms, LINK, frame);
        self.pass(1)
    }

    fn start(&mut self) -> usize {
        let start = StartOrder {
            id: OrderId(1),
            task: key().task,
            run: 1,
            spec: "".into(),
            needs: ROOM,
            expected_ms: 100,
            may_wait: false,
            slack_ms: 100,
            is_stored: false,
        };
        let actions = self.order(Order::Start(start));
        let starts = actions
            .iter()
            .filter(|action| matches!(action, AgentAction::Start { .. }));
        starts.count()
    }

    fn answer(&mut self, result: StartResult) {
        self.agent
            .start_answered(self.now_ms, INSTANCE, &key(), result);
    }
}

fn listed() -> HoldResult {
    HoldResult::Listed(Listing {
        clock_ms: 600,
        ..Listing::default()
    })
}

fn key() -> RunKey {
    RunKey {
        task: TaskId {
            job: "a".into(),
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

#[test]
fn a_start_goes_out_twice_after_a_lost_call() {
    let mut driver = Driver::new();
    assert_eq!(driver.start(), 2);
}

#[test]
fn a_run_that_is_being_stopped_keeps_its_room_though_a_copy_was_refused() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Started);
    driver.order(Order::Stop(OrderId(1)));
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
}

#[test]
fn a_run_is_refused_when_every_copy_was() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 0);
}

#[test]
fn a_run_one_of_whose_copies_got_no_answer_is_not_refused() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
}
