//! Tests on which agent and in which order tasks start, how homes share credits,
//! and how many messages this takes.

mod session;

use std::collections::BTreeSet;

use gannetvane_core::CreditPool;
use gannetvane_core::Estimates;
use gannetvane_core::Health;
use gannetvane_wire::Credit;
use gannetvane_wire::NodeId;
use gannetvane_wire::Outcome;
use gannetvane_wire::Preference;
use session::Session;
use session::job;
use session::request;
use yare::parameterized;

const ENTRY: NodeId = NodeId(1);

/// Submits single tasks that occupy about `percent` of 24 slots; returns the
/// number of credit requests and grants per task, which are sent in addition to
/// the start and finish of each task.
fn credit_messages_per_task(preference: Preference, percent: u64) -> f64 {
    let mut session = Session::with_preference(1, 6, preference);
    let mut calls = Vec::new();
    let interval_ms = 100 * 100 / (24 * percent);
    for index in 0..1_000u32 {
        let id = session.take_id(ENTRY);
        let run_ms = 50 + (index * 37) % 101;
        calls.push(session.submit(ENTRY, id, &request(run_ms, false)));
        session.run_for(interval_ms);
    }
    for caller in &calls {
        assert_eq!(session.await_answer(*caller).outcome, Outcome::Complete);
    }
    let credit_messages = session.sent("credit-request") + session.sent("credit-grant");
    credit_messages as f64 / calls.len() as f64
}

#[test]
fn preference_for_messages_sends_almost_no_credit_messages() {
    let messages_per_task = credit_messages_per_task(Preference::Messages, 80);
    assert!(
        messages_per_task <= 0.02,
        "{messages_per_task} credit messages per task"
    );
}

#[test]
fn preference_for_response_time_uses_a_home_in_each_zone() {
    let session = Session::new(1, 6);
    assert_eq!(session.homes(ENTRY).len(), 3);
    let session = Session::with_preference(1, 6, Preference::Messages);
    assert_eq!(session.homes(ENTRY).len(), 1);
}

#[test]
fn preference_for_messages_packs_a_job_on_few_agents() {
    let agents_used = |preference| {
        let mut session = Session::with_preference(1, 6, preference);
        let home = session.homes(ENTRY)[0];
        let id = session.take_id_with_home(ENTRY, home);
        session.submit(ENTRY, id, &job(&[500; 4]));
        session.run_for(50);
        session
            .agents()
            .iter()
            .filter(|node| session.agent(**node).busy_slots() > 0)
            .count()
    };
    assert_eq!(agents_used(Preference::Messages), 1);
    assert!(agents_used(Preference::ResponseTime) > 1);
}

#[test]
fn home_with_too_few_credits_borrows_from_other_homes() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let submission = job(&[500; 24]);
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &submission);
    let started_at_ms = session.now_ms;
    let answer = session.await_answer(caller);
    session.check_answer(id, &submission, &answer);
    let duration_ms = session.now_ms - started_at_ms;
    assert!(
        duration_ms < 700,
        "took {duration_ms} ms with all 24 slots idle"
    );
}

#[test]
fn longest_task_of_a_job_is_started_first() {
    let mut session = Session::new(1, 1);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &job(&[100, 100, 100, 100, 100, 100, 100, 700]));
    let started_at_ms = session.now_ms;
    session.await_answer(caller);
    let duration_ms = session.now_ms - started_at_ms;
    assert!(
        duration_ms < 760,
        "the longest task waited: {duration_ms} ms"
    );
}

#[test]
fn long_submission_does_not_starve() {
    let mut session = Session::new(1, 1);
    let blocker = session.take_id(ENTRY);
    session.submit_within(ENTRY, blocker, &job(&[300; 4]), 60_000);
    let long = job(&[30_000]);
    let id = session.take_id(ENTRY);
    session.submit_within(ENTRY, id, &long, 100_000);
    // More short tasks arrive than the slots can run, during the whole 12 s.
    for _ in 0..1_200 {
        let short = session.take_id(ENTRY);
        session.submit_within(ENTRY, short, &request(50, false), 100_000);
        session.run_for(10);
    }
    assert_eq!(
        session.starts_of(id),
        1,
        "the long submission did not start within 12 s"
    );
}

#[test]
fn credits_of_a_killed_home_are_granted_to_other_homes() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    session.kill(home);
    session.run_for(4_000);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &job(&[500; 20]));
    let started_at_ms = session.now_ms;
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    assert!(
        session.now_ms - started_at_ms < 700,
        "the 20 slots of 5 agents were not all available"
    );
}

#[test]
fn credits_are_usable_after_a_long_idle_time() {
    let mut session = Session::new(1, 6);
    for idle_ms in [
        5_000, 6_000, 7_000, 8_000, 9_000, 10_000, 11_000, 12_000, 60_000,
    ] {
        session.run_for(idle_ms);
        let id = session.take_id(ENTRY);
        let caller = session.submit(ENTRY, id, &job(&[20; 24]));
        let started_at_ms = session.now_ms;
        assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
        let duration_ms = session.now_ms - started_at_ms;
        assert!(
            duration_ms < 100,
            "the job took {duration_ms} ms after {idle_ms} ms without tasks"
        );
    }
}

#[test]
fn credits_are_usable_after_lost_grants() {
    let mut session = Session::new(1, 3);
    session.set_transmission(|envelope, _| match envelope.message {
        gannetvane_wire::Message::CreditGrant { .. } => session::Transmission::Drop,
        _ => session::Transmission::Deliver,
    });
    session.run_for(7_000);
    session.set_transmission(|_, _| session::Transmission::Deliver);
    session.run_for(11_000);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &job(&[200; 12]));
    let started_at_ms = session.now_ms;
    session.await_answer(caller);
    assert!(session.now_ms - started_at_ms < 300);
}

