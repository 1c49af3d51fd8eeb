//! Tests of evacuated availability zones: they get no starts once one entry has the
//! evacuation, and get starts again soon after the evacuation ends.
//!
//! `GANNETVANE_SEEDS=from..to` replaces the seeds of the random test.

mod session;

use gannetvane_dispatch::Evacuations;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::Refusal;
use gannetvane_dispatch::StoredEnd;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use session::Session;
use session::ZONES;
use session::evacuations;
use session::seeds;

const ENTRIES: usize = 3;
/// Number of agents: two in each of the three availability zones.
const AGENTS: usize = 6;
/// Time from an entry's receipt of an evacuation to the last start in the zone, in
/// milliseconds: a message to the agent, and an order that was on its way to the minion.
const APPLIED_WITHIN_MS: u64 = 5;
/// Seeds of the random test.
const SEEDS: std::ops::Range<u64> = 0..60;

/// Submits a job of three short tasks at each entry every 20 ms, which is half of what two
/// zones can complete. Returns the positions of the callers.
fn submit_load(session: &mut Session, for_ms: u64) -> Vec<usize> {
    let mut callers = Vec::new();
    for _ in 0..for_ms / 20 {
        for entry in 0..ENTRIES {
            let id = format!("job-{}-{entry}", session.now_ms);
            callers.push(session.submit(entry, &id, 3, 20));
        }
        session.run(20);
    }
    callers
}

fn count_with_outcome(session: &Session, callers: &[usize], outcome: JobOutcome) -> usize {
    let has_ended = |caller: &&usize| session.outcome(**caller) == Some(outcome);
    callers.iter().filter(has_ended).count()
}

fn is_refused_for(reason: Refusal) -> impl Fn(Option<JobOutcome>) -> bool {
    move |outcome| matches!(outcome, Some(JobOutcome::Refused { reason: of, .. }) if of == reason)
}

