//! Retained ends on which the next owner of a partition decides from the records of the log: by
//! task and run, and by how the run ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::AppendResult;
use gannetvane_dispatch::Assignment;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::Disposition;
use gannetvane_dispatch::Ledger;
use gannetvane_dispatch::LedgerAction;
use gannetvane_dispatch::LedgerSettings;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::LogRecord;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::Partition;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RetainedEnd;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::StoredEnd;
use gannetvane_dispatch::StoredJob;
use gannetvane_dispatch::TaskId;
use gannetvane_wire::NodeId;
use yare::parameterized;

const NOW_MS: u64 = 1_000;
const AGENT: LinkId = LinkId(1);
const JOB: &str = "00000000000000b1";
const PARTITION: Partition = Partition(0);
/// Number of the variant for an ended job in the encoding of a job's record.
const ENDED: u32 = 1;
/// Number of the variant for an open job.
const OPEN: u32 = 0;
/// First runs of two tasks in the first epoch; the second one superseded the first.
const RUN: u32 = 4_098;
const LATER_RUN: u32 = 4_099;

/// Returns the disposition that the owner sends for an end of `run` of the task, after it
/// has read this value as the record of the task's job.
fn disposition(value: Vec<u8>, step: u32, index: u32, run: u32) -> Option<Disposition> {
    let record = LogRecord {
        key: JOB.into(),
        value,
    };
    disposition_from(&[record], step, index, run)
}

/// Returns the disposition that the owner sends for the end of a run that did the task, after
/// it has read these records.
fn disposition_from(records: &[LogRecord], step: u32, index: u32, run: u32) -> Option<Disposition> {
    let settings = DispatcherSettings {
        zone: "selfoss".into(),
        remote_factor: 1.0,
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(settings, NOW_MS);
    let mut ledger = serving_ledger(records, &mut dispatcher);
    let task = TaskId {
        job: JOB.into(),
        step,
        index,
    };
    dispatcher.agent_up(NOW_MS, AGENT, hello(task, run));
    ledger.tick(NOW_MS, &mut dispatcher);
    dispatcher.tick(NOW_MS);
    let actions = dispatcher.take_actions().into_iter();
    let orders = actions.filter_map(|action| match action {
        DispatcherAction::Send(AGENT, frame) => Some(frame.orders),
        _ => None,
    });
    orders.flatten().find_map(|order| match order {
        Order::Disposition(_, disposition) => Some(disposition),
        _ => None,
    })
}

/// Returns a ledger that owns a partition with these records.
fn serving_ledger(records: &[LogRecord], dispatcher: &mut Dispatcher) -> Ledger {
    let mut ledger = Ledger::new(LedgerSettings {
        partitions: 1,
        store_writes_per_s: 1_000,
    });
    ledger.activate(NOW_MS);
    let assignment = Assignment {
        generation: 1,
        partitions: [PARTITION].into(),
    };
    ledger.joined(NOW_MS, NOW_MS, Some(assignment), dispatcher);
    ledger.tick(NOW_MS, dispatcher);
    let claim = AppendResult::Appended(1);
    ledger.appended(NOW_MS, PARTITION, 1, 0, claim, dispatcher);
    let load = ledger.take_actions().into_iter().find_map(|action| {
        let LedgerAction::Load { load, .. } = action else {
            return None;
        };
        Some(load)
    });
    let load = load.expect("the claimed partition should be read");
    ledger.loaded(NOW_MS, PARTITION, load, Some(records));
    ledger
}

fn hello(task: TaskId, run: u32) -> AgentHello {
    let end = RetainedEnd {
        number: 1,
        task,
        run,
        is_done: true,
    };
    AgentHello {
        node: NodeId(1),
        host: "side-selfoss-hall-1".into(),
        zone: "selfoss".into(),
        service: "bretti-desk".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        clock_ms: 0,
        retained_ends: vec![end],
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: "minion-1".into(),
    }
}

/// Encodes the record of an ended job with the runs that did its tasks, by position, and the
/// number of tasks in each step.
fn record(end: StoredEnd, runs: &[u32], step_counts: &[u32]) -> Vec<u8> {
    let mut value = record_without_steps(end, runs);
    value.extend(postcard::to_stdvec(step_counts).expect("numbers should be encodable"));
    value
}

/// Encodes the record of an ended job as it was written before it had step sizes.
fn record_without_steps(end: StoredEnd, runs: &[u32]) -> Vec<u8> {
    let done: BTreeMap<u32, u32> = (0..).zip(runs.iter().copied()).collect();
    postcard::to_stdvec(&(ENDED, end, done)).expect("numbers should be encodable")
}

#[parameterized(
    run_of_the_task = { 0, 0, RUN, Disposition::Recorded },
    run_of_another_task = { 0, 1, RUN, Disposition::Superseded },
    later_run = { 0, 1, LATER_RUN, Disposition::Recorded },
    run_of_the_task_in_the_next_step = { 1, 0, RUN, Disposition::Recorded },
    run_of_another_task_in_the_next_step = { 1, 0, LATER_RUN, Disposition::Superseded },
    unknown_task = { 1, 1, RUN, Disposition::Superseded },
)]
fn an_end_counts_only_for_its_own_task(step: u32, index: u32, run: u32, expected: Disposition) {
    let value = record(StoredEnd::Completed, &[RUN, LATER_RUN, RUN], &[2, 1]);
    assert_eq!(disposition(value, step, index, run), Some(expected));
}

