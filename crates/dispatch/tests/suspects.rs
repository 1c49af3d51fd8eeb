//! Tests of tasks whose minion crashed: they start again beside each other, a task that
//! crashes its minions is still found, and good jobs do not fail for it.

mod session;

use std::collections::BTreeSet;

use gannetvane_dispatch::Crash;
use gannetvane_dispatch::CrashEvidence;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::StoredEnd;
use gannetvane_dispatch::TaskId;
use session::FakeMinion;
use session::Session;
use yare::parameterized;

const ENTRIES: usize = 3;
const MINIONS: usize = 8;
/// Time for which a crashed minion is away, in milliseconds.
const DOWN_MS: u64 = 4_500;
/// Run time of the tasks: longer than each test waits for their next starts.
const LONG_MS: u64 = 12_000;
/// Largest number of minions that may crash under one task.
const MAX_CRASHES: usize = 3;

fn needs(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 8,
        accelerators: 0,
    }
}

fn step(cpu_milli: u32, declared_ms: u64) -> Step {
    Step {
        count: 1,
        needs: needs(cpu_milli),
        declared_ms,
        ..Step::default()
    }
}

fn session() -> Session {
    let mut session = Session::new(ENTRIES, MINIONS);
    session.has_prompt_minions = true;
    session.report_start_times();
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    session
}

/// Submits jobs of one task, stored or not, and runs until all have started.
fn start_jobs(session: &mut Session, jobs: usize, cpu_milli: u32, is_stored: bool) {
    for id in 0..jobs {
        let steps = vec![step(cpu_milli, LONG_MS)];
        let text = format!("{:016x}", 0x1000 + id);
        match is_stored {
            true => session.store_steps(&text, steps),
            false => session.submit_steps(id % ENTRIES, &text, steps),
        };
        session.run(2);
    }
    session.run(500);
    assert_eq!(running_jobs(session).len(), jobs);
}

fn running_jobs(session: &Session) -> BTreeSet<String> {
    let running = session.minions.iter().flat_map(FakeMinion::running);
    running.map(|key| key.task.job.to_string()).collect()
}

fn busiest(session: &Session) -> usize {
    let load = |minion: &usize| session.minions[*minion].running().count();
    let busiest = (0..session.minions.len()).max_by_key(load);
    busiest.expect("there should be minions")
}

/// Crashes minions, one after the other.
fn crash_in_series(session: &mut Session, crashes: usize) {
    for _ in 0..crashes {
        let minion = busiest(session);
        session.restart_with_same_id(minion, DOWN_MS);
        session.run(400);
    }
}

/// Returns the time until all jobs run again, at most `limit_ms`.
fn run_until_all_run(session: &mut Session, jobs: usize, limit_ms: u64) -> u64 {
    for passed_ms in 0..limit_ms {
        if running_jobs(session).len() == jobs {
            return passed_ms;
        }
        session.run(1);
    }
    limit_ms
}

