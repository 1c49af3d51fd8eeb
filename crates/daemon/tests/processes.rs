//! Checks the guarantees with real processes that are killed, suspended and
//! stopped.

#![allow(clippy::unwrap_used, clippy::needless_pass_by_value, reason = "tests")]

mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use fleet::End;
use fleet::Fleet;
use fleet::booking;
use fleet::call;
use fleet::job;
use fleet::reason;
use fleet::submit;
use fleet::wait_until;
use gannetvane_standins::LogFault;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use oxhttp::model::Method;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

/// Submits `body` under each id on its own thread; each thread returns the id and
/// its end.
fn submit_all(
    entries: Vec<SocketAddr>,
    ids: Vec<String>,
    body: Value,
) -> Vec<JoinHandle<(String, End)>> {
    let submit_one = |(index, id): (usize, String)| {
        let entry = entries[index % entries.len()];
        let body = body.clone();
        thread::spawn(move || {
            let end = submit(entry, &id, &body);
            (id, end)
        })
    };
    ids.into_iter().enumerate().map(submit_one).collect()
}

fn join_ends(calls: Vec<JoinHandle<(String, End)>>) -> Vec<(String, End)> {
    calls
        .into_iter()
        .map(|call| call.join().expect("the caller does not panic"))
        .collect()
}

fn running(fleet: &Fleet) -> usize {
    fleet
        .minions
        .iter()
        .map(gannetvane_standins::MinionStandIn::running)
        .sum()
}

#[test]
fn jobs_and_requests_complete_through_separate_processes() {
    let fleet = Fleet::start(2, 3);
    let ids = fleet.take_ids(0, 4);
    let first = submit(fleet.entry_http(0), &ids[0], &job(&[30, 60, 10]));
    assert!(
        matches!(&first, End::Complete(answer) if answer.results.len() == 3),
        "{first:?}"
    );
    fleet.check_end(&ids[0], &first);
    for entry in [0, 1, 0] {
        let end = submit(fleet.entry_http(entry), &ids[1], &booking(20));
        assert!(matches!(end, End::Complete(_)), "{end:?}");
        fleet.check_end(&ids[1], &end);
    }
    assert_eq!(fleet.starts_of(&ids[1]).len(), 1);
    let other_content = submit(fleet.entry_http(1), &ids[1], &booking(21));
    assert_eq!(reason(&other_content), Some(Reason::IdReused));

    let calls = submit_all(
        vec![fleet.entry_http(0)],
        vec![ids[2].clone()],
        booking(30_000),
    );
    wait_until("the booking runs", || running(&fleet) == 1);
    let path = format!("/v1/requests/{}", ids[2]);
    let cancelled = fleet.call(1, Method::DELETE, &path, &Value::Null).unwrap();
    assert_eq!(cancelled.status, 409, "{}", cancelled.body);
    wait_until("the slot is free", || running(&fleet) == 0);
    for (id, end) in join_ends(calls) {
        assert_eq!(reason(&end), Some(Reason::Cancelled));
        fleet.check_end(&id, &end);
    }
}

#[test]
fn killed_agents_cause_no_second_start_and_no_false_answer() {
    let mut fleet = Fleet::start(2, 6);
    let entries = vec![fleet.entry_http(0), fleet.entry_http(1)];
    let ids = fleet.take_ids(0, 60);
    let calls = submit_all(entries.clone(), ids.clone(), job(&[400, 700]));
    wait_until("tasks run", || running(&fleet) >= 20);
    for victim in [0, 1] {
        fleet.agents[victim].take().expect("runs").kill();
    }
    // The callers do not wait for the missing answers: they repeat all submissions
    // through the other entry.
    let again = submit_all(entries.into_iter().rev().collect(), ids, job(&[400, 700]));
    for (id, end) in join_ends(calls).into_iter().chain(join_ends(again)) {
        assert!(!matches!(end, End::NoAnswer(_)), "{end:?}");
        fleet.check_end(&id, &end);
    }
    fleet.wait_until_known(4);
    let id = &fleet.take_ids(1, 1)[0];
    let end = submit(fleet.entry_http(0), id, &booking(20));
    assert!(matches!(end, End::Complete(_)), "{end:?}");
}

