//! Arrivals of an open-loop load, drawn from a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What a load consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Seed of all draws.
    pub seed: u64,
    /// Length of the arrivals in milliseconds.
    pub duration_ms: u64,
    /// Slots of the service, over all its minions.
    pub slots: usize,
    /// Share of the slots that is busy on average.
    pub load: f64,
    /// Tasks of each job.
    pub tasks_per_job: usize,
    /// Share of submissions that are single non-repeatable requests.
    pub request_share: f64,
    /// Shortest run time of a task in milliseconds.
    pub least_run_ms: u32,
    /// Longest run time of a task in milliseconds.
    pub most_run_ms: u32,
    /// Declared run times are off by up to this factor, either way.
    pub declared_error: f64,
    /// Arrivals are this many times as frequent in the middle fifth.
    pub burst: f64,
}

/// One submission of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, in microseconds after the start.
    pub at_us: u64,
    /// Whether it is a single request, not a job.
    pub is_request: bool,
    /// Run time of each task in milliseconds.
    pub run_ms: Vec<u32>,
    /// Declared run time of each task in milliseconds.
    pub declared_ms: Vec<u32>,
}

impl Workload {
    /// Draws all arrivals, in order. Their gaps are exponential.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut at_us = 0.0;
        loop {
            let uniform: f64 = rng.random();
            let rate = self.submissions_per_s() * self.burst_factor_at(at_us);
            at_us += -(1.0 - uniform).ln() / rate * 1e6;
            if at_us >= self.duration_ms as f64 * 1e3 {
                return arrivals;
            }
            arrivals.push(self.draw_arrival(at_us as u64, &mut rng));
        }
    }

    /// Mean number of submissions in a second.
    #[must_use]
    pub fn submissions_per_s(&self) -> f64 {
        let mean_run_s = f64::from(self.least_run_ms + self.most_run_ms) / 2.0 / 1e3;
        let tasks = self.request_share + (1.0 - self.request_share) * self.tasks_per_job as f64;
        self.load * self.slots as f64 / mean_run_s / tasks
    }

    fn burst_factor_at(&self, at_us: f64) -> f64 {
        let fraction = at_us / (self.duration_ms as f64 * 1e3);
        if (0.4..0.6).contains(&fraction) {
            self.burst
        } else {
            1.0
        }
    }

    fn draw_arrival(&self, at_us: u64, rng: &mut ChaCha8Rng) -> Arrival {
        let is_request = rng.random::<f64>() < self.request_share;
        let tasks = if is_request { 1 } else { self.tasks_per_job };
        let run_ms: Vec<u32> = (0..tasks)
            .map(|_| rng.random_range(self.least_run_ms..=self.most_run_ms))
            .collect();
        let declared_ms = run_ms
            .iter()
            .map(|run_ms| self.draw_declared_ms(*run_ms, rng))
            .collect();
        Arrival {
            at_us,
            is_request,
            run_ms,
            declared_ms,
        }
    }

    fn draw_declared_ms(&self, run_ms: u32, rng: &mut ChaCha8Rng) -> u32 {
        let spread = self.declared_error.max(1.0).ln();
        let factor = (rng.random_range(-1.0..=1.0) * spread).exp();
        ((f64::from(run_ms) * factor).round() as u32).max(1)
    }
}