/// Guards against tasks of a crashed minion that start one job at a time on each minion, and
/// wait for as long as these run.
#[parameterized(
    stored = { 160, 200, true, 1, 1_000 },
    waited = { 160, 200, false, 1, 2_000 },
    hundreds_stored = { 640, 50, true, 1, 1_000 },
    hundreds_waited = { 640, 50, false, 1, 4_000 },
    stored_twice = { 160, 200, true, 2, 1_500 },
    hundreds_stored_twice = { 640, 50, true, 2, 4_000 },
)]
fn tasks_of_crashed_minions_start_again_beside_each_other(
    jobs: usize,
    cpu_milli: u32,
    is_stored: bool,
    crashes: usize,
    limit_ms: u64,
) {
    let mut session = session();
    start_jobs(&mut session, jobs, cpu_milli, is_stored);
    crash_in_series(&mut session, crashes);
    let took_ms = run_until_all_run(&mut session, jobs, limit_ms);
    println!("{jobs} jobs, {crashes} crashes: {took_ms} ms");
    assert!(took_ms < limit_ms, "{} run", running_jobs(&session).len());
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// A task that crashes minions is given up beside hundreds of good ones, whose jobs it does
/// not fail.
#[parameterized(
    stored_at_once = { true, 0, 1 },
    stored_later = { true, 20, 1 },
    stored_late = { true, 300, 1 },
    stored_three = { true, 0, 3 },
    waited_at_once = { false, 0, 1 },
    waited_later = { false, 20, 1 },
    waited_late = { false, 300, 1 },
    waited_three = { false, 0, 3 },
)]
fn a_task_that_crashes_minions_is_found_among_hundreds(
    is_stored: bool,
    after_ms: u64,
    crashing: usize,
) {
    let mut session = session();
    start_jobs(&mut session, 320, 50, is_stored);
    session.crash_after_ms = (after_ms > 0).then_some(after_ms);
    let ids: Vec<String> = (0..crashing)
        .map(|number| format!("{:016x}", 0xbad0 + number))
        .collect();
    for id in &ids {
        session.crashing.insert(id.clone());
        let steps = vec![step(50, LONG_MS)];
        match is_stored {
            true => session.store_steps(id, steps),
            false => session.submit_steps(0, id, steps),
        };
    }
    session.run(25_000);
    for id in &ids {
        let crashes = session.crashes[id];
        println!("{id} took down {crashes} minions");
        assert!(crashes <= MAX_CRASHES, "{id} {crashes}");
    }
    let failed_stored = session
        .stored
        .iter()
        .filter(|job| job.end == Some(StoredEnd::Failed));
    let failed_waited = session
        .callers
        .iter()
        .filter(|caller| caller.outcome == Some(JobOutcome::Failed));
    let failed: BTreeSet<&String> = failed_stored
        .map(|job| &job.id)
        .chain(failed_waited.map(|caller| &caller.id))
        .collect();
    assert_eq!(failed, ids.iter().collect());
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Returns the minion that runs a job.
fn minion_of(session: &Session, id: &str) -> Option<usize> {
    let runs_job = |minion: &usize| {
        let mut running = session.minions[*minion].running();
        running.any(|key| *key.task.job == *id)
    };
    (0..session.minions.len()).find(runs_job)
}

/// Guards against failing a good job whose caller waits: two minions crash under it, and a
/// task that crashes its minions would have done so at about the same age.
#[test]
fn crashes_at_other_ages_fail_no_waited_job() {
    let mut session = session();
    let id = "good";
    let job = session.submit_steps(0, id, vec![step(200, LONG_MS)]);
    for age_ms in [3_000, 200] {
        while minion_of(&session, id).is_none() {
            session.run(1);
        }
        session.run(age_ms);
        let minion = minion_of(&session, id).expect("the job should run");
        session.restart_with_same_id(minion, DOWN_MS);
        session.run(100);
    }
    session.run(500);
    assert_eq!(session.outcome(job), None);
    assert!(running_jobs(&session).contains(id));
}

/// Returns whether a waited job is given up that has one strong crash, and this many crashes
/// of which its task was cleared.
fn is_given_up_after_cleared(cleared: u64) -> bool {
    let mut session = session();
    let job = session.submit_steps(0, "job", vec![step(200, LONG_MS)]);
    session.run(50);
    let crash = |(number, evidence)| Crash {
        number,
        task: TaskId {
            job: "job".into(),
            step: 0,
            index: 0,
        },
        evidence,
        age_ms: 0,
    };
    let strong = [(1, CrashEvidence::Strong)];
    let cleared = (0..cleared).map(|number| (10 + number, CrashEvidence::Cleared));
    let crashes = strong.into_iter().chain(cleared).map(crash).collect();
    let now_ms = session.now_ms;
    session.entry(0).add_crashes(now_ms, crashes);
    session.run(10);
    session.outcome(job) == Some(JobOutcome::Failed)
}

#[test]
fn a_task_that_is_cleared_again_and_again_is_given_up() {
    assert!(!is_given_up_after_cleared(2));
    assert!(is_given_up_after_cleared(3));
}

/// Guards against a task that waits for a host that is full, beside an idle one on which its
/// minion crashed before.
#[test]
fn a_task_returns_to_the_host_of_its_crash_while_the_others_are_full() {
    let mut session = session();
    for minion in [6, 7] {
        session.set_labels(minion, &["b"]);
    }
    session.run(500);
    let step = |cpu_milli, declared_ms| Step {
        required_label: Some("b".into()),
        ..step(cpu_milli, declared_ms)
    };
    session.store_steps("00000000000000a1", vec![step(16_000, 60_000)]);
    session.run(4_000);
    let id = "00000000000000a2";
    session.store_steps(id, vec![step(1_000, 3_000)]);
    session.run(500);
    let minion = minion_of(&session, id).expect("the task should run");
    session.restart_with_same_id(minion, DOWN_MS);
    session.run(DOWN_MS + 2_000);
    assert!(running_jobs(&session).contains(id));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}