#[test]
fn suspended_agents_that_resume_cause_no_second_start() {
    let fleet = Fleet::start(2, 6);
    let entries = vec![fleet.entry_http(0), fleet.entry_http(1)];
    let ids = fleet.take_ids(0, 40);
    let calls = submit_all(entries.clone(), ids.clone(), job(&[300, 500]));
    wait_until("tasks run", || running(&fleet) >= 20);
    let victims = || fleet.agents.iter().flatten().take(2);
    victims().for_each(|agent| agent.signal(Signal::STOP));
    fleet.wait_until_known(4);
    let again = submit_all(entries, ids, job(&[300, 500]));
    victims().for_each(|agent| agent.signal(Signal::CONT));
    for (id, end) in join_ends(calls).into_iter().chain(join_ends(again)) {
        assert!(!matches!(end, End::NoAnswer(_)), "{end:?}");
        fleet.check_end(&id, &end);
    }
    fleet.wait_until_known(6);
    for id in fleet.take_ids(1, 20) {
        let end = submit(fleet.entry_http(0), &id, &booking(10));
        assert!(matches!(end, End::Complete(_)), "{end:?}");
        fleet.check_end(&id, &end);
    }
}

#[test]
fn rolling_restart_of_all_processes_fails_no_request() {
    let mut fleet = Fleet::start(2, 4);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses = Arc::new(std::sync::Mutex::new(vec![
        fleet.entry_http(0),
        fleet.entry_http(1),
    ]));
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let (stop, addresses) = (Arc::clone(&stop), Arc::clone(&addresses));
            thread::spawn(move || call_until_stopped(caller, &stop, &addresses))
        })
        .collect();
    for index in 0..fleet.agents.len() {
        let status = fleet.agents[index].take().expect("runs").stop();
        assert!(status.success(), "{status}");
        fleet.agents[index] = Some(fleet.new_agent(index));
        fleet.wait_until_known(4);
    }
    for index in 0..fleet.entries.len() {
        // The balancer removes the entry when it is no longer ready.
        let leaving = fleet.entry_http(index);
        addresses
            .lock()
            .unwrap()
            .retain(|address| *address != leaving);
        let status = fleet.entries[index].take().expect("runs").stop();
        assert!(status.success(), "{status}");
        fleet.entries[index] = Some(fleet.new_entry(index));
        fleet.wait_until_known(4);
        fleet.wait_until_version(1);
        addresses.lock().unwrap().push(fleet.entry_http(index));
    }
    stop.store(true, Ordering::SeqCst);
    let mut served = 0;
    for caller in callers {
        for (id, end) in caller.join().expect("the caller does not panic") {
            assert!(matches!(end, End::Complete(_)), "{id}: {end:?}");
            fleet.check_end(&id, &end);
            served += 1;
        }
    }
    assert!(served > 0);
}

fn call_until_stopped(
    caller: usize,
    stop: &AtomicBool,
    addresses: &std::sync::Mutex<Vec<SocketAddr>>,
) -> Vec<(String, End)> {
    let mut calls = Vec::new();
    let mut round = caller;
    while !stop.load(Ordering::SeqCst) {
        round += 1;
        let entry = {
            let addresses = addresses.lock().unwrap();
            addresses[round % addresses.len()]
        };
        let taken = call(
            entry,
            Method::POST,
            "/v1/ids?service=bretti-desk",
            &Value::Null,
        );
        let taken: Value = serde_json::from_str(&taken.expect("an entry answers").body).unwrap();
        let id = taken["ids"][0].as_str().expect("an id").to_owned();
        let body = if round.is_multiple_of(2) {
            booking(60)
        } else {
            job(&[40, 150])
        };
        let end = submit(entry, &id, &body);
        calls.push((id, end));
    }
    calls
}

#[test]
fn stopping_entry_is_not_ready_but_serves_requests() {
    let mut fleet = Fleet::start(1, 3);
    let entry = fleet.entry_http(0);
    let ids = fleet.take_ids(0, 2);
    let calls = submit_all(vec![entry], vec![ids[0].clone()], booking(1_500));
    wait_until("the booking runs", || running(&fleet) == 1);
    let process = fleet.entries[0].take().expect("runs");
    process.signal(Signal::TERM);
    wait_until("the entry is not ready", || {
        call(entry, Method::GET, "/readyz", &Value::Null).is_ok_and(|r| r.status == 503)
    });
    let end_after_stop = submit(entry, &ids[1], &booking(10));
    assert!(
        matches!(end_after_stop, End::Complete(_)),
        "{end_after_stop:?}"
    );
    for (id, end) in join_ends(calls) {
        assert!(matches!(end, End::Complete(_)), "{end:?}");
        fleet.check_end(&id, &end);
    }
    assert!(process.stop().success());
}

