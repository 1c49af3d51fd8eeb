//! Retained ends of ended jobs: the next owner of a partition decides on them by task and run,
//! from the records of the log.

use std::collections::BTreeMap;

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
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RetainedEnd;
use gannetvane_dispatch::StoredEnd;
use gannetvane_dispatch::TaskId;
use gannetvane_wire::NodeId;
use yare::parameterized;

const NOW_MS: u64 = 1_000;
const AGENT: LinkId = LinkId(1);
const JOB: &str = "00000000000000b1";
const PARTITION: Partition = Partition(0);
/// Number of the variant for an ended job in the encoding of a job's record.
const ENDED: u32 = 1;
/// First runs of two tasks in the first epoch; the second one superseded the first.
const RUN: u32 = 4_098;
const LATER_RUN: u32 = 4_099;

/// Returns the disposition that the owner sends for an end of `run` of the task, after it
/// has read this value as the record of the task's job.
fn disposition(value: Vec<u8>, step: u32, index: u32, run: u32) -> Option<Disposition> {
    let settings = DispatcherSettings {
        zone: "selfoss".into(),
        remote_factor: 1.0,
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(settings, NOW_MS);
    let mut ledger = serving_ledger(value, &mut dispatcher);
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

/// Returns a ledger that owns a partition with this value as the record of the job.
fn serving_ledger(value: Vec<u8>, dispatcher: &mut Dispatcher) -> Ledger {
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
    let record = LogRecord {
        key: JOB.into(),
        value,
    };
    ledger.loaded(NOW_MS, PARTITION, load, Some(&[record]));
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
