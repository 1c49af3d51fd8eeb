//! Drives a single agent; the test plays its minion and its entry.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::ActiveRun;
use gannetvane_dispatch::Agent;
use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::AgentIdentity;
use gannetvane_dispatch::Crash;
use gannetvane_dispatch::Demand;
use gannetvane_dispatch::EndedRun;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::Listing;
use gannetvane_dispatch::MinionReport;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::Report;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RunEnd;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartOrder;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::StopResult;
use gannetvane_dispatch::Suspicion;
use gannetvane_dispatch::TaskId;
use gannetvane_wire::NodeId;

const MINION: &str = "minion-1";
/// Number of steps within which an agent must call for a listing, or give its minion
/// up.
const MAX_STEPS: usize = 100;
/// Time after which the connection of a listing call breaks while it waits for an end, in
/// milliseconds.
const BREAK_DELAY_MS: u64 = 20;
const LINK: LinkId = LinkId(1);
/// Link that is opened after the agent has closed `LINK`.
const NEXT_LINK: LinkId = LinkId(2);
/// Number of the first run of a stored task.
const FIRST_STORED_RUN: u32 = 4_096;
pub const CAPACITY: Resources = Resources {
    cpu_milli: 4_000,
    memory_mb: 1_024,
    accelerators: 0,
};

/// Resources of each task; `CAPACITY` fits four tasks.
const TASK_RESOURCES: Resources = Resources {
    cpu_milli: 1_000,
    memory_mb: 64,
    accelerators: 0,
};

/// The agent with the state that the simulated minion and entry need.
pub struct Driver {
    pub agent: Agent,
    now_ms: u64,
    /// Number of the last end that the minion listed.
    last_end_number: u64,
}

