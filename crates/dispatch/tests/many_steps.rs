//! Tests that jobs of many steps do not make their entry stand still: for longer than a grant
//! it would lose all its runs, and for longer than its lease its partitions.

mod session;

use std::time::Duration;
use std::time::Instant;

use gannetvane_dispatch::Partition;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::Step;
use session::PARTITIONS;
use session::Session;

/// Time for which a frame of an entry keeps its runs.
const GRANT: Duration = Duration::from_millis(400);
/// Largest number of tasks that an owner takes up in one turn, in one partition.
const MAX_TASKS_PER_TURN: usize = 10_000;

/// Returns steps of one task, each of which waits for up to `width` steps before it.
fn chain(steps: u32, width: u32) -> Vec<Step> {
    let step = |number: u32| Step {
        count: 1,
        needs: Resources {
            cpu_milli: 40,
            memory_mb: 1,
            accelerators: 0,
        },
        declared_ms: 2_000,
        after: (number.saturating_sub(width)..number).collect(),
        ..Step::default()
    };
    (0..steps).map(step).collect()
}

fn session() -> Session {
    let mut session = Session::new(2, 8);
    session.has_prompt_minions = true;
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    session
}

/// The longest time that one millisecond of the session takes in `for_ms`.
fn longest_step(session: &mut Session, for_ms: u64) -> Duration {
    let steps = (0..for_ms).map(|_| {
        let began = Instant::now();
        session.run(1);
        began.elapsed()
    });
    steps.max().unwrap_or_default()
}

#[test]
fn a_job_of_thousands_of_steps_does_not_stop_its_entry() {
    let mut session = session();
    session.store_steps("00000000000000c1", chain(3_300, 1));
    let longest = longest_step(&mut session, 100);
    assert!(longest < GRANT, "{longest:?}");
}

/// The owner of a partition with many open jobs is killed, and the next one takes them up in
/// turns.
#[test]
fn an_owner_takes_up_many_large_jobs_in_turns() {
    const STEPS: u32 = 260;
    let mut session = session();
    let ids = (0x100..).map(|id: u64| format!("{id:016x}"));
    let in_one_partition = |id: &String| Partition::of(id, PARTITIONS) == Partition(0);
    let ids: Vec<String> = ids.filter(in_one_partition).take(120).collect();
    for id in &ids {
        session.store_steps(id, chain(STEPS, 20));
        session.run(5);
    }
    session.run(500);
    let owner = session.owner_of(&ids[0]).expect("there should be an owner");
    let other = 1 - owner;
    session.kill_entry(owner, 1_000_000);
    let before = session.entry(other).unfinished_jobs();
    let mut known = before;
    let max_jobs = MAX_TASKS_PER_TURN / STEPS as usize + 1;
    for _ in 0..8_000 {
        session.run(1);
        let jobs = session.entry(other).unfinished_jobs();
        assert!(jobs <= known + max_jobs, "{known} jobs, then {jobs}");
        known = jobs;
    }
    assert_eq!(known, before + ids.len());
}
