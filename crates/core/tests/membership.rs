//! Tests how soon all processes see that an agent has started, stopped, left or
//! resumed, and that planned stops lose no tasks.

mod session;

use gannetvane_core::View;
use gannetvane_wire::MemberState;
use gannetvane_wire::NodeId;
use gannetvane_wire::Outcome;
use session::LogFault;
use session::Session;
use session::Transmission;
use session::address;
use session::job;
use session::request;
use yare::parameterized;

const ENTRY: NodeId = NodeId(1);

/// Returns whether the entry and all other agents see `node` in this state.
fn is_seen_by_all(session: &Session, node: NodeId, state: MemberState) -> bool {
    let others = session.agents().into_iter().filter(|other| *other != node);
    let mut observers = others.chain([ENTRY]);
    observers.all(|observer| session.state_of(observer, node) == Some(state))
}

/// Asserts that the entry and all other agents see `node` in this state within
/// `limit_ms` milliseconds.
fn assert_seen_by_all_within(
    session: &mut Session,
    limit_ms: u64,
    node: NodeId,
    state: MemberState,
) {
    let is_seen = session.run_until(limit_ms, |s| is_seen_by_all(s, node, state));
    assert!(
        is_seen,
        "not all processes see {node} as {state:?} after {limit_ms} ms"
    );
}

#[test]
fn new_agent_is_seen_by_all_within_seconds() {
    let mut session = Session::new(1, 9);
    let node = session.add_agent(150);
    assert_seen_by_all_within(&mut session, 5_000, node, MemberState::Alive);
}

#[test]
fn killed_agent_is_seen_as_dead_by_all_within_seconds() {
    let mut session = Session::new(1, 9);
    let node = NodeId(104);
    session.kill(node);
    assert_seen_by_all_within(&mut session, 4_000, node, MemberState::Dead);
}

#[test]
fn suspended_agent_is_seen_as_dead_and_after_its_resumption_as_alive() {
    let mut session = Session::new(1, 9);
    let node = NodeId(104);
    session.suspend(node);
    assert_seen_by_all_within(&mut session, 10_000, node, MemberState::Dead);
    session.resume(node);
    assert_seen_by_all_within(&mut session, 20_000, node, MemberState::Alive);
}

#[test]
fn agent_is_seen_as_alive_after_a_short_suspension() {
    let mut session = Session::new(1, 9);
    let node = NodeId(104);
    session.suspend(node);
    session.run_for(700);
    session.resume(node);
    session.run_for(5_000);
    assert!(is_seen_by_all(&session, node, MemberState::Alive));
}

#[test]
fn resumed_agent_does_not_declare_others_dead() {
    let mut session = Session::new(1, 9);
    let node = NodeId(104);
    session.suspend(node);
    session.run_for(20_000);
    session.resume(node);
    session.run_for(300);
    for other in session.agents() {
        assert_ne!(
            session.state_of(node, other),
            Some(MemberState::Dead),
            "{other}"
        );
    }
}

#[test]
fn suspicion_does_not_expire_while_its_observer_is_suspended() {
    let mut session = Session::new(1, 2);
    let (observer, other) = (NodeId(101), NodeId(102));
    session.suspend(other);
    let is_suspect = session.run_until(3_000, |s| {
        s.state_of(observer, other) == Some(MemberState::Suspect)
    });
    assert!(is_suspect);
    session.suspend(observer);
    session.resume(other);
    session.run_for(20_000);
    session.clear_transcript();
    session.resume(observer);
    session.run_for(900);
    let transcript = session.transcript();
    assert!(!transcript.contains("member-dead"), "{transcript}");
}

#[test]
fn agents_with_a_cut_between_them_are_seen_as_alive() {
    let mut session = Session::new(1, 9);
    session.cut_both(NodeId(103), NodeId(104));
    session.run_for(20_000);
    assert!(is_seen_by_all(&session, NodeId(103), MemberState::Alive));
    assert!(is_seen_by_all(&session, NodeId(104), MemberState::Alive));
}

#[parameterized(
    both_ways = { true },
    one_way = { false },
)]
fn members_see_each_other_again_after_a_cut_between_zones(both_ways: bool) {
    let mut session = Session::new(1, 9);
    let (inside, outside): (Vec<NodeId>, Vec<NodeId>) = session
        .agents()
        .into_iter()
        .partition(|node| node.0 % 3 == 0);
    for a in &inside {
        for b in &outside {
            session.cut(*a, *b);
            if both_ways {
                session.cut(*b, *a);
            }
        }
        session.cut(*a, ENTRY);
    }
    session.run_for(60_000);
    session.heal();
    let all = session.agents();
    let is_rejoined = session.run_until(60_000, |s| {
        all.iter()
            .all(|node| is_seen_by_all(s, *node, MemberState::Alive))
    });
    assert!(
        is_rejoined,
        "the two sides of the cut do not see each other again"
    );
    let id = session.take_id(ENTRY);
    let submission = job(&[100; 30]);
    let caller = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
}

#[test]
fn leaving_agent_gets_no_new_tasks_while_others_see_it_as_alive() {
    let mut session = Session::new(1, 6);
    let node = session
        .agents()
        .into_iter()
        .find(|n| !session.homes(ENTRY).contains(n))
        .unwrap();
    // The agent's messages to other agents are dropped, so they still see it as
    // alive.
    for other in session.agents() {
        session.cut(node, other);
    }
    session.leave(node);
    session.run_for(5);
    let before = session.agent(node).busy_slots();
    let id = session.take_id(ENTRY);
    session.submit(ENTRY, id, &job(&[300; 24]));
    session.run_for(200);
    assert!(
        session.agent(node).busy_slots() <= before,
        "tasks were started on a leaving agent"
    );
}

