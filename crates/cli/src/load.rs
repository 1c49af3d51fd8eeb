//! The load tool: an open-loop load, whose arrivals do not wait for answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::Ran;
use gannetvane_wire::api::AnswerBody;
use gannetvane_wire::api::JobBody;
use gannetvane_wire::api::Problem;
use gannetvane_wire::api::RequestBody;
use gannetvane_wire::api::TaskBody;
use oxhttp::model::Method;
use thiserror::Error;

use crate::client::CallError;
use crate::client::Client;
use crate::client::Response;
use crate::ids::IdPool;
use crate::ids::TakeIdError;
use crate::model::Discipline;
use crate::model::model_responses;
use crate::report::Comparison;
use crate::report::Outcomes;
use crate::report::Quantiles;
use crate::report::RATIO_SCALE;
use crate::report::Report;
use crate::report::Violations;
use crate::report::Window;
use crate::scrape::Counters;
use crate::scrape::Starts;
use crate::workload::Arrival;
use crate::workload::Workload;

/// Maximum number of submissions that wait for an answer at one time.
const MAX_IN_FLIGHT: usize = 2_000;
/// Number of single tasks sent to the idle system to measure the round trip.
const ROUND_TRIP_PROBES: usize = 20;
/// Run time of the tasks that measure the round trip, in milliseconds.
const PROBE_RUN_MS: u32 = 20;
/// Reason that is counted when the connection to an entry failed.
const NO_CONNECTION: &str = "no-connection";
/// Stack size of a sending thread, in bytes.
const SENDER_STACK_BYTES: usize = 256 * 1024;

/// Why a load cannot be run.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A setting is missing or out of range.
    #[error("{field}: {allowed}")]
    Setting {
        /// The setting.
        field: &'static str,
        /// The allowed values.
        allowed: &'static str,
    },
    /// The idle system did not complete a task of the round-trip measurement.
    #[error("idle system did not complete a task before the load: {detail}")]
    NotServing {
        /// Id of the submission and the reason for its failure.
        detail: String,
    },
    /// A minion stand-in did not list its starts.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// A load, and the processes that it is run on.
#[derive(Clone, Debug)]
pub struct Load {
    entries: Vec<String>,
    agents: Vec<String>,
    minions: Vec<String>,
    service: String,
    team: String,
    deadline_ms: u64,
    warm_up_ms: u64,
    workload: Workload,
}

/// Builds a [`Load`].
#[derive(Clone, Debug)]
pub struct LoadBuilder {
    load: Load,
}

impl LoadBuilder {
    /// Creates a builder for a load on the entries at these URLs.
    #[must_use]
    pub fn new(entries: Vec<String>, workload: Workload) -> Self {
        let load = Load {
            entries,
            agents: Vec::new(),
            minions: Vec::new(),
            service: String::new(),
            team: String::new(),
            deadline_ms: 30_000,
            warm_up_ms: 0,
            workload,
        };
        Self { load }
    }

    /// Sets the HTTP URLs of agents, whose metrics are read.
    #[must_use]
    pub fn agents(mut self, urls: Vec<String>) -> Self {
        self.load.agents = urls;
        self
    }

    /// Sets the HTTP URLs of minion stand-ins, whose starts are read.
    #[must_use]
    pub fn minions(mut self, urls: Vec<String>) -> Self {
        self.load.minions = urls;
        self
    }

    /// Sets the service and team of all submissions.
    #[must_use]
    pub fn service(mut self, service: &str, team: &str) -> Self {
        self.load.service = service.to_owned();
        self.load.team = team.to_owned();
        self
    }

    /// Sets the deadline of each submission, in milliseconds.
    #[must_use]
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.load.deadline_ms = deadline_ms;
        self
    }

    /// Sets the time at the start of the load that the quantiles leave out, in
    /// milliseconds.
    #[must_use]
    pub fn warm_up_ms(mut self, warm_up_ms: u64) -> Self {
        self.load.warm_up_ms = warm_up_ms;
        self
    }

    /// Checks the settings and builds the load.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Setting`] with the first setting that is not allowed.
    pub fn build(self) -> Result<Load, LoadError> {
        let load = self.load;
        let workload = &load.workload;
        let checks = [
            ("entries", !load.entries.is_empty(), "at least one URL"),
            ("service", !load.service.is_empty(), "a name"),
            ("team", !load.team.is_empty(), "a name"),
            (
                "load",
                workload.load > 0.0 && workload.load <= 20.0,
                "above 0, at most 20",
            ),
            (
                "slots",
                (1..=100_000).contains(&workload.slots),
                "from 1 to 100000",
            ),
            (
                "tasks",
                (1..=1_024).contains(&workload.tasks_per_job),
                "from 1 to 1024",
            ),
            (
                "seconds",
                (1..=3_600_000).contains(&workload.duration_ms),
                "from 1 to 3600",
            ),
            (
                "run times",
                workload.least_run_ms <= workload.most_run_ms,
                "the shortest must not exceed the longest",
            ),
            (
                "warm-up",
                load.warm_up_ms < workload.duration_ms,
                "less than the duration",
            ),
        ];
        for (field, is_allowed, allowed) in checks {
            if !is_allowed {
                return Err(LoadError::Setting { field, allowed });
            }
        }
        Ok(load)
    }
}