/// The zone's capacity also counts as gone, so all jobs complete in the other zones.
#[test]
fn an_evacuation_received_by_one_entry_stops_the_starts_of_all_entries() {
    let mut session = Session::new(ENTRIES, AGENTS);
    submit_load(&mut session, 400);
    assert!(session.starts_in_zone("hella", 0) > 0);
    // The other entries don't have the evacuation yet.
    session.send_evacuations(0, &evacuations(7, &["hella"]));
    let evacuated_at_ms = session.now_ms;
    let callers = submit_load(&mut session, 1_000);
    assert_eq!(
        session.starts_in_zone("hella", evacuated_at_ms + APPLIED_WITHIN_MS),
        0
    );
    session.run(500);
    let done = count_with_outcome(&session, &callers, JobOutcome::Completed);
    assert_eq!(done, callers.len());
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn runs_in_an_evacuated_zone_complete() {
    let mut session = Session::new(ENTRIES, AGENTS);
    let caller = session.submit(0, "long", 30, 800);
    session.run(200);
    let count_before = session.answered_starts.len();
    session.send_evacuations_to_all(&evacuations(7, &["hella"]));
    session.run_until_answered(caller, 2_000);
    assert_eq!(session.outcome(caller), Some(JobOutcome::Completed));
    assert_eq!(session.answered_starts.len(), count_before);
}

#[test]
fn a_zone_gets_starts_within_a_second_after_its_evacuation_ends() {
    let mut session = Session::new(ENTRIES, AGENTS);
    session.send_evacuations_to_all(&evacuations(7, &["hella"]));
    submit_load(&mut session, 1_000);
    session.send_evacuations(1, &evacuations(8, &[]));
    session.run(10);
    session.send_evacuations(0, &evacuations(8, &[]));
    session.send_evacuations(2, &evacuations(8, &[]));
    let evacuation_ended_ms = session.now_ms;
    submit_load(&mut session, 1_000);
    let first = session.answered_starts.iter();
    let first = first.filter(|start| start.at_ms > evacuation_ended_ms && start.agent % 3 == 1);
    let first_ms = first.map(|start| start.at_ms).min();
    assert!(first_ms.is_some_and(|at_ms| at_ms < evacuation_ended_ms + 1_000));
}

/// A task avoids hosts whose minions crashed under it, unless all other hosts are
/// evacuated.
#[test]
fn a_task_returns_to_hosts_that_crashed_while_all_others_are_evacuated() {
    let mut session = Session::new(1, AGENTS);
    session.report_start_times();
    session.send_evacuations_to_all(&evacuations(7, &["hella", "thorlak"]));
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    let job = session.store("0000000000000002", 1, 600);
    let running = |session: &Session| {
        let mut minions = session.minions.iter();
        minions.position(|minion| minion.running().next().is_some())
    };
    for _ in 0..2 {
        let agent = (0..5_000).find_map(|_| {
            session.run(1);
            running(&session)
        });
        session.run(100);
        session.restart_with_same_id(agent.expect("a running task"), 300);
    }
    session.run_until_ended(job, 5_000);
    let end = session.stored[job].end;
    assert_eq!(end, Some(StoredEnd::Completed));
}

#[test]
fn an_older_record_does_not_undo_an_evacuation() {
    let mut session = Session::new(ENTRIES, AGENTS);
    session.send_evacuations_to_all(&evacuations(9, &["hella"]));
    session.run(10);
    let evacuated_at_ms = session.now_ms;
    session.send_evacuations_to_all(&evacuations(8, &[]));
    session.send_evacuations(2, &evacuations(3, &["selfoss"]));
    submit_load(&mut session, 500);
    assert_eq!(session.starts_in_zone("hella", evacuated_at_ms), 0);
    assert!(session.starts_in_zone("selfoss", evacuated_at_ms) > 0);
}

#[test]
fn jobs_are_refused_at_once_while_all_zones_are_evacuated() {
    let mut session = Session::new(ENTRIES, AGENTS);
    // Their tasks need more than the capacity of all minions, so some jobs wait.
    let waiting: Vec<usize> = (0..20)
        .map(|number| session.submit(0, &format!("early-{number}"), 6, 300))
        .collect();
    session.run(5);
    session.send_evacuations_to_all(&evacuations(7, &ZONES));
    let evacuated_at_ms = session.now_ms;
    session.run(10);
    let is_refused = is_refused_for(Refusal::Evacuated);
    let early = waiting
        .iter()
        .filter(|caller| is_refused(session.outcome(**caller)));
    assert!(early.count() > 0);
    let callers = submit_load(&mut session, 500);
    for caller in &callers {
        let state = &session.callers[*caller];
        assert!(is_refused(state.outcome), "{state:?}");
        assert!(state.answered_ms <= Some(state.sent_ms + APPLIED_WITHIN_MS));
    }
    assert_eq!(
        session.starts_in_zone("hella", evacuated_at_ms + APPLIED_WITHIN_MS),
        0
    );
    session.send_evacuations_to_all(&evacuations(8, &["hella", "thorlak"]));
    session.run(2_000);
    let callers = submit_load(&mut session, 300);
    session.run(1_000);
    assert!(count_with_outcome(&session, &callers, JobOutcome::Completed) > 0);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn an_unanswered_start_is_not_retried_in_an_evacuated_zone() {
    let mut session = Session::new(1, 2);
    session.call_delay = Box::new(|_, _| Some(30));
    let caller = session.submit(0, "unheard", 1, 100);
    session.run(40);
    let record = Evacuations {
        log_offset: 7,
        zones: ["selfoss".into(), "hella".into()].into(),
    };
    session.send_evacuations_to_all(&record);
    session.run(5);
    session.call_delay = Box::new(|_, _| None);
    session.run(3_000);
    assert_eq!(session.answered_starts, []);
    assert!(session.outcome(caller).is_some());
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn no_more_hedged_starts_are_sent_in_an_evacuated_zone() {
    let mut session = Session::new(1, 2);
    // Half of the calls get no answer, so agents send hedged calls for each start.
    let mut calls = 0;
    session.call_delay = Box::new(move |_, _| {
        calls += 1;
        (calls % 2 == 0).then_some(700)
    });
    for number in 0..40 {
        session.submit(0, &format!("warm-up-{number}"), 4, 60);
        session.run(40);
    }
    let mut hedged_calls = 0;
    for number in 0..30 {
        session.call_delay = Box::new(|_, _| Some(700));
        session.send_evacuations_to_all(&evacuations(2 * number + 7, &[]));
        session.submit(0, &format!("copied-{number}"), 8, 60);
        session.run(4);
        let count_before = session.start_calls.len();
        session.send_evacuations_to_all(&evacuations(2 * number + 8, &["selfoss", "hella"]));
        session.run(APPLIED_WITHIN_MS);
        let evacuated_at_ms = session.now_ms;
        session.run(60);
        hedged_calls += session.start_calls_in_zone("selfoss", evacuated_at_ms);
        hedged_calls += session.start_calls_in_zone("hella", evacuated_at_ms);
        assert!(count_before > 0);
    }
    assert_eq!(hedged_calls, 0);
}

#[test]
fn an_entry_orders_no_starts_in_an_evacuated_zone() {
    let mut session = Session::new(1, AGENTS);
    for number in 0..20 {
        session.send_evacuations_to_all(&evacuations(2 * number + 7, &["hella"]));
        // Takes all capacity of the other zones before any agent has reported.
        session.submit(0, &format!("wide-{number}"), 40, 20);
        session.run(60);
        session.send_evacuations_to_all(&evacuations(2 * number + 8, &[]));
        session.run(60);
    }
    assert_eq!(session.event_counts.get("start-refused-evacuated"), None);
}

#[test]
fn a_restarted_agent_gets_the_evacuation_before_any_order() {
    let mut session = Session::new(ENTRIES, AGENTS);
    session.send_evacuations_to_all(&evacuations(7, &["hella"]));
    let evacuated_at_ms = session.now_ms;
    session.kill_agent(1, 300);
    session.kill_agent(4, 500);
    let callers = submit_load(&mut session, 2_500);
    session.run(500);
    assert_eq!(
        session.starts_in_zone("hella", evacuated_at_ms + APPLIED_WITHIN_MS),
        0
    );
    let done = count_with_outcome(&session, &callers, JobOutcome::Completed);
    assert!(done * 10 > callers.len() * 9, "{done} of {}", callers.len());
}

#[test]
fn stored_jobs_start_no_tasks_in_an_evacuated_zone() {
    let mut session = Session::new(ENTRIES, AGENTS);
    session.store("00000000000000f0", 1, 20);
    session.run(4_000);
    session.send_evacuations_to_all(&evacuations(7, &["hella"]));
    let evacuated_at_ms = session.now_ms;
    for number in 0..30 {
        session.store(&format!("{number:016x}"), 6, 50);
        session.run(20);
    }
    session.run(3_000);
    assert_eq!(
        session.starts_in_zone("hella", evacuated_at_ms + APPLIED_WITHIN_MS),
        0
    );
    assert!(session.starts_in_zone("selfoss", evacuated_at_ms) > 0);
}

/// Delivers a series of evacuation records to entries with delays, in any order and more
/// than once, while entries are suspended, connections are cut, agents are killed and calls
/// get no answer.
fn run_random_evacuations(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut session = Session::new(ENTRIES, AGENTS);
    let mut history = vec![evacuations(1, &[])];
    for log_offset in 2..10 {
        let zones: Vec<&str> = ZONES
            .into_iter()
            .filter(|_| rng.random::<f64>() < 0.4)
            .collect();
        history.push(evacuations(log_offset, &zones));
    }
    // For each record: when the first entry got it, which entries got it, and when all had.
    let mut delivered = vec![(u64::MAX, [false; ENTRIES], u64::MAX); history.len()];
    let mut killed_ms = [0; AGENTS];
    for newest in 0..history.len() {
        for step in 0..30 {
            let index = if step < 20 {
                newest
            } else {
                rng.random_range(0..=newest)
            };
            if rng.random::<f64>() < 0.4 {
                let entry = rng.random_range(0..ENTRIES);
                session.send_evacuations(entry, &history[index]);
                let (first_ms, entries, all_ms) = &mut delivered[index];
                *first_ms = session.now_ms.min(*first_ms);
                entries[entry] = true;
                if entries.iter().all(|is_delivered| *is_delivered) {
                    *all_ms = session.now_ms.min(*all_ms);
                }
            }
            let agent = rng.random_range(0..AGENTS);
            match rng.random_range(0..30) {
                0 => {
                    session.kill_agent(agent, rng.random_range(10..400));
                    killed_ms[agent] = session.now_ms;
                }
                1 => session.suspend_entry(rng.random_range(0..ENTRIES), rng.random_range(50..900)),
                2 => session.cut(rng.random_range(0..ENTRIES), agent),
                3 | 4 => session.heal(),
                5 => session.call_delay = Box::new(move |_, hit| (hit == agent).then_some(700)),
                6 => session.call_delay = Box::new(|_, _| None),
                _ => {}
            }
            let entry = rng.random_range(0..ENTRIES);
            let tasks = rng.random_range(1..9);
            let work_ms = *[15, 60, 250].choose(&mut rng).expect("not empty");
            session.submit(entry, &format!("{newest}-{step}"), tasks, work_ms);
            session.run(rng.random_range(5..40));
        }
    }
    session.heal();
    session.call_delay = Box::new(|_, _| None);
    session.run(6_000);
    // Once all entries have a record that evacuates a zone, nothing may start in the zone
    // until some entry gets a later record that does not evacuate it.
    for start in &session.answered_starts {
        let zone = ZONES[start.agent % 3];
        let newest_known = (0..history.len())
            .filter(|at| delivered[*at].2.saturating_add(MAX_SUSPENSION_MS) < start.at_ms);
        let Some(newest_known) = newest_known.max() else {
            continue;
        };
        let delivered_since =
            (newest_known..history.len()).filter(|at| delivered[*at].0 <= start.at_ms);
        let may_start = delivered_since
            .into_iter()
            .any(|at| !history[at].contains(&zone.into()));
        assert!(
            may_start,
            "seed {seed}: {start:?} in {zone} as of {newest_known}"
        );
    }
    assert!(
        session.violations.is_empty(),
        "seed {seed}: {:?}",
        session.violations
    );
}

/// Longest suspension of an entry in [`run_random_evacuations`], in milliseconds. A suspended
/// entry sends its agents the evacuations that much later.
const MAX_SUSPENSION_MS: u64 = 900;

#[test]
fn no_interleaving_starts_tasks_in_a_zone_that_all_entries_have_evacuated() {
    for seed in seeds(SEEDS, &[]) {
        run_random_evacuations(seed);
    }
}
