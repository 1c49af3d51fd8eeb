//! Unit tests of the overload policy [`FairShare`].

use std::sync::Arc;

use gannetvane_dispatch::Arrival;
use gannetvane_dispatch::FairShare;
use gannetvane_dispatch::OverloadPolicy;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::ServiceView;
use gannetvane_dispatch::WaitingJob;

const SERVICE: &str = "desk";
/// Capacity of all minions, in thousandths of a core.
const CAPACITY_MILLI: f64 = 400_000.0;
/// Work of a job, in thousandths of a core by milliseconds: two cores for 200 ms.
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

/// Returns a service to which `load` times its capacity is offered, and whose waiting jobs
/// take all its minions `waiting_ms` to complete.
fn view(load: f64, waiting_ms: f64) -> ServiceView {
    ServiceView {
        capacity_milli: CAPACITY_MILLI,
        offered_milli: CAPACITY_MILLI * load,
        waiting_core_ms: CAPACITY_MILLI / 1_000.0 * waiting_ms,
        is_capacity_known: true,
    }
}

/// Returns the fractions of the jobs of a frequent and a rare queue that the policy admits.
/// One job arrives every millisecond for two seconds; each `rare_interval`-th is of the rare
/// queue.
fn admitted_fractions(view: &ServiceView, rare_interval: usize) -> (f64, f64) {
    let mut policy = FairShare::default();
    let (frequent, rare) = (queue("often"), queue("seldom"));
    let mut counts = [(0, 0); 2];
    for number in 0..2_000 {
        let is_rare = number % rare_interval == 0;
        let queue = if is_rare { &rare } else { &frequent };
        let arrival = arrival(queue);
        let (submitted, admitted) = &mut counts[usize::from(is_rare)];
        *submitted += 1;
        *admitted += usize::from(policy.admits(1_000 + number as u64, &arrival, view));
    }
    let fraction = |(submitted, admitted): (usize, usize)| admitted as f64 / submitted as f64;
    (fraction(counts[0]), fraction(counts[1]))
}

#[test]
fn all_jobs_are_admitted_below_capacity() {
    assert_eq!(admitted_fractions(&view(0.9, 10.0), 20), (1.0, 1.0));
}

#[test]
fn the_same_fraction_of_each_queue_is_admitted_under_overload() {
    let (frequent, rare) = admitted_fractions(&view(2.0, 25.0), 20);
    assert!((0.4..0.7).contains(&frequent), "{frequent}");
    assert!((frequent - rare).abs() < 0.03, "{frequent} and {rare}");
}

#[test]
fn a_backlog_lowers_the_admitted_fraction_and_an_empty_one_raises_it() {
    let (full, _) = admitted_fractions(&view(1.2, 150.0), 20);
    let (empty, _) = admitted_fractions(&view(1.2, 0.0), 20);
    assert!(full < 0.63, "{full}");
    assert!(empty > 0.85, "{empty}");
}

#[test]
fn no_job_is_refused_before_the_capacity_is_known() {
    let unknown = ServiceView {
        is_capacity_known: false,
        ..view(5.0, 300.0)
    };
    assert_eq!(admitted_fractions(&unknown, 20), (1.0, 1.0));
}

#[test]
fn the_retry_delay_grows_with_the_overload() {
    let policy = FairShare::default();
    let loaded_ms = policy.retry_after_ms(&view(1.2, 20.0), 0.5);
    let overloaded_ms = policy.retry_after_ms(&view(4.0, 100.0), 0.5);
    assert!((500..1_000).contains(&loaded_ms), "{loaded_ms}");
    assert!(overloaded_ms > 3 * loaded_ms, "{overloaded_ms}");
    let max_ms = policy.retry_after_ms(&view(1_000.0, 10_000.0), 1.0);
    assert_eq!(max_ms, 10_000);
}

#[test]
fn retry_delays_are_spread() {
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
fn started_jobs_rank_first_and_late_ones_last() {
    let policy = FairShare::default();
    let now_ms = 1_000;
    let started = waiting(900, 200.0, true);
    let urgent = waiting(1_150, 60.0, false);
    let with_slack = waiting(2_500, 900.0, false);
    let late = waiting(1_100, 200.0, false);
    let mut jobs = [late, with_slack, started, urgent];
    jobs.sort_by_key(|job| policy.rank(now_ms, job));
    let objectives_ms = jobs.map(|job| job.objective_ms);
    assert_eq!(objectives_ms, [900, 1_150, 2_500, 1_100]);
}

#[test]
fn a_job_without_margin_cannot_meet_its_objective() {
    let policy = FairShare::default();
    let job = waiting(3_200, 200.0, false);
    assert!(policy.can_meet_objective(2_900, &job, 30.0));
    assert!(!policy.can_meet_objective(2_900, &job, 60.0));
}

/// Returns the fraction of jobs that the policy admits while the waiting jobs take all
/// minions `waiting_ms` to complete, after `shed_jobs` jobs were shed 50 ms apart and a pause
/// of `pause_ms`.
fn admitted_fraction_after(waiting_ms: f64, shed_jobs: u64, pause_ms: u64) -> f64 {
    let mut policy = FairShare::default();
    let queue = queue("often");
    let arrival = arrival(&queue);
    let mut now_ms = 1_000;
    policy.admits(now_ms, &arrival, &view(1.2, waiting_ms));
    for _ in 0..shed_jobs {
        now_ms += 50;
        policy.note_shed(now_ms, &SERVICE.into(), 1_000);
    }
    now_ms += pause_ms;
    let admitted = (0..400).filter(|_| policy.admits(now_ms, &arrival, &view(1.2, waiting_ms)));
    admitted.count() as f64 / 400.0
}

#[test]
fn jobs_admitted_before_the_capacity_was_known_do_not_lower_the_backlog_limit() {
    let mut policy = FairShare::default();
    let queue = queue("often");
    let arrival = arrival(&queue);
    let unknown = ServiceView::default();
    assert!(policy.admits(1_000, &arrival, &unknown));
    for now_ms in (1_050..1_700).step_by(50) {
        policy.note_shed(now_ms, &SERVICE.into(), 1_000);
    }
    let view = view(1.2, 60.0);
    let admitted = (0..400).filter(|_| policy.admits(1_700, &arrival, &view));
    assert!(admitted.count() > 380);
}

#[test]
fn the_backlog_limit_falls_after_shed_jobs_and_recovers_without_them() {
    let (fresh, lasting) = (
        admitted_fraction_after(60.0, 0, 0),
        admitted_fraction_after(60.0, 12, 0),
    );
    assert!(fresh > 0.95 && lasting < 0.75, "{fresh} and {lasting}");
    let (soon, later) = (
        admitted_fraction_after(60.0, 12, 500),
        admitted_fraction_after(60.0, 12, 3_000),
    );
    assert!(soon < 0.85 && later > 0.95, "{soon} and {later}");
    let long = admitted_fraction_after(150.0, 12, 0);
    assert!(long < 0.35, "{long}");
}
