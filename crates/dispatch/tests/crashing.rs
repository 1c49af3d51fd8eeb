//! Tasks that crash every minion that starts them, and crashes with other causes.

mod session;

use gannetvane_dispatch::JobOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::LogCallOutcome;
use session::Session;
use yare::parameterized;

/// Largest number of minions that may crash under one task of a job whose caller waits.
const MAX_CRASHES: usize = 2;
/// Largest number of minions that may crash under one task, over all entries that its
/// job is submitted to one after the other.
const MAX_CRASHES_OVER_ENTRIES: usize = 3;
/// Smallest number of starts that is excessive for a task that crashes each minion:
/// three more than the number of crashes after which the task is given up at the latest.
const MIN_EXCESSIVE_STARTS: usize = 6;

/// Creates a session; with `keeps_ids` its minions report their start times, as minions
/// do that restart with the same id.
fn session(agents: usize, keeps_ids: bool) -> Session {
    let mut session = Session::new(3, agents);
    if keeps_ids {
        session.report_start_times();
    }
    session
}

fn failed(session: &Session) -> Vec<&str> {
    let failed = session
        .callers
        .iter()
        .filter(|caller| caller.outcome == Some(JobOutcome::Failed));
    failed.map(|caller| caller.id.as_str()).collect()
}

