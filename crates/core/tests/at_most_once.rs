//! Tests that each task of a submission that is not repeatable starts at most
//! once, and that each answer is complete and reports correctly what ran, under
//! crashes, suspensions, planned stops and lost, duplicate or delayed messages.

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
use session::KEPT_GENERATIONS;
use session::Session;
use session::Transmission;
use session::job;
use session::request;
use yare::parameterized;

const ENTRY: NodeId = NodeId(1);
const OTHER_ENTRY: NodeId = NodeId(2);

#[test]
fn resubmission_while_running_waits_for_the_same_run() {
    let mut session = Session::new(2, 3);
    let submission = request(300, false);
    let id = session.take_id(ENTRY);
    let first = session.submit(ENTRY, id, &submission);
    session.run_for(100);
    let second = session.submit(OTHER_ENTRY, id, &submission);
    let answer = session.await_answer(first);
    assert_eq!(session.await_answer(second), answer);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check_answer(id, &submission, &answer);
}

#[test]
fn resubmission_after_the_answer_gets_the_same_answer() {
    let mut session = Session::new(2, 3);
    let submission = job(&[50, 100, 80]);
    let id = session.take_id(ENTRY);
    let first = session.submit(ENTRY, id, &submission);
    let answer = session.await_answer(first);
    let second = session.submit(OTHER_ENTRY, id, &submission);
    assert_eq!(session.await_answer(second), answer);
    assert_eq!(session.starts_of(id), 3);
}

#[test]
fn reused_id_with_other_content_is_refused_and_the_first_submission_completes() {
    let mut session = Session::new(1, 3);
    let id = session.take_id(ENTRY);
    let submission = job(&[200]);
    let first = session.submit(ENTRY, id, &submission);
    let second = session.submit(ENTRY, id, &job(&[200, 200]));
    assert_eq!(session.await_answer(second).reason, Reason::IdReused);
    let answer = session.await_answer(first);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check_answer(id, &submission, &answer);
}

#[test]
fn submission_is_answered_unknown_soon_after_its_home_is_killed_and_new_ids_avoid_it() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let submission = request(2_000, false);
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &submission);
    session.run_for(100);
    session.kill(home);
    let killed_at_ms = session.now_ms;
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::Unknown, Reason::HomeLost)
    );
    let waited_ms = session.now_ms - killed_at_ms;
    assert!(waited_ms < 4_000, "the answer arrived after {waited_ms} ms");
    assert!(!session.homes(ENTRY).contains(&home));
    let resubmission = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(resubmission).ran, Ran::Unknown);
    session.check_starts(id, &submission);
}

#[test]
fn restarted_home_does_not_run_ids_of_its_earlier_incarnation() {
    let mut session = Session::new(2, 6);
    let home = session.homes(ENTRY)[0];
    let submission = request(50, false);
    let id = session.take_id_with_home(ENTRY, home);
    let first = session.submit(ENTRY, id, &submission);
    session.await_answer(first);
    session.kill(home);
    session.restart_agent(home);
    session.run_for(100);
    let resubmission = session.submit(OTHER_ENTRY, id, &submission);
    assert_eq!(session.await_answer(resubmission).ran, Ran::Unknown);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn suspended_home_answers_from_its_table_after_it_resumes() {
    let mut session = Session::new(2, 6);
    let home = session.homes(ENTRY)[0];
    let submission = request(300, false);
    let id = session.take_id_with_home(ENTRY, home);
    let first = session.submit(ENTRY, id, &submission);
    session.run_for(50);
    session.suspend(home);
    session.run_for(30_000);
    assert_eq!(session.await_answer(first).ran, Ran::Unknown);
    session.resume(home);
    let is_seen_as_alive = session.run_until(15_000, |s| {
        s.state_of(ENTRY, home) == Some(MemberState::Alive)
    });
    assert!(is_seen_as_alive, "the resumed home is not seen as alive");
    let resubmission = session.submit(OTHER_ENTRY, id, &submission);
    let answer = session.await_answer(resubmission);
    session.check_answer(id, &submission, &answer);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn leaving_home_hands_its_table_over() {
    let mut session = Session::new(2, 6);
    let home = session.homes(ENTRY)[0];
    let submission = request(100, false);
    let answered = session.take_id_with_home(ENTRY, home);
    let running = session.take_id_with_home(ENTRY, home);
    let unused = session.take_id_with_home(ENTRY, home);
    let first = session.submit(ENTRY, answered, &submission);
    let first_answer = session.await_answer(first);
    let second = session.submit(ENTRY, running, &request(3_000, false));
    session.run_for(50);
    session.leave(home);
    assert_eq!(session.await_answer(second).outcome, Outcome::Complete);
    let has_left = session.run_until(20_000, |s| !s.agents().contains(&home));
    assert!(has_left, "the home did not stop");
    let resubmission = session.submit(OTHER_ENTRY, answered, &submission);
    assert_eq!(session.await_answer(resubmission), first_answer);
    assert_eq!(session.starts_of(answered), 1);
    let caller = session.submit(OTHER_ENTRY, unused, &submission);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check_answer(unused, &submission, &answer);
}

#[test]
fn table_is_handed_over_again_when_the_successor_leaves() {
    let mut session = Session::new(1, 6);
    let submission = request(100, false);
    let home = session.homes(ENTRY)[0];
    let id = session.take_id_with_home(ENTRY, home);
    let first = session.submit(ENTRY, id, &submission);
    let first_answer = session.await_answer(first);
    let mut table_owner = home;
    for _ in 0..3 {
        session.leave(table_owner);
        session.run_until(20_000, |s| !s.agents().contains(&table_owner));
        table_owner = match session.state_of(ENTRY, table_owner) {
            Some(MemberState::Left {
                successor: Some(node),
            }) => node,
            other => panic!("{table_owner} did not hand its table over: {other:?}"),
        };
    }
    let resubmission = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(resubmission), first_answer);
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn job_fails_when_an_agent_is_killed_and_its_answer_reports_unknown_tasks() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let submission = job(&[3_000, 3_000, 3_000, 3_000, 3_000, 3_000]);
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &submission);
    session.run_for(500);
    let agents = session.agents();
    let victim = agents
        .iter()
        .find(|n| **n != home && session.agent(**n).busy_slots() > 0);
    session.kill(*victim.expect("a task runs on an agent other than the home"));
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
    session.check_answer(id, &submission, &answer);
}

