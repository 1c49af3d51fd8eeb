//! Every task of a submission starts at most once, and every answer is whole
//! and true, whatever fails.

mod session;

use gannetvane_core::Command;
use gannetvane_core::GENERATION_MS;
use gannetvane_wire::Envelope;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TaskStatus;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use session::Fate;
use session::KEPT_GENERATIONS;
use session::Session;
use session::job;
use session::request;
use yare::parameterized;

const ENTRY: NodeId = NodeId(1);
const OTHER_ENTRY: NodeId = NodeId(2);

#[test]
fn resubmission_while_running_waits_for_the_same_run() {
    let mut session = Session::new(2, 3);
    let booking = request(300, false);
    let id = session.take_id(ENTRY);
    let first = session.submit(ENTRY, id, &booking);
    session.run_for(100);
    let second = session.submit(OTHER_ENTRY, id, &booking);
    let answer = session.await_answer(first);
    assert_eq!(session.await_answer(second), answer);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check(id, &booking, &answer);
}

#[test]
fn resubmission_after_the_answer_gets_the_same_answer() {
    let mut session = Session::new(2, 3);
    let work = job(&[50, 100, 80]);
    let id = session.take_id(ENTRY);
    let first = session.submit(ENTRY, id, &work);
    let answer = session.await_answer(first);
    let second = session.submit(OTHER_ENTRY, id, &work);
    assert_eq!(session.await_answer(second), answer);
    assert_eq!(session.starts_of(id), 3);
}

#[test]
fn id_with_other_content_is_refused_and_answers_do_not_cross() {
    let mut session = Session::new(1, 3);
    let id = session.take_id(ENTRY);
    let work = job(&[200]);
    let first = session.submit(ENTRY, id, &work);
    let second = session.submit(ENTRY, id, &job(&[200, 200]));
    assert_eq!(session.await_answer(second).reason, Reason::IdReused);
    let answer = session.await_answer(first);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check(id, &work, &answer);
}

#[test]
fn killed_home_is_unknown_at_once_and_new_ids_avoid_it() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let booking = request(2_000, false);
    let id = session.take_id_of(ENTRY, home);
    let caller = session.submit(ENTRY, id, &booking);
    session.run_for(100);
    session.kill(home);
    let killed_at_ms = session.now_ms;
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::Unknown, Reason::HomeLost)
    );
    let waited_ms = session.now_ms - killed_at_ms;
    assert!(waited_ms < 4_000, "told after {waited_ms} ms");
    assert!(!session.homes(ENTRY).contains(&home));
    let again = session.submit(ENTRY, id, &booking);
    assert_eq!(session.await_answer(again).ran, Ran::Unknown);
    session.check_starts(id, &booking);
}

