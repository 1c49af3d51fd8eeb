//! Checks which observations of a run make the crash of its minion evidence against the
//! task, and how strong that evidence is.

mod driver;

use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::CrashEvidence;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::Listing;
use gannetvane_dispatch::MINION_LEASE_MS;
use gannetvane_dispatch::NotStartedReason;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::RunEnd;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::StopResult;
use yare::parameterized;

use driver::Driver;
use driver::empty_listing;
use driver::incarnation_at;
use driver::key;
use driver::starts_in;

/// Reading of the served incarnation's clock in its last listing.
const LAST_READING_MS: u64 = 600;
/// A later reading of the served incarnation's clock.
const SERVED_CLOCK_MS: u64 = 2_000;

/// Returns the first listing of the next incarnation with the same id.
fn listing_of_next_incarnation() -> ListResult {
    ListResult::Listed(Listing {
        started_unix_ms: Some(2_000),
        clock_ms: LAST_READING_MS,
        ..Listing::default()
    })
}

/// Returns the crash evidence that the only end carries against the task.
fn only_evidence(ends: &[(OrderId, RunEnd)]) -> Option<CrashEvidence> {
    assert_eq!(ends.len(), 1, "{ends:?}");
    evidence(ends[0].1)
}

/// Returns the end that the agent reports for the only run when its minion is gone.
fn end(driver: &mut Driver) -> RunEnd {
    let ends = driver.ends_of_refused_minion();
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].0, OrderId(1));
    ends[0].1
}

/// Returns the crash evidence that the end carries against the task.
fn evidence(end: RunEnd) -> Option<CrashEvidence> {
    match end {
        RunEnd::Crashed(evidence) => Some(evidence),
        RunEnd::Unsettled { crash } => crash,
        _ => None,
    }
}

#[test]
fn a_start_on_its_way_to_a_crashed_minion_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    assert_eq!(evidence(end(&mut driver)), None);
}

#[test]
fn a_start_that_timed_out_before_its_minion_was_gone_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::NoAnswer);
    assert_eq!(evidence(end(&mut driver)), None);
}

#[test]
fn a_start_whose_connection_broke_with_its_minion_is_a_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Broken);
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::StartBroken));
}

#[test]
fn a_run_whose_minion_broke_off_a_waiting_listing_is_a_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.list_running(&["a"], 0, 0);
    driver.answer_with(&ListResult::Broken);
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::Strong));
}

#[test]
fn a_run_that_may_have_ended_unreported_is_weak_evidence() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.answer_with(&ListResult::NoAnswer);
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::Weak));
}

#[test]
fn a_broken_connection_to_a_minion_that_ran_on_is_no_strong_evidence_later() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.answer_with(&ListResult::Broken);
    driver.list_running(&["a"], 0, 0);
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::Weak));
}

#[test]
fn a_start_accepted_after_a_broken_connection_is_weak_evidence() {
    let mut driver = Driver::new();
    driver.start_of(1, "a");
    driver.answer_with(&ListResult::Broken);
    driver.answer(StartResult::Started);
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::Weak));
}

#[test]
fn a_run_that_was_stopped_before_the_crash_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.order(Order::Stop(OrderId(1)));
    driver.acknowledge_stop(SERVED_CLOCK_MS);
    driver.answer_with(&ListResult::Broken);
    assert_eq!(evidence(end(&mut driver)), None);
}

/// The connection of the first start broke, so that the minion may have crashed then.
#[parameterized(
    acknowledged = { SERVED_CLOCK_MS },
    acknowledged_without_clock = { 0 },
)]
fn a_stop_that_the_served_incarnation_acknowledged_is_no_crash_of_its_task(clock_ms: u64) {
    let mut driver = Driver::new();
    driver.break_start_until_stopped();
    driver.acknowledge_stop(clock_ms);
    let ends = driver.ends_after(&listing_of_next_incarnation());
    assert_eq!(only_evidence(&ends), None);
}

/// The answer to a stop names no incarnation, but the clock of the next one began anew.
#[parameterized(
    just_started = { 1 },
    later_than_the_last_reading = { LAST_READING_MS + 40 },
)]
fn a_stop_that_the_next_incarnation_acknowledged_does_not_hide_the_crash(clock_ms: u64) {
    let mut driver = Driver::new();
    driver.break_start_until_stopped();
    driver.acknowledge_stop(clock_ms);
    let ends = driver.ends_after(&listing_of_next_incarnation());
    assert_eq!(only_evidence(&ends), Some(CrashEvidence::StartBroken));
}

