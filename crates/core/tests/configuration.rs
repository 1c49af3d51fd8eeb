//! Tests that an accepted change takes effect at all processes and is never
//! reverted, and that exactly one of several changes on the same version is
//! accepted.

mod session;

use gannetvane_core::ChangeOutcome;
use gannetvane_core::ConfigurationStore;
use gannetvane_core::LogPage;
use gannetvane_core::LoggedRecord;
use gannetvane_core::PlanError;
use gannetvane_core::Reply;
use gannetvane_wire::Change;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::NodeId;
use gannetvane_wire::Operation;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::ServiceConfig;
use gannetvane_wire::TeamConfig;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use session::LogFault;
use session::Session;
use session::Transmission;
use session::request;
use yare::parameterized;

const ENTRY: NodeId = NodeId(1);
const OTHER_ENTRY: NodeId = NodeId(2);

/// Returns the reply to a caller, which must have arrived.
fn reply_to(session: &Session, caller: gannetvane_core::CallerId) -> Reply {
    session.calls[&caller].reply.clone().expect("a reply")
}

/// Returns what ran and the reason, if the reply is an answer.
fn ran_and_reason(session: &Session, caller: gannetvane_core::CallerId) -> Option<(Ran, Reason)> {
    match reply_to(session, caller) {
        Reply::Answer(answer) => Some((answer.ran, answer.reason)),
        _ => None,
    }
}