#[test]
fn restarted_home_does_not_run_ids_of_its_earlier_run() {
    let mut session = Session::new(2, 6);
    let home = session.homes(ENTRY)[0];
    let booking = request(50, false);
    let id = session.take_id_of(ENTRY, home);
    let first = session.submit(ENTRY, id, &booking);
    session.await_answer(first);
    session.kill(home);
    session.restart_agent(home);
    session.run_for(100);
    let again = session.submit(OTHER_ENTRY, id, &booking);
    assert_eq!(session.await_answer(again).ran, Ran::Unknown);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn frozen_home_answers_from_its_table_after_it_resumes() {
    let mut session = Session::new(2, 6);
    let home = session.homes(ENTRY)[0];
    let booking = request(300, false);
    let id = session.take_id_of(ENTRY, home);
    let first = session.submit(ENTRY, id, &booking);
    session.run_for(50);
    session.freeze(home);
    session.run_for(30_000);
    assert_eq!(session.await_answer(first).ran, Ran::Unknown);
    session.resume(home);
    let is_back = session.run_until(15_000, |s| {
        s.state_of(ENTRY, home) == Some(MemberState::Alive)
    });
    assert!(is_back, "a resumed home is not seen again");
    let again = session.submit(OTHER_ENTRY, id, &booking);
    let answer = session.await_answer(again);
    session.check(id, &booking, &answer);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn home_that_leaves_hands_its_table_over() {
    let mut session = Session::new(2, 6);
    let home = session.homes(ENTRY)[0];
    let booking = request(100, false);
    let answered = session.take_id_of(ENTRY, home);
    let running = session.take_id_of(ENTRY, home);
    let unused = session.take_id_of(ENTRY, home);
    let first = session.submit(ENTRY, answered, &booking);
    let before = session.await_answer(first);
    let second = session.submit(ENTRY, running, &request(3_000, false));
    session.run_for(50);
    session.leave(home);
    assert_eq!(session.await_answer(second).outcome, Outcome::Complete);
    let has_left = session.run_until(20_000, |s| !s.agents().contains(&home));
    assert!(has_left, "the home did not stop");
    let again = session.submit(OTHER_ENTRY, answered, &booking);
    assert_eq!(session.await_answer(again), before);
    assert_eq!(session.starts_of(answered), 1);
    let late = session.submit(OTHER_ENTRY, unused, &booking);
    let answer = session.await_answer(late);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check(unused, &booking, &answer);
}

#[test]
fn table_moves_on_when_the_successor_leaves_too() {
    let mut session = Session::new(1, 6);
    let booking = request(100, false);
    let home = session.homes(ENTRY)[0];
    let id = session.take_id_of(ENTRY, home);
    let first = session.submit(ENTRY, id, &booking);
    let before = session.await_answer(first);
    let mut holder = home;
    for _ in 0..3 {
        session.leave(holder);
        session.run_until(20_000, |s| !s.agents().contains(&holder));
        holder = match session.state_of(ENTRY, holder) {
            Some(MemberState::Left {
                successor: Some(node),
            }) => node,
            other => panic!("{holder} did not hand over: {other:?}"),
        };
    }
    let again = session.submit(ENTRY, id, &booking);
    assert_eq!(session.await_answer(again), before);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn killed_agent_fails_the_job_and_says_what_ran() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let work = job(&[3_000, 3_000, 3_000, 3_000, 3_000, 3_000]);
    let id = session.take_id_of(ENTRY, home);
    let caller = session.submit(ENTRY, id, &work);
    session.run_for(500);
    let agents = session.agents();
    let victim = agents
        .iter()
        .find(|n| **n != home && session.agent(**n).busy_slots() > 0);
    session.kill(*victim.expect("a task runs away from home"));
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.outcome, answer.reason),
        (Outcome::Failed, Reason::AgentLost)
    );
    assert!(
        answer
            .tasks
            .iter()
            .any(|task| task.status == TaskStatus::Unknown)
    );
    session.check(id, &work, &answer);
}

#[test]
fn repeatable_request_moves_on_when_its_agent_is_killed() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let lookup = request(1_000, true);
    let mut calls = Vec::new();
    for _ in 0..8 {
        let id = session.take_id_of(ENTRY, home);
        calls.push(session.submit(ENTRY, id, &lookup));
    }
    session.run_for(100);
    let victim = session
        .agents()
        .into_iter()
        .find(|n| *n != home && session.agent(*n).busy_slots() > 0);
    session.kill(victim.expect("a task runs away from home"));
    for caller in calls {
        assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    }
    assert!(session.counted("Retried(AgentLost)") > 0);
}

#[test]
fn start_that_never_left_goes_to_another_agent() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let victim = session
        .agents()
        .into_iter()
        .find(|n| !session.homes(ENTRY).contains(n));
    let victim = victim.expect("more agents than homes");
    session.kill(victim);
    // Nobody has noticed yet; a job for all slots of the home's credits.
    let work = job(&[100; 12]);
    let id = session.take_id_of(ENTRY, home);
    let caller = session.submit(ENTRY, id, &work);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    session.check(id, &work, &answer);
}