impl Driver {
    /// Creates an agent that has greeted one entry. One of its recent listing calls, the
    /// first, was unanswered.
    pub fn new() -> Self {
        let identity = AgentIdentity {
            node: NodeId(1),
            host: "host-1".into(),
            zone: "selfoss".into(),
        };
        let mut driver = Self {
            agent: Agent::new(identity),
            now_ms: 1_000,
            last_end_number: 0,
        };
        let entry = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_720));
        driver.agent.link_up(driver.now_ms, LINK, entry);
        let report = report(incarnation_at(1_000), CAPACITY, 1);
        driver.agent.minion_reported(driver.now_ms, report);
        driver.answer_listings(&ListResult::NoAnswer);
        for _ in 0..10 {
            driver.answer_listings(&empty_listing());
        }
        assert_eq!(driver.agent.greeted_links(), 1);
        driver
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Delivers a report of this incarnation; returns the listing calls to it.
    pub fn report_incarnation(&mut self, incarnation: &Incarnation) -> Vec<AgentAction> {
        let report = report(incarnation.clone(), CAPACITY, 1);
        self.agent.minion_reported(self.now_ms, report);
        let mut actions = self.agent.take_actions();
        actions.retain(|action| match action {
            AgentAction::List {
                incarnation: to, ..
            } => to == incarnation,
            _ => false,
        });
        actions
    }

    /// Delivers a report of this capacity.
    pub fn report_capacity(&mut self, capacity: Resources, sequence: u64) {
        let report = report(incarnation_at(1_000), capacity, sequence);
        self.agent.minion_reported(self.now_ms, report);
    }

    /// Answers one listing call.
    pub fn answer_call(&mut self, incarnation: &Incarnation, call: u64, result: ListResult) {
        self.agent
            .list_answered(self.now_ms, incarnation, call, result);
    }

    /// Answers the next listing calls.
    ///
    /// # Panics
    ///
    /// Panics if the agent makes no such call within `MAX_STEPS`.
    pub fn answer_with(&mut self, result: &ListResult) {
        for _ in 0..MAX_STEPS {
            if self.answer_listings(result) {
                return;
            }
        }
        panic!("the agent made no listing call");
    }

    /// Advances the clock by 50 ms and answers the listing calls that the agent made;
    /// returns whether there were any. Their connections break only when the minion has
    /// read the calls.
    pub fn answer_listings(&mut self, result: &ListResult) -> bool {
        let mut is_listed = false;
        let actions = self.advance(50);
        if *result == ListResult::Broken {
            self.now_ms += BREAK_DELAY_MS;
        }
        for action in actions {
            if let AgentAction::List {
                call, incarnation, ..
            } = action
            {
                is_listed = true;
                self.agent
                    .list_answered(self.now_ms, &incarnation, call, result.clone());
            }
        }
        is_listed
    }

    /// Advances the clock, delivers a frame with a new grant, and returns the agent's
    /// actions.
    pub fn advance(&mut self, for_ms: u64) -> Vec<AgentAction> {
        self.now_ms += for_ms;
        self.agent
            .frame_received(self.now_ms, LINK, self.frame(Vec::new()));
        self.agent.tick(self.now_ms);
        self.agent.take_actions()
    }

    /// Delivers an order; returns the agent's actions within the next millisecond.
    pub fn order(&mut self, order: Order) -> Vec<AgentAction> {
        let frame = self.frame(vec![order]);
        self.agent.frame_received(self.now_ms, LINK, frame);
        self.advance(1)
    }

    fn frame(&self, orders: Vec<Order>) -> EntryFrame {
        EntryFrame {
            grant_until_ms: self.now_ms + 400,
            demand: Demand::default(),
            specs: vec!["".into()],
            orders,
        }
    }

    /// Orders the start of job "a"'s only task; returns the number of start calls to the
    /// minion.
    pub fn start(&mut self) -> usize {
        self.start_of(1, "a")
    }

    /// Orders the start of a job's only task; returns the number of start calls to the
    /// minion.
    pub fn start_of(&mut self, order: u64, job: &str) -> usize {
        starts_in(&self.order_start(order, job, false))
    }

    /// Orders the start of a job's only task, which may be a suspect task; returns the
    /// agent's actions.
    pub fn order_start(&mut self, order: u64, job: &str, is_suspect: bool) -> Vec<AgentAction> {
        self.order(Order::Start(StartOrder {
            suspicion: match is_suspect {
                true => Suspicion::Isolated { probation_ms: 100 },
                false => Suspicion::None,
            },
            ..start_order(order, job)
        }))
    }

    /// Starts the only task of a job, an isolated suspect, while these runs are listed.
    ///
    /// # Panics
    ///
    /// Panics if the agent sends no start.
    pub fn start_suspect(&mut self, order: u64, job: &str, running: &[&str]) {
        for action in self.order_start(order, job, true) {
            if let AgentAction::List {
                call, incarnation, ..
            } = action
            {
                let listing = ListResult::Listed(listing_of(running, self.now_ms));
                self.answer_call(&incarnation, call, listing);
            }
        }
        let starts = starts_in(&self.advance(1));
        assert!(starts > 0, "the agent should start {job}");
        for _ in 0..starts {
            self.agent.start_answered(
                self.now_ms,
                &incarnation_at(1_000),
                &key(job),
                StartResult::Started,
            );
        }
    }

    /// Runs the only task of a stored job to its end, which the minion then retains;
    /// returns the number of the end.
    pub fn run_stored_task(&mut self, order: u64, job: &str) -> u64 {
        let stored = StartOrder {
            run: FIRST_STORED_RUN,
            is_stored: true,
            ..start_order(order, job)
        };
        let key = RunKey {
            task: stored.task.clone(),
            run: stored.run,
        };
        let calls = starts_in(&self.order(Order::Start(stored)));
        for _ in 0..calls {
            self.agent.start_answered(
                self.now_ms,
                &incarnation_at(1_000),
                &key,
                StartResult::Started,
            );
        }
        self.last_end_number += 1;
        let ended = EndedRun {
            number: self.last_end_number,
            key: Some(key),
            end: RunEnd::Done,
        };
        self.answer_with(&ListResult::Listed(Listing {
            clock_ms: 600,
            ended: vec![ended],
            ..Listing::default()
        }));
        self.last_end_number
    }

    /// Answers the start call of job "a".
    pub fn answer(&mut self, result: StartResult) {
        self.agent
            .start_answered(self.now_ms, &incarnation_at(1_000), &key("a"), result);
    }

    /// Breaks off the start of job "a" and orders its stop, which the agent sends.
    ///
    /// # Panics
    ///
    /// Panics if the agent sends no stop.
    pub fn break_start_until_stopped(&mut self) {
        let actions = self.order_start(1, "a", false);
        for _ in 0..starts_in(&actions) {
            self.answer(StartResult::Broken);
        }
        let actions = self.order(Order::Stop(OrderId(1)));
        let is_stop = |action: &AgentAction| matches!(action, AgentAction::Stop { .. });
        assert!(actions.iter().any(is_stop), "the agent sent no stop");
    }

    /// Acknowledges the stop of job "a" at this time of the minion's clock.
    pub fn acknowledge_stop(&mut self, clock_ms: u64) {
        let result = StopResult::Acknowledged { clock_ms };
        self.agent
            .stop_answered(self.now_ms, &incarnation_at(1_000), &key("a"), result);
    }

    /// Answers the next listing calls; returns the orders and ends of the runs that the
    /// agent reports to the entry in the next millisecond.
    pub fn ends_after(&mut self, result: &ListResult) -> Vec<(OrderId, RunEnd)> {
        self.answer_with(result);
        ends_in(&self.advance(1))
    }

    /// Answers the start of a job's only task, and lists this end of it.
    pub fn run_task(&mut self, job: &str, end: RunEnd) {
        self.agent.start_answered(
            self.now_ms,
            &incarnation_at(1_000),
            &key(job),
            StartResult::Started,
        );
        self.last_end_number += 1;
        let ended = EndedRun {
            number: self.last_end_number,
            key: Some(key(job)),
            end,
        };
        let listing = ListResult::Listed(Listing {
            clock_ms: 600,
            ended: vec![ended],
            ..Listing::default()
        });
        self.answer_with(&listing);
    }

    /// Orders the only tasks of these jobs, and answers that the minion started them.
    pub fn start_tasks(&mut self, jobs: &[&str]) {
        for (order, job) in (1..).zip(jobs) {
            self.start_of(order, job);
            self.agent.start_answered(
                self.now_ms,
                &incarnation_at(1_000),
                &key(job),
                StartResult::Started,
            );
        }
    }

    /// Waits for a listing call, makes the listing `wait_ms` later with these runs at
    /// 10 percent, and delivers it `delay_ms` after that; returns the agent's actions.
    pub fn list_running(&mut self, jobs: &[&str], wait_ms: u64, delay_ms: u64) -> Vec<AgentAction> {
        let is_listing = |action: &AgentAction| matches!(action, AgentAction::List { .. });
        let mut asked = Vec::new();
        while !asked.iter().any(is_listing) {
            asked = self.advance(10);
        }
        self.advance(wait_ms);
        let listing = listing_of(jobs, self.now_ms);
        self.advance(delay_ms);
        for action in asked {
            if let AgentAction::List {
                call, incarnation, ..
            } = action
            {
                let result = ListResult::Listed(listing.clone());
                self.agent
                    .list_answered(self.now_ms, &incarnation, call, result);
            }
        }
        self.advance(1)
    }

    /// Refuses all connections to the minion until the agent gives it up; returns the
    /// orders and ends of the runs that the agent reports to the entry meanwhile.
    pub fn ends_of_refused_minion(&mut self) -> Vec<(OrderId, RunEnd)> {
        let mut ends = Vec::new();
        for _ in 0..MAX_STEPS {
            let actions = self.advance(20);
            for action in actions {
                match action {
                    AgentAction::List {
                        call, incarnation, ..
                    } => {
                        let result = ListResult::Unreached;
                        self.agent
                            .list_answered(self.now_ms, &incarnation, call, result);
                    }
                    AgentAction::Send(_, frame) => {
                        ends.extend(frame.reports.iter().filter_map(ended));
                    }
                    _ => {}
                }
            }
            if self.agent.incarnation().is_none() {
                break;
            }
        }
        ends
    }

    /// Breaks the connections of all calls to the minion for `for_ms`, or until the agent
    /// gives the minion up; returns the orders and ends of the runs that the agent reports to
    /// the entry meanwhile.
    pub fn ends_of_resetting_minion(&mut self, for_ms: u64) -> Vec<(OrderId, RunEnd)> {
        let mut ends = Vec::new();
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms && self.agent.incarnation().is_some() {
            for action in self.advance(10) {
                match action {
                    AgentAction::List {
                        call, incarnation, ..
                    } => self.answer_call(&incarnation, call, ListResult::Broken),
                    AgentAction::Start { .. } => self.answer(StartResult::Broken),
                    AgentAction::Send(_, frame) => {
                        ends.extend(frame.reports.iter().filter_map(ended));
                    }
                    _ => {}
                }
            }
        }
        ends
    }

    /// Delivers a later report of the served or given up incarnation, whose clock shows
    /// `clock_ms`.
    pub fn report_clock(&mut self, clock_ms: u64) {
        let report = MinionReport {
            clock_ms,
            ..report(incarnation_at(1_000), CAPACITY, 9)
        };
        self.agent.minion_reported(self.now_ms, report);
    }

    /// Suspends the agent for `for_ms` while a listing call waits for an end. The agent reads
    /// that its connection broke when it resumes.
    pub fn suspend_before_broken_listing(&mut self, for_ms: u64) {
        let call = self.next_listing_call();
        self.now_ms += for_ms;
        self.answer_call(&incarnation_at(1_000), call, ListResult::Broken);
    }

    /// Suspends the agent for `for_ms` while a listing of these runs is on its way to it. The
    /// agent reads the listing when it resumes.
    pub fn suspend_before_listing(&mut self, jobs: &[&str], for_ms: u64) {
        let call = self.next_listing_call();
        let listing = listing_of(jobs, self.now_ms);
        self.now_ms += for_ms;
        self.answer_call(&incarnation_at(1_000), call, ListResult::Listed(listing));
    }

    /// Advances the clock until the agent calls for a listing; returns the number of the
    /// call.
    fn next_listing_call(&mut self) -> u64 {
        let call = |action: &AgentAction| match action {
            AgentAction::List { call, .. } => Some(*call),
            _ => None,
        };
        loop {
            if let Some(call) = self.advance(10).iter().find_map(call) {
                return call;
            }
        }
    }

    /// Serves the next incarnation of the minion, which started at `started_unix_ms`, and
    /// opens a new link; returns the crashes in the greeting.
    ///
    /// # Panics
    ///
    /// Panics if the agent does not greet within `MAX_STEPS`.
    pub fn crashes_in_next_greeting(&mut self, started_unix_ms: u64) -> Vec<Crash> {
        let entry = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_721));
        let next = incarnation_at(started_unix_ms);
        let mut is_linked = false;
        for _ in 0..MAX_STEPS {
            if self.agent.incarnation() != Some(&next) {
                let report = report(next.clone(), CAPACITY, 1);
                self.agent.minion_reported(self.now_ms, report);
            } else if !is_linked {
                self.agent.link_up(self.now_ms, NEXT_LINK, entry);
                is_linked = true;
            }
            for action in self.advance(20) {
                match action {
                    AgentAction::List {
                        call, incarnation, ..
                    } => {
                        let listing = Listing {
                            started_unix_ms: Some(started_unix_ms),
                            clock_ms: self.now_ms,
                            ..Listing::default()
                        };
                        self.answer_call(&incarnation, call, ListResult::Listed(listing));
                    }
                    AgentAction::Greet(_, hello) => return hello.crashes,
                    _ => {}
                }
            }
        }
        panic!("the agent did not greet");
    }

    /// Leaves all calls to the minion unanswered until the agent gives it up; returns the
    /// orders and ends of the runs that the agent reports to the entry meanwhile.
    pub fn ends_of_silent_minion(&mut self) -> Vec<(OrderId, RunEnd)> {
        let mut ends = Vec::new();
        for _ in 0..MAX_STEPS {
            for action in self.advance(20) {
                match action {
                    AgentAction::List {
                        call, incarnation, ..
                    } => self.answer_call(&incarnation, call, ListResult::NoAnswer),
                    AgentAction::Start { .. } => self.answer(StartResult::NoAnswer),
                    AgentAction::Send(_, frame) => {
                        ends.extend(frame.reports.iter().filter_map(ended));
                    }
                    _ => {}
                }
            }
            if self.agent.incarnation().is_none() {
                break;
            }
        }
        ends
    }

    /// Whether the agent's last frame of the next 100 ms says that it accepts starts.
    pub fn is_accepting_starts(&mut self) -> bool {
        let frames = self
            .advance(100)
            .into_iter()
            .filter_map(|action| match action {
                AgentAction::Send(_, frame) => Some(frame.is_accepting_starts),
                _ => None,
            });
        frames.last().expect("the agent should have sent a frame")
    }
}

