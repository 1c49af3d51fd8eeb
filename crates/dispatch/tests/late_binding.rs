//! Tests of late binding: entries probe agents for tasks that wait for resources, and an
//! agent offers freed resources to the entry whose task is the most urgent.

mod session;

use gannetvane_dispatch::Arrival;
use gannetvane_dispatch::BoxedPolicy;
use gannetvane_dispatch::FairShare;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::OverloadPolicy;
use gannetvane_dispatch::Rank;
use gannetvane_dispatch::ServiceView;
use gannetvane_dispatch::WaitingJob;
use gannetvane_wire::Name;

use session::MINION_CAPACITY;
use session::MinionKind;
use session::Session;
use session::table;

/// Number of tasks that a minion of the session runs at a time.
const TASKS_PER_MINION: u32 = 10;

/// Policy that ranks jobs like [`FairShare`], but refuses and sheds none.
#[derive(Debug, Default)]
struct AdmitsAll {
    fair_share: FairShare,
}

impl OverloadPolicy for AdmitsAll {
    fn admits(&mut self, _: u64, _: &Arrival<'_>, _: &ServiceView) -> bool {
        true
    }

    fn offered_milli(&self, now_ms: u64, service: &Name) -> f64 {
        self.fair_share.offered_milli(now_ms, service)
    }

    fn note_shed(&mut self, _: u64, _: &Name, _: u64) {}

    fn can_meet_objective(&self, _: u64, _: &WaitingJob, _: f64) -> bool {
        true
    }

    fn rank(&self, now_ms: u64, job: &WaitingJob) -> Rank {
        self.fair_share.rank(now_ms, job)
    }

    fn retry_after_ms(&self, view: &ServiceView, spread: f64) -> u64 {
        self.fair_share.retry_after_ms(view, spread)
    }
}

/// Returns a session of two entries and one minion.
fn session() -> Session {
    let policy = || -> BoxedPolicy { Box::new(AdmitsAll::default()) };
    let kind = MinionKind {
        capacity: MINION_CAPACITY,
        speed: 1.0,
    };
    let mut session = Session::with_minions(2, vec![kind], table(1).queues, policy);
    session.has_prompt_minions = true;
    session
}

#[test]
fn freed_resources_go_to_the_most_urgent_task_of_any_entry() {
    let mut session = session();
    session.submit(0, "first", TASKS_PER_MINION, 300);
    session.run(50);
    // The first entry gets the ends of its tasks first, and could use all that they free.
    session.submit(0, "long", TASKS_PER_MINION, 300);
    session.run(200);
    let urgent = session.submit(1, "urgent", 4, 60);
    session.run_until_answered(urgent, 1_000);
    let caller = &session.callers[urgent];
    assert_eq!(caller.outcome, Some(JobOutcome::Completed));
    let took_ms = caller.answered_ms.unwrap() - caller.sent_ms;
    assert!(took_ms <= 150, "{took_ms} ms");
    session.run(2_000);
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}

#[test]
fn an_unused_offer_does_not_withhold_resources_from_others() {
    let mut session = session();
    let first = session.submit(0, "first", TASKS_PER_MINION, 300);
    session.run(100);
    let abandoned = session.submit(0, "left", TASKS_PER_MINION, 100);
    session.run(50);
    let waiting = session.submit(1, "waiting", TASKS_PER_MINION, 300);
    session.run(20);
    session.disconnect_caller(abandoned);
    session.forget_caller(abandoned);
    session.run_until_answered(first, 1_000);
    let ended_ms = session.now_ms;
    session.run_until_answered(waiting, 1_000);
    assert_eq!(session.outcome(waiting), Some(JobOutcome::Completed));
    let after_ms = session.now_ms - ended_ms;
    assert!(
        after_ms <= 330,
        "{after_ms} ms after the resources were freed"
    );
    assert!(session.violations.is_empty(), "{:?}", session.violations);
}
