//! Estimates of run times, from what callers declare and what was observed.

use std::collections::BTreeMap;
use std::fmt;

use gannetvane_wire::Name;
use hdrhistogram::Histogram;

/// Run time in milliseconds assumed for a task without a declared time whose
/// kind has too few observations.
const DEFAULT_RUN_MS: u32 = 300;
/// Number of observations in each of the two windows of a history. When the
/// newer window is full, the older one is dropped.
const WINDOW_OBSERVATIONS: u64 = 512;
/// Minimum number of observations for a history to be used. With fewer, a
/// declared time is used without correction, and a task without a declared time
/// is assumed to take [`DEFAULT_RUN_MS`].
const MIN_OBSERVATIONS: u64 = 16;
/// Maximum number of kinds for which a history is retained.
const MAX_KINDS: usize = 1_024;
/// Scale of the recorded ratios of observed to declared time: they are integers
/// in thousandths.
const RATIO_SCALE: u64 = 1_000;
/// Maximum value that a history records; larger values count as this one.
const MAX_RECORDED_VALUE: u64 = 100_000_000;
/// Quantile of the run times above which a run counts as a straggler.
const STRAGGLER_QUANTILE: f64 = 0.99;

/// Observed run times for each kind of task.
#[derive(Debug, Default)]
pub struct Estimates {
    kinds: BTreeMap<Name, KindHistory>,
}

/// The history of one kind of task.
#[derive(Debug)]
struct KindHistory {
    run_ms: History,
    ratio: History,
}

/// A histogram of recent observations, in two windows.
struct History {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Estimates {
    /// Returns the estimated run time of a task in milliseconds.
    #[must_use]
    pub fn estimate_ms(&self, kind: &Name, declared_ms: Option<u32>) -> u32 {
        let Some(history) = self.kinds.get(kind) else {
            return declared_ms.unwrap_or(DEFAULT_RUN_MS);
        };
        match declared_ms {
            Some(declared_ms) => history.corrected_ms(declared_ms),
            None => history
                .run_ms
                .quantile(0.5)
                .map_or(DEFAULT_RUN_MS, saturate_to_u32),
        }
    }

    /// Returns the run time in milliseconds that almost no task of this kind
    /// exceeds.
    #[must_use]
    pub fn straggler_ms(&self, kind: &Name, declared_ms: Option<u32>) -> u32 {
        let estimate_ms = self.estimate_ms(kind, declared_ms);
        let observed = self
            .kinds
            .get(kind)
            .and_then(|k| k.run_ms.quantile(STRAGGLER_QUANTILE));
        observed
            .map_or(estimate_ms, saturate_to_u32)
            .max(estimate_ms)
    }

    /// Records the run time of a finished task.
    pub fn observe(&mut self, kind: &Name, declared_ms: Option<u32>, run_ms: u32) {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            return;
        }
        let history = self
            .kinds
            .entry(kind.clone())
            .or_insert_with(KindHistory::new);
        history.run_ms.record(u64::from(run_ms));
        if let Some(declared_ms) = declared_ms.filter(|ms| *ms > 0) {
            history
                .ratio
                .record(u64::from(run_ms) * RATIO_SCALE / u64::from(declared_ms));
        }
    }
}

impl KindHistory {
    fn new() -> Self {
        Self {
            run_ms: History::new(),
            ratio: History::new(),
        }
    }

    /// Scales a declared run time by the median ratio of observed to declared
    /// time.
    fn corrected_ms(&self, declared_ms: u32) -> u32 {
        match self.ratio.quantile(0.5) {
            Some(ratio) => saturate_to_u32(u64::from(declared_ms) * ratio / RATIO_SCALE),
            None => declared_ms,
        }
    }
}

impl History {
    fn new() -> Self {
        Self {
            current: new_histogram(),
            previous: new_histogram(),
        }
    }

    fn record(&mut self, value: u64) {
        if self.current.len() >= WINDOW_OBSERVATIONS {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(value.max(1));
    }

    fn quantile(&self, quantile: f64) -> Option<u64> {
        let newest = if self.current.len() >= MIN_OBSERVATIONS || self.previous.is_empty() {
            &self.current
        } else {
            &self.previous
        };
        (newest.len() >= MIN_OBSERVATIONS).then(|| newest.value_at_quantile(quantile))
    }
}

impl fmt::Debug for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("History")
            .field("observations", &self.current.len())
            .finish_non_exhaustive()
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_RECORDED_VALUE, 2).expect("constant bounds are valid")
}

fn saturate_to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
