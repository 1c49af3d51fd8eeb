//! Random interleavings of kills, freezes, cuts, late orders, crashes and
//! resubmissions. `GANNETVANE_SEEDS=from..to` plays other seeds by hand.

mod session;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::Mood;
use session::Session;
use yare::parameterized;

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Seeds that every run plays.
const SEEDS: std::ops::Range<u64> = 0..60;
/// Seeds that once failed, each with its cause.
const REGRESSIONS: &[u64] = &[
    // Refused as "not run" after the agent of its only run had gone.
    3,
];

fn seeds() -> Vec<u64> {
    let named = std::env::var("GANNETVANE_SEEDS").ok();
    let named = named.and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let chosen = named.unwrap_or(SEEDS);
    REGRESSIONS.iter().copied().chain(chosen).collect()
}

/// Plays a seed with tasks that work for less than `longest_ms`.
fn play(seed: u64, longest_ms: u64) -> Session {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut session = Session::new(ENTRIES, AGENTS);
    for minion in &mut session.minions {
        minion.clock_rate = rng.random_range(0.98..1.02);
    }
    let mut jobs = 0;
    for _ in 0..120 {
        for _ in 0..rng.random_range(0..3) {
            let tasks = rng.random_range(1..12);
            let work_ms = rng.random_range(20..longest_ms);
            let entry = rng.random_range(0..ENTRIES);
            session.submit(entry, &format!("job-{jobs}"), tasks, work_ms);
            jobs += 1;
        }
        disturb(&mut session, &mut rng);
        session.run(rng.random_range(10..120));
    }
    session.heal();
    session.fate = Box::new(|_, _| None);
    session.run(14_000);
    session
}

fn disturb(session: &mut Session, rng: &mut ChaCha8Rng) {
    let entry = rng.random_range(0..ENTRIES);
    let agent = rng.random_range(0..AGENTS);
    match rng.random_range(0..40) {
        0 => session.kill_entry(entry, rng.random_range(10..2_000)),
        1 => session.kill_agent(agent, rng.random_range(10..2_000)),
        2 | 3 => session.freeze_entry(entry, rng.random_range(50..3_000)),
        4 | 5 => session.freeze_agent(agent, rng.random_range(50..3_000)),
        6 | 7 => session.cut(entry, agent),
        8..=10 => session.heal(),
        11 => session.crash_minion(agent),
        12 => {
            let share = rng.random_range(0.0..0.6);
            let mut fates = ChaCha8Rng::seed_from_u64(rng.random());
            session.fate = Box::new(move |_, hit| {
                let is_late = hit == agent && fates.random::<f64>() < share;
                is_late.then(|| fates.random_range(500..9_000))
            });
        }
        13 | 14 => session.fate = Box::new(|_, _| None),
        15 => session.minions[agent].mood = Mood::Failing,
        16 => session.minions[agent].mood = Mood::Hanging,
        17 => session.minions[agent].mood = Mood::Slow(5.0),
        18..=21 => session.minions[agent].mood = Mood::Sound,
        22 | 23 if !session.callers.is_empty() => {
            let position = rng.random_range(0..session.callers.len());
            session.break_caller(position);
        }
        24 => session.deliver_late_report(agent),
        _ => {}
    }
}

/// Tasks that are over before a caller sends its job again, and such that an
/// entry or agent that failed may have left at work by then.
#[parameterized(
    short = { 900 },
    long = { 3_000 },
)]
fn no_interleaving_breaks_a_promise(longest_ms: u64) {
    for seed in seeds() {
        let session = play(seed, longest_ms);
        let violations = &session.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let open = session
            .callers
            .iter()
            .filter(|caller| caller.outcome.is_none());
        let open: Vec<&str> = open.map(|caller| caller.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: without an answer: {open:?}");
    }
}