#[parameterized(
    kept_ids = { true },
    other_ids = { false },
)]
fn a_task_under_which_two_minions_crashed_is_given_up(keeps_ids: bool) {
    let mut session = session(6, keeps_ids);
    session.crashing.insert("bad".to_owned());
    let bad = session.submit(0, "bad", 1, 900);
    session.run(8_000);
    assert!(session.crashes["bad"] <= MAX_CRASHES);
    let outcome = session.outcome(bad);
    let is_given_up = matches!(outcome, Some(JobOutcome::Failed | JobOutcome::TooLate));
    assert!(is_given_up, "{outcome:?}");
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against failing good jobs: their tasks lose their minion because of a crashing
/// task beside them, and must not be treated as the cause of the crash themselves.
#[test]
fn tasks_beside_a_crashing_one_are_done_elsewhere() {
    let mut session = session(8, false);
    session.crashing.insert("bad".to_owned());
    let good: Vec<usize> = (0..14)
        .map(|number| session.submit(number % 3, &format!("good-{number}"), 4, 900))
        .collect();
    session.run(30);
    session.submit(1, "bad", 1, 900);
    session.run(8_000);
    assert!(session.crashes["bad"] <= MAX_CRASHES);
    for job in good {
        let outcome = session.outcome(job);
        assert_ne!(outcome, Some(JobOutcome::Failed), "{job}");
    }
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Four of the twelve minions crash at once, as in a rack that fails, twice within seconds
/// while many tasks run.
#[test]
fn a_rack_that_crashes_fails_no_job() {
    let mut session = session(12, false);
    for round in 0..40 {
        for number in 0..3 {
            let id = format!("job-{round}-{number}");
            session.submit(number, &id, 4, 300);
        }
        if round == 10 || round == 25 {
            for agent in 0..4 {
                session.restart_with_same_id(agent + (round % 4), 1_500);
            }
        }
        session.run(50);
    }
    session.run(5_000);
    assert_eq!(failed(&session), Vec::<&str>::new());
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Returns the fraction of good jobs that complete within their objective, while one in
/// `bad_divisor` of all jobs crashes minions, or none if that is 0.
fn good_fraction_in_time(bad_divisor: usize) -> f64 {
    let mut session = session(24, false);
    let (mut good, mut jobs) = (Vec::new(), 0);
    for _ in 0..160 {
        for entry in 0..3 {
            jobs += 1;
            let id = format!("job-{jobs}");
            let is_bad = bad_divisor > 0 && jobs % bad_divisor == bad_divisor / 2;
            if is_bad {
                session.crashing.insert(id.clone());
            }
            let job = session.submit(entry, &id, 4, 200);
            if !is_bad {
                good.push(job);
            }
        }
        session.run(25);
    }
    session.run(4_000);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
    let max_crashes = session.crashes.values().max().copied().unwrap_or(0);
    assert!(max_crashes <= MAX_CRASHES, "{max_crashes}");
    // The objective of these jobs is 380 ms.
    let in_time = |job: &&usize| {
        let caller = &session.callers[**job];
        let took_ms = caller.answered_ms.map(|ms| ms - caller.sent_ms);
        caller.outcome == Some(JobOutcome::Completed) && took_ms.is_some_and(|ms| ms <= 380)
    };
    good.iter().filter(in_time).count() as f64 / good.len() as f64
}

#[test]
fn good_jobs_meet_their_objective_beside_one_crashing_job_in_a_hundred() {
    let without = good_fraction_in_time(0);
    let beside = good_fraction_in_time(100);
    println!("in time: {without:.3} without, {beside:.3} beside crashing jobs");
    assert!(beside >= 0.98 * without, "{beside:.3} of {without:.3}");
}

#[test]
fn a_stored_task_is_given_up_after_three_crashes() {
    let mut session = session(8, true);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.crashing.insert("00000000000000b1".to_owned());
    let job = session.store("00000000000000b1", 1, 300);
    session.run_until_ended(job, 60_000);
    assert_eq!(session.crashes["00000000000000b1"], 3);
    let end = session.stored[job].end;
    assert_eq!(end, Some(gannetvane_dispatch::StoredEnd::Failed));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Four of eleven minions crash at once, repeatedly, while short and long jobs run.
/// Some of these minions are idle, so that their agents detect the crash by the next
/// starts.
#[parameterized(
    kept_ids = { true },
    other_ids = { false },
)]
fn crashes_of_several_minions_at_once_fail_no_job_without_cause(keeps_ids: bool) {
    let mut session = session(11, keeps_ids);
    for round in 0..3_000 {
        let (entry, number) = (round % 3, round / 100);
        match round % 4 {
            0 => session.submit(entry, &format!("short-{round}"), 8, 60),
            2 => session.submit(entry, &format!("middle-{round}"), 2, 200),
            _ if round % 16 == 1 => session.submit(entry, &format!("long-{round}"), 4, 900),
            _ => session.submit(entry, &format!("single-{round}"), 1, 100),
        };
        if round % 100 == 50 {
            for agent in (0..4).map(|step| (number + 3 * step) % 11) {
                match keeps_ids {
                    true => session.restart_with_same_id(agent, 600),
                    false => session.crash_minion_for(agent, 600),
                }
            }
        }
        // Orders follow each other quickly while agents detect that their minions are gone.
        let pause_ms = if (50..80).contains(&(round % 100)) {
            1
        } else {
            9
        };
        session.run(pause_ms);
    }
    session.run(5_000);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Leaves this percentage of the calls unanswered; they are carried out 300 ms later.
fn delay_calls(session: &mut Session, percent: u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    session.call_delay = Box::new(move |_, _| (rng.random_range(0..100) < percent).then_some(300));
}

/// Returns the largest number of minions that one of twenty crashing jobs crashed. Each
/// crash comes `after_ms` after the start was answered, while quick jobs arrive all the
/// time.
fn max_crashes_of_a_job(after_ms: u64, delayed_percent: u32) -> usize {
    let mut session = session(24, true);
    session.has_prompt_minions = true;
    session.crash_after_ms = Some(after_ms);
    delay_calls(&mut session, delayed_percent);
    for round in 0..3_000 {
        session.submit(round % 3, &format!("good-{round}"), 2, 20);
        if round % 120 == 119 && round < 2_500 {
            let id = format!("bad-{round}");
            session.crashing.insert(id.clone());
            session.submit(round % 3, &id, 1, 900);
        }
        session.run(3);
    }
    session.run(4_000);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
    session.crashes.values().max().copied().unwrap_or(0)
}

#[parameterized(
    at_once = { 0, 0 },
    later = { 20, 0 },
    at_once_with_delayed_calls = { 0, 5 },
    soon_with_delayed_calls = { 2, 5 },
    later_with_delayed_calls = { 20, 5 },
)]
fn a_task_that_crashes_minions_after_its_start_is_given_up(after_ms: u64, delayed_percent: u32) {
    let max_crashes = max_crashes_of_a_job(after_ms, delayed_percent);
    assert!(max_crashes < MIN_EXCESSIVE_STARTS, "{max_crashes}");
}

#[parameterized(
    later = { 20, 0 },
    soon_with_delayed_calls = { 2, 3 },
)]
fn a_stored_task_that_crashes_minions_after_its_start_is_given_up(
    after_ms: u64,
    delayed_percent: u32,
) {
    let mut session = session(12, true);
    session.has_prompt_minions = true;
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.crash_after_ms = Some(after_ms);
    delay_calls(&mut session, delayed_percent);
    for round in 0..500 {
        for number in 0..12 {
            session.store(&format!("{:016x}", 0x1000 + round * 12 + number), 4, 20);
        }
        if round % 60 == 20 {
            let id = format!("{:016x}", 0xbad_0000 + round);
            session.crashing.insert(id.clone());
            session.store(&id, 1, 900);
        }
        session.run(50);
    }
    let max_crashes = session.crashes.values().max().copied().unwrap_or(0);
    assert!(max_crashes < MIN_EXCESSIVE_STARTS, "{max_crashes}");
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Guards against failing jobs without cause: minions read nothing for a while and then
/// crash, one after the other. Starts and listing calls that are sent meanwhile get no
/// answer but a broken connection.
#[test]
fn minions_that_are_unresponsive_before_they_crash_fail_no_job_without_cause() {
    let mut session = session(11, false);
    session.has_prompt_minions = true;
    for round in 0..600 {
        session.submit(round % 3, &format!("short-{round}"), 4, 60);
        session.submit(round % 3, &format!("long-{round}"), 2, 300);
        if round % 40 == 0 {
            for step in 0..4 {
                let agent = (round / 40 + 3 * step) % 11;
                session.stop_responding_and_crash(agent, 5 + 70 * step as u64);
            }
        }
        session.run(20);
    }
    session.run(3_000);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Times for which crashed minions are silent until they restart, in milliseconds: over the
/// tries of an unanswered start, and several stops after it.
const SILENT_RESTARTS_MS: std::ops::Range<u64> = 10..340;

/// Crashed minions are silent until they restart with the same id. Some of the next
/// incarnations answer the stop of the unanswered start before they answer a listing.
#[test]
fn a_crash_counts_although_the_next_incarnation_answers_the_stop() {
    for down_ms in SILENT_RESTARTS_MS {
        let mut session = session(6, true);
        session.has_prompt_minions = true;
        session.silent_restart_ms = Some(down_ms);
        session.crashing.insert("bad".to_owned());
        session.submit(0, "bad", 1, 900);
        session.run(3_000);
        let crashes = session.crashes["bad"];
        assert!(crashes <= MAX_CRASHES, "{crashes} after {down_ms} ms each");
        assert!(session.violations.is_empty(), "{:?}", session.violations);
    }
}

fn crashes(session: &Session, id: &str) -> usize {
    session.crashes.get(id).copied().unwrap_or(0)
}

fn run_until_crashes(session: &mut Session, id: &str, wanted: usize) {
    for _ in 0..20_000 {
        if crashes(session, id) >= wanted {
            return;
        }
        session.run(1);
    }
}

/// Id of a stored job whose task crashes minions.
const BAD_ID: &str = "00000000000000b1";

/// Creates a session in which the job `BAD_ID` has just been submitted; returns both the
/// session and the position of the job.
fn crashing_stored(keeps_ids: bool) -> (Session, usize) {
    let mut session = session(8, keeps_ids);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.crashing.insert(BAD_ID.to_owned());
    let job = session.store(BAD_ID, 1, 300);
    (session, job)
}

fn assert_given_up(session: &Session, id: &str) {
    let crashed = crashes(session, id);
    assert!(crashed <= MAX_CRASHES_OVER_ENTRIES, "{crashed}");
}

/// The owner of a crashing stored job is killed after two minions have crashed.
#[test]
fn a_crashing_stored_task_is_given_up_by_its_next_owner() {
    let (mut session, job) = crashing_stored(true);
    let id = BAD_ID;
    run_until_crashes(&mut session, id, 2);
    session.run(100);
    let owner = session
        .owner_of(id)
        .expect("the job's partition should have an owner");
    session.kill_entry(owner, 30_000);
    session.run_until_ended(job, 60_000);
    assert_given_up(&session, id);
}

/// A caller whose connection broke sends a crashing job again to another entry.
#[test]
fn a_crashing_task_is_given_up_after_its_job_is_resent_to_another_entry() {
    let mut session = session(8, true);
    session.crashing.insert("bad".to_owned());
    let job = session.submit(0, "bad", 1, 900);
    run_until_crashes(&mut session, "bad", 2);
    session.disconnect_caller(job);
    session.run(8_000);
    assert_given_up(&session, "bad");
}

/// Each entry that has the job is killed before it receives the report of the crash, so
/// that only the agents have recorded it.
#[test]
fn agents_report_crashes_that_no_entry_has_seen() {
    let mut session = session(8, true);
    session.crashing.insert("bad".to_owned());
    session.submit(0, "bad", 1, 900);
    for (entry, crashed) in [(0, 1), (1, 2)] {
        run_until_crashes(&mut session, "bad", crashed);
        session.kill_entry(entry, 30_000);
    }
    session.run(8_000);
    assert_given_up(&session, "bad");
}

/// The log refuses all calls from the first crash until all entries have lost their
/// partitions.
#[parameterized(
    kept_ids = { true },
    other_ids = { false },
)]
fn a_crash_that_the_log_refused_counts_for_the_next_owner(keeps_ids: bool) {
    let (mut session, job) = crashing_stored(keeps_ids);
    let id = BAD_ID;
    run_until_crashes(&mut session, id, 1);
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Refused);
    session.run(4_000);
    assert_eq!(
        crashes(&session, id),
        1,
        "no other start before it is recorded"
    );
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Served);
    session.run_until_ended(job, 60_000);
    assert_given_up(&session, id);
}