#[test]
fn repeatable_request_is_retried_when_its_agent_is_killed() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let submission = request(1_000, true);
    let mut calls = Vec::new();
    for _ in 0..8 {
        let id = session.take_id_with_home(ENTRY, home);
        calls.push(session.submit(ENTRY, id, &submission));
    }
    session.run_for(100);
    let victim = session
        .agents()
        .into_iter()
        .find(|n| *n != home && session.agent(*n).busy_slots() > 0);
    session.kill(victim.expect("a task runs on an agent other than the home"));
    for caller in calls {
        assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    }
    assert!(session.counter("Retried(AgentLost)") > 0);
}

#[test]
fn undelivered_start_goes_to_another_agent() {
    let mut session = Session::new(1, 6);
    let home = session.homes(ENTRY)[0];
    let victim = session
        .agents()
        .into_iter()
        .find(|n| !session.homes(ENTRY).contains(n));
    let victim = victim.expect("more agents than homes");
    session.kill(victim);
    // The other processes still see the agent as alive. The job has enough tasks
    // to use all credits of its home, also those for slots of that agent.
    let submission = job(&[100; 12]);
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &submission);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    session.check_answer(id, &submission, &answer);
}

#[test]
fn restarted_agent_ignores_starts_for_its_earlier_incarnation() {
    let mut session = Session::new(1, 4);
    let home = session.homes(ENTRY)[0];
    let submission = job(&[2_000; 10]);
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &submission);
    session.run_for(100);
    let victim = session
        .agents()
        .into_iter()
        .find(|n| *n != home && session.agent(*n).busy_slots() > 0);
    let victim = victim.expect("a task runs on an agent other than the home");
    session.kill(victim);
    session.restart_agent(victim);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Failed);
    session.check_answer(id, &submission, &answer);
    session.run_for(20_000);
    session.check_starts(id, &submission);
}

#[test]
fn expired_id_is_answered_unknown_and_not_run_again() {
    let mut session = Session::new(1, 3);
    let submission = request(50, false);
    let id = session.take_id(ENTRY);
    let first = session.submit(ENTRY, id, &submission);
    session.await_answer(first);
    session.run_for(u64::from(KEPT_GENERATIONS) * GENERATION_MS + 1_000);
    let resubmission = session.submit(ENTRY, id, &submission);
    let answer = session.await_answer(resubmission);
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
    let current_id = session.take_id(ENTRY);
    let id = SubmissionId {
        generation: current_id.generation + ahead,
        ..current_id
    };
    let caller = session.submit(ENTRY, id, &request(50, false));
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::IdInvalid)
    );
}

#[test]
fn id_of_the_next_generation_is_run_once() {
    let mut session = Session::new(1, 3);
    let submission = request(50, false);
    let current_id = session.take_id(ENTRY);
    let id = SubmissionId {
        generation: current_id.generation + 1,
        ..current_id
    };
    let first = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(first).outcome, Outcome::Complete);
    session.run_for(GENERATION_MS);
    let resubmission = session.submit(ENTRY, id, &submission);
    assert_eq!(
        session.await_answer(resubmission).outcome,
        Outcome::Complete
    );
    assert_eq!(session.starts_of(id), 1);
}

#[test]
fn lookup_of_an_id_does_not_prevent_its_submission() {
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
fn submission_after_its_cancellation_does_not_run() {
    let mut session = Session::new(2, 3);
    let submission = request(50, false);
    let id = session.take_id(ENTRY);
    let cancelled = session.command(OTHER_ENTRY, Command::Cancel { id });
    let answer = session.await_answer(cancelled);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::Cancelled)
    );
    let caller = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(caller).ran, Ran::NotRun);
    assert_eq!(session.starts_of(id), 0);
}

