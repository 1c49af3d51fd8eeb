//! Tests of minions that restart with the same id: the new incarnation has none of the
//! former state, and its numbers and its clock start again from the beginning.

mod driver;
mod session;

use driver::Driver;
use driver::incarnation_at;
use gannetvane_dispatch::ActiveRun;
use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::Listing;
use session::Session;
use yare::parameterized;

/// Returns a session whose minions report their start times.
fn session() -> Session {
    let mut session = Session::new(2, 3);
    session.report_start_times();
    session
}

/// Returns a listing of an incarnation with this start time, made at this time of its clock,
/// with one running task.
fn listing(started_unix_ms: Option<u64>, clock_ms: u64) -> ListResult {
    let running = ActiveRun {
        key: Some(driver::key("a")),
        percent: 10,
    };
    ListResult::Listed(Listing {
        started_unix_ms,
        clock_ms,
        running: vec![running],
        ..Listing::default()
    })
}

/// Time after its return within which a minion must be served again, in milliseconds: a few
/// messages on one host, and a connection to each entry.
const SERVED_AFTER_MS: u64 = 150;

fn assert_served(session: &mut Session, agent: usize) {
    session.run(SERVED_AFTER_MS);
    assert!(
        session.agent(agent).is_accepting_starts(),
        "at {} ms",
        session.now_ms
    );
    assert_eq!(session.agent(agent).greeted_links(), 2);
}

/// The next incarnation reports its own start time (`None`), that of the former incarnation
/// (`Some(true)`), or no start time (`Some(false)`).
#[parameterized(
    own_start_time = { None },
    start_time_of_the_former_incarnation = { Some(true) },
    no_start_time = { Some(false) },
)]
fn a_minion_that_restarts_with_the_same_id_is_served(hidden_start_time: Option<bool>) {
    let mut session = session();
    let before = session.submit(0, "before", 9, 100);
    session.run_until_answered(before, 1_000);
    match hidden_start_time {
        None => session.restart_with_same_id(1, 700),
        Some(reports_start_time) => {
            session.restart_with_hidden_start_time(1, 700, reports_start_time);
        }
    }
    // Without a start time of its own, only the clock shows that it is another incarnation.
    let busy = session.submit(0, "busy", 9, 100);
    session.run(3_200);
    assert_served(&mut session, 1);
    let instance = session.minions[1].instance.clone();
    let starts = session.starts_on(&instance);
    let after = session.submit(0, "after", 27, 100);
    session.run_until_answered(after, 1_000);
    assert_eq!(session.outcome(after), Some(JobOutcome::Completed));
    assert!(session.outcome(busy).is_some());
    assert!(
        session.starts_on(&instance) > starts,
        "the minion gets starts"
    );
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn a_report_of_the_former_incarnation_is_ignored() {
    let mut session = session();
    session.restart_with_same_id(0, 400);
    session.run(400);
    assert_served(&mut session, 0);
    let served = session.agent(0).incarnation().cloned();
    for _ in 0..3 {
        session.deliver_delayed_report(0);
        session.run(SERVED_AFTER_MS);
        assert_eq!(session.agent(0).incarnation().cloned(), served);
        assert!(session.agent(0).is_accepting_starts());
    }
}

/// The report of the former incarnation arrives before the next incarnation reports.
#[test]
fn a_delayed_report_of_the_former_incarnation_does_not_delay_the_next() {
    let mut session = session();
    let job = session.submit(0, "job", 9, 2_000);
    session.run(100);
    session.restart_with_same_id(0, 900);
    session.run(880);
    session.deliver_delayed_report(0);
    session.run(20);
    assert_served(&mut session, 0);
    assert!(session.outcome(job).is_none());
}

/// A start call gets no answer and the minion restarts with the same id. The next
/// incarnation carries the delayed call out, although the deadline of the call was on
/// another clock. The task must not have two runs at a time.
#[parameterized(
    at_once = { 0, 300 },
    soon = { 100, 600 },
    later = { 900, 1_500 },
    much_later = { 1_500, 4_000 },
)]
fn a_start_carried_out_by_the_next_incarnation_causes_no_duplicate_run(
    down_ms: u64,
    delay_ms: u64,
) {
    for seed in 0..20 {
        let mut session = session();
        let from_ms = session.now_ms;
        session.call_delay = Box::new(move |now_ms, agent| {
            let is_lost = agent == 0 && now_ms < from_ms + 60;
            is_lost.then_some(delay_ms + seed * 7)
        });
        let job = session.submit(0, "job", 24, 1_000);
        session.run(20 + seed);
        session.restart_with_same_id(0, down_ms);
        session.run(8_000);
        assert!(session.violations.is_empty(), "{:?}", session.violations);
        assert!(session.outcome(job).is_some());
    }
}

/// A call that was meant for the former incarnation shows the next one a higher epoch than
/// that of its agent, which knows nothing of the call. The minion then fences the agent off,
/// until the agent raises its epoch.
#[test]
fn a_fenced_agent_raises_its_epoch() {
    let mut session = session();
    session.restart_with_same_id(0, 300);
    session.kill_agent(0, 250);
    session.run(320);
    let higher_epoch = session.minions[0].epoch() + 10_000_000_000;
    let now_ms = session.now_ms;
    session.minions[0].extend(now_ms, higher_epoch, 0, None);
    let instance = session.minions[0].instance.clone();
    let starts = session.starts_on(&instance);
    session.submit(0, "refused-there", 27, 100);
    session.run(1_000);
    session.submit(0, "after", 27, 100);
    session.run(100);
    assert!(
        session.starts_on(&instance) > starts,
        "the minion is served again"
    );
    assert_served(&mut session, 0);
}

