//! Stored jobs under failures of their owners, agents, minions and the job log.

mod session;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gannetvane_dispatch::Partition;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::StoredEnd;
use gannetvane_dispatch::TaskId;
use session::Behavior;
use session::LogCallOutcome;
use session::PARTITIONS;
use session::Session;
use yare::parameterized;

/// Time within which the next owner of a partition ends a job, in milliseconds: 1.2 s
/// until the log reassigns the partition, 2.7 s until the former owner's runs are gone,
/// and the time that the tasks run.
const TAKEOVER_MS: u64 = 7_000;
/// Time after which all ends have a disposition and all callers have their answers, in
/// milliseconds.
const RECOVERY_MS: u64 = 9_000;

fn check(session: &mut Session) {
    session.run(RECOVERY_MS);
    session.check_stored();
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn a_stored_job_is_done_once_and_its_ends_count() {
    let mut session = Session::new(2, 3);
    let job = session.store("00000000000000a1", 6, 100);
    session.run_until_ended(job, 1_000);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    let starts: usize = session.starts.values().sum();
    assert_eq!(starts, 6);
    check(&mut session);
}

#[test]
fn ends_that_are_recorded_with_the_release_of_a_partition_get_a_disposition() {
    let mut session = Session::new(2, 3);
    // The first entry owns all partitions until some are assigned to the second one,
    // while runs of different lengths end.
    for n in 0..24 {
        session.store(&format!("00000000000001{n:02x}"), 2, 30 + n * 37);
        session.run(17);
    }
    session.run(3_000);
    assert!(session.minions.iter().all(|minion| !minion.has_ends()));
    check(&mut session);
}

#[parameterized(
    before_the_first_end = { 20 },
    between_ends = { 330 },
    as_the_last_end_is_recorded = { 318 },
    after_the_end = { 400 },
)]
fn the_next_owner_completes_the_job_of_a_killed_owner(kill_after_ms: u64) {
    let mut session = Session::new(3, 3);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let job = session.store("00000000000000b1", 4, 300);
    session.run(kill_after_ms);
    let owner = session
        .owner_of("00000000000000b1")
        .expect("the job's partition should have an owner");
    session.kill_entry(owner, 20_000);
    session.run_until_ended(job, TAKEOVER_MS);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    check(&mut session);
}

#[test]
fn the_next_owner_takes_over_an_unrecorded_end_without_a_second_run() {
    let mut session = Session::new(2, 2);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let job = session.store("00000000000000b1", 2, 300);
    session.run(100);
    let owner = session
        .owner_of("00000000000000b1")
        .expect("the job's partition should have an owner");
    // The log drops all calls of the owner, which is killed after that.
    session.log_outcome = Box::new(move |_, entry| {
        if entry == owner {
            LogCallOutcome::Dropped
        } else {
            LogCallOutcome::Served
        }
    });
    session.run(400);
    session.kill_entry(owner, 20_000);
    session.run_until_ended(job, TAKEOVER_MS);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    let starts: usize = session.starts.values().sum();
    assert_eq!(starts, 1 + 2, "no task of the job started again");
    check(&mut session);
}

#[parameterized(
    short = { 600 },
    longer_than_its_lease = { 6_000 },
)]
fn other_entries_take_over_from_an_owner_that_is_refused_or_suspended(for_ms: u64) {
    for is_suspended in [false, true] {
        let mut session = Session::new(3, 3);
        let jobs: Vec<usize> = (0..8)
            .map(|n| session.store(&format!("00000000000002{n:02x}"), 3, 900))
            .collect();
        session.run(700);
        if is_suspended {
            session.suspend_entry(0, for_ms);
        } else {
            session.log_outcome = Box::new(|_, entry| match entry {
                0 => LogCallOutcome::Refused,
                _ => LogCallOutcome::Served,
            });
        }
        session.run(for_ms);
        session.log_outcome = Box::new(|_, _| LogCallOutcome::Served);
        for job in jobs {
            session.run_until_ended(job, 12_000);
            assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
        }
        check(&mut session);
    }
}

#[test]
fn all_partitions_are_reassigned_while_jobs_run() {
    let mut session = Session::new(3, 3);
    let jobs: Vec<usize> = (0..9)
        .map(|n| session.store(&format!("00000000000003{n:02x}"), 2, 700))
        .collect();
    session.run(900);
    session.log.rebalance();
    session.run(400);
    session.log.rebalance();
    for job in jobs {
        session.run_until_ended(job, 15_000);
        assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    }
    check(&mut session);
}

