//! Load patterns, read from TOML files, and the arrivals drawn from them at random.

use std::fs;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use crate::session::JobShape;
use crate::session::MinionKind;
use crate::session::SERVICE;

/// Memory of each task, in megabytes; so little that it never limits a minion.
const TASK_MEMORY_MB: u32 = 64;
/// Memory of each minion, in megabytes.
const MINION_MEMORY_MB: u32 = 65_536;
/// Factor of the objective of a job: it should be complete after this many times the mean
/// work of its tasks and [`TARGET_LATENCY_MS`].
const STRETCH: f64 = 1.6;
/// Constant part of the objective of a job, in milliseconds.
const TARGET_LATENCY_MS: u64 = 60;
/// Fraction of the mean worth of a job that doesn't depend on its size.
const FIXED_WORTH_FRACTION: f64 = 0.3;
/// Largest random factor: number of tasks and work are at most this many times the mean of
/// their queue.
const MAX_FACTOR: f64 = 4.0;

/// A load pattern, as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// Length of the period in which jobs arrive, in milliseconds.
    pub length_ms: u64,
    /// Weight of each entry: its share of the arrivals.
    pub entries: Vec<f64>,
    /// Rates of the entries' network links, in megabits per second; unlimited if absent.
    #[serde(default)]
    pub entry_links_mbps: Vec<f64>,
    /// Whether the entries know the rates of their links.
    #[serde(default = "yes")]
    pub are_links_known: bool,
    pub minions: Vec<Minions>,
    pub queues: Vec<QueueLoad>,
    /// Times at which the rate of arrivals is a multiple of the ordinary one.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Sine wave of the rate of arrivals.
    #[serde(default)]
    pub swing: Option<Swing>,
    #[serde(default)]
    pub outages: Vec<Outage>,
    /// Availability zones that operators evacuate.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
    #[serde(default)]
    pub grey: Vec<Grey>,
    /// Bounds that the replay must keep.
    pub bounds: Bounds,
}

/// A group of equal minions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Minions {
    pub count: usize,
    pub cpu_milli: u32,
    pub speed: f64,
}

/// Load of one queue.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueLoad {
    pub name: String,
    pub priority: u32,
    pub jobs_per_s: f64,
    /// Mean number of tasks.
    pub tasks: f64,
    /// Mean work of a task, in milliseconds.
    pub work_ms: f64,
    pub cpu_milli: f64,
    /// Length of the specs.
    #[serde(default)]
    pub spec_bytes: usize,
}

/// Period in which the rate of arrivals is multiplied by `factor`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub from_ms: u64,
    pub until_ms: u64,
    pub factor: f64,
    /// Queue whose arrivals are multiplied; all queues if absent.
    #[serde(default)]
    pub queue: Option<String>,
    /// Entry whose arrivals are multiplied; all entries if absent.
    #[serde(default)]
    pub entry: Option<usize>,
}

/// Sine wave of the rate of arrivals.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Amplitude, as a fraction of the ordinary rate.
    pub part: f64,
    pub period_ms: u64,
}

/// Evacuation of a zone for some time: its minions get no starts, and their runs go on to
/// their ends.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    pub from_ms: u64,
    pub until_ms: u64,
    /// Number of the availability zone.
    pub zone: usize,
}

impl Evacuation {
    pub fn is_active(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }
}

/// Grey failure of some minions: they answer calls, but their runs fail or stall.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grey {
    pub from_ms: u64,
    pub until_ms: u64,
    /// Number of the first grey minion.
    #[serde(default)]
    pub first: usize,
    pub minions: usize,
    pub mood: GreyMood,
}

impl Grey {
    pub fn minions(&self) -> Range<usize> {
        self.first..self.first + self.minions
    }

    pub fn is_active(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }
}

/// What happens to the runs on a grey minion.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GreyMood {
    /// They fail at once.
    Failing,
    /// They make no progress.
    Hanging,
}

