//! Cost of a round of placement while thousands of jobs wait, and what a round still
//! reaches then.
//!
//! This command prints the time of a tick for several kinds of waiting jobs:
//!
//! ```sh
//! cargo test --release --locked -p gannetvane-dispatch --test placement_rounds -- \
//!     --ignored --nocapture --test-threads 1
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use gannetvane_dispatch::AgentFrame;
use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::Arrival;
use gannetvane_dispatch::CallerId;
use gannetvane_dispatch::Demand;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::FairShare;
use gannetvane_dispatch::Job;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OverloadPolicy;
use gannetvane_dispatch::Probe;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Rank;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::ServiceView;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::WaitingJob;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;

const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 65_536,
    accelerators: 0,
};
const NEEDS: Resources = Resources {
    cpu_milli: 1_600,
    memory_mb: 64,
    accelerators: 0,
};
/// What agents have free that run some tasks.
const HALF: Resources = Resources {
    cpu_milli: 8_000,
    ..CAPACITY
};
/// Number of ticks, one millisecond apart, whose time is measured.
const TICKS: u64 = 40;

/// Policy that ranks jobs like [`FairShare`], and lets all of them wait.
#[derive(Debug, Default)]
struct LetsWait {
    fair_share: FairShare,
}

impl OverloadPolicy for LetsWait {
    fn admits(&mut self, _: u64, _: &Arrival<'_>, _: &ServiceView) -> bool {
        true
    }

    fn offered_milli(&self, _: u64, _: &Name) -> f64 {
        0.0
    }

    fn note_shed(&mut self, _: u64, _: &Name, _: u64) {}

    fn can_meet_objective(&self, _: u64, _: &WaitingJob, _: f64) -> bool {
        true
    }

    fn rank(&self, now_ms: u64, job: &WaitingJob) -> Rank {
        self.fair_share.rank(now_ms, job)
    }

    fn retry_after_ms(&self, _: &ServiceView, _: f64) -> u64 {
        0
    }
}

/// An entry whose agents report the same free resources all the time.
struct Entry {
    dispatcher: Dispatcher,
    now_ms: u64,
    agents: u64,
    free: Resources,
    /// Speed of all minions but the first, which has the ordinary one.
    speed_permille: u32,
    next_caller: u64,
    starts_received: BTreeMap<LinkId, u64>,
    /// Jobs of which a task was ordered.
    started: Vec<String>,
    probes: Vec<Probe>,
}

impl Entry {
    fn new(agents: u64, free: Resources, speed_permille: u32) -> Self {
        let settings = DispatcherSettings {
            zone: "selfoss".into(),
            remote_factor: 1.5,
            seed: 7,
        };
        let now_ms = 1_000;
        let policy = Box::new(LetsWait::default());
        let mut dispatcher = Dispatcher::with_policy(settings, policy, now_ms);
        dispatcher.configure(RoutingTable {
            version: 1,
            queues: vec![queue()],
            max_body_bytes: 0,
        });
        for agent in 0..agents {
            dispatcher.agent_up(now_ms, LinkId(agent), hello(now_ms, agent));
        }
        let mut entry = Self {
            dispatcher,
            now_ms,
            agents,
            free,
            speed_permille,
            next_caller: 1,
            starts_received: BTreeMap::new(),
            started: Vec::new(),
            probes: Vec::new(),
        };
        entry.report();
        entry
    }

    /// Delivers a frame of each agent.
    fn report(&mut self) {
        for agent in 0..self.agents {
            let link = LinkId(agent);
            let frame = AgentFrame {
                clock_ms: self.now_ms,
                starts_received: self.starts_received.get(&link).copied().unwrap_or(0),
                starts_settled: 0,
                free: self.free,
                speed_permille: if agent == 0 {
                    1_000
                } else {
                    self.speed_permille
                },
                is_accepting_starts: true,
                has_offer: false,
                demand: Demand::default(),
                delayed_starts: Vec::new(),
                reports: Vec::new(),
            };
            self.dispatcher.agent_frame(self.now_ms, link, frame);
        }
    }

    fn submit(&mut self, id: &str, steps: Vec<Step>) {
        let job = Job {
            id: id.into(),
            spec: "".into(),
            steps,
            queue: queue(),
            wait_ms: 600_000,
        };
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.dispatcher.submit(self.now_ms, caller, job);
    }

    /// Advances the clock by a millisecond; returns the time of the tick in microseconds.
    fn tick(&mut self) -> u128 {
        self.now_ms += 1;
        if self.now_ms.is_multiple_of(50) {
            self.report();
        }
        let began = Instant::now();
        self.dispatcher.tick(self.now_ms);
        let took_us = began.elapsed().as_micros();
        for action in self.dispatcher.take_actions() {
            if let DispatcherAction::Send(link, frame) = action {
                for order in frame.orders {
                    match order {
                        Order::Start(start) => {
                            *self.starts_received.entry(link).or_default() += 1;
                            self.started.push(start.task.job.to_string());
                        }
                        Order::Probe(probe) => self.probes.push(probe),
                        _ => {}
                    }
                }
            }
        }
        took_us
    }

    fn has_started(&self, id: &str) -> bool {
        self.started.iter().any(|started| started == id)
    }
}

fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "slot-check".into(),
        host: "desk.example".into(),
        path_prefix: "/slots/".into(),
        service: "desk".into(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        needs_advice: false,
    })
}