/// How one submission of the load ended.
#[derive(Clone, Debug)]
struct Sample {
    /// Index of its arrival.
    arrival: usize,
    id: String,
    /// Time from when it was due to its end, in microseconds.
    response_us: u64,
    end: SubmissionEnd,
}

/// The end of a submission, as its sender sees it.
#[derive(Clone, Debug)]
enum SubmissionEnd {
    Complete { is_correct: bool },
    Problem { ran: Ran, reason: String },
}

impl Load {
    /// Runs the load to its end and returns the report.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError`] when the idle system does not complete a task, the
    /// starts cannot be read, or a thread cannot be started.
    pub fn run(&self) -> Result<Report, LoadError> {
        let arrivals = Arc::new(self.workload.arrivals());
        let round_trip_us = self.measure_round_trip()?;
        let processes: Vec<String> = self.entries.iter().chain(&self.agents).cloned().collect();
        let before = Counters::scrape(&processes);
        let samples = self.send_all(&arrivals)?;
        let after = Counters::scrape(&processes);
        let tasks = arrivals
            .iter()
            .map(|arrival| arrival.run_ms.len() as u64)
            .sum();
        let starts = Starts::read(&self.minions)?;
        Ok(Report {
            seed: self.workload.seed,
            duration_ms: self.workload.duration_ms,
            load: self.workload.load,
            tasks_per_job: self.workload.tasks_per_job,
            round_trip_ms: round_trip_us as f64 / 1e3,
            outcomes: outcomes(&samples),
            response_over_ideal: self.compare(&arrivals, &samples, round_trip_us),
            windows: windows(&arrivals, &samples, round_trip_us),
            slowest_refusal_ms: slowest_refusal_ms(&samples),
            messages: after.messages_since(&before, tasks),
            violations: violations(&samples, &starts),
        })
    }

    /// Measures the shortest time, in microseconds, that single tasks on the idle
    /// system take beyond their run time.
    fn measure_round_trip(&self) -> Result<u64, LoadError> {
        let ids = IdPool::new(&self.service);
        let probe = Arrival {
            at_us: 0,
            is_request: true,
            run_ms: vec![PROBE_RUN_MS],
            declared_ms: vec![PROBE_RUN_MS],
        };
        let mut min_us = u64::MAX;
        for number in 0..ROUND_TRIP_PROBES {
            let entry = Client::new(&self.entries[number % self.entries.len()]);
            let started = Instant::now();
            let (id, end) = self.send_one(&entry, &ids, &probe);
            if let SubmissionEnd::Problem { reason, .. } = end {
                return Err(LoadError::NotServing {
                    detail: format!("{id}: {reason}"),
                });
            }
            // The first task is not counted, because its time includes the fetch of
            // the ids.
            if number > 0 {
                let extra_us =
                    micros(started.elapsed()).saturating_sub(u64::from(PROBE_RUN_MS) * 1_000);
                min_us = min_us.min(extra_us);
            }
        }
        Ok(min_us)
    }

    fn send_all(&self, arrivals: &Arc<Vec<Arrival>>) -> Result<Vec<Sample>, LoadError> {
        let ids = Arc::new(IdPool::new(&self.service));
        let (due_sender, due_arrivals) = unbounded::<usize>();
        let (sample_sender, samples) = unbounded();
        let started = Instant::now();
        for _ in 0..MAX_IN_FLIGHT.min(arrivals.len()) {
            let sender = SendingThread {
                load: self.clone(),
                arrivals: Arc::clone(arrivals),
                ids: Arc::clone(&ids),
                started,
            };
            let (due_arrivals, sample_sender) = (due_arrivals.clone(), sample_sender.clone());
            thread::Builder::new()
                .stack_size(SENDER_STACK_BYTES)
                .spawn(move || sender.run(&due_arrivals, &sample_sender))?;
        }
        drop(sample_sender);
        for (index, arrival) in arrivals.iter().enumerate() {
            let at = started + Duration::from_micros(arrival.at_us);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            // The receivers exist until the channel is dropped, so the send cannot fail.
            let _ = due_sender.send(index);
        }
        drop(due_sender);
        Ok(samples.iter().collect())
    }