#[test]
fn log_outage_stops_changes_but_not_submissions() {
    let mut fleet = Fleet::start(1, 3);
    let operations = json!([{"operation": "put-team", "name": "night", "team":
        {"weight": 1, "max_queued_tasks": 10, "max_running_tasks": 10}}]);
    let plan = fleet.plan(&operations);
    fleet.log.set_fault(LogFault::Down);
    let confirmed = fleet.confirm(&plan);
    assert_eq!(confirmed.status, 503, "{}", confirmed.body);
    assert!(
        confirmed.body.contains("\"ran\":\"unknown\""),
        "{}",
        confirmed.body
    );
    for id in fleet.take_ids(0, 5) {
        let end = submit(fleet.entry_http(0), &id, &job(&[10, 20]));
        assert!(matches!(end, End::Complete(_)), "{end:?}");
    }
    // While the log is down, an entry that starts now can learn only from other
    // processes, and it has no contact among them.
    let addr = fleet.agents[0].as_ref().expect("runs").addr;
    let entry = fleet.new_entry(1);
    fleet.entries.push(Some(entry));
    let is_ready = |fleet: &Fleet| {
        let response = fleet.call(1, Method::GET, "/readyz", &Value::Null);
        response.is_ok_and(|r| r.status == 200)
    };
    assert!(
        !is_ready(&fleet),
        "without the log and {addr} it has no contact"
    );
    fleet.log.set_fault(LogFault::LoseAnswers);
    let confirmed = fleet.confirm(&plan);
    assert!(
        confirmed.status == 503 || confirmed.status == 200,
        "{}",
        confirmed.body
    );
    fleet.log.set_fault(LogFault::None);
    let confirmed = fleet.confirm(&plan);
    assert_eq!(confirmed.status, 200, "{}", confirmed.body);
    let changes = fleet.log.records("configuration");
    let own = changes
        .iter()
        .filter(|record| record.contains(&*plan.change.change_id));
    assert_eq!(
        own.filter(|record| record.contains("\"record\":\"change\""))
            .count(),
        1
    );
    wait_until("the new entry is ready", || is_ready(&fleet));
    fleet.wait_until_version(2);
}

#[test]
fn one_of_two_concurrent_changes_is_refused() {
    let fleet = Fleet::start(2, 3);
    let quota = |weight| {
        json!([{"operation": "put-team", "name": "desk", "team":
            {"weight": weight, "max_queued_tasks": 10, "max_running_tasks": 10}}])
    };
    let plans = [fleet.plan(&quota(2)), fleet.plan(&quota(3))];
    let confirmations: Vec<_> = plans
        .iter()
        .enumerate()
        .map(|(index, plan)| {
            let entry = fleet.entry_http(index);
            let path = format!("/v1/changes/{}", plan.change.change_id);
            let body = serde_json::to_value(plan).unwrap();
            thread::spawn(move || call(entry, Method::PUT, &path, &body).unwrap().status)
        })
        .collect();
    let mut statuses: Vec<u16> = confirmations
        .into_iter()
        .map(|c| c.join().unwrap())
        .collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    fleet.wait_until_version(2);
}

#[test]
fn failed_booking_is_not_retried() {
    let fleet = Fleet::start(1, 3);
    let body = json!({
        "service": "bretti-desk", "team": "desk", "kind": "booking", "payload": "run_ms=10 fail",
    });
    let id = &fleet.take_ids(0, 1)[0];
    let end = submit(fleet.entry_http(0), id, &body);
    let End::Problem(problem) = &end else {
        panic!("{end:?}")
    };
    assert_eq!(
        (problem.ran, problem.reason),
        (Ran::Ran, Reason::TaskFailed)
    );
    fleet.check_end(id, &end);
    assert_eq!(fleet.starts_of(id).len(), 1, "a booking was retried");
}
