//! Tests of hedged start calls: the answers to the calls for one start, one by one.

mod driver;

use gannetvane_dispatch::AgentAction;
use gannetvane_dispatch::NotStartedReason;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::RunEnd;
use gannetvane_dispatch::StartOrder;
use gannetvane_dispatch::StartResult;

use driver::Driver;
use driver::ends_in;
use driver::start_order;

#[test]
fn a_start_whose_spec_is_missing_in_its_frame_is_refused() {
    let mut driver = Driver::new();
    let actions = driver.order(Order::Start(StartOrder {
        spec: 1,
        ..start_order(1, "a")
    }));
    assert_eq!(driver.agent.active_runs(), 0);
    let refused = RunEnd::NotStarted(NotStartedReason::Closing);
    assert!(ends_in(&actions).contains(&(OrderId(1), refused)));
    let is_logged = |action: &AgentAction| matches!(action, AgentAction::Event(event) if event.event == "spec-missing");
    assert!(actions.iter().any(is_logged));
}

#[test]
fn a_start_is_hedged_after_an_unanswered_call() {
    let mut driver = Driver::new();
    assert_eq!(driver.start(), 2);
}

#[test]
fn a_run_being_stopped_keeps_its_resources_when_a_hedged_call_is_refused() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Started);
    driver.order(Order::Stop(OrderId(1)));
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
}

#[test]
fn a_run_is_refused_when_every_hedged_call_is_refused() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 0);
}

#[test]
fn a_run_is_not_refused_when_a_hedged_call_was_unanswered() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
}

#[test]
fn a_run_is_not_reported_as_never_started_when_one_hedged_call_was_fenced_and_one_unanswered() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::Fenced);
    assert_eq!(driver.agent.active_runs(), 1);
}