#[test]
fn refusal_is_final_for_its_id() {
    let mut session = Session::new(1, 3);
    let mut refused = None;
    for _ in 0..5 {
        let id = session.take_id(ENTRY);
        let submission = job(&[1_000; 100]);
        let caller = session.submit(ENTRY, id, &submission);
        session.run_for(10);
        if session.answer(caller).is_some() {
            refused = Some((id, submission, caller));
            break;
        }
    }
    let (id, submission, caller) =
        refused.expect("one submission is refused because a queue is full");
    let answer = session.await_answer(caller);
    assert_eq!(answer.ran, Ran::NotRun);
    session.run_for(60_000);
    let resubmission = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(resubmission).reason, answer.reason);
    assert_eq!(session.starts_of(id), 0);
}

#[test]
fn delayed_duplicate_of_a_start_starts_nothing() {
    let mut session = Session::new(1, 3);
    // The duplicate of each start arrives after 40 ms. Tasks run for 10 ms, so
    // most slots have been used again long before.
    session.set_transmission(|envelope: &Envelope, _| match envelope.message {
        Message::Start(_) => Transmission::Duplicate,
        _ => Transmission::Deliver,
    });
    let submission = job(&[10; 40]);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &submission);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.run_for(1_000);
    session.check_answer(id, &submission, &answer);
    assert!(session.counter("RepeatedStart") > 0);
}

#[parameterized(
    submit = { "submit" },
    answer = { "answer" },
    start = { "start" },
    finished = { "finished" },
)]
fn job_completes_when_the_first_message_of_a_kind_is_lost(kind: &'static str) {
    let mut session = Session::new(1, 4);
    let mut was_dropped = false;
    session.set_transmission(move |envelope: &Envelope, _| {
        if envelope.message.name() == kind && !was_dropped {
            was_dropped = true;
            return Transmission::Drop;
        }
        Transmission::Deliver
    });
    let submission = job(&[50; 16]);
    let id = session.take_id(ENTRY);
    let caller = session.submit_within(ENTRY, id, &submission, 30_000);
    let answer = session.await_answer(caller);
    assert_eq!(answer.outcome, Outcome::Complete);
    session.check_answer(id, &submission, &answer);
}

/// A fault that a random session injects into one process.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Suspend,
    Leave,
    Cut,
    Restart,
}

const FAULTS: [Fault; 5] = [
    Fault::Kill,
    Fault::Suspend,
    Fault::Leave,
    Fault::Cut,
    Fault::Restart,
];

/// Injects a fault into `victim`. A cut drops its messages to `other`.
fn inject_fault(session: &mut Session, fault: Fault, victim: NodeId, other: NodeId) {
    match fault {
        Fault::Kill => session.kill(victim),
        Fault::Suspend => session.suspend(victim),
        Fault::Leave => session.leave(victim),
        Fault::Cut => session.cut(victim, other),
        Fault::Restart => {
            session.kill(victim);
            session.restart_agent(victim);
        }
    }
}

/// Returns a rule that drops, duplicates or delays some messages, chosen by a
/// hash of the seed and the number of events queued so far.
fn random_transmission(seed: u64) -> impl FnMut(&Envelope, u64) -> Transmission {
    move |_, number| match (seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15)) >> 57 {
        0..=3 => Transmission::Drop,
        4..=9 => Transmission::Duplicate,
        10..=19 => Transmission::Delay(3 + number % 700),
        _ => Transmission::Deliver,
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

    /// Injects two faults while messages are dropped, duplicated and delayed,
    /// and submits each id through both entries.
    #[test]
    fn guarantees_hold_under_several_faults(
        seed in any::<u64>(),
        first in 0usize..5,
        second in 0usize..5,
        victims in (0usize..6, 0usize..6),
    ) {
        let mut session = Session::new(2, 6);
        let agents = session.agents();
        session.set_transmission(random_transmission(seed));
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
                inject_fault(&mut session, FAULTS[first], agents[victims.0], agents[victims.1]);
            } else if round == 1 {
                inject_fault(&mut session, FAULTS[second], agents[victims.1], agents[victims.0]);
            }
            session.run_for(300);
        }
        let resubmissions: Vec<_> = calls
            .iter()
            .map(|(id, submission, _)| {
                (*id, submission.clone(), session.submit(OTHER_ENTRY, *id, submission))
            })
            .collect();
        session.run_for(5_000);
        session.heal();
        for victim in [agents[victims.0], agents[victims.1]] {
            session.resume_if_suspended(victim);
        }
        session.run_for(60_000);
        for (id, submission, caller) in calls.into_iter().chain(resubmissions) {
            let answer = session.answer(caller).expect("every caller gets an answer");
            session.check_answer(id, &submission, &answer);
        }
    }
}
