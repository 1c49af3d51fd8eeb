//! Tests of work that only few minions can run, or none at present: it waits, and holds up
//! no work that the others can run.

mod session;

use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::StoredEnd;
use session::MINION_CAPACITY;
use session::Session;
use session::evacuations;
use session::zone_number;
use yare::parameterized;

const ENTRIES: usize = 3;
const MINIONS: usize = 8;
/// The only minion of its kind.
const SCARCE: usize = 7;
const SCARCE_LABEL: &str = "b";
/// Time for which a minion that is lost for good is down, in milliseconds.
const FOR_GOOD_MS: u64 = 10_000_000;
/// Time within which a short job ends that has idle minions, in milliseconds: its run, the
/// calls to the log and the pauses of its caller.
const PROMPT_MS: u64 = 1_000;
/// Number of jobs that wait for the scarce minion.
const SCARCE_JOBS: usize = 60;

const SMALL: Resources = Resources {
    cpu_milli: 200,
    memory_mb: 16,
    accelerators: 0,
};
const WITH_ACCELERATOR: Resources = Resources {
    accelerators: 1,
    ..SMALL
};

fn step(needs: Resources, label: Option<&str>, declared_ms: u64) -> Step {
    Step {
        count: 1,
        needs,
        declared_ms,
        required_label: label.map(Into::into),
        ..Step::default()
    }
}

/// Returns a session in which one minion has a label and accelerators that no other has.
fn session() -> Session {
    let mut session = Session::new(ENTRIES, MINIONS);
    session.has_prompt_minions = true;
    session.set_labels(SCARCE, &[SCARCE_LABEL]);
    session.run(500);
    let capacity = Resources {
        accelerators: 100,
        ..MINION_CAPACITY
    };
    session.resize_minion(SCARCE, capacity);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    session
}

/// Stores jobs of one task; returns their positions.
fn store_jobs(session: &mut Session, first_id: usize, jobs: usize, step: &Step) -> Vec<usize> {
    let ids = first_id..first_id + jobs;
    ids.map(|id| session.store_steps(&format!("{id:016x}"), vec![step.clone()]))
        .collect()
}

fn accepted(session: &Session, jobs: &[usize]) -> usize {
    let accepted = jobs.iter().filter(|job| session.stored[**job].is_accepted);
    accepted.count()
}

fn assert_completed(session: &Session, jobs: &[usize]) {
    let is_open = |job: &&usize| session.stored[**job].end != Some(StoredEnd::Completed);
    let open = jobs.iter().filter(is_open).count();
    assert_eq!(open, 0, "of {} jobs", jobs.len());
}

/// Why no minion can take the jobs that have started on the scarce one.
#[derive(Clone, Copy, PartialEq)]
enum Cause {
    Lost,
    Evacuated,
}

