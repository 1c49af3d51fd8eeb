//! The policy for overload, asked directly.

use std::sync::Arc;

use gannetvane_dispatch::Arrival;
use gannetvane_dispatch::FairShare;
use gannetvane_dispatch::OverloadPolicy;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::ServiceView;
use gannetvane_dispatch::WaitingJob;

const SERVICE: &str = "desk";
/// Room of all minions, in thousandths of a core.
const ROOM_MILLI: f64 = 400_000.0;
/// Work of a job: two cores for 200 ms.
const WORK: f64 = 2_000.0 * 200.0;

fn queue(name: &str) -> Arc<Queue> {
    Arc::new(Queue {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: "/desk/".into(),
        service: SERVICE.into(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        needs_advice: false,
    })
}

fn arrival(queue: &Queue) -> Arrival<'_> {
    Arrival {
        queue,
        work: WORK,
        slack_ms: 150.0,
    }
}

/// The service while this many times its room comes and this much waits.
fn view(load: f64, waiting_ms: f64) -> ServiceView {
    ServiceView {
        capacity_milli: ROOM_MILLI,
        offered_milli: ROOM_MILLI * load,
        waiting_core_ms: ROOM_MILLI / 1_000.0 * waiting_ms,
        is_capacity_known: true,
    }
}

/// Parts of the jobs of each queue that are taken in, when they come by turns
/// for two seconds.
fn taken(view: &ServiceView, rare: usize) -> (f64, f64) {
    let mut policy = FairShare::default();
    let (often, seldom) = (queue("often"), queue("seldom"));
    let mut counts = [(0, 0); 2];
    for number in 0..2_000 {
        let is_seldom = number % rare == 0;
        let queue = if is_seldom { &seldom } else { &often };
        let arrival = arrival(queue);
        let (asked, taken) = &mut counts[usize::from(is_seldom)];
        *asked += 1;
        *taken += usize::from(policy.admits(1_000 + number as u64, &arrival, view));
    }
    let share = |(asked, taken): (usize, usize)| taken as f64 / asked as f64;
    (share(counts[0]), share(counts[1]))
}

#[test]
fn all_is_taken_in_while_there_is_room() {
    assert_eq!(taken(&view(0.9, 10.0), 20), (1.0, 1.0));
}

#[test]
fn the_same_share_of_each_queue_is_taken_in_under_overload() {
    let (often, seldom) = taken(&view(2.0, 25.0), 20);
    assert!((0.4..0.7).contains(&often), "{often}");
    assert!((often - seldom).abs() < 0.03, "{often} and {seldom}");
}

#[test]
fn a_backlog_lessens_the_share_and_an_empty_one_fills() {
    let (full, _) = taken(&view(1.2, 150.0), 20);
    let (empty, _) = taken(&view(1.2, 0.0), 20);
    assert!(full < 0.63, "{full}");
    assert!(empty > 0.85, "{empty}");
}

#[test]
fn nothing_is_refused_before_the_room_is_known() {
    let unknown = ServiceView {
        is_capacity_known: false,
        ..view(5.0, 300.0)
    };
    assert_eq!(taken(&unknown, 20), (1.0, 1.0));
}

#[test]
fn callers_are_told_to_come_back_later_the_less_is_taken_in() {
    let policy = FairShare::default();
    let busy_ms = policy.retry_after_ms(&view(1.2, 20.0), 0.5);
    let flooded_ms = policy.retry_after_ms(&view(4.0, 100.0), 0.5);
    assert!((500..1_000).contains(&busy_ms), "{busy_ms}");
    assert!(flooded_ms > 3 * busy_ms, "{flooded_ms}");
    let longest_ms = policy.retry_after_ms(&view(1_000.0, 10_000.0), 1.0);
    assert_eq!(longest_ms, 10_000);
}

#[test]
fn callers_do_not_come_back_together() {
    let policy = FairShare::default();
    let view = view(2.0, 50.0);
    let first_ms = policy.retry_after_ms(&view, 0.0);
    let last_ms = policy.retry_after_ms(&view, 1.0);
    assert!(last_ms >= 3 * first_ms - 3, "{first_ms} to {last_ms}");
}

fn waiting(objective_ms: u64, remaining_ms: f64, has_started: bool) -> WaitingJob {
    WaitingJob {
        objective_ms,
        remaining_ms,
        has_started,
    }
}

#[test]
fn what_has_begun_goes_first_and_what_will_be_late_last() {
    let policy = FairShare::default();
    let now_ms = 1_000;
    let begun = waiting(900, 200.0, true);
    let urgent = waiting(1_150, 60.0, false);
    let patient = waiting(2_500, 900.0, false);
    let late = waiting(1_100, 200.0, false);
    let mut jobs = [late, patient, begun, urgent];
    jobs.sort_by_key(|job| policy.rank(now_ms, job));
    let objectives_ms = jobs.map(|job| job.objective_ms);
    assert_eq!(objectives_ms, [900, 1_150, 2_500, 1_100]);
}

#[test]
fn a_job_that_would_only_just_be_in_time_has_no_prospect() {
    let policy = FairShare::default();
    let job = waiting(3_200, 200.0, false);
    assert!(policy.can_meet_objective(2_900, &job, 30.0));
    assert!(!policy.can_meet_objective(2_900, &job, 60.0));
}

/// The part of the jobs that is taken in while this much work waits, after as
/// many jobs waited in vain, 50 ms apart, and a pause.
fn taken_after(waiting_ms: f64, in_vain: u64, pause_ms: u64) -> f64 {
    let mut policy = FairShare::default();
    let queue = queue("often");
    let arrival = arrival(&queue);
    let mut now_ms = 1_000;
    policy.admits(now_ms, &arrival, &view(1.2, waiting_ms));
    for _ in 0..in_vain {
        now_ms += 50;
        policy.note_shed(now_ms, &SERVICE.into(), 1_000);
    }
    now_ms += pause_ms;
    let taken = (0..400).filter(|_| policy.admits(now_ms, &arrival, &view(1.2, waiting_ms)));
    taken.count() as f64 / 400.0
}

#[test]
fn what_was_taken_in_before_the_room_was_known_tells_nothing_of_the_backlog() {
    let mut policy = FairShare::default();
    let queue = queue("often");
    let arrival = arrival(&queue);
    let unknown = ServiceView::default();
    assert!(policy.admits(1_000, &arrival, &unknown));
    for now_ms in (1_050..1_700).step_by(50) {
        policy.note_shed(now_ms, &SERVICE.into(), 1_000);
    }
    let view = view(1.2, 60.0);
    let taken = (0..400).filter(|_| policy.admits(1_700, &arrival, &view));
    assert!(taken.count() > 380);
}

#[test]
fn less_may_wait_once_jobs_waited_in_vain_and_more_again_when_none_do() {
    let (fresh, lasting) = (taken_after(60.0, 0, 0), taken_after(60.0, 12, 0));
    assert!(fresh > 0.95 && lasting < 0.75, "{fresh} and {lasting}");
    let (soon, later) = (taken_after(60.0, 12, 500), taken_after(60.0, 12, 3_000));
    assert!(soon < 0.85 && later > 0.95, "{soon} and {later}");
    let long = taken_after(150.0, 12, 0);
    assert!(long < 0.35, "{long}");
}