/// All entries and agents are killed after each of two crashes, so that only the log has
/// recorded them.
#[test]
fn crashes_recorded_only_in_the_log_count() {
    let (mut session, job) = crashing_stored(true);
    let id = BAD_ID;
    for crashed in 1..=2 {
        run_until_crashes(&mut session, id, crashed);
        session.run(100);
        (0..3).for_each(|entry| session.kill_entry(entry, 500));
        (0..8).for_each(|agent| session.kill_agent(agent, 500));
    }
    session.run_until_ended(job, 60_000);
    assert_given_up(&session, id);
}

/// All agents are killed at the first crash, so that nobody observes how the run ended.
/// The crashes after it are observed.
#[test]
fn a_crash_together_with_its_agent_counts_beside_an_observed_one() {
    let (mut session, job) = crashing_stored(true);
    let id = BAD_ID;
    run_until_crashes(&mut session, id, 1);
    (0..8).for_each(|agent| session.kill_agent(agent, 100));
    session.run_until_ended(job, 60_000);
    assert_given_up(&session, id);
}

/// Waits until a minion runs the only task of a job; returns its agent.
fn run_until_started(session: &mut Session, id: &str) -> usize {
    for _ in 0..5_000 {
        let runs_job = |agent: &usize| {
            let mut running = session.minions[*agent].running();
            running.any(|key| &*key.task.job == id)
        };
        if let Some(agent) = (0..session.minions.len()).find(runs_job) {
            return agent;
        }
        session.run(1);
    }
    panic!("{id} should have been started");
}

