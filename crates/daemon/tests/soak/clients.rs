//! Clients that send jobs, and records of the answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use gannetvane_platform_standins::JobRequest;
use gannetvane_platform_standins::stored_state;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Pause before a client repeats an unanswered call.
const RESEND_MS: u64 = 1_300;
/// One random job in this many crashes each minion that starts one of its tasks,
/// and another one in this many fails.
const FAULTY_JOB_DIVISOR: u32 = 30;

/// The answers that callers got for one job.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    pub tasks: usize,
    pub statuses: Vec<u16>,
    /// Whether an entry confirmed that the job is stored.
    pub is_accepted: bool,
    pub is_completed: bool,
    pub is_failed: bool,
}

impl JobRecord {
    /// Records the end of the job if the answer reports one.
    pub fn record_answer(&mut self, (status, body): &(u16, String)) {
        self.is_completed |= *status == 200 && body.contains("completed");
        self.is_failed |= *status == 200 && body.contains("failed");
    }

    pub fn has_ended(&self) -> bool {
        self.is_completed || self.is_failed
    }
}

/// A job with random contents.
pub struct ClientJob {
    pub id: String,
    pub spec: String,
    pub tasks: usize,
    pub work_ms: u64,
}

impl ClientJob {
    pub fn random(client: usize, seed: u64, sent: u32, rng: &mut ChaCha8Rng) -> Self {
        let work_ms = rng.random_range(10..500);
        Self {
            id: format!("{client:04x}{:04x}{sent:08x}", seed & 0xffff),
            spec: match rng.random_range(0..FAULTY_JOB_DIVISOR) {
                0 => "crash".to_owned(),
                1 => "fail".to_owned(),
                _ => format!("ms={work_ms}"),
            },
            tasks: rng.random_range(1..6),
            work_ms,
        }
    }

    fn post(&self, front: SocketAddr, is_stored: bool) -> (u16, String) {
        let request = JobRequest {
            id: &self.id,
            spec: &self.spec,
            tasks: self.tasks,
            work_ms: self.work_ms,
            is_stored,
        };
        request.post(front)
    }

    pub fn new_record(&self) -> JobRecord {
        JobRecord {
            tasks: self.tasks,
            ..JobRecord::default()
        }
    }
}

/// Sends stored jobs one after the other until `stop` is set: repeats each until
/// it is accepted or refused, and polls each accepted one until it has ended.
pub fn run_storing_client(
    number: usize,
    seed: u64,
    fronts: &[SocketAddr],
    jobs: &Mutex<BTreeMap<String, JobRecord>>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let job = ClientJob::random(number, seed, sent, &mut rng);
        let mut record = job.new_record();
        while !stop.load(Ordering::Relaxed) && !record.is_accepted {
            let front = fronts[rng.random_range(0..fronts.len())];
            let (status, _) = job.post(front, true);
            record.statuses.push(status);
            record.is_accepted = status == 200;
            if matches!(status, 422 | 429 | 503) && record.statuses.len() == 1 {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        while !stop.load(Ordering::Relaxed) && record.is_accepted && !record.has_ended() {
            let front = fronts[rng.random_range(0..fronts.len())];
            record.record_answer(&stored_state(front, &job.id));
            thread::sleep(Duration::from_millis(20));
        }
        jobs.lock().expect("no panic").insert(job.id, record);
    }
}

/// Sends jobs one after the other until `stop` is set, each up to 3 times while
/// it gets no final answer.
pub fn run_client(
    number: usize,
    seed: u64,
    fronts: &[SocketAddr],
    jobs: &Mutex<BTreeMap<String, JobRecord>>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let job = ClientJob::random(number, seed, sent, &mut rng);
        let mut record = job.new_record();
        for _ in 0..3 {
            let front = fronts[rng.random_range(0..fronts.len())];
            let answer = job.post(front, false);
            record.statuses.push(answer.0);
            record.record_answer(&answer);
            if matches!(answer.0, 200 | 422 | 429 | 503 | 504) {
                break;
            }
            thread::sleep(Duration::from_millis(RESEND_MS));
        }
        jobs.lock().expect("no panic").insert(job.id, record);
    }
}
