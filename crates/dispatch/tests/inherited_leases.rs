//! How long a task waits after the loss of its agent: no longer than the usual lease, unless a
//! call that was carried out late may have extended the lease of the minion.

mod session;

use gannetvane_dispatch::GRANT_MS;
use gannetvane_dispatch::RUNS_GONE_AFTER_MS;
use gannetvane_dispatch::Resources;
use session::MINION_CAPACITY;
use session::Session;
use yare::parameterized;

/// Longest lease that minions grant, in milliseconds.
const MAX_LEASE_MS: u64 = 15_000;
/// Age of the minions at the first fault, in milliseconds: calls of former agents are void.
const AGE_MS: u64 = 30_000;
/// Time for which the lost agent is away, in milliseconds.
const FOREVER_MS: u64 = 60_000;
/// Time for messages and for the choice of another minion, in milliseconds.
const TRANSIT_MS: u64 = 50;

/// What happens before a task is ordered, besides that all calls are answered.
#[derive(Clone, Copy, Debug)]
enum Before {
    Nothing,
    /// The agent restarts.
    AgentRestarts,
    /// The minion restarts with the same id, and its agent is there all the time.
    MinionRestarts,
}

/// Returns a session in which only the first minion has room.
fn session() -> Session {
    let mut session = Session::new(2, 2);
    session.report_start_times();
    session.set_max_lease(MAX_LEASE_MS);
    session.run(AGE_MS);
    session.resize_minion(1, Resources::default());
    session.run(100);
    session
}

/// Runs until a task is at work on the second minion, and returns how long that took.
fn run_until_at_work_elsewhere(session: &mut Session) -> u64 {
    let lost_ms = session.now_ms;
    while session.minions[1].running().count() == 0 {
        assert!(session.now_ms < lost_ms + FOREVER_MS);
        session.run(1);
    }
    session.now_ms - lost_ms
}

#[parameterized(
    nothing = { Before::Nothing },
    agent_restarts = { Before::AgentRestarts },
    minion_restarts = { Before::MinionRestarts },
)]
fn a_lost_agent_without_a_late_call_holds_its_runs_no_longer(before: Before) {
    let mut session = session();
    match before {
        Before::Nothing => {}
        Before::AgentRestarts => session.kill_agent(0, 100),
        Before::MinionRestarts => {
            let job = session.submit(0, "00000000000000a1", 1, 200);
            session.run_until_answered(job, 1_000);
            session.run(1_500);
            session.restart_with_same_id(0, 500);
        }
    }
    session.run(3_000);
    session.submit_declared(0, "00000000000000a2", 1, 9_000, 60_000);
    session.run(300);
    assert_eq!(session.minions[0].running().count(), 1);
    session.suspend_agent(0, FOREVER_MS);
    session.resize_minion(1, MINION_CAPACITY);
    let waited_ms = run_until_at_work_elsewhere(&mut session);
    // The entry sends frames to the agent until it notices the loss.
    let usual_ms = GRANT_MS + RUNS_GONE_AFTER_MS + TRANSIT_MS;
    assert!(waited_ms <= usual_ms, "{waited_ms}");
}

/// Guards against an agent that gives a silent minion up by the lease that it requested, while
/// a late call has extended that lease.
#[test]
fn runs_of_a_silent_minion_are_lost_only_after_an_inherited_lease() {
    let delay_ms = 2_500;
    let mut session = session();
    let mut unanswered = 1;
    session.start_delay = Box::new(move |_, _| {
        let is_delayed = unanswered > 0;
        unanswered = 0;
        is_delayed.then_some(delay_ms)
    });
    let job = session.submit(0, "00000000000000a1", 1, 4_000);
    session.run(100);
    session.disconnect_caller(job);
    session.forget_caller(job);
    session.restart_with_same_id(0, delay_ms - 100);
    session.run(delay_ms + 500);
    session.submit_declared(0, "00000000000000a2", 1, 12_000, 60_000);
    session.run(300);
    assert_eq!(session.minions[0].running().count(), 1);
    session.call_delay = Box::new(|_, agent| (agent == 0).then_some(FOREVER_MS));
    session.resize_minion(1, MINION_CAPACITY);
    session.run(MAX_LEASE_MS);
    let duplicates = &session.violations.duplicates;
    assert!(duplicates.is_empty(), "{:?}", duplicates.first());
}
