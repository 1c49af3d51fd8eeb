//! An overload policy that admits every job, for comparison.

use gannetvane_dispatch::Arrival;
use gannetvane_dispatch::BoxedPolicy;
use gannetvane_dispatch::FairShare;
use gannetvane_dispatch::OverloadPolicy;
use gannetvane_dispatch::Rank;
use gannetvane_dispatch::ServiceView;
use gannetvane_dispatch::WaitingJob;
use gannetvane_wire::Name;

/// Policy that admits every job and is like [`FairShare`] otherwise.
#[derive(Debug, Default)]
struct AdmitsAll {
    fair_share: FairShare,
}

pub fn admits_all() -> BoxedPolicy {
    Box::new(AdmitsAll::default())
}

impl OverloadPolicy for AdmitsAll {
    fn admits(&mut self, _: u64, _: &Arrival<'_>, _: &ServiceView) -> bool {
        true
    }

    fn offered_milli(&self, now_ms: u64, service: &Name) -> f64 {
        self.fair_share.offered_milli(now_ms, service)
    }

    fn note_shed(&mut self, now_ms: u64, service: &Name, received_ms: u64) {
        self.fair_share.note_shed(now_ms, service, received_ms);
    }

    fn can_meet_objective(&self, now_ms: u64, job: &WaitingJob, wait_ms: f64) -> bool {
        self.fair_share.can_meet_objective(now_ms, job, wait_ms)
    }

    fn rank(&self, now_ms: u64, job: &WaitingJob) -> Rank {
        self.fair_share.rank(now_ms, job)
    }

    fn retry_after_ms(&self, view: &ServiceView, spread: f64) -> u64 {
        self.fair_share.retry_after_ms(view, spread)
    }
}
