//! Tests that all runs of a cancelled job end: those that a delayed call starts, and those
//! whose agent or entry has been removed.

mod session;

use gannetvane_dispatch::Partition;
use session::Session;
use yare::parameterized;

/// Time after its cancellation within which all runs of a job must end, in milliseconds.
const CANCELLED_WITHIN_MS: u64 = 3_000;
/// Longest delay after which an unanswered call is carried out, in milliseconds.
const MAX_CALL_DELAY_MS: u64 = 12_000;
/// Downtime after which a process does not return within the test, in milliseconds.
const FOREVER_MS: u64 = 1_000_000;
/// Work of each task, in milliseconds; longer than the test.
const WORK_MS: u64 = 60_000;

/// How a job was submitted.
#[derive(Clone, Copy)]
enum JobKind {
    /// Its caller waits at the first entry.
    CallerWaits,
    /// It is stored in the job log.
    Stored,
}

fn submit(session: &mut Session, kind: JobKind) -> usize {
    match kind {
        JobKind::CallerWaits => session.submit(0, "00000000000000b1", 6, WORK_MS),
        JobKind::Stored => session.store("00000000000000b1", 6, WORK_MS),
    }
}

fn cancel(session: &mut Session, kind: JobKind, job: usize) {
    match kind {
        // Cancels at both entries, as the first one may be gone.
        JobKind::CallerWaits => {
            let now_ms = session.now_ms;
            for entry in 0..2 {
                session
                    .entry(entry)
                    .cancel(now_ms, &"00000000000000b1".into());
            }
        }
        JobKind::Stored => session.cancel_stored(job),
    }
}

fn count_running_tasks(session: &Session) -> usize {
    let minions = session.minions.iter();
    minions.map(|minion| minion.running().count()).sum()
}

/// Checks each millisecond for as long as a call can be delayed that nothing runs.
fn assert_all_runs_end(session: &mut Session) {
    session.run(CANCELLED_WITHIN_MS);
    for _ in 0..MAX_CALL_DELAY_MS {
        assert_eq!(count_running_tasks(session), 0, "at {} ms", session.now_ms);
        session.run(1);
    }
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[parameterized(
    caller_waits = { JobKind::CallerWaits },
    stored = { JobKind::Stored },
)]
fn a_delayed_start_does_not_outlive_its_cancelled_job(kind: JobKind) {
    for delay_ms in [2_000, 5_000, MAX_CALL_DELAY_MS - 1_000] {
        let mut session = Session::new(2, 2);
        if matches!(kind, JobKind::Stored) {
            let warm = session.store("0000000000000001", 1, 10);
            session.run_until_ended(warm, 5_000);
            session.run(1_500);
        }
        let from_ms = session.now_ms;
        session.call_delay = Box::new(move |now_ms, agent| {
            let is_lost = agent == 0 && (from_ms..from_ms + 40).contains(&now_ms);
            is_lost.then_some(delay_ms)
        });
        let job = submit(&mut session, kind);
        session.run(300);
        assert!(count_running_tasks(&session) > 0, "the job has started");
        cancel(&mut session, kind, job);
        assert_all_runs_end(&mut session);
    }
}

#[parameterized(
    caller_waits = { JobKind::CallerWaits },
    stored = { JobKind::Stored },
)]
fn tasks_of_a_removed_agent_end_with_their_cancelled_job(kind: JobKind) {
    let mut session = Session::new(2, 2);
    let job = submit(&mut session, kind);
    session.run(2_000);
    assert!(count_running_tasks(&session) > 0, "the job has started");
    session.kill_agent(0, FOREVER_MS);
    session.run(100);
    cancel(&mut session, kind, job);
    assert_all_runs_end(&mut session);
}

#[test]
fn tasks_of_a_removed_entry_end_with_their_cancelled_job() {
    let mut session = Session::new(2, 2);
    let job = submit(&mut session, JobKind::CallerWaits);
    session.run(500);
    assert!(count_running_tasks(&session) > 0, "the job has started");
    session.kill_entry(0, FOREVER_MS);
    // The caller does not send its job again, but cancels it at the other entry.
    session.forget_caller(job);
    cancel(&mut session, JobKind::CallerWaits, job);
    assert_all_runs_end(&mut session);
}

/// Guards against a job that runs although its cancel was answered before the job arrived:
/// its submission was held up, and its caller cancelled it at another entry.
#[parameterized(
    at_the_same_owner = { false },
    at_the_next_owner = { true },
)]
fn a_job_that_arrives_after_its_cancel_never_runs(changes_owner: bool) {
    let mut session = Session::new(3, 2);
    let id = "00000000000000b1";
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    session.cancel_at_owner(id);
    session.run(200);
    if changes_owner {
        let owner = session.owner_of(id).expect("there should be an owner");
        session.kill_entry(owner, FOREVER_MS);
        session.run(6_000);
    }
    let job = session.store(id, 1, 100);
    session.run(3_000);
    assert!(session.stored[job].refusals > 0);
    let starts: usize = session.starts.values().sum();
    assert_eq!(starts, 1, "only the first job should have run");
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against a job that runs after its cancel because its record was withdrawn, when the
/// store did not answer the append before it, and that of its cancel was not.
#[test]
fn a_job_whose_record_was_withdrawn_stays_cancelled() {
    let mut session = Session::new(1, 2);
    let id = "00000000000000b1";
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let dropped_until_ms = session.now_ms + 3;
    session.log_outcome = Box::new(move |now_ms, _| match now_ms <= dropped_until_ms {
        true => session::LogCallOutcome::Dropped,
        false => session::LogCallOutcome::Served,
    });
    let other = (0x100..).map(|other: u64| format!("{other:016x}"));
    let partition = |id: &str| Partition::of(id, session::PARTITIONS);
    let other = other
        .into_iter()
        .find(|other| partition(other) == partition(id));
    session.store(&other.expect("there should be another id"), 1, 100);
    session.run(3);
    let job = session.store(id, 1, 100);
    session.run(1);
    session.cancel_at_owner(id);
    session.run(1_500);
    let again = session.store(id, 1, 100);
    session.run(3_000);
    assert!(session.stored[job].refusals > 0);
    assert!(session.stored[again].refusals > 0);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}
