//! Tests that queues are bounded, that a submission that cannot be served is
//! refused early with the correct reason, and that retries are limited.

mod session;

use gannetvane_core::Command;
use gannetvane_wire::Change;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use gannetvane_wire::Operation;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::Submission;
use gannetvane_wire::TaskStatus;
use gannetvane_wire::TeamConfig;
use session::SERVICE;
use session::Session;
use session::TEAM;
use session::job;
use session::request;
use session::task;
use yare::parameterized;

const ENTRY: NodeId = NodeId(1);

fn request_to_service(name: &str) -> Submission {
    Submission {
        service: name.into(),
        ..request(50, false)
    }
}

fn request_of_team(name: &str) -> Submission {
    Submission {
        team: name.into(),
        ..request(50, false)
    }
}

/// Confirms a change and waits 3 s, in which it takes effect at all processes.
fn confirm_and_wait(session: &mut Session, operations: Vec<Operation>) {
    let change = Change {
        change_id: "second".into(),
        base_version: 1,
        operations,
    };
    session.command(ENTRY, Command::Confirm { change });
    session.run_for(3_000);
}

fn request_with_needs(needs: Needs) -> Submission {
    let mut submission = request(50, false);
    submission.tasks[0].needs = needs;
    submission
}

#[parameterized(
    unknown_service = { request_to_service("no-such"), Reason::UnknownService, false },
    unknown_team = { request_of_team("no-such"), Reason::UnknownTeam, false },
    too_many_tasks = { job(&[10; 261]), Reason::TooManyTasks, false },
    too_much_memory = {
        request_with_needs(Needs { memory_mb: 1_000_000, accelerators: 0 }), Reason::FitsNoWorker, false
    },
    no_such_accelerator = {
        request_with_needs(Needs { memory_mb: 0, accelerators: 1 }), Reason::FitsNoWorker, false
    },
    longer_than_its_deadline = { request(20_000, false), Reason::DeadlineUnreachable, true },
)]
fn submission_that_cannot_run_is_refused_at_once(
    submission: Submission,
    reason: Reason,
    is_retryable: bool,
) {
    let mut session = Session::new(1, 3);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &submission);
    session.run_for(10);
    let answer = session.answer(caller).expect("the refusal is immediate");
    assert_eq!((answer.ran, answer.reason), (Ran::NotRun, reason));
    assert_eq!(answer.retry_after_ms.is_some(), is_retryable);
    session.run_for(5_000);
    assert_eq!(session.starts_of(id), 0);
}

#[test]
fn full_queue_refuses_submissions_with_a_retry_after_time() {
    let mut session = Session::new(1, 3);
    let mut submitted = Vec::new();
    for _ in 0..1_500 {
        let id = session.take_id(ENTRY);
        let caller = session.submit_within(ENTRY, id, &request(500, false), 100_000);
        submitted.push((id, caller));
        session.run_for(1);
    }
    session.run_for(10);
    let refusals: Vec<_> = submitted
        .iter()
        .filter_map(|(id, caller)| Some((*id, session.answer(*caller)?)))
        .filter(|(_, answer)| answer.ran == Ran::NotRun)
        .collect();
    assert!(!refusals.is_empty());
    for (id, answer) in refusals {
        assert!(
            matches!(answer.reason, Reason::QueueFull | Reason::TeamQuota),
            "{answer:?}"
        );
        assert!(answer.retry_after_ms.is_some());
        assert_eq!(session.starts_of(id), 0);
    }
}

#[test]
fn submission_that_would_miss_its_deadline_is_refused_early() {
    let mut session = Session::new(1, 3);
    let home = session.homes(ENTRY)[0];
    for _ in 0..4 {
        let id = session.take_id_with_home(ENTRY, home);
        session.submit_within(ENTRY, id, &job(&[1_000; 60]), 100_000);
        session.run_for(20);
    }
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit_within(ENTRY, id, &request(100, false), 1_500);
    session.run_for(10);
    let answer = session.answer(caller).expect("refused before the deadline");
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::DeadlineUnreachable)
    );
    assert!(
        answer
            .retry_after_ms
            .expect("the refusal has a retry-after time, because the queue shrinks")
            > 1_000
    );
}

#[test]
fn submission_with_a_started_task_is_answered_unknown_at_its_deadline() {
    let mut session = Session::new(1, 3);
    let mut slow = request(4_000, false);
    slow.tasks[0].declared_ms = Some(100);
    let id = session.take_id(ENTRY);
    let caller = session.submit_within(ENTRY, id, &slow, 1_000);
    session.run_for(1_020);
    let answer = session
        .answer(caller)
        .expect("the answer arrives at the deadline");
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::Unknown, Reason::DeadlinePassed)
    );
    assert_eq!(answer.tasks[0].status, TaskStatus::Started);
    assert!(answer.retry_after_ms.is_some());
}

