//! Nothing of a cancelled job runs on: not what a minion started late, and not
//! what was started by a process that has been removed.

mod session;

use session::Session;
use yare::parameterized;

/// Time after which nothing of a cancelled job may run, in milliseconds.
const CANCEL_MS: u64 = 3_000;
/// Longest time after which a call that got no answer is carried out.
const LATEST_MS: u64 = 12_000;
/// Long enough for a process never to come back.
const FOR_GOOD_MS: u64 = 1_000_000;
/// Work of tasks that would outlast the test.
const WORK_MS: u64 = 60_000;

/// How a job came.
#[derive(Clone, Copy)]
enum Kind {
    /// Its caller waits at the first entry.
    WaitedFor,
    Stored,
}

fn submit(session: &mut Session, kind: Kind) -> usize {
    match kind {
        Kind::WaitedFor => session.submit(0, "00000000000000b1", 6, WORK_MS),
        Kind::Stored => session.store("00000000000000b1", 6, WORK_MS),
    }
}

fn cancel(session: &mut Session, kind: Kind, job: usize) {
    match kind {
        // At an entry that lives: the first one may be gone.
        Kind::WaitedFor => {
            let now_ms = session.now_ms;
            for entry in 0..2 {
                session
                    .entry(entry)
                    .cancel(now_ms, &"00000000000000b1".into());
            }
        }
        Kind::Stored => session.cancel_stored(job),
    }
}

fn running(session: &Session) -> usize {
    let minions = session.minions.iter();
    minions.map(|minion| minion.running().count()).sum()
}

/// Runs for as long as a late call may take, and looks at each moment.
fn assert_nothing_runs_on(session: &mut Session) {
    session.run(CANCEL_MS);
    for _ in 0..LATEST_MS {
        assert_eq!(running(session), 0, "at {} ms", session.now_ms);
        session.run(1);
    }
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[parameterized(
    waited_for = { Kind::WaitedFor },
    stored = { Kind::Stored },
)]
fn a_start_that_is_carried_out_late_does_not_outlive_its_cancelled_job(kind: Kind) {
    for late_ms in [2_000, 5_000, LATEST_MS - 1_000] {
        let mut session = Session::new(2, 2);
        if matches!(kind, Kind::Stored) {
            let warm = session.store("0000000000000001", 1, 10);
            session.run_until_ended(warm, 5_000);
            session.run(1_500);
        }
        let from_ms = session.now_ms;
        session.call_delay = Box::new(move |now_ms, agent| {
            let is_lost = agent == 0 && (from_ms..from_ms + 40).contains(&now_ms);
            is_lost.then_some(late_ms)
        });
        let job = submit(&mut session, kind);
        session.run(300);
        assert!(running(&session) > 0, "it has begun");
        cancel(&mut session, kind, job);
        assert_nothing_runs_on(&mut session);
    }
}

#[parameterized(
    waited_for = { Kind::WaitedFor },
    stored = { Kind::Stored },
)]
fn tasks_of_an_agent_that_was_removed_end_with_their_cancelled_job(kind: Kind) {
    let mut session = Session::new(2, 2);
    let job = submit(&mut session, kind);
    session.run(2_000);
    assert!(running(&session) > 0, "it has begun");
    session.kill_agent(0, FOR_GOOD_MS);
    session.run(100);
    cancel(&mut session, kind, job);
    assert_nothing_runs_on(&mut session);
}

#[test]
fn tasks_of_an_entry_that_was_removed_end_with_their_cancelled_job() {
    let mut session = Session::new(2, 2);
    let job = submit(&mut session, Kind::WaitedFor);
    session.run(500);
    assert!(running(&session) > 0, "it has begun");
    session.kill_entry(0, FOR_GOOD_MS);
    // The caller does not come again: it cancels at the other entry.
    session.forget_caller(job);
    cancel(&mut session, Kind::WaitedFor, job);
    assert_nothing_runs_on(&mut session);
}
