//! Clients that send jobs, and what they are told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use gannetvane_platform_standins::post_job;
use gannetvane_platform_standins::post_stored_job;
use gannetvane_platform_standins::stored_state;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Pause before a client sends a job again whose answer did not come.
const RESEND_MS: u64 = 1_300;

/// What callers learned of one job.
#[derive(Clone, Debug, Default)]
pub struct JobLog {
    pub tasks: usize,
    pub statuses: Vec<u16>,
    /// Whether it is stored.
    pub is_accepted: bool,
    pub is_completed: bool,
}

/// A job that a client makes up.
pub struct ClientJob {
    pub id: String,
    pub tasks: usize,
    pub work_ms: u64,
}

impl ClientJob {
    pub fn draw(client: usize, seed: u64, sent: u32, rng: &mut ChaCha8Rng) -> Self {
        Self {
            id: format!("{client:04x}{:04x}{sent:08x}", seed & 0xffff),
            tasks: rng.random_range(1..6),
            work_ms: rng.random_range(10..500),
        }
    }

    pub fn log(&self) -> JobLog {
        JobLog {
            tasks: self.tasks,
            ..JobLog::default()
        }
    }
}

/// Sends stored jobs one after the other, each again until it is accepted or
/// refused, and asks for each until it has ended.
pub fn run_storing_client(
    number: usize,
    seed: u64,
    fronts: &[SocketAddr],
    jobs: &Mutex<BTreeMap<String, JobLog>>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let job = ClientJob::draw(number, seed, sent, &mut rng);
        let mut log = job.log();
        while !stop.load(Ordering::Relaxed) && !log.is_accepted {
            let front = fronts[rng.random_range(0..fronts.len())];
            let (status, _) = post_stored_job(front, &job.id, job.tasks, job.work_ms);
            log.statuses.push(status);
            log.is_accepted = status == 200;
            if matches!(status, 422 | 429 | 503) && log.statuses.len() == 1 {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        while !stop.load(Ordering::Relaxed) && log.is_accepted && !log.is_completed {
            let front = fronts[rng.random_range(0..fronts.len())];
            log.is_completed = stored_state(front, &job.id).1.contains("completed");
            thread::sleep(Duration::from_millis(20));
        }
        jobs.lock().expect("no panic").insert(job.id, log);
    }
}

/// Sends jobs one after the other, each again when no answer came.
pub fn run_client(
    number: usize,
    seed: u64,
    fronts: &[SocketAddr],
    jobs: &Mutex<BTreeMap<String, JobLog>>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let job = ClientJob::draw(number, seed, sent, &mut rng);
        let mut log = job.log();
        for _ in 0..3 {
            let front = fronts[rng.random_range(0..fronts.len())];
            let (status, body) = post_job(front, &job.id, job.tasks, job.work_ms);
            log.statuses.push(status);
            log.is_completed = status == 200 && body.contains("completed");
            if matches!(status, 200 | 422 | 429 | 503 | 504) {
                break;
            }
            thread::sleep(Duration::from_millis(RESEND_MS));
        }
        jobs.lock().expect("no panic").insert(job.id, log);
    }
}