/// Outage of the first `minions` minions together with their agents, which return after
/// `for_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    pub at_ms: u64,
    pub for_ms: u64,
    pub minions: usize,
    /// Whether all entries are down as well.
    #[serde(default)]
    pub with_entries: bool,
}

/// Bounds that a replay must keep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Smallest worth, as a fraction of that of the central queue.
    pub of_central: f64,
    /// Largest fraction of the capacity that is idle while a job waits for it.
    pub idle: f64,
    /// Largest fraction of the jobs that end late.
    pub late: f64,
    /// Largest distance of the worst queue's worth fraction from that of all jobs.
    pub queue_gap: f64,
    /// Largest distance of the worst entry's worth fraction from that of all jobs.
    pub entry_gap: f64,
    /// Largest median wait of the refused jobs, in milliseconds.
    pub refused_ms: f64,
}

/// The arrival of a job.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub entry: usize,
    pub queue: usize,
    pub shape: JobShape,
    pub objective_ms: u64,
    pub worth: f64,
    /// Whether the job belongs to the largest tenth of its queue.
    pub is_large: bool,
}

impl Arrival {
    /// Returns the work of the job, in thousandths of a core by milliseconds.
    pub fn work(&self) -> f64 {
        let work_ms: f64 = self.shape.work_ms.iter().sum();
        work_ms * f64::from(self.shape.needs.cpu_milli)
    }
}

fn yes() -> bool {
    true
}

impl Pattern {
    pub fn read(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/replay/patterns");
        let text = fs::read_to_string(dir.join(format!("{name}.toml")))
            .expect("the pattern file is readable");
        toml::from_str(&text).expect("the pattern file is valid")
    }

    pub fn kinds(&self) -> Vec<MinionKind> {
        let kinds = self.minions.iter().flat_map(|minions| {
            let kind = MinionKind {
                capacity: Resources {
                    cpu_milli: minions.cpu_milli,
                    memory_mb: MINION_MEMORY_MB,
                    accelerators: 0,
                },
                speed: minions.speed,
            };
            vec![kind; minions.count]
        });
        kinds.collect()
    }

    pub fn queues(&self) -> Vec<Arc<Queue>> {
        let queues = self.queues.iter().map(|load| {
            Arc::new(Queue {
                name: load.name.as_str().into(),
                host: "desk.example".into(),
                path_prefix: format!("/{}/", load.name).into(),
                service: SERVICE.into(),
                timeout_ms: 1_500,
                target_latency_ms: TARGET_LATENCY_MS,
                priority: load.priority,
                max_attempts: 3,
                stretch: STRETCH,
                needs_advice: false,
            })
        });
        queues.collect()
    }

    /// Returns the factor by which the rate of a queue's arrivals differs from the ordinary
    /// rate.
    fn factor(&self, at_ms: u64, queue: &str) -> f64 {
        let during = |burst: &&Burst| {
            let is_affected = burst.queue.as_ref().is_none_or(|name| name == queue);
            let is_active = (burst.from_ms..burst.until_ms).contains(&at_ms);
            is_affected && is_active && burst.entry.is_none()
        };
        let bursts = self.bursts.iter().filter(during);
        let swing = self.swing.map_or(1.0, |swing| {
            let periods = at_ms as f64 / swing.period_ms as f64;
            1.0 + swing.part * (periods * std::f64::consts::TAU).sin()
        });
        let entries: f64 = self.entry_weights(at_ms).iter().sum();
        let usual_entries: f64 = self.entries.iter().sum();
        let entry_factor = entries / usual_entries;
        swing * bursts.map(|burst| burst.factor).product::<f64>() * entry_factor
    }

    /// Returns the weight of each entry in the arrivals of this time.
    fn entry_weights(&self, at_ms: u64) -> Vec<f64> {
        let weights = self.entries.iter().enumerate().map(|(entry, weight)| {
            let is_own = |burst: &&Burst| {
                let is_active = (burst.from_ms..burst.until_ms).contains(&at_ms);
                is_active && burst.entry == Some(entry)
            };
            let bursts = self.bursts.iter().filter(is_own);
            weight * bursts.map(|burst| burst.factor).product::<f64>()
        });
        weights.collect()
    }