#[test]
fn submission_that_waits_past_its_deadline_does_not_run() {
    let mut session = Session::new(1, 3);
    // The declared run times are far too short, so that the home underestimates
    // the wait of later submissions.
    for _ in 0..3 {
        let mut submission = job(&[5_000; 12]);
        submission
            .tasks
            .iter_mut()
            .for_each(|task| task.declared_ms = Some(10));
        let id = session.take_id(ENTRY);
        session.submit_within(ENTRY, id, &submission, 60_000);
        session.run_for(20);
    }
    let id = session.take_id(ENTRY);
    let caller = session.submit_within(ENTRY, id, &request(100, false), 1_000);
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::DeadlinePassed)
    );
    session.run_for(30_000);
    assert_eq!(session.starts_of(id), 0);
}

#[test]
fn task_that_cannot_end_in_time_gives_its_slot_to_the_next() {
    let mut session = Session::new(1, 1);
    let mut submission = job(&[950; 4]);
    submission
        .tasks
        .iter_mut()
        .for_each(|task| task.declared_ms = Some(10));
    let id = session.take_id(ENTRY);
    session.submit(ENTRY, id, &submission);
    session.run_for(10);
    let short_deadline_id = session.take_id(ENTRY);
    let caller = session.submit_within(ENTRY, short_deadline_id, &request(200, false), 1_000);
    let long_deadline_id = session.take_id(ENTRY);
    let other = session.submit_within(ENTRY, long_deadline_id, &request(200, false), 10_000);
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::DeadlineUnreachable)
    );
    assert_eq!(session.await_answer(other).outcome, Outcome::Complete);
    assert_eq!(session.starts_of(short_deadline_id), 0);
}

#[test]
fn team_at_its_quota_leaves_slots_to_others() {
    let mut session = Session::new(1, 3);
    let quota = TeamConfig {
        weight: 1,
        max_queued_tasks: 300,
        max_running_tasks: 3,
    };
    let operations = vec![
        Operation::PutTeam {
            name: "greedy".into(),
            team: quota.clone(),
        },
        Operation::PutTeam {
            name: "modest".into(),
            team: TeamConfig {
                max_running_tasks: 100,
                ..quota
            },
        },
    ];
    confirm_and_wait(&mut session, operations);
    let greedy = Submission {
        team: "greedy".into(),
        ..job(&[1_000; 60])
    };
    for home in session.homes(ENTRY) {
        let id = session.take_id_with_home(ENTRY, home);
        session.submit_within(ENTRY, id, &greedy, 100_000);
    }
    session.run_for(300);
    let busy: usize = session
        .agents()
        .iter()
        .map(|n| session.agent(*n).busy_slots())
        .sum();
    assert_eq!(busy, 3, "the quota is shared by the homes");
    let modest = Submission {
        team: "modest".into(),
        ..job(&[100; 4])
    };
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &modest);
    let started_at_ms = session.now_ms;
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    assert!(
        session.now_ms - started_at_ms < 300,
        "the job of the other team waited"
    );
}

#[test]
fn slots_are_shared_by_weight() {
    let mut session = Session::new(1, 1);
    let quota = TeamConfig {
        weight: 3,
        max_queued_tasks: 300,
        max_running_tasks: 100,
    };
    let operations = vec![
        Operation::PutTeam {
            name: "z-heavy".into(),
            team: quota.clone(),
        },
        Operation::PutTeam {
            name: "a-light".into(),
            team: TeamConfig { weight: 1, ..quota },
        },
    ];
    confirm_and_wait(&mut session, operations);
    let mut ids = Vec::new();
    for team in ["a-light", "z-heavy"] {
        for _ in 0..60 {
            let id = session.take_id(ENTRY);
            let submission = Submission {
                team: team.into(),
                ..request(100, false)
            };
            session.submit_within(ENTRY, id, &submission, 100_000);
            ids.push((team, id));
        }
    }
    session.run_for(1_000);
    let started = |team| {
        ids.iter()
            .filter(|(t, id)| *t == team && session.starts_of(*id) > 0)
            .count()
    };
    let (heavy, light) = (started("z-heavy"), started("a-light"));
    let ratio = heavy as f64 / light as f64;
    assert!((2.0..4.0).contains(&ratio), "heavy {heavy}, light {light}");
}