#[test]
fn confirmed_change_is_in_force_everywhere_within_seconds() {
    let mut session = Session::new(3, 9);
    let caller = session.confirm(ENTRY, "weights", 1, 7);
    let is_everywhere = session.run_until(5_000, |s| s.versions().iter().all(|v| *v == 2));
    assert!(is_everywhere, "{:?}", session.versions());
    assert_eq!(
        reply_to(&session, caller),
        Reply::ChangeAccepted { version: 2 }
    );
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_is_refused() {
    let mut session = Session::new(2, 6);
    let first = session.confirm(ENTRY, "ours", 1, 7);
    let second = session.confirm(OTHER_ENTRY, "theirs", 1, 9);
    session.run_for(5_000);
    let replies = [reply_to(&session, first), reply_to(&session, second)];
    let accepted = replies
        .iter()
        .filter(|r| **r == Reply::ChangeAccepted { version: 2 })
        .count();
    assert_eq!(accepted, 1, "{replies:?}");
    let refused = if replies[0] == (Reply::ChangeAccepted { version: 2 }) {
        second
    } else {
        first
    };
    assert_eq!(
        ran_and_reason(&session, refused),
        Some((Ran::NotRun, Reason::VersionConflict))
    );
    assert!(session.versions().iter().all(|v| *v == 2));
}

#[test]
fn first_change_on_a_version_in_the_log_is_accepted() {
    let change = |id: &str, base_version, weight| Change {
        change_id: id.into(),
        base_version,
        operations: vec![put_team("desk", weight)],
    };
    let changes = [
        change("ours", 0, 3),
        change("theirs", 0, 5),
        change("next", 1, 7),
    ];
    let mut store = ConfigurationStore::default();
    store.read(0, page(&changes, 0, 2));
    assert_eq!(store.current().version, 1);
    assert_eq!(store.current().teams["desk"].weight, 3);
    assert_eq!(store.outcome(&"ours".into()), ChangeOutcome::Accepted);
    assert_eq!(store.outcome(&"theirs".into()), ChangeOutcome::Conflict);
    store.read(0, page(&changes, 2, 3));
    assert_eq!(store.current().version, 2);
}

#[test]
fn submission_right_after_a_change_is_admitted_under_the_new_configuration() {
    let mut session = Session::empty();
    for number in 101..107 {
        session.add_agent(number);
    }
    session.add_entry(1);
    session.run_for(3_000);
    // Announcements of the configuration are dropped until a process pulls it.
    let mut was_asked = false;
    session.set_transmission(move |envelope, _| match envelope.message {
        Message::ConfigurationPull => {
            was_asked = true;
            Transmission::Deliver
        }
        Message::ConfigurationState(_) if !was_asked => Transmission::Drop,
        _ => Transmission::Deliver,
    });
    session.configure();
    let id = session.take_id(ENTRY);
    let caller = session.submit(ENTRY, id, &request(50, false));
    assert_eq!(session.await_answer(caller).outcome, Outcome::Complete);
}

#[test]
fn lost_answer_to_an_append_is_resolved_by_reading_the_log() {
    let mut session = Session::new(1, 6);
    session.log.fault = LogFault::LoseAnswers;
    let first = session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(6_000);
    session.log.fault = LogFault::None;
    let repeated = session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(6_000);
    assert_eq!(
        reply_to(&session, repeated),
        Reply::ChangeAccepted { version: 2 }
    );
    let first = ran_and_reason(&session, first);
    assert!(matches!(first, None | Some((Ran::Unknown, _))), "{first:?}");
    let appended = session
        .log
        .records
        .iter()
        .filter(|record| is_change(record, "weights"))
        .count();
    assert_eq!(appended, 1, "the change was not appended exactly once");
    assert!(session.versions().iter().all(|v| *v == 2));
}

#[test]
fn repeated_confirmation_changes_nothing() {
    let mut session = Session::new(2, 6);
    let first = session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(3_000);
    let other = session.confirm(OTHER_ENTRY, "others", 2, 8);
    session.run_for(3_000);
    let repeated = session.confirm(OTHER_ENTRY, "weights", 1, 7);
    session.run_for(3_000);
    assert_eq!(
        reply_to(&session, first),
        Reply::ChangeAccepted { version: 2 }
    );
    assert_eq!(
        reply_to(&session, other),
        Reply::ChangeAccepted { version: 3 }
    );
    assert_eq!(
        reply_to(&session, repeated),
        Reply::ChangeAccepted { version: 3 }
    );
    assert!(session.versions().iter().all(|v| *v == 3));
}

#[test]
fn confirmation_while_the_log_is_down_is_unknown_at_once() {
    let mut session = Session::new(1, 6);
    session.log.fault = LogFault::Down;
    let caller = session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(100);
    assert_eq!(
        ran_and_reason(&session, caller),
        Some((Ran::Unknown, Reason::LogDown))
    );
    session.run_for(3_600_000);
    assert!(
        session.versions().iter().all(|v| *v == 1),
        "the configuration was reverted during the outage"
    );
    session.log.fault = LogFault::None;
    let repeated = session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(5_000);
    assert_eq!(
        reply_to(&session, repeated),
        Reply::ChangeAccepted { version: 2 }
    );
}

#[test]
fn slow_log_accepts_at_most_one_of_two_concurrent_changes() {
    let mut session = Session::new(2, 6);
    session.log.fault = LogFault::Slow(1_500);
    let first = session.confirm(ENTRY, "ours", 1, 7);
    let second = session.confirm(OTHER_ENTRY, "theirs", 1, 9);
    session.run_for(20_000);
    let accepted = [first, second]
        .iter()
        .filter(|caller| matches!(reply_to(&session, **caller), Reply::ChangeAccepted { .. }))
        .count();
    assert!(accepted <= 1);
    assert!(
        session.versions().iter().all(|v| *v == 2),
        "{:?}",
        session.versions()
    );
}

#[test]
fn snapshot_is_written_before_the_log_drops_the_previous_one() {
    let mut session = Session::new(1, 6);
    session.run_for(3_600_000);
    let snapshots = session
        .log
        .records
        .iter()
        .filter(|r| matches!(r, LogRecord::Snapshot(_)));
    assert!(snapshots.count() >= 3, "the retention is an hour");
    // The log retains only its newest record, a snapshot, and all processes
    // are replaced, so the configuration can only come from that snapshot.
    session.log.retain_newest(1);
    for node in session.agents() {
        session.kill(node);
    }
    session.kill(ENTRY);
    for number in 201..204 {
        session.add_agent(number);
    }
    let entry = session.add_entry(20);
    session.run_for(5_000);
    assert_eq!(session.entry(entry).configuration().current().version, 1);
}

#[test]
fn process_started_during_a_log_outage_gets_the_configuration_from_others() {
    let mut session = Session::new(1, 6);
    session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(3_000);
    session.log.fault = LogFault::Down;
    let entry = session.add_entry(20);
    session.run_for(3_000);
    assert_eq!(session.entry(entry).configuration().current().version, 2);
}

#[test]
fn suspended_process_that_missed_a_dropped_change_catches_up() {
    let mut session = Session::new(2, 6);
    let suspended = NodeId(103);
    session.suspend(suspended);
    session.confirm(ENTRY, "weights", 1, 7);
    session.run_for(3_000);
    session.log.retain_newest(0);
    session.confirm(ENTRY, "others", 2, 8);
    session.run_for(3_000);
    session.resume(suspended);
    let is_current = session.run_until(60_000, |s| s.versions().iter().all(|v| *v == 3));
    assert!(is_current, "{:?}", session.versions());
}

fn is_change(record: &LogRecord, id: &str) -> bool {
    matches!(record, LogRecord::Change(change) if &*change.change_id == id)
}

fn put_team(name: &str, weight: u16) -> Operation {
    let team = TeamConfig {
        weight,
        max_queued_tasks: 10,
        max_running_tasks: 10,
    };
    Operation::PutTeam {
        name: Name::from(name),
        team,
    }
}

fn put_service(max_tasks_per_job: u16) -> Operation {
    let service = ServiceConfig {
        preference: gannetvane_wire::Preference::Messages,
        max_tasks_per_job,
        max_queued_tasks: 10,
        max_homes: 1,
    };
    Operation::PutService {
        name: Name::from("ledger-svc"),
        service,
    }
}

#[parameterized(
    nothing = { vec![], "operations: 0 given, from 1 to 256 allowed" },
    weight = { vec![put_team("desk", 0)], "desk.weight: 0 given, from 1 to 1000 allowed" },
    tasks = {
        vec![put_service(2_000)],
        "ledger-svc.max_tasks_per_job: 2000 given, from 1 to 1024 allowed"
    },
    name = {
        vec![put_team("Desk 1", 1)],
        "name \"Desk 1\": from 1 to 64 of the characters a-z, 0-9, '-', '_' and '.' allowed"
    },
    missing = {
        vec![Operation::RemoveTeam { name: "desk".into() }],
        "team \"desk\": does not exist, so it cannot be removed"
    },
)]
fn operations_that_cannot_be_planned_are_refused_with_a_reason(
    operations: Vec<Operation>,
    expected: &str,
) {
    let store = ConfigurationStore::default();
    let error: PlanError = store.plan("change-1".into(), operations).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn plan_tells_each_effect_in_order() {
    let store = ConfigurationStore::default();
    let operations = vec![
        put_team("desk", 1),
        put_team("desk", 2),
        Operation::RemoveTeam {
            name: "desk".into(),
        },
    ];
    let plan = store.plan("change-1".into(), operations).unwrap();
    insta::assert_snapshot!(plan.effects.join("\n"));
}

/// Returns the configuration version of a reader that has read all changes in
/// order.
fn reference_version(changes: &[Change]) -> u64 {
    let mut store = ConfigurationStore::default();
    store.read(0, page(changes, 0, changes.len()));
    store.current().version
}

/// Returns the page of the log with the changes from `from` up to, but not
/// including, `to`.
fn page(changes: &[Change], from: usize, to: usize) -> LogPage {
    let records = (from..to).map(|offset| LoggedRecord {
        offset: offset as u64,
        record: Some(LogRecord::Change(changes[offset].clone())),
    });
    LogPage {
        oldest_offset: from as u64,
        next_offset: to as u64,
        at_end: to == changes.len(),
        records: records.collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two readers read the log in different steps, skip records that the log
    /// dropped and adopt snapshots from each other. They never have different
    /// configurations with the same version, and their version never decreases.
    #[test]
    fn readers_never_disagree(bases in proptest::collection::vec(0u64..12, 1..40), steps in any::<[u8; 24]>()) {
        let changes: Vec<Change> = (0..)
            .zip(&bases)
            .map(|(index, base)| Change {
                change_id: Name::from(format!("change-{index}")),
                base_version: *base,
                operations: vec![put_team("desk", index + 1)],
            })
            .collect();
        let newest = reference_version(&changes);
        let mut readers = [ConfigurationStore::default(), ConfigurationStore::default()];
        let mut configurations: std::collections::BTreeMap<u64, gannetvane_wire::Configuration> =
            std::collections::BTreeMap::new();
        for step in steps {
            let reader = usize::from(step & 1);
            let record_count = usize::from(step >> 3 & 7);
            let before = readers[reader].current().version;
            match step >> 6 {
                0 => {
                    let other = readers[1 - reader].snapshot();
                    readers[reader].adopt(&other);
                }
                1 => {
                    // The log dropped records that this reader had not read.
                    let from = (readers[reader].next_offset() as usize + record_count).min(changes.len());
                    readers[reader].read(0, page(&changes, from, changes.len().min(from + record_count)));
                }
                _ => {
                    let from = (readers[reader].next_offset() as usize).min(changes.len());
                    readers[reader].read(0, page(&changes, from, changes.len().min(from + record_count)));
                }
            }
            let current = readers[reader].current();
            assert!(current.version >= before, "the version decreased");
            assert!(current.version <= newest, "a refused change was applied");
            let first_seen = configurations.entry(current.version).or_insert_with(|| current.clone());
            assert_eq!(first_seen, current, "two configurations have the same version");
        }
        let last = changes.last().map(|change| change.change_id.clone()).unwrap();
        let outcome = readers[0].outcome(&last);
        assert!(matches!(outcome, ChangeOutcome::Accepted | ChangeOutcome::Conflict | ChangeOutcome::Unseen));
    }
}
