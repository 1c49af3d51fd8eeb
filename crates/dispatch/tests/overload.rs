//! Tests of overload: jobs that cannot meet their objective are refused early, no others
//! are refused, and jobs that have started are completed.

mod session;

use std::sync::Arc;

use gannetvane_dispatch::AgentFrame;
use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::CallerId;
use gannetvane_dispatch::Demand;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::Job;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::Step;
use gannetvane_wire::NodeId;
use session::MINION_CAPACITY;
use session::Session;
use session::TASK_RESOURCES;

/// Work of each task, in milliseconds.
const WORK_MS: u64 = 100;
/// Objective of each job, in milliseconds: 1.6 times its work and 60 ms.
const OBJECTIVE_MS: u64 = 220;

/// Submits a job of four tasks every 10 ms for 8 s to one minion, which can complete one
/// every 40 ms. Returns the session and the positions of the callers.
fn overload() -> (Session, Vec<usize>) {
    let mut session = Session::new(1, 1);
    let mut jobs = Vec::new();
    for number in 0..800 {
        jobs.push(session.submit(0, &format!("job-{number}"), 4, WORK_MS));
        session.run(10);
    }
    session.run(2_000);
    (session, jobs)
}

#[test]
fn excess_jobs_are_refused_early_and_the_rest_are_in_time() {
    let (session, jobs) = overload();
    let violations = &session.violations;
    assert!(violations.is_empty(), "{violations:?}");
    let took_ms = |job: usize| {
        let caller = &session.callers[job];
        caller.answered_ms.unwrap() - caller.sent_ms
    };
    let took_ms_with = |is_counted: &dyn Fn(JobOutcome) -> bool| -> Vec<u64> {
        let ends = jobs
            .iter()
            .filter(|job| is_counted(session.outcome(**job).unwrap()));
        ends.map(|job| took_ms(*job)).collect()
    };
    let completed = took_ms_with(&|outcome| outcome == JobOutcome::Completed);
    let refused = took_ms_with(&|outcome| matches!(outcome, JobOutcome::Refused { .. }));
    let given_up = took_ms_with(&|outcome| outcome == JobOutcome::TooLate);
    let in_time = completed
        .iter()
        .filter(|took_ms| **took_ms <= OBJECTIVE_MS)
        .count();
    // The minion could complete about 165 of the 800.
    assert!(in_time >= 80, "{in_time} in time of {}", completed.len());
    assert!(given_up.len() <= 8, "{} given up", given_up.len());
    let early = refused
        .iter()
        .filter(|took_ms| **took_ms <= OBJECTIVE_MS / 3)
        .count();
    assert!(
        early * 10 >= refused.len() * 9,
        "{early} of {}",
        refused.len()
    );
}

#[test]
fn a_job_that_fits_into_an_idle_service_is_not_refused() {
    let mut session = Session::new(1, 1);
    for number in 0..20 {
        // The job has more tasks than fit at once. Some wait, but the job is in time.
        let job = session.submit(0, &format!("job-{number}"), 12, WORK_MS);
        session.run_until_answered(job, 1_000);
        assert_eq!(session.outcome(job), Some(JobOutcome::Completed));
        session.run(400);
    }
}

fn queue(service: &str) -> Arc<Queue> {
    Arc::new(Queue {
        name: service.into(),
        host: "desk.example".into(),
        path_prefix: format!("/{service}/").into(),
        service: service.into(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        needs_advice: false,
    })
}

fn dispatcher() -> (Dispatcher, u64) {
    let settings = DispatcherSettings {
        zone: "selfoss".into(),
        remote_factor: 1.5,
        seed: 7,
    };
    let now_ms = 1_000;
    let mut dispatcher = Dispatcher::new(settings, now_ms);
    dispatcher.configure(RoutingTable {
        version: 1,
        queues: vec![queue("full"), queue("other")],
        max_body_bytes: 0,
    });
    (dispatcher, now_ms)
}

fn job(number: u64, service: &str, declared_ms: u64) -> Job {
    Job {
        id: format!("job-{number}").into(),
        spec: "".into(),
        steps: vec![Step {
            count: 1,
            needs: TASK_RESOURCES,
            declared_ms,
            ..Step::default()
        }],
        queue: queue(service),
        wait_ms: 6_000,
    }
}

fn agent_up(dispatcher: &mut Dispatcher, now_ms: u64, link: LinkId, service: &str) {
    let hello = AgentHello {
        node: NodeId(link.0),
        host: format!("host-{}", link.0).into(),
        zone: "selfoss".into(),
        service: service.into(),
        labels: Vec::new(),
        capacity: MINION_CAPACITY,
        clock_ms: now_ms,
        retained_ends: Vec::new(),
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: "minion-1".into(),
    };
    dispatcher.agent_up(now_ms, link, hello);
}

/// Connects an agent that reports no free resources.
fn full_agent_up(dispatcher: &mut Dispatcher, now_ms: u64, link: LinkId, service: &str) {
    agent_up(dispatcher, now_ms, link, service);
    let frame = AgentFrame {
        clock_ms: now_ms,
        starts_received: 0,
        starts_settled: 0,
        delayed_starts: Vec::new(),
        free: Resources::default(),
        speed_permille: 1_000,
        has_offer: false,
        is_accepting_starts: true,
        demand: Demand::default(),
        reports: Vec::new(),
    };
    dispatcher.agent_frame(now_ms, link, frame);
}

#[test]
fn no_job_is_refused_before_agents_report_free_resources() {
    let (mut dispatcher, now_ms) = dispatcher();
    agent_up(&mut dispatcher, now_ms, LinkId(1), "other");
    dispatcher.submit(now_ms, CallerId(1), job(1, "other", 400));
    dispatcher.tick(now_ms + 10);
    let answers = dispatcher.take_actions();
    let is_answer = |action: &DispatcherAction| matches!(action, DispatcherAction::Answer(..));
    assert!(!answers.iter().any(is_answer), "{answers:?}");
}

#[test]
fn a_full_service_does_not_cause_refusals_in_another() {
    let (mut dispatcher, now_ms) = dispatcher();
    full_agent_up(&mut dispatcher, now_ms, LinkId(1), "full");
    for link in 2..6 {
        full_agent_up(&mut dispatcher, now_ms, LinkId(link), "other");
    }
    for number in 0..60 {
        dispatcher.submit(now_ms, CallerId(number), job(number, "full", 60));
    }
    // This job has more time left, so it is checked after all jobs of the full service.
    dispatcher.submit(now_ms, CallerId(60), job(60, "other", 400));
    dispatcher.tick(now_ms + 10);
    let answers = dispatcher.take_actions();
    let refused = |caller: u64| {
        answers.iter().any(|action| {
            matches!(action, DispatcherAction::Answer(CallerId(answered), JobOutcome::Refused { .. }) if *answered == caller)
        })
    };
    assert!(refused(59), "the full service refuses");
    assert!(!refused(60), "the other one does not");
}

#[test]
fn a_suspended_entry_refuses_no_job_before_its_agents_report() {
    let (mut dispatcher, now_ms) = dispatcher();
    full_agent_up(&mut dispatcher, now_ms, LinkId(1), "other");
    dispatcher.tick(now_ms);
    dispatcher.take_actions();
    let later_ms = now_ms + 390;
    for number in 0..10 {
        dispatcher.submit(later_ms, CallerId(number), job(number, "other", 60));
    }
    let answers = dispatcher.take_actions();
    let is_answer = |action: &DispatcherAction| matches!(action, DispatcherAction::Answer(..));
    assert!(!answers.iter().any(is_answer), "{answers:?}");
}