    fn send_one(&self, entry: &Client, ids: &IdPool, arrival: &Arrival) -> (String, SubmissionEnd) {
        let id = match ids.take(entry) {
            Ok(id) => id,
            Err(TakeIdError::Refused(response)) => {
                return (String::new(), end_from_problem(&response));
            }
            Err(TakeIdError::Call(error)) => {
                return (String::new(), end_from_call_error(&error, Ran::NotRun));
            }
        };
        let wait = Duration::from_millis(self.deadline_ms);
        let response = if arrival.is_request {
            let path = format!("/v1/requests/{id}");
            entry.send(Method::PUT, &path, &self.request_body(arrival), wait)
        } else {
            let path = format!("/v1/jobs/{id}");
            entry.send(Method::PUT, &path, &self.job_body(arrival), wait)
        };
        let end = match response {
            Ok(response) if response.is_success() => SubmissionEnd::Complete {
                is_correct: is_correct(&response, &id, arrival.run_ms.len()),
            },
            Ok(response) => end_from_problem(&response),
            Err(error) => end_from_call_error(&error, Ran::Unknown),
        };
        if matches!(&end, SubmissionEnd::Problem { reason, .. } if reason.starts_with("home-")) {
            ids.drop_ids_of_home(&id);
        }
        (id, end)
    }

    fn request_body(&self, arrival: &Arrival) -> RequestBody {
        RequestBody {
            service: Name::from(self.service.as_str()),
            team: Name::from(self.team.as_str()),
            deadline_ms: self.deadline_ms,
            repeatable: false,
            kind: Name::from("load"),
            payload: payload(arrival.run_ms[0]),
            declared_ms: arrival.declared_ms.first().copied(),
            needs: Needs::default(),
        }
    }

    fn job_body(&self, arrival: &Arrival) -> JobBody {
        let tasks = arrival.run_ms.iter().zip(&arrival.declared_ms);
        let tasks = tasks.map(|(run_ms, declared_ms)| TaskBody {
            kind: Name::from("load"),
            payload: payload(*run_ms),
            declared_ms: Some(*declared_ms),
            needs: Needs::default(),
        });
        JobBody {
            service: Name::from(self.service.as_str()),
            team: Name::from(self.team.as_str()),
            deadline_ms: self.deadline_ms,
            tasks: tasks.collect(),
        }
    }

    fn compare(&self, arrivals: &[Arrival], samples: &[Sample], round_trip_us: u64) -> Comparison {
        let is_after_warm_up = |arrival: &Arrival| arrival.at_us >= self.warm_up_ms * 1_000;
        let measured = samples
            .iter()
            .filter(|sample| matches!(sample.end, SubmissionEnd::Complete { .. }))
            .map(|sample| (&arrivals[sample.arrival], sample.response_us))
            .filter(|(arrival, _)| is_after_warm_up(arrival))
            .map(|(arrival, response_us)| ratio(arrival, response_us, round_trip_us));
        let model = |discipline| {
            let minions = self.minions.len().max(1);
            let slots_each = self.workload.slots / minions;
            let responses = model_responses(arrivals, minions, slots_each, discipline);
            let pairs = arrivals
                .iter()
                .zip(responses)
                .filter(|(arrival, _)| is_after_warm_up(arrival));
            Quantiles::of(
                pairs.map(|(arrival, us)| ratio(arrival, us + round_trip_us, round_trip_us)),
            )
        };
        Comparison {
            measured: Quantiles::of(measured),
            central: model(Discipline::Central),
            random: model(Discipline::Random),
            power_of_two: model(Discipline::PowerOfTwo),
        }
    }
}

/// The state of a thread that sends due submissions, one after the other.
struct SendingThread {
    load: Load,
    arrivals: Arc<Vec<Arrival>>,
    ids: Arc<IdPool>,
    started: Instant,
}

impl SendingThread {
    fn run(&self, due_arrivals: &Receiver<usize>, sample_sender: &Sender<Sample>) {
        for index in due_arrivals {
            let arrival = &self.arrivals[index];
            let entry = Client::new(&self.load.entries[index % self.load.entries.len()]);
            let (id, end) = self.load.send_one(&entry, &self.ids, arrival);
            // The time is counted from when the submission was due, so that it
            // includes a delay of the sender.
            let response_us = micros(self.started.elapsed()).saturating_sub(arrival.at_us);
            if sample_sender
                .send(Sample {
                    arrival: index,
                    id,
                    response_us,
                    end,
                })
                .is_err()
            {
                return;
            }
        }
    }
}

