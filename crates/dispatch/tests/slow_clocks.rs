//! Minions whose clocks are 2% slow: a run may go on for longer than a clock at full speed
//! would let it, and must be over when its task starts elsewhere.

mod driver;
mod session;

use driver::Driver;
use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::MINION_LEASE_MS;
use gannetvane_dispatch::Resources;
use session::Session;
use yare::parameterized;

/// Rate of the slowest clock that a minion may have.
const SLOW_RATE: f64 = 0.98;
/// Time without work in which the last listing of a minion becomes old, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// Longest lease that minions grant where it matters, in milliseconds.
const MAX_LEASE_MS: u64 = 15_000;
/// Time for which a lost agent is away, in milliseconds.
const FOREVER_MS: u64 = 60_000;
/// Work of a task that outlasts each lease, in milliseconds.
const LONG_WORK_MS: u64 = 4_000;
/// Time for messages and for the choice of another minion, in milliseconds.
const TRANSIT_MS: u64 = 100;
/// Time after the last answer of a minion within which it is given up, in milliseconds: its
/// lease is extended for 600 ms, and lasts 2% longer than asked for.
const GIVEN_UP_MS: u64 = 600 + MINION_LEASE_MS + MINION_LEASE_MS / 20;

/// Returns a session whose minions have clocks of this rate, after `idle_ms` without work.
/// Only the first minion has room.
fn session(rate: f64, idle_ms: u64) -> Session {
    let mut session = Session::new(2, 2);
    session.set_max_lease(MAX_LEASE_MS);
    for minion in &mut session.minions {
        minion.clock_rate = rate;
    }
    session.resize_minion(1, Resources::default());
    session.run(idle_ms + 2_000);
    session
}

/// Submits a job with one long task, waits until it is at work, and lets the second minion
/// have room.
fn start_long_task(session: &mut Session) {
    session.submit_declared(0, "a", 1, LONG_WORK_MS, 3 * LONG_WORK_MS);
    while session.minions[0].running().count() == 0 {
        session.run(1);
    }
    session.resize_minion(1, session::MINION_CAPACITY);
}

/// Runs until the task is at work on the second minion; returns how long that took.
fn run_until_at_work_elsewhere(session: &mut Session) -> u64 {
    let since_ms = session.now_ms;
    while session.minions[1].running().count() == 0 {
        assert!(session.now_ms < since_ms + FOREVER_MS, "not started again");
        session.run(1);
    }
    session.now_ms - since_ms
}

fn assert_clean(session: &Session) {
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against a second run: the minion carries out the calls that extend its lease and
/// answers none of them. Its clock is the further behind, the longer its last answer is ago.
#[parameterized(
    extended_soon = { 100 },
    extended_later = { 350 },
    extended_for_as_long_as_possible = { 3_000 },
)]
fn a_silent_minion_is_given_up_only_after_its_lease(carries_out_for_ms: u64) {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.list_running(&["a"], 0, 0);
    // The driver's listing shows its own time.
    let read_ms = driver.now_ms();
    let slow_clock_ms = |now_ms: u64| read_ms + ((now_ms - read_ms) as f64 * SLOW_RATE) as u64;
    let mut lease_until_ms = 0;
    while driver.agent.incarnation().is_some() {
        for action in driver.advance(1) {
            let AgentAction::List {
                call,
                incarnation,
                deadline_ms,
                ..
            } = action
            else {
                continue;
            };
            if driver.now_ms() <= read_ms + carries_out_for_ms {
                lease_until_ms = lease_until_ms.max(deadline_ms.unwrap_or(0));
            }
            driver.answer_call(&incarnation, call, ListResult::NoAnswer);
        }
    }
    let clock_ms = slow_clock_ms(driver.now_ms());
    assert!(clock_ms >= lease_until_ms, "{clock_ms} of {lease_until_ms}");
}

/// Guards against a second run: the first minion carries out all calls and answers none of
/// them.
#[parameterized(
    slow = { SLOW_RATE },
    full_speed = { 1.0 },
)]
fn tasks_of_a_mute_minion_start_elsewhere_only_after_its_lease(rate: f64) {
    let mut longest_ms = 0;
    for answered_ms in (0..240).step_by(7) {
        let mut session = session(rate, 0);
        start_long_task(&mut session);
        session.run(answered_ms);
        session.call_delay = Box::new(|_, agent| (agent == 0).then_some(0));
        longest_ms = longest_ms.max(run_until_at_work_elsewhere(&mut session));
        session.run(2_000);
        assert_clean(&session);
    }
    println!("rate {rate}: at work elsewhere after {longest_ms} ms at most");
    assert!(longest_ms <= GIVEN_UP_MS + TRANSIT_MS, "{longest_ms}");
}

/// Guards against a second run: nothing has run on the minion for a minute, so that its last
/// listing is old, when a task starts there and the minion is cut off.
#[parameterized(
    slow = { SLOW_RATE },
    full_speed = { 1.0 },
)]
fn a_start_after_an_idle_time_requests_no_longer_lease(rate: f64) {
    let mut session = session(rate, IDLE_MS);
    start_long_task(&mut session);
    session.run(5);
    session.call_delay = Box::new(|_, agent| (agent == 0).then_some(FOREVER_MS));
    run_until_at_work_elsewhere(&mut session);
    session.run(2_000);
    assert_clean(&session);
}

/// Guards against a second run: the same, but the agent of the minion is lost. Its entry
/// reckons with the usual lease.
#[parameterized(
    slow = { SLOW_RATE },
    full_speed = { 1.0 },
)]
fn an_agent_lost_after_an_idle_time_leaves_no_longer_lease(rate: f64) {
    let mut session = session(rate, IDLE_MS);
    start_long_task(&mut session);
    session.run(5);
    session.kill_agent(0, FOREVER_MS);
    run_until_at_work_elsewhere(&mut session);
    session.run(2_000);
    assert_clean(&session);
}

/// Guards against a second run: a report of an earlier incarnation arrives, whose clock was
/// further ahead.
#[test]
fn a_report_with_a_clock_that_is_ahead_requests_no_longer_lease() {
    let mut driver = Driver::new();
    driver.report_clock(60_000);
    let actions = driver.order_start(1, "a", false);
    let deadlines = actions.iter().filter_map(|action| match action {
        AgentAction::Start { deadline_ms, .. } => Some(*deadline_ms),
        _ => None,
    });
    let latest_ms = deadlines.max().expect("the agent should send a start");
    assert!(
        latest_ms <= driver.now_ms() + MINION_LEASE_MS,
        "{latest_ms}"
    );
}

/// Guards against starts that an idle minion refuses because their deadline has passed.
#[parameterized(
    slow = { SLOW_RATE },
    full_speed = { 1.0 },
)]
fn a_task_after_an_idle_time_starts_at_once(rate: f64) {
    let mut session = session(rate, IDLE_MS);
    let job = session.submit(0, "a", 1, 200);
    session.run(200 + TRANSIT_MS);
    assert_eq!(session.outcome(job), Some(JobOutcome::Completed));
    assert_clean(&session);
}