#[test]
fn a_planned_stop_hands_jobs_over_without_a_second_run() {
    let mut session = Session::new(2, 3);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let jobs: Vec<usize> = (0..8)
        .map(|n| session.store(&format!("00000000000004{n:02x}"), 2, 400))
        .collect();
    session.run(100);
    session.stop_entry(0);
    for job in jobs {
        session.run_until_ended(job, 3_000);
        assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    }
    let starts: usize = session.starts.values().sum();
    assert_eq!(starts, 1 + 16);
    assert!(session.ledger(0).can_stop());
    check(&mut session);
}

#[parameterized(
    lost_answers = { LogCallOutcome::AnswerLost },
    delayed_appends = { LogCallOutcome::Delayed(1_200) },
    refusals = { LogCallOutcome::Refused },
    dropped_calls = { LogCallOutcome::Dropped },
)]
fn jobs_end_after_a_failure_of_the_log(outcome: LogCallOutcome) {
    let mut session = Session::new(2, 3);
    let early: Vec<usize> = (0..6)
        .map(|n| session.store(&format!("00000000000005{n:02x}"), 2, 500))
        .collect();
    session.run(900);
    session.log_outcome = Box::new(move |_, _| outcome);
    let late: Vec<usize> = (0..6)
        .map(|n| session.store(&format!("00000000000006{n:02x}"), 2, 100))
        .collect();
    session.run(4_000);
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Served);
    for job in early {
        session.run_until_ended(job, 15_000);
        assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    }
    session.run(10_000);
    for job in late {
        let state = &session.stored[job];
        assert!(state.refusals > 0 || state.end.is_some(), "{state:?}");
    }
    check(&mut session);
}

#[test]
fn a_restarted_agent_acknowledges_no_unrecorded_end() {
    let mut session = Session::new(2, 2);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let job = session.store("00000000000000b1", 8, 200);
    session.run(150);
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Dropped);
    session.run(80);
    session.kill_agent(0, 50);
    session.kill_agent(1, 80);
    session.run(300);
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Served);
    session.run_until_ended(job, 8_000);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
    check(&mut session);
}

#[test]
fn ends_that_the_minion_does_not_list_are_not_treated_as_lost() {
    let mut session = Session::new(1, 1);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    // Some ends stay unrecorded, while callers submit other jobs all the time.
    session.store("00000000000000b1", 4, 100);
    session.run(60);
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Dropped);
    let mut callers = Vec::new();
    for n in 0..140 {
        callers.push(session.submit(0, &format!("job-{n}"), 8, 10));
        session.run(30);
    }
    session.log_outcome = Box::new(|_, _| LogCallOutcome::Served);
    session.run(3_000);
    let minion = &session.minions[0];
    let runs: BTreeSet<&RunKey> = minion.done.iter().collect();
    let tasks: BTreeSet<&TaskId> = minion.done.iter().map(|key| &key.task).collect();
    assert_eq!(runs.len(), tasks.len(), "no task was done twice");
    let answered = callers
        .iter()
        .filter(|caller| session.outcome(**caller).is_some());
    assert_eq!(answered.count(), callers.len());
    check(&mut session);
}

#[test]
fn tasks_of_a_minion_that_is_lost_for_good_run_elsewhere() {
    let mut session = Session::new(2, 3);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let job = session.store("00000000000000b1", 6, 600);
    session.run(150);
    // From now on no call to the first minion is answered or carried out.
    session.call_delay = Box::new(|_, agent| (agent == 0).then_some(u64::MAX / 2));
    session.run_until_ended(job, 3_000);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Completed));
}

#[test]
fn a_cancelled_job_stays_cancelled_at_the_next_owner() {
    let mut session = Session::new(3, 3);
    let job = session.store("00000000000000b1", 4, 5_000);
    session.run(1_500);
    session.cancel_stored(job);
    session.run(200);
    assert!(session.stored[job].is_cancelled);
    let owner = session
        .owner_of("00000000000000b1")
        .expect("the job's partition should have an owner");
    session.kill_entry(owner, 20_000);
    session.run_until_ended(job, TAKEOVER_MS);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Cancelled));
    let running: usize = session
        .minions
        .iter()
        .map(|minion| minion.running().count())
        .sum();
    assert_eq!(running, 0);
    check(&mut session);
}