    /// Draws the arrivals of the pattern from a seed.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let queues = self.queues();
        let mut arrivals = Vec::new();
        for (number, load) in self.queues.iter().enumerate() {
            let mut at_ms = 0.0;
            loop {
                let rate = load.jobs_per_s * self.factor(at_ms as u64, &load.name) / 1_000.0;
                at_ms -= rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                if at_ms >= self.length_ms as f64 {
                    break;
                }
                let (shape, mean_ms) = self.draw_shape(&mut rng, load, &queues[number]);
                let entry = self.draw_entry(&mut rng, at_ms as u64);
                arrivals.push(Arrival {
                    at_ms: at_ms as u64,
                    entry,
                    queue: number,
                    objective_ms: (STRETCH * mean_ms + TARGET_LATENCY_MS as f64) as u64,
                    worth: 0.0,
                    is_large: false,
                    shape,
                });
            }
        }
        self.set_worth(&mut arrivals);
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    /// Draws a job. Returns its shape and the mean work of its tasks, in milliseconds.
    fn draw_shape(
        &self,
        rng: &mut ChaCha8Rng,
        load: &QueueLoad,
        queue: &Arc<Queue>,
    ) -> (JobShape, f64) {
        let tasks = (load.tasks * random_factor(rng, 0.4)).round().max(1.0) as usize;
        let mean_ms = load.work_ms * random_factor(rng, 0.4);
        let cpu_milli = (load.cpu_milli * random_factor(rng, 0.2)).min(load.cpu_milli * 1.5);
        let work_ms = (0..tasks)
            .map(|_| mean_ms * random_factor(rng, 0.15))
            .collect();
        let shape = JobShape {
            queue: Arc::clone(queue),
            needs: Resources {
                cpu_milli: cpu_milli as u32,
                memory_mb: TASK_MEMORY_MB,
                accelerators: 0,
            },
            declared_ms: (mean_ms * random_factor(rng, 0.4)).max(1.0) as u64,
            work_ms,
            spec_bytes: load.spec_bytes,
        };
        (shape, mean_ms)
    }

    /// Draws the entry that receives a job, by the weights of the entries.
    fn draw_entry(&self, rng: &mut ChaCha8Rng, at_ms: u64) -> usize {
        let weights = self.entry_weights(at_ms);
        let all: f64 = weights.iter().sum();
        let mut remaining = rng.random::<f64>() * all;
        for (entry, share) in weights.iter().enumerate() {
            remaining -= share;
            if remaining < 0.0 {
                return entry;
            }
        }
        self.entries.len() - 1
    }

    /// Sets the worth of all jobs: it grows with the work of the job, and its sum is 1 for
    /// each queue.
    fn set_worth(&self, arrivals: &mut [Arrival]) {
        for queue in 0..self.queues.len() {
            let own = arrivals.iter().filter(|arrival| arrival.queue == queue);
            let mut works: Vec<f64> = own.map(Arrival::work).collect();
            works.sort_by(f64::total_cmp);
            let mean = works.iter().sum::<f64>() / works.len().max(1) as f64;
            let Some(min_large_work) = works.get(works.len() * 9 / 10).copied() else {
                continue;
            };
            let count = works.len() as f64;
            for arrival in arrivals.iter_mut().filter(|one| one.queue == queue) {
                let work = arrival.work();
                arrival.is_large = work >= min_large_work;
                arrival.worth =
                    (FIXED_WORTH_FRACTION + (1.0 - FIXED_WORTH_FRACTION) * work / mean) / count;
            }
        }
    }
}

/// Draws a factor with mean 1 and about the standard deviation `sigma`, at most
/// [`MAX_FACTOR`].
fn random_factor(rng: &mut ChaCha8Rng, sigma: f64) -> f64 {
    // The sum of twelve uniform variables is close to a normally distributed one.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (sigma * normal - sigma * sigma / 2.0).exp().min(MAX_FACTOR)
}
