//! Tests of grey failures: agents eject minions that answer calls but whose runs all fail
//! or stall, for all entries, and readmit them after they recover.

mod driver;
mod session;

use std::collections::BTreeSet;

use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::Disposition;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::MINION_LEASE_MS;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::RunEnd;
use gannetvane_dispatch::Step;

use driver::Driver;
use session::Behavior;
use session::MINION_CAPACITY;
use session::Session;

const ENTRIES: usize = 12;
const WORK_MS: u64 = 60;
const FIRST_MINION: &str = "minion-0-1";

/// Runs twelve entries in front of six minions for a second, in which each entry submits ten
/// jobs of two tasks. The first minion behaves as given. Returns the positions of the callers
/// too.
fn serve_with_faulty_minion(behavior: Behavior) -> (Session, Vec<usize>) {
    let mut session = Session::new(ENTRIES, 6);
    session.has_prompt_minions = true;
    session.minions[0].behavior = behavior;
    let mut jobs = Vec::new();
    for number in 0..10 {
        for entry in 0..ENTRIES {
            jobs.push(session.submit(entry, &format!("{entry}-{number}"), 2, WORK_MS));
        }
        session.run(100);
    }
    (session, jobs)
}

fn assert_recovers(mut session: Session) {
    session.minions[0].behavior = Behavior::Healthy;
    session.run(3_000);
    let starts_before = session.starts_on(FIRST_MINION);
    for number in 0..10 {
        for entry in 0..ENTRIES {
            session.submit(entry, &format!("later-{entry}-{number}"), 2, WORK_MS);
        }
        session.run(100);
    }
    let starts = session.starts_on(FIRST_MINION) - starts_before;
    assert!(starts >= 20, "{starts} starts after it recovered");
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn a_minion_that_fails_all_runs_is_ejected_for_all_entries() {
    let (session, jobs) = serve_with_faulty_minion(Behavior::Failing);
    let starts = session.starts_on(FIRST_MINION);
    assert!(starts <= 16, "{starts} starts on the failing minion");
    let is_late = |job: &&usize| {
        let caller = &session.callers[**job];
        caller
            .answered_ms
            .is_none_or(|at_ms| at_ms > caller.sent_ms + 150)
            || caller.outcome != Some(JobOutcome::Completed)
    };
    let late = jobs.iter().filter(is_late).count();
    assert_eq!(late, 0, "jobs that were not in time");
    assert_recovers(session);
}

#[test]
fn a_stalled_minion_is_ejected_for_all_entries() {
    let (session, jobs) = serve_with_faulty_minion(Behavior::Stalled);
    let starts = session.starts_on(FIRST_MINION);
    assert!(starts <= 16, "{starts} starts on the hanging minion");
    let took_ms = |job: &usize| {
        let caller = &session.callers[*job];
        caller
            .answered_ms
            .map_or(u64::MAX, |at_ms| at_ms - caller.sent_ms)
    };
    let longest_ms = jobs.iter().map(took_ms).max().unwrap();
    assert!(longest_ms <= 330, "{longest_ms} ms");
    assert_recovers(session);
}

#[test]
fn two_failed_jobs_eject_a_minion() {
    let mut driver = Driver::new();
    assert!(driver.is_accepting_starts());
    driver.start_of(1, "a");
    driver.run_task("a", RunEnd::Failed);
    assert!(driver.is_accepting_starts());
    driver.start_of(2, "b");
    driver.run_task("b", RunEnd::Failed);
    assert!(!driver.is_accepting_starts());
    assert_eq!(driver.start_of(3, "c"), 0);
}

/// A stored end that must not count is acknowledged after the lease has lapsed once.
#[test]
fn an_agent_announces_that_it_starts_nothing_while_the_lease_must_lapse() {
    let mut driver = Driver::new();
    let end = driver.run_stored_task(1, "a");
    assert!(driver.is_accepting_starts());
    driver.order(Order::Disposition(end, Disposition::Superseded));
    assert!(!driver.is_accepting_starts());
    assert_eq!(driver.start_of(2, "b"), 0);
    for _ in 0..MINION_LEASE_MS / 50 {
        driver.advance(50);
    }
    assert!(driver.is_accepting_starts());
    assert!(driver.start_of(3, "c") > 0);
}

/// Returns the number of runs that are stopped. The agent may send hedged calls for one
/// stop.
fn stopped_runs(actions: &[AgentAction]) -> usize {
    let stopped = actions.iter().filter_map(|action| match action {
        AgentAction::Stop { key, .. } => Some(key),
        _ => None,
    });
    stopped.collect::<BTreeSet<_>>().len()
}

#[test]
fn runs_without_progress_are_stopped() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a", "b"]);
    driver.list_running(&["a", "b"], 0, 0);
    assert_eq!(stopped_runs(&driver.list_running(&["a", "b"], 100, 0)), 2);
    assert!(!driver.is_accepting_starts());
}