/// Returns the highest epoch in the agent's calls while its listings get this answer.
fn highest_epoch(driver: &mut Driver, answer: &ListResult) -> u64 {
    let mut highest = 0;
    for _ in 0..20 {
        for action in driver.advance(50) {
            if let AgentAction::List {
                call,
                incarnation,
                epoch,
                ..
            } = action
            {
                highest = highest.max(epoch);
                driver.answer_call(&incarnation, call, answer.clone());
            }
        }
    }
    highest
}

/// Delayed calls to the former incarnation carry its epoch, so the next incarnation must
/// get a higher one.
#[test]
fn the_next_incarnation_gets_a_higher_epoch_although_the_wall_clock_was_set_back() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    let own = highest_epoch(&mut driver, &listing(Some(1_000), 5_000));
    driver.answer_with(&listing(Some(500), 100));
    assert_eq!(driver.agent.incarnation(), None);
    driver.report_incarnation(&incarnation_at(500));
    let next = highest_epoch(&mut driver, &listing(Some(500), 600));
    assert!(next > own, "{next} after {own}");
}

#[test]
fn repeated_fencing_raises_the_epoch_in_growing_steps() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    let mut highest = 0;
    let mut step = 0;
    for _ in 0..10 {
        driver.answer_with(&ListResult::Fenced);
        let next = highest_epoch(&mut driver, &listing(None, 700));
        assert!(next > highest + step, "{next} after {highest}");
        step = (next - highest).min(1 << 30) / 2;
        highest = next;
    }
}

#[test]
fn a_clock_that_ran_back_shows_another_incarnation() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.answer_with(&listing(Some(1_000), 5_000));
    assert!(driver.agent.incarnation().is_some());
    driver.answer_with(&listing(Some(1_000), 900));
    assert_eq!(driver.agent.incarnation(), None);
    driver.report_incarnation(&incarnation_at(1_000));
    assert_eq!(
        driver.agent.incarnation(),
        Some(&incarnation_at(1_000)),
        "the next incarnation is adopted"
    );
}

#[test]
fn a_delayed_report_of_an_ended_incarnation_is_not_adopted() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.answer_with(&listing(Some(2_000), 900));
    driver.report_incarnation(&incarnation_at(1_000));
    assert_eq!(driver.agent.incarnation(), None);
    driver.report_incarnation(&incarnation_at(2_000));
    assert_eq!(driver.agent.incarnation(), Some(&incarnation_at(2_000)));
}

/// The next incarnation numbers its ends from the beginning. The agent must not take them
/// for ends that the former incarnation reported.
#[test]
fn no_end_of_the_next_incarnation_is_lost() {
    let mut session = session();
    for round in 0..3 {
        for number in 0..4 {
            session.submit(0, &format!("job-{round}-{number}"), 9, 60);
        }
        session.run(1_000);
        session.restart_with_same_id(0, 100);
        session.run(100 + SERVED_AFTER_MS);
    }
    let last = session.submit(0, "last", 27, 60);
    session.run_until_answered(last, 1_000);
    assert_eq!(session.outcome(last), Some(JobOutcome::Completed));
    let answered_ms = session.callers[last].answered_ms;
    let took_ms = answered_ms.map(|ms| ms - session.callers[last].sent_ms);
    assert!(took_ms.is_some_and(|ms| ms < 200), "{took_ms:?}");
}

#[test]
fn a_reported_departure_of_a_minion_is_verified() {
    let mut driver = Driver::new();
    driver.agent.minion_left("minion-1");
    assert!(!driver.is_accepting_starts(), "the minion may be gone");
    driver.answer_listings(&driver::empty_listing());
    assert!(driver.is_accepting_starts(), "the minion answered");
}

#[test]
fn a_listing_of_another_incarnation_ends_the_served_one() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.answer_with(&listing(Some(2_000), 900));
    assert_eq!(driver.agent.incarnation(), None);
    assert_eq!(driver.agent.active_runs(), 0);
    let greeted_links = driver.agent.greeted_links();
    assert_eq!(greeted_links, 0, "entries are to be greeted again");
}

/// Another incarnation with the same id replaces the served one only if the answer carries
/// its own start time.
#[parameterized(
    own = { Some(2_000), true },
    of_the_served_incarnation = { Some(1_000), false },
)]
fn the_start_time_in_a_listing_identifies_the_incarnation_that_answered(
    started_unix_ms: Option<u64>,
    takes_over: bool,
) {
    let mut driver = Driver::new();
    let asked = driver.report_incarnation(&incarnation_at(2_000));
    let [
        AgentAction::List {
            call, incarnation, ..
        },
    ] = &asked[..]
    else {
        panic!("one listing call is expected: {asked:?}");
    };
    assert_eq!(*incarnation, incarnation_at(2_000));
    driver.answer_call(incarnation, *call, listing(started_unix_ms, 700));
    let served = driver.agent.incarnation();
    assert_eq!(
        served == Some(&incarnation_at(2_000)),
        takes_over,
        "{served:?}"
    );
}