/// Returns the number of starts among an agent's actions.
pub fn starts_in(actions: &[AgentAction]) -> usize {
    let is_start = |action: &&AgentAction| matches!(action, AgentAction::Start { .. });
    actions.iter().filter(is_start).count()
}

/// Returns the ends that are reported in these actions.
pub fn ends_in(actions: &[AgentAction]) -> Vec<(OrderId, RunEnd)> {
    let frames = actions.iter().filter_map(|action| match action {
        AgentAction::Send(_, frame) => Some(frame),
        _ => None,
    });
    let reports = frames.flat_map(|frame| &frame.reports);
    reports.filter_map(ended).collect()
}

/// Returns the order and the end from a report of an end.
fn ended(report: &Report) -> Option<(OrderId, RunEnd)> {
    match report {
        Report::Ended { order, end, .. } => Some((*order, *end)),
        _ => None,
    }
}

/// Returns an order to start a job's only task.
pub fn start_order(order: u64, job: &str) -> StartOrder {
    StartOrder {
        id: OrderId(order),
        task: key(job).task,
        run: 1,
        spec: 0,
        suspicion: Suspicion::None,
        needs: TASK_RESOURCES,
        expected_ms: 100,
        is_stored: false,
    }
}

fn report(incarnation: Incarnation, capacity: Resources, sequence: u64) -> MinionReport {
    MinionReport {
        incarnation,
        service: "desk".into(),
        zone: "selfoss".into(),
        labels: Vec::new(),
        capacity,
        is_draining: false,
        clock_ms: 500,
        sequence,
    }
}

/// Returns the incarnation of the minion that started at this time.
pub fn incarnation_at(started_unix_ms: u64) -> Incarnation {
    Incarnation::new(MINION.into(), Some(started_unix_ms))
}

/// Returns a listing of the only tasks of these jobs, at 10 percent.
fn listing_of(jobs: &[&str], clock_ms: u64) -> Listing {
    let running = jobs.iter().map(|job| ActiveRun {
        key: Some(key(job)),
        percent: 10,
    });
    Listing {
        clock_ms,
        running: running.collect(),
        ..Listing::default()
    }
}

/// Returns a listing without runs.
pub fn empty_listing() -> ListResult {
    ListResult::Listed(Listing {
        clock_ms: 600,
        ..Listing::default()
    })
}

/// Returns the first run of a job's only task.
pub fn key(job: &str) -> RunKey {
    RunKey {
        task: TaskId {
            job: job.into(),
            step: 0,
            index: 0,
        },
        run: 1,
    }
}