/// An agent is lost and its minion crashes after the lease of its run has lapsed, twice
/// under the same task; then a third minion crashes under it.
#[test]
fn minions_lost_with_their_agents_and_one_crash_fail_no_job() {
    let mut session = session(8, true);
    let job = session.submit_declared(0, "good", 1, 900, 3_000);
    for _ in 0..2 {
        let agent = run_until_started(&mut session, "good");
        session.run(200);
        session.kill_agent(agent, 900);
        session.run(600);
        session.restart_with_same_id(agent, 100);
        session.run(500);
    }
    let agent = run_until_started(&mut session, "good");
    session.run(200);
    session.restart_with_same_id(agent, 600);
    session.run(4_000);
    assert_eq!(session.outcome(job), Some(JobOutcome::Completed));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

/// Minions crash before they have read the start of a task; later one crashes under it.
#[test]
fn a_start_that_no_minion_read_and_one_crash_fail_no_job() {
    let mut session = session(6, false);
    for agent in 0..6 {
        session.stop_responding_and_crash(agent, 4);
    }
    let job = session.submit_declared(0, "good", 1, 900, 3_000);
    session.run(100);
    let agent = run_until_started(&mut session, "good");
    session.run(300);
    session.crash_minion_for(agent, 600);
    session.run(5_000);
    assert_eq!(session.outcome(job), Some(JobOutcome::Completed));
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}
