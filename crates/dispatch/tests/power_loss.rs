//! All hosts lose power at the same moment: entries, agents and minions. The job log keeps
//! what it acknowledged.

mod session;

use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::StoredEnd;
use session::Session;
use yare::parameterized;

const ENTRIES: usize = 3;
const AGENTS: usize = 8;
/// Time without power, in milliseconds.
const OUTAGE_MS: u64 = 600;
/// Time after the return of power from which callers must be served, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Cuts the power of all hosts. Their minions start again under their ids, or under new ones.
fn cut_power(session: &mut Session, keeps_ids: bool) {
    (0..ENTRIES).for_each(|entry| session.kill_entry(entry, OUTAGE_MS));
    for agent in 0..AGENTS {
        session.kill_agent(agent, OUTAGE_MS);
        match keeps_ids {
            true => session.restart_with_same_id(agent, OUTAGE_MS),
            false => session.crash_minion_for(agent, OUTAGE_MS),
        }
    }
}

/// Creates a session in which waited and stored jobs are at work.
fn busy_session(keeps_ids: bool) -> Session {
    let mut session = Session::new(ENTRIES, AGENTS);
    if keeps_ids {
        session.report_start_times();
    }
    for number in 0..ENTRIES {
        session.submit(number, &format!("waited-{number}"), 4, 900);
        session.store(&format!("{:016x}", 0x10 + number), 4, 900);
    }
    session.run(2_000);
    for number in 0..ENTRIES {
        session.submit(number, &format!("late-{number}"), 4, 900);
        session.store(&format!("{:016x}", 0x20 + number), 4, 900);
    }
    session.run(300);
    session
}

#[parameterized(
    kept_ids = { true },
    other_ids = { false },
)]
fn callers_are_served_again_after_all_hosts_lost_power(keeps_ids: bool) {
    let mut session = busy_session(keeps_ids);
    cut_power(&mut session, keeps_ids);
    session.run(OUTAGE_MS + RECOVERY_MS);
    let jobs: Vec<usize> = (0..20)
        .map(|number| {
            session.run(50);
            session.submit(number % ENTRIES, &format!("after-{number}"), 2, 100)
        })
        .collect();
    session.run(20_000);
    for job in jobs {
        assert_eq!(session.outcome(job), Some(JobOutcome::Completed), "{job}");
    }
    let ends: Vec<_> = session.stored.iter().map(|job| job.end).collect();
    assert!(
        ends.iter().all(|end| *end == Some(StoredEnd::Completed)),
        "{ends:?}"
    );
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against failing jobs for a loss of power: every run is lost with its agent and its
/// minion, again and again, and one minion crashes beside.
#[parameterized(
    kept_ids = { true },
    other_ids = { false },
)]
fn repeated_losses_of_power_fail_no_job(keeps_ids: bool) {
    let mut session = busy_session(keeps_ids);
    for round in 0..4 {
        session.submit(round % ENTRIES, &format!("round-{round}"), 4, 2_000);
        session.store(&format!("{:016x}", 0x30 + round), 4, 2_000);
        session.run(500);
        cut_power(&mut session, keeps_ids);
        session.run(OUTAGE_MS + 2_500);
        match keeps_ids {
            true => session.restart_with_same_id(round, OUTAGE_MS),
            false => session.crash_minion_for(round, OUTAGE_MS),
        }
        session.run(300);
    }
    session.run(40_000);
    let failed = session.callers.iter();
    let failed = failed.filter(|caller| caller.outcome == Some(JobOutcome::Failed));
    assert_eq!(failed.count(), 0);
    let ends: Vec<_> = session.stored.iter().map(|job| job.end).collect();
    assert!(
        ends.iter().all(|end| *end == Some(StoredEnd::Completed)),
        "{ends:?}"
    );
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}
