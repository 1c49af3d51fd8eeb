//! Tests of minions whose capacity shrinks and grows while they run tasks.

mod driver;
mod session;

use driver::Driver;
use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::Refusal;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::StartResult;
use session::MINION_CAPACITY;
use session::Session;
use session::TASK_RESOURCES;
use yare::parameterized;

const NO_CAPACITY: Resources = Resources {
    cpu_milli: 0,
    memory_mb: 0,
    accelerators: 0,
};
/// Capacity for two of the driver's tasks.
const HALF_CAPACITY: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 1_024,
    accelerators: 0,
};
/// Time within which a refusal reaches the caller, in milliseconds.
const ANSWERED_WITHIN_MS: u64 = 5;

#[test]
fn no_task_starts_beyond_a_reduced_capacity() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a", "b"]);
    driver.report_capacity(HALF_CAPACITY, 2);
    assert_eq!(driver.start_of(3, "c"), 0, "no capacity is free");
    driver.report_capacity(NO_CAPACITY, 3);
    driver.report_capacity(driver::CAPACITY, 4);
    assert!(driver.start_of(4, "d") > 0, "the capacity has grown again");
}

#[test]
fn an_older_report_does_not_restore_the_capacity() {
    let mut driver = Driver::new();
    driver.report_capacity(NO_CAPACITY, 7);
    driver.report_capacity(driver::CAPACITY, 6);
    assert_eq!(driver.start(), 0);
}

/// The agent retries an unanswered start only while all its runs fit into the capacity.
/// Otherwise it stops the run, as a call without an answer can still be carried out.
#[test]
fn an_unanswered_start_is_not_retried_beyond_a_reduced_capacity() {
    let mut driver = Driver::new();
    driver.start();
    driver.report_capacity(NO_CAPACITY, 2);
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::NoAnswer);
    let mut actions = Vec::new();
    for _ in 0..10 {
        actions.extend(driver.advance(20));
    }
    let is_start = |action: &AgentAction| matches!(action, AgentAction::Start { .. });
    let is_stop = |action: &AgentAction| matches!(action, AgentAction::Stop { .. });
    assert!(!actions.iter().any(is_start));
    assert!(
        actions.iter().any(is_stop),
        "the unanswered start may still be carried out"
    );
}

fn resize_all(session: &mut Session, capacity: Resources) {
    for agent in 0..session.minions.len() {
        session.resize_minion(agent, capacity);
    }
}

#[test]
fn jobs_are_refused_at_once_while_no_minion_has_capacity() {
    let mut session = Session::new(2, 3);
    resize_all(&mut session, NO_CAPACITY);
    session.run(ANSWERED_WITHIN_MS);
    for entry in 0..2 {
        let job = session.submit(entry, &format!("job-{entry}"), 4, 100);
        session.run(ANSWERED_WITHIN_MS);
        let outcome = session.outcome(job);
        let is_refused = matches!(
            outcome,
            Some(JobOutcome::Refused { reason: Refusal::Overloaded, retry_after_ms }) if retry_after_ms > 0
        );
        assert!(is_refused, "{outcome:?}");
    }
    resize_all(&mut session, MINION_CAPACITY);
    session.run(ANSWERED_WITHIN_MS);
    let job = session.submit(0, "after", 27, 100);
    session.run(150);
    assert_eq!(session.outcome(job), Some(JobOutcome::Completed));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// When the last capacity is gone, waiting jobs are refused at once and running tasks go
/// on.
#[test]
fn waiting_jobs_are_refused_when_all_capacity_is_gone() {
    let mut session = Session::new(1, 2);
    let first = session.submit(0, "first", 20, 200);
    let waiting = session.submit(0, "waiting", 4, 900);
    session.run(20);
    assert_eq!(session.outcome(waiting), None);
    resize_all(&mut session, NO_CAPACITY);
    session.run(ANSWERED_WITHIN_MS);
    let outcome = session.outcome(waiting);
    assert!(
        matches!(outcome, Some(JobOutcome::Refused { .. })),
        "{outcome:?}"
    );
    session.run(500);
    assert_eq!(session.outcome(first), Some(JobOutcome::Completed));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Capacities shrink and grow under overload, so that starts and capacity reports cross on
/// their way.
#[parameterized(
    to_a_third = { 3 },
    to_nothing = { 0 },
)]
fn no_minion_is_overcommitted_while_capacities_change(tasks: u32) {
    let mut session = Session::new(3, 4);
    let reduced = Resources {
        cpu_milli: TASK_RESOURCES.cpu_milli * tasks,
        ..MINION_CAPACITY
    };
    for round in 0..60 {
        for number in 0..3 {
            let id = format!("job-{round}-{number}");
            session.submit(number % 3, &id, 6, 90);
        }
        let agent = round % session.minions.len();
        let capacity = if round % 3 == 0 {
            MINION_CAPACITY
        } else {
            reduced
        };
        session.resize_minion(agent, capacity);
        session.run(40);
    }
    resize_all(&mut session, MINION_CAPACITY);
    session.run(3_000);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
    let unanswered = session.callers.iter().filter(|c| c.outcome.is_none());
    assert_eq!(unanswered.count(), 0);
}