#[test]
fn a_stop_acknowledged_by_the_next_incarnation_of_an_active_run_is_weak_evidence() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.order(Order::Stop(OrderId(1)));
    driver.acknowledge_stop(1);
    let ends = driver.ends_after(&listing_of_next_incarnation());
    assert_eq!(only_evidence(&ends), Some(CrashEvidence::Weak));
}

#[test]
fn a_stop_acknowledged_after_the_next_incarnation_was_listed_changes_nothing() {
    let mut driver = Driver::new();
    driver.break_start_until_stopped();
    let ends = driver.ends_after(&listing_of_next_incarnation());
    assert_eq!(only_evidence(&ends), Some(CrashEvidence::StartBroken));
    driver.report_incarnation(&incarnation_at(2_000));
    driver.acknowledge_stop(1);
    assert_eq!(driver.agent.active_runs(), 0);
}

/// The connection broke for another reason than a crash.
#[test]
fn a_stopped_run_that_the_same_incarnation_lists_no_more_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.break_start_until_stopped();
    driver.acknowledge_stop(SERVED_CLOCK_MS);
    let ends = driver.ends_after(&ListResult::Listed(Listing {
        started_unix_ms: Some(1_000),
        clock_ms: SERVED_CLOCK_MS,
        ..Listing::default()
    }));
    assert_eq!(only_evidence(&ends), None);
    assert_eq!(driver.agent.active_runs(), 0);
    assert_eq!(driver.agent.incarnation(), Some(&incarnation_at(1_000)));
}

/// While the host was suspended, the minion's clock stood still and the agent's went on.
#[test]
fn a_stop_is_acknowledged_again_once_the_clock_was_read_after_a_suspension() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.advance(300);
    driver.order(Order::Stop(OrderId(1)));
    driver.acknowledge_stop(LAST_READING_MS + 1);
    driver.list_running(&["a"], 0, 0);
    driver.advance(60);
    driver.acknowledge_stop(driver.now_ms());
    let ends = driver.ends_after(&listing_of_next_incarnation());
    assert_eq!(only_evidence(&ends), None);
}

/// A minion that gets a new id after a crash refuses the calls to the former one.
#[test]
fn a_stop_that_a_minion_with_another_id_refused_does_not_hide_the_crash() {
    let mut driver = Driver::new();
    driver.break_start_until_stopped();
    let (now_ms, incarnation) = (driver.now_ms(), incarnation_at(1_000));
    let refused = StopResult::Unacknowledged;
    driver
        .agent
        .stop_answered(now_ms, &incarnation, &key("a"), refused);
    let ends = driver.ends_after(&ListResult::OtherInstance);
    assert_eq!(only_evidence(&ends), Some(CrashEvidence::StartBroken));
}

#[test]
fn stops_before_twenty_crashes_are_no_crash_of_the_task() {
    for _ in 0..20 {
        let mut driver = Driver::new();
        driver.start_tasks(&["a"]);
        driver.list_running(&["a"], 0, 0);
        driver.order(Order::Stop(OrderId(1)));
        driver.acknowledge_stop(driver.now_ms());
        driver.answer_with(&ListResult::Broken);
        let ends = driver.ends_after(&listing_of_next_incarnation());
        assert_eq!(only_evidence(&ends), None);
    }
}

/// The agent was suspended for longer than the lease, and reads a listing of before when it
/// resumes. The minion crashed after that listing, and the run may have lapsed before.
#[test]
fn a_run_whose_lease_lapsed_before_the_crash_was_noticed_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.suspend_before_listing(&["a"], MINION_LEASE_MS + 100);
    driver.ends_of_refused_minion();
    assert_eq!(driver.crashes_in_next_greeting(2_000), Vec::new());
}

/// The same, but the agent has noticed the crash within the lease.
#[test]
fn a_run_that_nobody_reported_as_ended_within_its_lease_is_weak_evidence() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.suspend_before_listing(&["a"], MINION_LEASE_MS - 100);
    driver.ends_of_refused_minion();
    let crashes = driver.crashes_in_next_greeting(2_000);
    let evidence: Vec<CrashEvidence> = crashes.iter().map(|crash| crash.evidence).collect();
    assert_eq!(evidence, [CrashEvidence::Weak]);
}

/// Returns the evidence of the crashes that the agent reports when it has served the next
/// incarnation of the minion.
fn evidence_told_later(driver: &mut Driver) -> Vec<CrashEvidence> {
    let crashes = driver.crashes_in_next_greeting(2_000);
    crashes.iter().map(|crash| crash.evidence).collect()
}

