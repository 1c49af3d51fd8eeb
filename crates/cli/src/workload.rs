//! The arrivals of an open-loop load, drawn at random from a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Parameters from which the arrivals of a load are drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Time during which submissions arrive, in milliseconds.
    pub duration_ms: u64,
    /// Number of slots of the service, over all its minions.
    pub slots: usize,
    /// Number of slots that the load needs on average, as a fraction of all slots;
    /// the burst is not included.
    pub load: f64,
    /// Number of tasks in each job.
    pub tasks_per_job: usize,
    /// Fraction of the submissions that are single, non-repeatable requests.
    pub request_share: f64,
    /// Shortest run time of a task in milliseconds.
    pub least_run_ms: u32,
    /// Longest run time of a task in milliseconds.
    pub most_run_ms: u32,
    /// Maximum factor by which a declared run time is above or below the actual one.
    pub declared_error: f64,
    /// Factor by which arrivals are more frequent in the middle fifth of the load.
    pub burst: f64,
}

/// One submission of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time after the start of the load at which it is due, in microseconds.
    pub at_us: u64,
    /// Whether it is a single request and not a job.
    pub is_request: bool,
    /// Run time of each task in milliseconds.
    pub run_ms: Vec<u32>,
    /// Declared run time of each task in milliseconds.
    pub declared_ms: Vec<u32>,
}

impl Workload {
    /// Draws all arrivals, in the order of their times. The gaps between them are
    /// distributed exponentially.
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

    /// Mean number of submissions per second, without the burst.
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
