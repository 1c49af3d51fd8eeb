//! Checks which observations of a run make the crash of its minion evidence against the
//! task, and how strong that evidence is.

mod driver;

use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::CrashEvidence;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::NotStartedReason;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::RunEnd;
use gannetvane_dispatch::StartResult;

use driver::Driver;
use driver::empty_listing;
use driver::incarnation_at;
use driver::key;
use driver::starts_in;

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
    assert_eq!(evidence(end(&mut driver)), Some(CrashEvidence::Strong));
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
    driver
        .agent
        .stop_answered(driver.now_ms(), &incarnation_at(1_000), &key("a"), true);
    driver.answer_with(&ListResult::Broken);
    assert_eq!(evidence(end(&mut driver)), None);
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
