//! Answers to the copies of a start, one by one.

mod driver;

use gannetvane_dispatch::Order;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::StartResult;

use driver::Driver;

#[test]
fn a_start_goes_out_twice_after_a_lost_call() {
    let mut driver = Driver::new();
    assert_eq!(driver.start(), 2);
}

#[test]
fn a_run_that_is_being_stopped_keeps_its_room_though_a_copy_was_refused() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Started);
    driver.order(Order::Stop(OrderId(1)));
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
}

#[test]
fn a_run_is_refused_when_every_copy_was() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 0);
}

#[test]
fn a_run_one_of_whose_copies_got_no_answer_is_not_refused() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::Unhealthy);
    assert_eq!(driver.agent.active_runs(), 1);
}

#[test]
fn a_run_one_of_whose_copies_got_no_answer_is_not_told_as_never_started_for_an_epoch() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::Fenced);
    assert_eq!(driver.agent.active_runs(), 1);
}