/// Guards also against a preference for the failing minion before its ejection:
/// its runs end at once, so its slots look idle.
#[test]
fn failing_minion_is_ejected_and_used_again_after_it_recovers() {
    let mut session = Session::new(1, 4);
    let victim = NodeId(102);
    session.minion_mut(victim).fails_all = true;
    let count_failed_requests = |session: &mut Session| {
        let mut calls = Vec::new();
        for _ in 0..200 {
            let id = session.take_id(ENTRY);
            calls.push(session.submit(ENTRY, id, &request(40, false)));
            session.run_for(20);
        }
        session.run_for(2_000);
        let failed = |caller: &&gannetvane_core::CallerId| {
            session
                .answer(**caller)
                .is_some_and(|answer| answer.outcome == Outcome::Failed)
        };
        calls.iter().filter(failed).count()
    };
    let failed_before_recovery = count_failed_requests(&mut session);
    assert!(session.counter("MinionEjected") > 0);
    assert!(
        failed_before_recovery < 40,
        "{failed_before_recovery} of 200 requests failed: the failing minion counted as idle"
    );
    session.minion_mut(victim).fails_all = false;
    session.run_for(31_000);
    assert_eq!(count_failed_requests(&mut session), 0);
    let started_tasks = session.starts.len();
    let submission = job(&[300; 16]);
    let id = session.take_id(ENTRY);
    session.submit(ENTRY, id, &submission);
    session.run_for(100);
    assert!(session.starts.len() > started_tasks);
    assert!(
        session.agent(victim).busy_slots() > 0,
        "no task runs on the recovered minion"
    );
}

/// Guards against a preference for a failing minion: its runs end at once, so
/// its slots look idle more often than those of other minions.
#[test]
fn minion_that_fails_fast_gets_few_tasks() {
    // At most a third of the minions may be ejected, so neither of two is.
    let mut session = Session::new(1, 2);
    session.minion_mut(NodeId(101)).fails_all = true;
    let mut calls = Vec::new();
    for _ in 0..300 {
        let id = session.take_id(ENTRY);
        calls.push(session.submit(ENTRY, id, &request(40, false)));
        session.run_for(20);
    }
    session.run_for(2_000);
    let failed = calls
        .iter()
        .filter(|caller| session.answer(**caller).unwrap().outcome == Outcome::Failed)
        .count();
    assert!(
        failed < 60,
        "{failed} of 300 requests ran on the failing minion"
    );
}

#[test]
fn not_all_minions_are_ejected() {
    let mut session = Session::new(1, 6);
    for node in session.agents() {
        session.minion_mut(node).fails_all = true;
    }
    for _ in 0..300 {
        let id = session.take_id(ENTRY);
        session.submit(ENTRY, id, &request(40, false));
        session.run_for(20);
    }
    for node in session.agents() {
        session.minion_mut(node).fails_all = false;
    }
    session.run_for(2_500);
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &request(40, false));
    let started_at_ms = session.now_ms;
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    assert!(session.now_ms - started_at_ms < 300);
}

#[test]
fn tasks_of_an_unreachable_minion_are_retried_at_others() {
    let mut session = Session::new(1, 4);
    session.minion_mut(NodeId(103)).is_unreachable = true;
    for _ in 0..50 {
        let id = session.take_id(ENTRY);
        let caller = session.submit(ENTRY, id, &job(&[30; 6]));
        assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    }
    assert!(session.counter("Retried(MinionUnreachable)") > 0);
}

#[test]
fn retries_stay_within_the_budget() {
    let mut session = Session::new(1, 4);
    for node in session.agents() {
        session.minion_mut(node).fails_all = true;
    }
    for _ in 0..200 {
        let id = session.take_id(ENTRY);
        session.submit(ENTRY, id, &request(20, true));
        session.run_for(50);
    }
    session.run_for(5_000);
    let retries = session.counter("Retried(TaskFailed)");
    // Each of the 3 homes starts with a budget of 20 retries.
    assert!(retries <= 60, "{retries} retries without a success");
    assert!(session.counter("Failed(RetryBudget)") > 0);
}

#[test]
fn failed_task_of_a_job_is_not_run_again() {
    let mut session = Session::new(1, 3);
    let mut submission = job(&[50, 50, 50]);
    submission.tasks[1].payload = "run_ms=50 fail".into();
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &submission);
    let answer = session.await_answer(caller);
    assert_eq!(
        (answer.outcome, answer.reason),
        (Outcome::Failed, Reason::TaskFailed)
    );
    assert_eq!(answer.tasks[1].status, TaskStatus::Failed);
    assert!(
        answer
            .tasks
            .iter()
            .all(|task| !task.output.starts_with("done")),
        "the answer of a failed job contains outputs"
    );
    session.run_for(1_000);
    session.check_answer(id, &submission, &answer);
}