/// The connection of the start broke, and the minion answers nothing until it is given up as
/// silent, because its host refuses no connections. That it has crashed is known when its
/// next incarnation answers.
#[test]
fn a_start_whose_connection_broke_before_a_silence_is_a_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Broken);
    let ends = driver.ends_of_silent_minion();
    assert_eq!(only_evidence(&ends), None);
    assert_eq!(
        evidence_told_later(&mut driver),
        [CrashEvidence::StartBroken]
    );
}

#[test]
fn a_run_whose_minion_is_only_silent_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.list_running(&["a"], 0, 0);
    let ends = driver.ends_of_silent_minion();
    assert_eq!(only_evidence(&ends), None);
}

#[test]
fn a_leaving_minion_that_becomes_silent_has_not_crashed() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.list_running(&["a"], 0, 0);
    driver.agent.minion_left(incarnation_at(1_000).id());
    driver.answer_with(&ListResult::Broken);
    let ends = driver.ends_of_silent_minion();
    assert_eq!(only_evidence(&ends), None);
}

#[test]
fn a_start_whose_connection_broke_late_is_weak_evidence() {
    let mut driver = Driver::new();
    driver.start();
    driver.advance(30);
    driver.answer(StartResult::Broken);
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::Weak));
}

#[test]
fn a_suspect_task_starts_when_the_minion_has_answered() {
    let mut driver = Driver::new();
    let asked = driver.order_start(1, "a", true);
    assert_eq!(starts_in(&asked), 0);
    for action in asked {
        if let AgentAction::List {
            call, incarnation, ..
        } = action
        {
            driver.answer_call(&incarnation, call, empty_listing());
        }
    }
    assert!(starts_in(&driver.advance(1)) > 0);
}

#[test]
fn a_suspect_task_is_not_started_at_a_minion_that_does_not_answer() {
    let mut driver = Driver::new();
    driver.order_start(1, "a", true);
    let ended = RunEnd::NotStarted(NotStartedReason::NoAnswer);
    assert_eq!(driver.ends_of_refused_minion(), [(OrderId(1), ended)]);
}

#[test]
fn a_minion_that_announced_its_departure_has_not_crashed() {
    let mut driver = Driver::new();
    driver.start_tasks(&["a"]);
    driver.list_running(&["a"], 0, 0);
    driver.agent.minion_left(incarnation_at(1_000).id());
    driver.answer_with(&ListResult::Broken);
    assert_eq!(evidence(end(&mut driver)), None);
}

/// Time after which an isolated suspect has passed its probation, in milliseconds.
const PROBATION_MS: u64 = 110;

/// Returns the evidence that a crash gives against each suspect, by its order.
fn evidence_of_crash(driver: &mut Driver) -> Vec<(OrderId, Option<CrashEvidence>)> {
    driver.answer_with(&ListResult::Broken);
    let ends = driver.ends_of_refused_minion();
    ends.into_iter()
        .map(|(order, end)| (order, evidence(end)))
        .collect()
}

#[test]
fn suspects_that_passed_their_probation_share_the_evidence_of_a_crash() {
    let mut driver = Driver::new();
    driver.start_suspect(1, "a", &[]);
    driver.advance(PROBATION_MS);
    driver.start_suspect(2, "b", &["a"]);
    driver.advance(PROBATION_MS);
    driver.list_running(&["a", "b"], 0, 0);
    let weak = Some(CrashEvidence::Weak);
    let expected = [(OrderId(1), weak), (OrderId(2), weak)];
    assert_eq!(evidence_of_crash(&mut driver), expected);
}

#[test]
fn a_suspect_on_probation_clears_one_that_has_passed_its_own() {
    let mut driver = Driver::new();
    driver.start_suspect(1, "a", &[]);
    driver.advance(PROBATION_MS);
    driver.start_suspect(2, "b", &["a"]);
    let expected = [
        (OrderId(1), Some(CrashEvidence::Cleared)),
        (OrderId(2), Some(CrashEvidence::Strong)),
    ];
    assert_eq!(evidence_of_crash(&mut driver), expected);
}

#[test]
fn a_suspect_is_refused_beside_one_on_probation() {
    let mut driver = Driver::new();
    driver.start_suspect(1, "a", &[]);
    let refused = driver.order_start(2, "b", true);
    let full = RunEnd::NotStarted(NotStartedReason::Full);
    assert_eq!(driver::ends_in(&refused), [(OrderId(2), full)]);
}
