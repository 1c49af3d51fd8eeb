//! The report of a load run, as the load tool prints it and the plots read it.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Histograms hold ratios in units of one part in this many: thousandths.
pub(crate) const RATIO_SCALE: f64 = 1_000.0;
/// Maximum ratio of a histogram; larger ones are counted as this one.
const MAX_RATIO: u64 = 10_000;

/// Quantiles of the response time divided by the ideal response time, which is the
/// longest run time among the tasks and one round trip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Number of submissions that the quantiles cover.
    pub count: u64,
}

impl Quantiles {
    /// Computes the quantiles of ratios.
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

    /// Fills a histogram with ratios, in thousandths.
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

/// Numbers of submissions by how they ended. Each is counted in one of `complete`,
/// `not_run`, `ran` and `unknown`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Submissions that were sent.
    pub sent: u64,
    /// Submissions that were answered with success, including those whose answer is
    /// counted in [`Violations::wrong_answers`].
    pub complete: u64,
    /// Submissions that ended without a task having run.
    pub not_run: u64,
    /// Submissions that failed after at least one task ran.
    pub ran: u64,
    /// Submissions of which it is not known whether a task ran.
    pub unknown: u64,
    /// Submissions that are not complete, by reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Outcomes {
    /// Whether every submission that was sent is accounted for.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        self.sent == self.complete + self.not_run + self.ran + self.unknown
    }
}

/// Response over ideal as measured, and as simulated for the reference disciplines
/// with the same arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Measured on the running processes.
    pub measured: Quantiles,
    /// Simulated with an ideal central queue, first come first served.
    pub central: Quantiles,
    /// Simulated with a random minion for each task.
    pub random: Quantiles,
    /// Simulated with the less loaded of two random minions for each task.
    pub power_of_two: Quantiles,
}

/// Numbers of events that must never happen, and of the starts among which they
/// are counted, from the answers and the minion stand-ins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Tasks that may run only once but started more often.
    pub double_starts: u64,
    /// Answers that lacked results, or belonged to another submission.
    pub wrong_answers: u64,
    /// Submissions that were reported as not run although a task started.
    pub false_not_run: u64,
    /// Starts of tasks in total.
    pub starts: u64,
}

/// Messages between the processes during the run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Messages {
    /// Messages by kind, except those of membership and configuration.
    pub by_kind: BTreeMap<String, u64>,
    /// Number of these messages divided by the number of tasks.
    pub per_task: f64,
    /// Messages beyond one out and one back, which are those for credits,
    /// revocations, resends and retries, as a fraction of the needed messages.
    pub wasted_share: f64,
    /// Bytes that all processes sent for membership and configuration.
    pub control_bytes: u64,
}

/// How the submissions that were due in one second of the load ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Number of the second, from 0 at the start of the load.
    pub at_s: u64,
    /// Number of submissions that were due in this second and sent.
    pub sent: u64,
    /// Number of those submissions that were answered with success.
    pub complete: u64,
    /// 90th percentile of response over ideal of the complete submissions.
    pub p90: f64,
}

/// All figures of one load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// Length of the load in milliseconds.
    pub duration_ms: u64,
    /// Number of slots that the load needs on average, as a fraction of all slots.
    pub load: f64,
    /// Number of tasks in each job.
    pub tasks_per_job: usize,
    /// Shortest time, in milliseconds, that single tasks on the idle system took
    /// beyond their run time. Every response includes such a round trip.
    pub round_trip_ms: f64,
    /// How the submissions ended.
    pub outcomes: Outcomes,
    /// Response over ideal, measured and simulated.
    pub response_over_ideal: Comparison,
    /// Figures for each second of the load, in which failures show.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// Longest time after which a submission was refused, in milliseconds. Those
    /// whose deadline passed are not counted.
    pub slowest_refusal_ms: f64,
    /// Messages between the processes during the run.
    pub messages: Messages,
    /// Events that must never happen.
    pub violations: Violations,
}