#[test]
fn the_record_of_an_ended_job_has_its_runs_and_step_sizes() {
    let id = "00000000000000b1";
    let mut session = Session::new(1, 1);
    let job = session.store(id, 2, 100);
    session.run_until_ended(job, 5_000);
    let done = session.minions[0].done.iter();
    let done: BTreeMap<u32, u32> = done.map(|key| (key.task.index, key.run)).collect();
    let ended_variant = 1_u32;
    let expected = (ended_variant, StoredEnd::Completed, done, vec![2_u32]);
    let expected = postcard::to_stdvec(&expected).expect("numbers should be encodable");
    let partition = Partition::of(id, PARTITIONS);
    let records = session.log.newest(partition).into_iter();
    let values: Vec<Vec<u8>> = records
        .filter(|record| &*record.key == id)
        .map(|record| record.value)
        .collect();
    assert_eq!(values, [expected]);
    check(&mut session);
}

#[test]
fn failed_runs_count_over_a_change_of_owner() {
    let mut session = Session::new(3, 3);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    for minion in &mut session.minions {
        minion.behavior = Behavior::Failing;
    }
    let job = session.store("00000000000000b1", 1, 100);
    session.run_until_ended(job, 2_000);
    assert_eq!(session.stored[job].end, Some(StoredEnd::Failed));
    let starts: usize = session.starts.values().sum();
    // The queue allows three attempts.
    assert_eq!(starts, 1 + 3);
    check(&mut session);
}

#[test]
fn an_entry_without_stored_jobs_leaves_the_log_alone() {
    let mut session = Session::new(2, 2);
    let caller = session.submit(0, "job-1", 4, 50);
    session.run_until_answered(caller, 2_000);
    assert_eq!((session.log.joins, session.log.appends), (0, 0));
}

/// Guards against a partition that stands still for good because its next append is larger
/// than the store accepts: jobs of many steps arrive at the same time.
#[test]
fn large_jobs_that_arrive_together_are_all_accepted() {
    const STEPS: u32 = 260;
    let mut session = Session::new(2, 3);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    let step = |number| Step {
        count: 1,
        needs: Resources {
            cpu_milli: 10,
            memory_mb: 1,
            accelerators: 0,
        },
        declared_ms: 60_000,
        after: (0..number).collect(),
        ..Step::default()
    };
    let steps: Vec<Step> = (0..STEPS).map(step).collect();
    let ids = (0x100..).map(|id: u64| format!("{id:016x}"));
    let in_one_partition = |id: &String| Partition::of(id, PARTITIONS) == Partition(0);
    let ids: Vec<String> = ids.filter(in_one_partition).take(64).collect();
    let jobs: Vec<usize> = ids
        .iter()
        .map(|id| session.store_steps(id, steps.clone()))
        .collect();
    session.run(2_000);
    let accepted = jobs.iter().filter(|job| session.stored[**job].is_accepted);
    assert_eq!(accepted.count(), jobs.len());
}

/// Guards against jobs that are not counted as pending although none of their tasks has
/// started: their starts got no answer from a minion that was then given up.
#[parameterized(
    kept_ids = { true },
    other_ids = { false },
)]
fn jobs_whose_starts_got_no_answer_are_pending(keeps_ids: bool) {
    const JOBS: u32 = 10;
    let mut session = Session::new(2, 3);
    session.has_prompt_minions = true;
    if keeps_ids {
        session.report_start_times();
    }
    session.set_labels(2, &["b"]);
    let warm = session.store("0000000000000001", 1, 10);
    session.run_until_ended(warm, 5_000);
    session.run(1_500);
    session.call_delay = Box::new(|_, agent| (agent == 2).then_some(10_000_000));
    let step = Step {
        count: 1,
        needs: session::TASK_RESOURCES,
        declared_ms: 1_000,
        required_label: Some("b".into()),
        ..Step::default()
    };
    for id in 0..JOBS {
        session.store_steps(&format!("{:016x}", 0x300 + id), vec![step.clone()]);
    }
    session.run(5_200);
    let pending = session.pending(0) + session.pending(1);
    assert_eq!(pending, JOBS);
}