#[parameterized(
    declared_half = { 100, 200 },
    declared_tenfold = { 2_000, 200 },
    declared_right = { 200, 200 },
)]
fn estimates_converge_despite_wrong_declarations(declared_ms: u32, run_ms: u32) {
    let mut estimates = Estimates::default();
    let kind = "chain".into();
    for _ in 0..64 {
        estimates.observe(&kind, Some(declared_ms), run_ms);
    }
    let estimate_ms = estimates.estimate_ms(&kind, Some(declared_ms));
    assert!(estimate_ms.abs_diff(run_ms) <= run_ms / 50, "{estimate_ms}");
    let undeclared_ms = estimates.estimate_ms(&kind, None);
    assert!(
        undeclared_ms.abs_diff(run_ms) <= run_ms / 50,
        "{undeclared_ms}"
    );
}

#[test]
fn estimates_follow_a_change_of_run_time() {
    let mut estimates = Estimates::default();
    let kind = "label".into();
    for run_ms in [100, 900] {
        for _ in 0..1_100 {
            estimates.observe(&kind, Some(100), run_ms);
        }
        let estimate_ms = estimates.estimate_ms(&kind, Some(100));
        assert!(estimate_ms.abs_diff(run_ms) <= run_ms / 20, "{estimate_ms}");
    }
}

#[test]
fn pool_holds_one_credit_for_each_slot() {
    let mut pool = CreditPool::default();
    let credit = |sequence| Credit {
        agent: NodeId(7),
        slot: 0,
        sequence,
    };
    pool.add(credit(4), 0, 0);
    pool.add(credit(5), 0, 0);
    pool.add(credit(3), 0, 0);
    assert_eq!(pool.len(), 1);
    assert_eq!(pool.take(0, |_| Some(0)), Some(credit(5)));
    assert!(pool.is_empty());
}

#[test]
fn pool_returns_no_credit_with_an_expired_lease() {
    let mut pool = CreditPool::default();
    let credit = |slot| Credit {
        agent: NodeId(7),
        slot,
        sequence: 0,
    };
    pool.add(credit(0), 0, 0);
    pool.add(credit(1), 5_000, 5_000);
    assert!(pool.take_spare(9_999, 0).is_empty());
    assert_eq!(pool.take(10_000, |_| Some(0)), Some(credit(1)));
    assert_eq!(pool.take(10_000, |_| Some(0)), None);
}

#[test]
fn pool_spreads_tasks_over_agents() {
    let mut pool = CreditPool::default();
    for agent in 1..=3 {
        for slot in 0..2 {
            pool.add(
                Credit {
                    agent: NodeId(agent),
                    slot,
                    sequence: 0,
                },
                0,
                0,
            );
        }
    }
    let taken: BTreeSet<NodeId> = (0..3)
        .filter_map(|_| pool.take(0, |_| Some(0)))
        .map(|credit| credit.agent)
        .collect();
    assert_eq!(taken.len(), 3);
}

#[test]
fn at_most_a_third_of_the_minions_is_ejected() {
    let mut health = Health::default();
    let agents: Vec<NodeId> = (0..6).map(NodeId).collect();
    for _ in 0..20 {
        for agent in &agents {
            health.failed(0, *agent, agents.len());
        }
    }
    let ejected = agents
        .iter()
        .filter(|agent| !health.allows(0, **agent))
        .count();
    assert_eq!(ejected, 2);
}

#[test]
fn ejected_minion_gets_one_trial_at_a_time() {
    let mut health = Health::default();
    let agent = NodeId(1);
    let ejected = (0..5).any(|_| health.failed(0, agent, 9));
    assert!(ejected);
    assert!(!health.allows(500, agent));
    assert!(health.allows(1_000, agent));
    health.started(agent);
    assert!(!health.allows(1_000, agent));
    assert!(
        health.failed(1_000, agent, 9),
        "a failed trial ejects the minion again"
    );
    assert!(
        !health.allows(2_500, agent),
        "the second ejection lasts longer than the first"
    );
    assert!(health.allows(3_000, agent));
    health.started(agent);
    health.succeeded(agent);
    assert!(health.allows(3_000, agent));
}

#[test]
fn renewal_of_a_lent_credit_loses_no_task() {
    let mut session = Session::new(1, 6);
    let homes = session.homes(ENTRY);
    let mut calls = Vec::new();
    let mut submit = |session: &mut Session, home, run_ms: &[u32]| {
        let id = session.take_id_with_home(ENTRY, home);
        calls.push(session.submit(ENTRY, id, &job(run_ms)));
    };
    // A home needs one credit more than it has, and each of the other two homes
    // lends one. One of these stays unused, and its agent renews it by granting
    // a new credit for the slot to the home that lent it.
    session.run_for(2_000);
    submit(&mut session, homes[1], &[10; 9]);
    // The other homes then use the slots many times before the first home
    // submits again.
    session.run_for(1_500);
    for _ in 0..100 {
        for home in [homes[0], homes[2]] {
            submit(&mut session, home, &[10; 4]);
        }
        session.run_for(30);
    }
    submit(&mut session, homes[1], &[10; 24]);
    session.run_for(5_000);
    for caller in calls {
        let answer = session.answer(caller).expect("every caller is answered");
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
}
