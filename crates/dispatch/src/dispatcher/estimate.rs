//! Estimates of run times from declared run times, learned for each queue.
//!
//! Declared times are noisy, so the best estimate lies between the declared
//! time and the mean of the queue. A linear regression on the logarithms, in
//! which the weight of earlier runs decays, computes it.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

/// Weight of the initial assumption that runs take as long as declared, as a
/// number of runs.
const PRIOR_RUNS: f64 = 12.0;
/// Maximum number of runs that the means are based on. Each new run thus keeps
/// a minimum weight and earlier runs decay, so that a change of the work shows
/// within seconds.
const MAX_MEMORY_RUNS: f64 = 400.0;
/// Initial assumption for the variance of the logarithms of declared times.
const PRIOR_VARIANCE: f64 = 0.1;

/// Relation of actual to declared run times, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    queues: BTreeMap<Name, Regression>,
}

/// Regression of the logarithm of run times in milliseconds on that of declared
/// times.
#[derive(Clone, Debug)]
struct Regression {
    /// Number of runs that the means are based on, at most [`MAX_MEMORY_RUNS`].
    runs: f64,
    mean_ln_declared: f64,
    mean_ln_ran: f64,
    /// Variance of the logarithms of declared times.
    variance: f64,
    /// Covariance of the logarithms of declared times and of run times.
    covariance: f64,
}

impl Estimates {
    /// Returns the expected run time on a minion of ordinary speed, in
    /// milliseconds.
    pub(crate) fn expected_ms(&self, queue: &Name, declared_ms: u64) -> f64 {
        let declared_ms = declared_ms.max(1) as f64;
        match self.queues.get(queue) {
            Some(regression) => regression.predict(declared_ms.ln()).exp(),
            None => declared_ms,
        }
    }

    /// Learns from a run that completed on a healthy minion.
    pub(crate) fn observe(&mut self, queue: &Name, declared_ms: u64, ran_ms: u32) {
        let ln_declared = (declared_ms.max(1) as f64).ln();
        let ln_ran = f64::from(ran_ms.max(1)).ln();
        let regression = self.queues.entry(queue.clone());
        let regression = regression.or_insert_with(|| Regression::new(ln_declared));
        regression.observe(ln_declared, ln_ran);
    }
}

impl Regression {
    fn new(ln_declared: f64) -> Self {
        Self {
            runs: PRIOR_RUNS,
            mean_ln_declared: ln_declared,
            mean_ln_ran: ln_declared,
            variance: PRIOR_VARIANCE,
            covariance: PRIOR_VARIANCE,
        }
    }

    fn predict(&self, ln_declared: f64) -> f64 {
        let slope = (self.covariance / self.variance.max(1e-6)).clamp(0.0, 1.0);
        self.mean_ln_ran + slope * (ln_declared - self.mean_ln_declared)
    }

    fn observe(&mut self, ln_declared: f64, ln_ran: f64) {
        self.runs = (self.runs + 1.0).min(MAX_MEMORY_RUNS);
        let weight = 1.0 / self.runs;
        let declared_deviation = ln_declared - self.mean_ln_declared;
        let ran_deviation = ln_ran - self.mean_ln_ran;
        self.mean_ln_declared += weight * declared_deviation;
        self.mean_ln_ran += weight * ran_deviation;
        let decay = 1.0 - weight;
        self.variance = decay * (self.variance + weight * declared_deviation * declared_deviation);
        self.covariance = decay * (self.covariance + weight * declared_deviation * ran_deviation);
    }
}