fn outcomes(samples: &[Sample]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for sample in samples {
        outcomes.sent += 1;
        match &sample.end {
            SubmissionEnd::Complete { .. } => outcomes.complete += 1,
            SubmissionEnd::Problem { ran, reason } => {
                match ran {
                    Ran::NotRun => outcomes.not_run += 1,
                    Ran::Ran => outcomes.ran += 1,
                    Ran::Unknown => outcomes.unknown += 1,
                }
                *outcomes.reasons.entry(reason.clone()).or_default() += 1;
            }
        }
    }
    outcomes
}

fn windows(arrivals: &[Arrival], samples: &[Sample], round_trip_us: u64) -> Vec<Window> {
    let mut by_second: BTreeMap<u64, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        let second = arrivals[sample.arrival].at_us / 1_000_000;
        by_second.entry(second).or_default().push(sample);
    }
    let window = |(at_s, samples): (u64, Vec<&Sample>)| {
        let complete = samples
            .iter()
            .filter(|sample| matches!(sample.end, SubmissionEnd::Complete { .. }));
        let ratios = Quantiles::ratios(
            complete
                .map(|sample| ratio(&arrivals[sample.arrival], sample.response_us, round_trip_us)),
        );
        Window {
            at_s,
            sent: samples.len() as u64,
            complete: ratios.len(),
            p90: ratios.value_at_quantile(0.9) as f64 / RATIO_SCALE,
        }
    };
    by_second.into_iter().map(window).collect()
}

/// Returns the response time of one submission divided by the ideal one.
fn ratio(arrival: &Arrival, response_us: u64, round_trip_us: u64) -> f64 {
    response_us as f64 / (longest_run_us(arrival) + round_trip_us) as f64
}

fn slowest_refusal_ms(samples: &[Sample]) -> f64 {
    let refusals = samples.iter().filter(|sample| {
        matches!(&sample.end, SubmissionEnd::Problem { ran: Ran::NotRun, reason } if reason != "deadline-passed")
    });
    refusals.map(|sample| sample.response_us).max().unwrap_or(0) as f64 / 1e3
}

fn violations(samples: &[Sample], starts: &Starts) -> Violations {
    let mut violations = Violations {
        double_starts: starts.started_twice,
        starts: starts.count,
        ..Violations::default()
    };
    for sample in samples {
        match sample.end {
            SubmissionEnd::Complete { is_correct: false } => violations.wrong_answers += 1,
            SubmissionEnd::Problem {
                ran: Ran::NotRun, ..
            } if starts.submissions.contains(&sample.id) => {
                violations.false_not_run += 1;
            }
            _ => {}
        }
    }
    violations
}

/// Whether a response holds all results and belongs to the submission.
fn is_correct(response: &Response, id: &str, tasks: usize) -> bool {
    let Ok(answer) = response.json::<AnswerBody>() else {
        return false;
    };
    let expected = |index: usize| format!("done {id}/{index}");
    let has_own_results = (0..)
        .zip(&answer.results)
        .all(|(index, result)| **result == *expected(index));
    answer.id == id && answer.results.len() == tasks && has_own_results
}

fn end_from_problem(response: &Response) -> SubmissionEnd {
    match response.json::<Problem>() {
        Ok(problem) => SubmissionEnd::Problem {
            ran: problem.ran,
            reason: reason_of(&problem),
        },
        Err(_) => SubmissionEnd::Problem {
            ran: Ran::Unknown,
            reason: format!("status-{}", response.status),
        },
    }
}

fn reason_of(problem: &Problem) -> String {
    problem
        .kind
        .rsplit(':')
        .next()
        .unwrap_or_default()
        .to_owned()
}

fn end_from_call_error(error: &CallError, ran: Ran) -> SubmissionEnd {
    let reason = match error {
        CallError::Connection { .. } => NO_CONNECTION.to_owned(),
        other => other.to_string(),
    };
    SubmissionEnd::Problem { ran, reason }
}

fn payload(run_ms: u32) -> Name {
    Name::from(format!("run_ms={run_ms}"))
}

fn longest_run_us(arrival: &Arrival) -> u64 {
    arrival.run_ms.iter().max().copied().map_or(0, u64::from) * 1_000
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