#[test]
fn cancellation_sends_at_most_one_revoke_per_agent_and_frees_the_slots() {
    let mut session = Session::new(1, 3);
    let home = session.homes(ENTRY)[0];
    let mut ids = Vec::new();
    for _ in 0..10 {
        let id = session.take_id_with_home(ENTRY, home);
        session.submit_within(ENTRY, id, &job(&[2_000; 20]), 100_000);
        session.run_for(10);
        ids.push(id);
    }
    session.run_for(200);
    session.sent.clear();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| session.command(ENTRY, Command::Cancel { id: *id }))
        .collect();
    session.run_for(50);
    for caller in calls {
        assert_eq!(
            session
                .answer(caller)
                .expect("the cancellation is answered at once")
                .reason,
            Reason::Cancelled
        );
    }
    // A cancellation sends one revoke to each agent that runs tasks of the
    // submission, which is at most 3 agents. Submissions whose tasks all wait
    // need none.
    assert!(
        session.sent("revoke") <= 9,
        "{} revokes",
        session.sent("revoke")
    );
    session.run_for(100);
    let busy: usize = session
        .agents()
        .iter()
        .map(|n| session.agent(*n).busy_slots())
        .sum();
    assert_eq!(busy, 0, "cancelled tasks still occupy slots");
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &request(50, false));
    let started_at_ms = session.now_ms;
    session.await_answer(caller);
    assert!(session.now_ms - started_at_ms < 200);
}

#[test]
fn recovers_from_a_burst_of_eight_times_the_load() {
    let mut session = Session::new(1, 3);
    let mut calls = Vec::new();
    // 12 slots run 240 tasks of 50 ms per second. 2,000 tasks per second, more
    // than eight times as many, arrive for 3 seconds.
    for _ in 0..3_000 {
        for _ in 0..2 {
            let id = session.take_id(ENTRY);
            calls.push((
                id,
                session.submit_within(ENTRY, id, &request(50, false), 2_000),
            ));
        }
        session.run_for(1);
    }
    let end_ms = session.now_ms;
    session.run_until(10_000, |s| {
        calls.iter().all(|(_, caller)| s.answer(*caller).is_some())
    });
    assert!(
        session.now_ms - end_ms <= 2_300,
        "answers took {} ms",
        session.now_ms - end_ms
    );
    let complete = calls
        .iter()
        .filter(|(_, caller)| session.answer(*caller).unwrap().outcome == Outcome::Complete)
        .count();
    assert!(complete > 600, "only {complete} submissions completed");
    for (id, caller) in &calls {
        session.check_answer(*id, &request(50, false), &session.answer(*caller).unwrap());
    }
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &request(50, false));
    let started_at_ms = session.now_ms;
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
    assert!(
        session.now_ms - started_at_ms < 100,
        "the request after the burst was delayed"
    );
}

/// Guards against an answer that nothing ran: an overloaded entry does not pass
/// the submission on, but another entry may have submitted the same id.
#[test]
fn overloaded_entry_does_not_answer_that_nothing_ran() {
    let mut session = Session::new(1, 3);
    let id = session.take_id(ENTRY);
    for _ in 0..1_000 {
        session.command(ENTRY, Command::Lookup { id, wait_ms: 5_000 });
    }
    let caller = session.submit(ENTRY, id, &request(50, false));
    let answer = session.answer(caller).expect("refused at once");
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::Unknown, Reason::EntryOverloaded)
    );
}

#[test]
fn service_without_minions_is_refused() {
    let mut session = Session::new(1, 3);
    let configuration = session.entry(ENTRY).configuration().current();
    let service = configuration.services[SERVICE].clone();
    let name = "ledger-svc".into();
    confirm_and_wait(&mut session, vec![Operation::PutService { name, service }]);
    let caller = session.command(
        ENTRY,
        Command::TakeIds {
            service: "ledger-svc".into(),
            count: 1,
        },
    );
    let answer = session.answer(caller).expect("refused at once");
    assert_eq!(
        (answer.ran, answer.reason),
        (Ran::NotRun, Reason::NoCapacity)
    );
    // A submission whose id names the home of another service is refused, too.
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &request_to_service("ledger-svc"));
    assert_eq!(session.await_answer(caller).reason, Reason::NoCapacity);
}

#[test]
fn task_waits_for_a_worker_that_fits() {
    let mut session = Session::new(1, 2);
    session.add_agent_with(150, |settings| {
        settings.member.capacity = Needs {
            memory_mb: 4_096,
            accelerators: 2,
        };
    });
    session.run_for(3_000);
    let mut submission = job(&[100; 8]);
    submission.team = TEAM.into();
    for task in &mut submission.tasks {
        task.needs = Needs {
            memory_mb: 0,
            accelerators: 1,
        };
    }
    submission.tasks.push(task(10));
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &submission);
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
}