fn hello(now_ms: u64, agent: u64) -> AgentHello {
    AgentHello {
        node: NodeId(agent),
        host: format!("host-{agent}").into(),
        zone: "selfoss".into(),
        service: "desk".into(),
        labels: vec![
            if agent == 0 { "first" } else { "other" }.into(),
            format!("r1-{}", agent / 12).into(),
        ],
        capacity: CAPACITY,
        clock_ms: now_ms,
        retained_ends: Vec::new(),
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: format!("minion-{agent}").into(),
    }
}

fn step(needs: Resources, label: Option<String>, declared_ms: u64) -> Step {
    Step {
        count: 4,
        needs,
        declared_ms,
        required_label: label.map(Into::into),
        ..Step::default()
    }
}

/// Kinds of jobs that wait without a place, by what each asks for.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    /// The same room, which no agent has free.
    FullFleet,
    /// A label of a minion that was lost.
    LostLabel,
    /// Each another label of a minion that was lost.
    OwnLabels,
    /// Each another amount of each resource, of which agents have less free.
    OwnNeeds,
    /// Room that agents have, but their minions are too slow.
    SlowFleet,
    /// The same, each with another amount.
    OwnNeedsInSlowFleet,
}

impl Waiting {
    fn step(self, number: u32) -> Step {
        let own_needs = |cpu_milli, memory_mb| Resources {
            cpu_milli,
            memory_mb,
            accelerators: 0,
        };
        match self {
            Self::FullFleet => step(NEEDS, None, 60),
            Self::LostLabel => step(NEEDS, Some("lost-0".to_owned()), 60),
            Self::OwnLabels => step(NEEDS, Some(format!("lost-{number}")), 60),
            Self::OwnNeeds => step(own_needs(8_001 + number, 60_000 - number), None, 60),
            Self::SlowFleet => step(NEEDS, None, 900),
            Self::OwnNeedsInSlowFleet => step(own_needs(1_000 + number, 64), None, 900),
        }
    }

    /// Returns the median time of a tick while `jobs` such jobs wait, in microseconds.
    fn median_tick_us(self, agents: u64, jobs: u32) -> u128 {
        let free = match self {
            Self::FullFleet => Resources::default(),
            _ => HALF,
        };
        let speed_permille = match self {
            Self::SlowFleet | Self::OwnNeedsInSlowFleet => 100,
            _ => 1_000,
        };
        let mut entry = Entry::new(agents, free, speed_permille);
        let lost = LinkId(agents);
        let labels = (0..jobs).map(|number| format!("lost-{number}").into());
        let hello = AgentHello {
            labels: labels.collect(),
            ..hello(entry.now_ms, agents)
        };
        entry.dispatcher.agent_up(entry.now_ms, lost, hello);
        for number in 0..jobs {
            entry.submit(&format!("job-{number}"), vec![self.step(number)]);
        }
        entry.dispatcher.agent_down(lost, "lost");
        let mut times: Vec<u128> = (0..TICKS).map(|_| entry.tick()).collect();
        times.sort_unstable();
        times[times.len() / 2]
    }
}

#[test]
#[ignore = "measures times: by hand, in a release build"]
fn time_of_a_round() {
    let kinds = [
        Waiting::FullFleet,
        Waiting::LostLabel,
        Waiting::OwnLabels,
        Waiting::OwnNeeds,
        Waiting::SlowFleet,
        Waiting::OwnNeedsInSlowFleet,
    ];
    println!("median time of a tick in microseconds, by agents and jobs: {kinds:?}");
    for agents in [11, 100, 800] {
        for jobs in [100, 1_000, 5_000] {
            let times = kinds.map(|kind| kind.median_tick_us(agents, jobs));
            println!("{agents:6} {jobs:5} {times:?}");
        }
    }
}

/// Guards against jobs that are never looked at because the jobs before them use up what a
/// round may examine: all minions with free resources are too slow for these.
#[test]
fn jobs_behind_many_that_no_minion_suits_are_reached_in_turn() {
    let mut entry = Entry::new(100, HALF, 100);
    for number in 0..600 {
        let needs = Resources {
            memory_mb: number,
            ..NEEDS
        };
        let late = step(needs, Some("other".to_owned()), 2_000);
        entry.submit(&format!("late-{number}"), vec![late]);
    }
    let last = step(NEEDS, Some("first".to_owned()), 5_000);
    entry.submit("last", vec![last]);
    for _ in 0..100 {
        entry.tick();
    }
    assert!(entry.has_started("last"));
    assert!(!entry.has_started("late-0"));
}

/// Guards against tasks that never get an offer because the first waiting task of their job
/// suits no minion.
#[test]
fn minions_are_probed_for_each_step_that_they_could_run() {
    let mut entry = Entry::new(2, Resources::default(), 1_000);
    let lost = LinkId(2);
    let hello = AgentHello {
        labels: vec!["lost-0".into()],
        ..hello(entry.now_ms, lost.0)
    };
    entry.dispatcher.agent_up(entry.now_ms, lost, hello);
    let steps = vec![
        step(NEEDS, Some("lost-0".to_owned()), 2_000),
        step(HALF, None, 2_000),
    ];
    entry.submit("job", steps);
    entry.dispatcher.agent_down(lost, "lost");
    entry.tick();
    assert!(entry.probes.iter().any(|probe| probe.needs == HALF));
}