#[test]
fn lost_agent_restarts_and_ignores_starts_for_its_earlier_run() {
    let mut session = Session::new(1, 4);
    let home = session.homes(ENTRY)[0];
    let work = job(&[2_000; 10]);
    let id = session.take_id_of(ENTRY, home);
    let caller = session.submit(ENTRY, id, &work);
    session.run_for(100);
    let victim = session
        .agents()
        .into_iter()
        .find(|n| *n != home && session.agent(*n).busy_slots() > 0);
    let victim = victim.expect("a task runs away from home");
    session.kill(victim);
    session.restart_agent(victim);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Failed);
    session.check(id, &work, &answer);
    session.run_for(20_000);
    session.check_starts(id, &work);
}

#[test]
fn expired_id_is_unknown_and_never_run() {
    let mut session = Session::new(1, 3);
    let booking = request(50, false);
    let id = session.take_id(ENTRY);
    let first = session.submit(ENTRY, id, &booking);
    session.await_answer(first);
    session.run_for(u64::from(KEPT_GENERATIONS) * GENERATION_MS + 1_000);
    let again = session.submit(ENTRY, id, &booking);
    let answer = session.await_answer(again);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::Unknown, Reason::IdExpired)
    );
    assert_eq!(session.starts_of(id), 1);
}

#[parameterized(
    far_future = { 1_000 },
    next_but_one = { 2 },
)]
fn id_of_a_future_generation_is_refused(ahead: u32) {
    let mut session = Session::new(1, 3);
    let drawn = session.take_id(ENTRY);
    let id = SubmissionId {
        generation: drawn.generation + ahead,
        ..drawn
    };
    let caller = session.submit(ENTRY, id, &request(50, false));
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::IdInvalid)
    );
}

#[test]
fn id_reckoned_one_generation_ahead_is_run_once() {
    let mut session = Session::new(1, 3);
    let booking = request(50, false);
    let drawn = session.take_id(ENTRY);
    let id = SubmissionId {
        generation: drawn.generation + 1,
        ..drawn
    };
    let first = session.submit(ENTRY, id, &booking);
    assert_eq!(session.await_answer(first).outcome, Outcome::Complete);
    session.run_for(GENERATION_MS);
    let again = session.submit(ENTRY, id, &booking);
    assert_eq!(session.await_answer(again).outcome, Outcome::Complete);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn question_for_an_id_does_not_keep_it_from_running() {
    let mut session = Session::new(1, 3);
    let id = session.take_id(ENTRY);
    let asked = session.command(ENTRY, Command::Lookup { id, wait_ms: 1_000 });
    let answer = session.await_answer(asked);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::Unknown, Reason::NeverSubmitted)
    );
    let caller = session.submit(ENTRY, id, &request(50, false));
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
}

#[test]
fn cancelled_id_that_arrives_late_never_runs() {
    let mut session = Session::new(2, 3);
    let booking = request(50, false);
    let id = session.take_id(ENTRY);
    let cancelled = session.command(OTHER_ENTRY, Command::Cancel { id });
    let answer = session.await_answer(cancelled);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::Cancelled)
    );
    let late = session.submit(ENTRY, id, &booking);
    assert_eq!(session.await_answer(late).ran, Ran::NotRun);
    assert_eq!(session.starts_of(id), 0);
}

#[test]
fn refusal_is_final_for_its_id() {
    let mut session = Session::new(1, 3);
    let mut refused = None;
    for _ in 0..5 {
        let id = session.take_id(ENTRY);
        let work = job(&[1_000; 100]);
        let caller = session.submit(ENTRY, id, &work);
        session.run_for(10);
        if session.answer(caller).is_some() {
            refused = Some((id, work, caller));
            break;
        }
    }
    let (id, work, caller) = refused.expect("a queue is full");
    let answer = session.await_answer(caller);
    assert_eq!(answer.ran, Ran::NotRun);
    session.run_for(60_000);
    let again = session.submit(ENTRY, id, &work);
    assert_eq!(session.await_answer(again).reason, answer.reason);
    assert_eq!(session.starts_of(id), 0);
}

