//! What an agent must know of a run before the crash of its minion speaks against the
//! task.

mod driver;

use gannetvane_dispatch::End;
use gannetvane_dispatch::OrderId;
use gannetvane_dispatch::StartResult;

use driver::Driver;

/// How the only run ended with its minion, as the entry was told.
fn end(driver: &mut Driver) -> End {
    let ends = driver.ends_of_refused_minion();
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].0, OrderId(1));
    ends[0].1
}

fn is_crash(end: End) -> bool {
    matches!(end, End::Crashed | End::Unsettled { is_crash: true })
}

#[test]
fn a_start_on_its_way_to_a_crashed_minion_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    let end = end(&mut driver);
    assert!(!is_crash(end), "{end:?}");
}

#[test]
fn a_start_that_timed_out_before_its_minion_was_gone_is_no_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::NoAnswer);
    driver.answer(StartResult::NoAnswer);
    let end = end(&mut driver);
    assert!(!is_crash(end), "{end:?}");
}

#[test]
fn a_start_whose_connection_broke_with_its_minion_is_a_crash_of_its_task() {
    let mut driver = Driver::new();
    driver.start();
    driver.answer(StartResult::Broken);
    let end = end(&mut driver);
    assert!(is_crash(end), "{end:?}");
}