#[parameterized(
    run_of_the_task = { 0, 0, RUN, Disposition::Recorded },
    run_of_another_task = { 0, 1, RUN, Disposition::Superseded },
    later_run = { 0, 1, LATER_RUN, Disposition::Recorded },
    uncertain_task = { 1, 0, RUN, Disposition::Superseded },
)]
fn an_end_counts_only_for_its_own_task_without_step_sizes(
    step: u32,
    index: u32,
    run: u32,
    expected: Disposition,
) {
    let value = record_without_steps(StoredEnd::Completed, &[RUN, LATER_RUN, RUN]);
    assert_eq!(disposition(value, step, index, run), Some(expected));
}

/// If the same run did all tasks of a job, it did the task in question, whatever the sizes
/// of the steps.
#[parameterized(
    all_tasks = { StoredEnd::Completed, Disposition::Recorded },
    some_tasks = { StoredEnd::Failed, Disposition::Superseded },
)]
fn an_end_counts_without_step_sizes_if_its_run_did_all_tasks(
    end: StoredEnd,
    expected: Disposition,
) {
    let value = record_without_steps(end, &[RUN, RUN, RUN]);
    assert_eq!(disposition(value, 1, 0, RUN), Some(expected));
}

/// Entries that know no step sizes read the present records during an upgrade: the
/// encoding that they know comes first, and they ignore the rest.
#[test]
fn a_record_with_step_sizes_begins_with_the_former_encoding() {
    let value = record(StoredEnd::Completed, &[RUN, LATER_RUN], &[2]);
    let decoded: (u32, StoredEnd, BTreeMap<u32, u32>) =
        postcard::from_bytes(&value).expect("the rest should be ignored");
    let done = [(0, RUN), (1, LATER_RUN)].into();
    assert_eq!(decoded, (ENDED, StoredEnd::Completed, done));
}

/// Returns the records of an open job of one task, of which these runs failed.
fn open_job_with_failures(failed: &[u32]) -> [LogRecord; 2] {
    let queue = Queue {
        name: "slot-check".into(),
        host: "desk.example".into(),
        path_prefix: "/slots/".into(),
        service: "bretti-desk".into(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        needs_advice: false,
    };
    let job = StoredJob {
        id: JOB.into(),
        spec: "".into(),
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        queue: Arc::new(queue),
    };
    let failures: BTreeMap<u32, BTreeSet<u32>> = [(0, failed.iter().copied().collect())].into();
    let no_runs: BTreeMap<u32, u32> = BTreeMap::new();
    let progress = (&no_runs, failures, &no_runs);
    [
        LogRecord {
            key: JOB.into(),
            value: postcard::to_stdvec(&(OPEN, job)).expect("a job should be encodable"),
        },
        LogRecord {
            key: format!("{JOB}.progress").into(),
            value: postcard::to_stdvec(&progress).expect("numbers should be encodable"),
        },
    ]
}

/// Guards against a second end that counts: a later incarnation of the minion carries out the
/// start of a run that failed, and its end was taken for the recorded one.
#[test]
fn a_run_that_failed_is_not_done_by_a_later_incarnation() {
    let records = open_job_with_failures(&[RUN]);
    let disposition = disposition_from(&records, 0, 0, RUN);
    assert_eq!(disposition, Some(Disposition::Superseded));
}