#[test]
fn an_outdated_listing_does_not_show_stalled_runs() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a", "b"]);
    driver.list_running(&["a", "b"], 0, 0);
    // The listing was made 5 ms after the call, but arrives 100 ms later, as it does when the
    // agent's host was suspended.
    assert_eq!(stopped_runs(&driver.list_running(&["a", "b"], 5, 100)), 0);
    assert!(driver.is_accepting_starts());
}

#[test]
fn discounted_failures_do_not_readmit_a_stalled_minion() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a", "b"]);
    driver.list_running(&["a", "b"], 0, 0);
    driver.list_running(&["a", "b"], 100, 0);
    driver.order(Order::DiscountFailures("c".into()));
    assert!(!driver.is_accepting_starts());
}

#[test]
fn jobs_that_fail_everywhere_do_not_eject_a_minion() {
    let mut driver = Driver::new();
    for (order, job) in [(1, "a"), (2, "b")] {
        driver.start_of(order, job);
        driver.run_task(job, RunEnd::Failed);
    }
    driver.order(Order::DiscountFailures("a".into()));
    assert!(driver.is_accepting_starts());
}

#[test]
fn a_successful_half_open_trial_readmits_a_minion() {
    let mut driver = Driver::new();
    for (order, job) in [(1, "a"), (2, "b")] {
        driver.start_of(order, job);
        driver.run_task(job, RunEnd::Failed);
    }
    for _ in 0..2 {
        assert!(!driver.is_accepting_starts());
    }
    while !driver.is_accepting_starts() {}
    assert!(driver.start_of(3, "c") > 0, "one half-open trial starts");
    assert_eq!(
        driver.start_of(4, "d"),
        0,
        "no second start before the trial ends"
    );
    driver.run_task("c", RunEnd::Done);
    assert!(driver.start_of(5, "e") > 0);
}

/// Run time of tasks that are longer than each test waits, in milliseconds.
const LONG_MS: u64 = 20_000;
/// Time within which a minion that has recovered runs several long tasks, in milliseconds:
/// the longest pause of its breaker and ten trials.
const RECOVERY_MS: u64 = 5_500;

/// Returns how many of six long stored tasks run some time after the only minion that is not
/// full has failed the tasks of these jobs, and recovered.
fn long_runs_after_failures(entries: usize, failing_jobs: &[&str]) -> usize {
    let mut session = Session::new(entries, 3);
    session.has_prompt_minions = true;
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    for number in 0..2 {
        let whole = Step {
            count: 1,
            needs: MINION_CAPACITY,
            declared_ms: LONG_MS,
            ..Step::default()
        };
        session.store_steps(&format!("{:016x}", 0x200 + number), vec![whole]);
    }
    session.run(300);
    let is_idle = |minion: &usize| session.minions[*minion].running().count() == 0;
    let faulty = (0..3).find(is_idle).expect("a minion should be idle");
    session.minions[faulty].behavior = Behavior::Failing;
    let failing = failing_jobs.iter();
    let failing: Vec<usize> = failing
        .map(|id| session.submit(0, id, 1, WORK_MS))
        .collect();
    session.run(10);
    for job in failing {
        session.disconnect_caller(job);
        session.forget_caller(job);
    }
    session.minions[faulty].behavior = Behavior::Healthy;
    for number in 0..6 {
        session.store(&format!("{:016x}", 0x100 + number), 1, LONG_MS);
    }
    session.run(RECOVERY_MS);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
    session.minions[faulty].running().count()
}

/// Guards against a half-open trial that takes long and holds up all other tasks.
#[test]
fn a_long_half_open_trial_does_not_hold_up_others() {
    assert_eq!(long_runs_after_failures(2, &["a", "b"]), 6);
}

/// Guards against a long task on a host that an entry tries again, which holds up the entry's
/// other tasks there.
#[test]
fn a_long_task_on_a_host_that_is_tried_again_does_not_hold_up_others() {
    assert_eq!(long_runs_after_failures(1, &["a"]), 6);
}

/// Guards against stored tasks that start one at a time on minions whose tasks take many times
/// as long as expected, beside free resources.
#[test]
fn stored_tasks_start_beside_others_on_slow_minions() {
    let mut session = Session::new(1, 3);
    session.has_prompt_minions = true;
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    for minion in &mut session.minions {
        minion.behavior = Behavior::Slow(4.0);
    }
    for number in 0..3 {
        session.store(&format!("{:016x}", 0x100 + number), 1, 2_000);
    }
    session.run(1_500);
    for number in 0..9 {
        session.store(&format!("{:016x}", 0x200 + number), 1, 2_000);
    }
    session.run(2_500);
    let running = session
        .minions
        .iter()
        .map(|minion| minion.running().count());
    assert_eq!(running.sum::<usize>(), 12);
}