/// Guards against stored jobs that are never started beside idle minions: a round of
/// placement ended after a few jobs without a place, and those had started and ranked first.
#[parameterized(
    label_of_a_lost_minion = { SMALL, Some(SCARCE_LABEL), Cause::Lost },
    label_of_an_evacuated_zone = { SMALL, Some(SCARCE_LABEL), Cause::Evacuated },
    accelerators_of_a_lost_minion = { WITH_ACCELERATOR, None, Cause::Lost },
)]
fn started_jobs_that_fit_nowhere_hold_up_no_others(
    needs: Resources,
    label: Option<&str>,
    cause: Cause,
) {
    let mut session = session();
    let bound = store_jobs(&mut session, 0x100, SCARCE_JOBS, &step(needs, label, 8_000));
    session.run(1_500);
    assert_eq!(accepted(&session, &bound), SCARCE_JOBS);
    match cause {
        Cause::Lost => session.crash_minion_for(SCARCE, FOR_GOOD_MS),
        Cause::Evacuated => {
            session.crash_minion_for(SCARCE, 500);
            let zone = session::ZONES[zone_number(SCARCE)];
            session.send_evacuations_to_all(&evacuations(1, &[zone]));
        }
    }
    session.run(2_000);
    let others = store_jobs(&mut session, 0x900, 12, &step(SMALL, None, 300));
    session.run(PROMPT_MS);
    assert_completed(&session, &others);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against refusals of stored jobs for work that waits for other minions.
#[test]
fn stored_jobs_are_not_refused_for_work_that_waits_for_another_minion() {
    let mut session = session();
    let large = step(MINION_CAPACITY, Some(SCARCE_LABEL), 8_000);
    for id in 0..SCARCE_JOBS {
        store_jobs(&mut session, 0x100 + id, 1, &large);
        session.run(20);
    }
    session.run(500);
    let others = store_jobs(&mut session, 0x900, 12, &step(SMALL, None, 300));
    session.run(PROMPT_MS);
    let refused = others
        .iter()
        .filter(|job| session.stored[**job].refusals > 0);
    assert_eq!(refused.count(), 0);
    assert_completed(&session, &others);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Returns the outcomes of small jobs that arrive while jobs wait for the scarce minion and
/// others keep the rest busy for a moment.
fn outcomes_beside_scarce_work(entry: usize) -> Vec<Option<JobOutcome>> {
    let mut session = session();
    for id in 0..SCARCE_JOBS {
        let large = step(MINION_CAPACITY, Some(SCARCE_LABEL), 2_000);
        session.submit_steps(id % ENTRIES, &format!("large-{id}"), vec![large]);
    }
    for minion in 0..SCARCE {
        let brief = step(MINION_CAPACITY, Some("a"), 40);
        session.submit_steps(0, &format!("brief-{minion}"), vec![brief]);
    }
    session.run(10);
    let small = step(SMALL, None, 100);
    let jobs: Vec<usize> = (0..12)
        .map(|id| session.submit_steps(entry, &format!("small-{id}"), vec![small.clone()]))
        .collect();
    session.run(500);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
    jobs.into_iter().map(|job| session.outcome(job)).collect()
}

/// Guards against refusals of jobs whose callers wait, at their arrival or while they wait,
/// for work that waits for other minions.
#[parameterized(
    at_the_entry_of_the_large_jobs = { 0 },
    at_another_entry = { 2 },
)]
fn waited_jobs_are_not_refused_for_work_that_waits_for_another_minion(entry: usize) {
    let outcomes = outcomes_beside_scarce_work(entry);
    let completed = outcomes
        .iter()
        .filter(|outcome| **outcome == Some(JobOutcome::Completed));
    assert_eq!(completed.count(), outcomes.len(), "{outcomes:?}");
}

/// Guards against refusals of jobs whose callers wait for stored work that no minion can run
/// any more: in the load that entries tell each other, and ahead of jobs that wait a moment.
#[parameterized(
    beside_idle_minions = { 0 },
    beside_minions_that_are_full_for_a_moment = { SCARCE },
)]
fn waited_jobs_are_not_refused_for_stored_work_that_fits_nowhere(full_minions: usize) {
    let mut session = session();
    let bound = step(SMALL, Some(SCARCE_LABEL), 8_000);
    store_jobs(&mut session, 0x100, SCARCE_JOBS, &bound);
    session.run(1_500);
    session.crash_minion_for(SCARCE, FOR_GOOD_MS);
    session.run(2_000);
    for minion in 0..full_minions {
        let brief = step(MINION_CAPACITY, Some("a"), 60);
        session.submit_steps(0, &format!("brief-{minion}"), vec![brief]);
    }
    session.run(10);
    let small = step(SMALL, None, 100);
    let jobs: Vec<usize> = (0..12)
        .map(|id| session.submit_steps(id % ENTRIES, &format!("small-{id}"), vec![small.clone()]))
        .collect();
    session.run(500);
    let outcomes: Vec<Option<JobOutcome>> =
        jobs.into_iter().map(|job| session.outcome(job)).collect();
    let is_completed = |outcome: &Option<JobOutcome>| *outcome == Some(JobOutcome::Completed);
    assert!(outcomes.iter().all(is_completed), "{outcomes:?}");
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against a step that is never looked at because a step before it fits nowhere.
#[parameterized(
    beside_idle_minions = { 0 },
    beside_minions_that_are_partly_busy = { 120 },
)]
fn a_step_that_fits_nowhere_holds_up_no_other_step_of_its_job(busy_tasks: usize) {
    let mut session = session();
    store_jobs(&mut session, 0x500, busy_tasks, &step(SMALL, None, 20_000));
    session.run(500);
    let blocker = step(MINION_CAPACITY, Some(SCARCE_LABEL), 5_000);
    store_jobs(&mut session, 0x100, 1, &blocker);
    session.run(500);
    let id = "00000000000000c1";
    let steps = vec![
        step(MINION_CAPACITY, Some(SCARCE_LABEL), 100),
        step(SMALL, None, 300),
    ];
    session.store_steps(id, steps);
    session.run(PROMPT_MS);
    let done = session.minions.iter().flat_map(|minion| &minion.done);
    let of_job = done.filter(|key| *key.task.job == *id);
    assert_eq!(of_job.count(), 1, "the task of the second step should end");
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}