#[test]
fn leaving_agent_finishes_its_running_tasks() {
    let mut session = Session::new(1, 6);
    let submission = job(&[2_000; 24]);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &submission);
    session.run_for(200);
    let node = session
        .agents()
        .into_iter()
        .find(|n| !session.homes(ENTRY).contains(n))
        .unwrap();
    assert!(session.agent(node).busy_slots() > 0);
    session.leave(node);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    assert!(session.run_until(10_000, |s| !s.agents().contains(&node)));
}

#[test]
fn results_of_an_agent_are_accepted_after_it_is_seen_to_have_left() {
    let mut session = Session::new(1, 6);
    let submission = job(&[400; 24]);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &submission);
    session.run_for(100);
    let node = session
        .agents()
        .into_iter()
        .find(|n| !session.homes(ENTRY).contains(n))
        .unwrap();
    assert!(session.agent(node).busy_slots() > 0);
    session.set_transmission(move |envelope, _| match envelope.message {
        gannetvane_wire::Message::Finished(_) if envelope.from == node => Transmission::Delay(900),
        _ => Transmission::Deliver,
    });
    session.leave(node);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    session.check_answer(id, &submission, &answer);
}

#[test]
fn rolling_restart_fails_no_submission() {
    let mut session = Session::new(2, 6);
    let mut calls = Vec::new();
    let agents = session.agents();
    let mut remaining_agents = agents.into_iter();
    let mut leaving_agent: Option<NodeId> = None;
    for round in 0..1_500u32 {
        let id = session.take_id(NodeId(1 + u64::from(round % 2)));
        let submission = if round % 3 == 0 {
            job(&[120, 40, 300])
        } else {
            request(150, false)
        };
        let entry = NodeId(1 + u64::from((round + 1) % 2));
        calls.push((
            id,
            submission.clone(),
            session.submit(entry, id, &submission),
        ));
        session.run_for(40);
        let has_stopped = leaving_agent.is_none_or(|node| !session.agents().contains(&node));
        if round % 100 == 50 && has_stopped {
            if let Some(node) = leaving_agent {
                session.restart_agent(node);
                session.run_for(1_500);
            }
            leaving_agent = remaining_agents.next();
            if let Some(node) = leaving_agent {
                session.leave(node);
            }
        }
    }
    assert!(leaving_agent.is_none(), "not all agents were restarted");
    session.run_for(15_000);
    for (id, submission, caller) in calls {
        let answer = session.answer(caller).expect("every caller is answered");
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        session.check_answer(id, &submission, &answer);
    }
}

/// Entries are replaced one after the other: each new entry must find the agents
/// and become ready although all entries that were added before it in the loop
/// have been killed.
#[test]
fn each_new_entry_becomes_ready_and_serves_a_job() {
    let mut session = Session::new(1, 6);
    let submission = job(&[100; 3]);
    for number in 10..40 {
        let entry = session.add_entry(number);
        let is_ready = session.run_until(3_000, |s| s.entry(entry).is_ready());
        if !is_ready {
            eprintln!(
                "{number} {:?} {:?} {}",
                session.sent,
                session.entry(entry).view().len(),
                session.transcript()
            );
        }
        assert!(is_ready, "the new entry did not become ready");
        session.run_for(50);
        let id = session.take_id(entry);
        let caller = session.submit(entry, id, &submission);
        let answer = session.await_answer(caller);
        assert_eq!(answer.outcome, Outcome::Complete);
        session.kill(entry);
    }
}

#[test]
fn agent_that_starts_while_the_log_is_down_joins() {
    let mut session = Session::new(1, 6);
    session.log.fault = LogFault::Down;
    let node = session.add_agent(150);
    session.run_for(5_000);
    assert!(is_seen_by_all(&session, node, MemberState::Alive));
    assert_eq!(session.agent(node).configuration().current().version, 1);
    let id = session.take_id(ENTRY);
    session.submit(ENTRY, id, &job(&[500; 28]));
    session.run_for(200);
    assert!(session.agent(node).busy_slots() > 0);
}

#[test]
fn restarted_agent_replaces_its_earlier_incarnation() {
    let mut session = Session::new(1, 6);
    let old = NodeId(104);
    session.kill(old);
    let new = session.restart_agent(old);
    session.run_for(4_000);
    assert!(is_seen_by_all(&session, new, MemberState::Alive));
    assert!(is_seen_by_all(&session, old, MemberState::Dead));
}

#[test]
fn entries_agree_on_homes_that_lie_in_different_zones() {
    let session = Session::new(2, 9);
    let homes = session.homes(ENTRY);
    assert_eq!(homes, session.homes(NodeId(2)));
    let zones: std::collections::BTreeSet<u64> = homes.iter().map(|node| node.0 % 3).collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn older_update_does_not_replace_a_newer_one() {
    let session = Session::new(1, 3);
    let member = session
        .entry(ENTRY)
        .view()
        .get(session.now_ms, NodeId(101))
        .unwrap();
    let mut view = View::default();
    let dead = gannetvane_wire::Member {
        state: MemberState::Dead,
        ..member.clone()
    };
    let newer = gannetvane_wire::Member {
        version: member.version + 1,
        ..member.clone()
    };
    assert!(view.merge(0, &dead));
    assert!(!view.merge(0, &member));
    assert!(view.merge(0, &newer));
    assert!(!view.merge(0, &dead));
    assert_eq!(view.state(NodeId(101)), Some(MemberState::Alive));
    assert_eq!(view.at(address(101)), Some(NodeId(101)));
}
