//! The report of a load run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Ratios are kept in thousandths.
pub(crate) const RATIO_SCALE: f64 = 1_000.0;
/// Largest ratio that is told apart from larger ones.
const MAX_RATIO: u64 = 10_000;

/// Quantiles of response time over its ideal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Number of submissions.
    pub count: u64,
}

impl Quantiles {
    /// Quantiles of these ratios.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constant.
    #[must_use]
    pub fn of(ratios: impl IntoIterator<Item = f64>) -> Self {
        let histogram = Self::ratios(ratios);
        let quantile_ratio = |quantile| histogram.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        Self {
            p50: quantile_ratio(0.5),
            p99: quantile_ratio(0.99),
            p999: quantile_ratio(0.999),
            count: histogram.len(),
        }
    }

    /// A histogram of ratios in thousandths.
    pub(crate) fn ratios(ratios: impl IntoIterator<Item = f64>) -> Histogram<u64> {
        let max = MAX_RATIO * RATIO_SCALE as u64;
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, max, 3).expect("constant bounds are valid");
        for ratio in ratios {
            histogram.saturating_record((ratio * RATIO_SCALE).round().max(1.0) as u64);
        }
        histogram
    }
}

/// How the submissions ended. Each is counted once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Submissions that were sent.
    pub sent: u64,
    /// Answered as a whole.
    pub complete: u64,
    /// Refused: nothing ran.
    pub not_run: u64,
    /// Failed: something ran.
    pub ran: u64,
    /// It is not known what ran.
    pub unknown: u64,
    /// The same by reason, for all that are not complete.
    pub reasons: BTreeMap<String, u64>,
}

impl Outcomes {
    /// Whether every submission that was sent is accounted for.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        self.sent == self.complete + self.not_run + self.ran + self.unknown
    }
}

/// Response over ideal of the processes, beside the reference disciplines on
/// the same arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The running processes.
    pub measured: Quantiles,
    /// The ideal central queue, first come first served.
    pub central: Quantiles,
    /// A random minion.
    pub random: Quantiles,
    /// The better of two minions.
    pub power_of_two: Quantiles,
}

/// What must never happen, counted by the stand-ins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Tasks that may run once only and started more often.
    pub double_starts: u64,
    /// Answers that were not whole, or belonged to another submission.
    pub wrong_answers: u64,
    /// Submissions that were said not to have run, but did.
    pub false_not_run: u64,
    /// Tasks started in all.
    pub starts: u64,
}

/// Messages between the processes during the run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Messages {
    /// Messages by kind, without those of membership and configuration.
    pub by_kind: BTreeMap<String, u64>,
    /// All of these for each task.
    pub per_task: f64,
    /// Messages beyond one out and one back, as a share of the needful ones.
    pub wasted_share: f64,
    /// Bytes of membership and configuration sent by all processes.
    pub control_bytes: u64,
}

/// What became of the submissions that were sent in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The second, from the start of the load.
    pub at_s: u64,
    /// Submissions sent.
    pub sent: u64,
    /// Answered as a whole.
    pub complete: u64,
    /// 90th percentile of response over ideal of those.
    pub p90: f64,
}

/// All figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// Length of the load in milliseconds.
    pub duration_ms: u64,
    /// Share of the slots that the load asks for.
    pub load: f64,
    /// Tasks of each job.
    pub tasks_per_job: usize,
    /// Round trip that no answer can do without, in milliseconds: the least
    /// seen by single tasks on the idle system.
    pub round_trip_ms: f64,
    /// How the submissions ended.
    pub outcomes: Outcomes,
    /// Response over ideal.
    pub response_over_ideal: Comparison,
    /// The run second by second, where failures show.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// Longest time to a refusal, in milliseconds.
    pub slowest_refusal_ms: f64,
    /// Messages between the processes.
    pub messages: Messages,
    /// What must never happen.
    pub violations: Violations,
}