#[test]
fn late_copy_of_a_start_starts_nothing() {
    let mut session = Session::new(1, 3);
    // A second copy of every start arrives long after the slot was used again.
    session.set_fate(|envelope: &Envelope, _| match envelope.message {
        Message::Start(_) => Fate::Twice,
        _ => Fate::Deliver,
    });
    let work = job(&[10; 40]);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &work);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.run_for(1_000);
    session.check(id, &work, &answer);
    assert!(session.counted("RepeatedStart") > 0);
}

#[parameterized(
    submit = { "submit" },
    answer = { "answer" },
    start = { "start" },
    finished = { "finished" },
)]
fn first_message_of_a_kind_is_lost(kind: &'static str) {
    let mut session = Session::new(1, 4);
    let mut lost = false;
    session.set_fate(move |envelope: &Envelope, _| {
        if envelope.message.name() == kind && !lost {
            lost = true;
            return Fate::Lose;
        }
        Fate::Deliver
    });
    let work = job(&[50; 16]);
    let id = session.take_id(ENTRY);
    let caller = session.submit_within(ENTRY, id, &work, 30_000);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check(id, &work, &answer);
}

/// What a random session does to one of its processes.
#[derive(Clone, Copy, Debug)]
enum Harm {
    Kill,
    Freeze,
    Leave,
    Cut,
    Restart,
}

const HARMS: [Harm; 5] = [
    Harm::Kill,
    Harm::Freeze,
    Harm::Leave,
    Harm::Cut,
    Harm::Restart,
];

fn harm(session: &mut Session, harm: Harm, victim: NodeId, other: NodeId) {
    match harm {
        Harm::Kill => session.kill(victim),
        Harm::Freeze => session.freeze(victim),
        Harm::Leave => session.leave(victim),
        Harm::Cut => session.cut(victim, other),
        Harm::Restart => {
            session.kill(victim);
            session.restart_agent(victim);
        }
    }
}

/// Messages are lost, doubled and delayed by the digits of a seed.
fn unruly(seed: u64) -> impl FnMut(&Envelope, u64) -> Fate {
    move |_, number| match (seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15)) >> 57 {
        0..=3 => Fate::Lose,
        4..=9 => Fate::Twice,
        10..=19 => Fate::Late(3 + number % 700),
        _ => Fate::Deliver,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Several failures together, with resubmissions through both entries.
    #[test]
    fn promises_hold_under_several_failures(
        seed in any::<u64>(),
        first in 0usize..5,
        second in 0usize..5,
        victims in (0usize..6, 0usize..6),
    ) {
        let mut session = Session::new(2, 6);
        let agents = session.agents();
        session.set_fate(unruly(seed));
        let submissions = [
            request(200, false),
            request(50, true),
            job(&[50, 400, 100]),
            job(&[30; 30]),
            job(&[900; 5]),
        ];
        let mut calls = Vec::new();
        for round in 0..3 {
            for submission in &submissions {
                let id = session.take_id(ENTRY);
                calls.push((id, submission.clone(), session.submit(ENTRY, id, submission)));
                session.run_for(7);
            }
            if round == 0 {
                harm(&mut session, HARMS[first], agents[victims.0], agents[victims.1]);
            } else if round == 1 {
                harm(&mut session, HARMS[second], agents[victims.1], agents[victims.0]);
            }
            session.run_for(300);
        }
        let again: Vec<_> = calls
            .iter()
            .map(|(id, submission, _)| {
                (*id, submission.clone(), session.submit(OTHER_ENTRY, *id, submission))
            })
            .collect();
        session.run_for(5_000);
        session.heal();
        for victim in [agents[victims.0], agents[victims.1]] {
            session.resume_if_frozen(victim);
        }
        session.run_for(60_000);
        for (id, submission, caller) in calls.into_iter().chain(again) {
            let answer = session.answer(caller).expect("every caller gets an answer");
            session.check(id, &submission, &answer);
        }
    }
}
