//! Tests of tasks that need a whole minion while small tasks keep all minions busy.

mod session;

use gannetvane_dispatch::Resources;
use gannetvane_dispatch::Step;
use session::MINION_CAPACITY;
use session::Session;
use yare::parameterized;

const ENTRIES: usize = 3;
const MINIONS: usize = 8;
/// Run time of the small tasks, in milliseconds.
const SMALL_MS: u64 = 200;
/// Resources of a small task: eight fill a minion.
const SMALL: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 64,
    accelerators: 0,
};

/// Longest time in which a few large jobs end, in milliseconds: each entry keeps one minion
/// at a time for them.
const MAX_LARGE_MS: u64 = 6_000;

fn step(needs: Resources, declared_ms: u64) -> Step {
    Step {
        count: 1,
        needs,
        declared_ms,
        ..Step::default()
    }
}

/// Runs large stored jobs beside small ones that arrive all the time and take this
/// percentage of the capacity; returns the times after which the large ones ended, and the
/// number of small ones that were completed and submitted.
fn times_of_large_jobs(load_percent: u64, jobs: usize) -> (Vec<Option<u64>>, usize, usize) {
    let mut session = Session::new(ENTRIES, MINIONS);
    session.has_prompt_minions = true;
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let per_s = MINIONS as u64 * 8 * 1_000 / SMALL_MS * load_percent / 100;
    let mut large = Vec::new();
    let mut small = Vec::new();
    let mut large_since_ms = 0;
    let mut due = 0;
    for ms in 0..14_000 {
        due += per_s;
        while due >= 1_000 {
            due -= 1_000;
            let id = format!("small-{}", small.len());
            small.push(session.submit_steps(
                small.len() % ENTRIES,
                &id,
                vec![step(SMALL, SMALL_MS)],
            ));
        }
        if ms == 2_000 {
            large_since_ms = session.now_ms;
            for id in 0..jobs {
                let id = format!("{:016x}", 0x100 + id);
                large.push(session.store_steps(&id, vec![step(MINION_CAPACITY, 300)]));
            }
        }
        session.run(1);
    }
    let times = large.iter().map(|job| {
        let ended_ms = session.stored[*job].ended_ms;
        ended_ms.map(|ended_ms| ended_ms - large_since_ms)
    });
    let times = times.collect();
    let completed = small
        .iter()
        .filter(|job| session.outcome(**job) == Some(gannetvane_dispatch::JobOutcome::Completed));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
    (times, completed.count(), small.len())
}

/// Guards against large tasks that never start, because small ones take what becomes free.
#[parameterized(
    light_load = { 40, 4 },
    half_load = { 60, 4 },
    high_load = { 85, 4 },
    many = { 60, 40 },
)]
fn large_tasks_start_beside_small_ones(load_percent: u64, jobs: usize) {
    let (times, completed, small) = times_of_large_jobs(load_percent, jobs);
    println!("{load_percent}% {jobs}: {times:?}; small {completed} of {small}");
    let longest_ms = times.iter().map(|time| time.unwrap_or(u64::MAX)).max();
    assert!(longest_ms <= Some(MAX_LARGE_MS), "{times:?}");
}
