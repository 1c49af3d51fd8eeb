//! The history of one job, from the log lines of all processes.
//!
//! The history holds all lines that name the job. It also holds lines that name no
//! job, such as the loss of an agent or an unresponsive minion, if they were logged
//! while the job was open and come from, or name, a process or host that took part.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use thiserror::Error;

/// Time before the arrival of a job and after its end from which lines without a
/// job are included, in milliseconds. The margin is there because the clocks of
/// hosts differ.
const CONTEXT_MS: u64 = 500;

/// Why the history of a job cannot be given.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// No line names the job.
    #[error("no line names {job}: {read} lines read, {skipped} of them no log lines")]
    Unknown {
        /// Id of the job.
        job: String,
        /// Number of lines that were read.
        read: usize,
        /// Number of lines that were read but are not log lines.
        skipped: usize,
    },
}

/// Event that is logged when the end of a stored job is recorded in the job log.
const RECORDED_EVENT: &str = "recorded";

/// The fields of a log line that are used here; others are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct LogLine {
    unix_ms: u64,
    node: String,
    event: String,
    #[serde(default)]
    why: String,
    job: Option<String>,
    took_ms: Option<u64>,
}

impl LogLine {
    /// Parses a line. Text before the JSON object is ignored.
    fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// Returns the values of a field in `why`, which holds `name=value` pairs.
    fn values<'a>(&'a self, field: &'a str) -> impl Iterator<Item = &'a str> {
        let pairs = self.why.split(' ').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(move |(name, _)| *name == field)
            .map(|(_, value)| value)
    }

    fn hosts(&self) -> impl Iterator<Item = &str> {
        self.values("host").chain(self.values("last_host"))
    }
}

/// The log lines about a job and its surroundings, in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobHistory {
    job: String,
    received_ms: u64,
    lines: Vec<LogLine>,
}

/// Finds the history of a job in log lines of any processes, in any order.
///
/// # Errors
///
/// Returns [`ExplainError`] when no line names the job.
pub fn explain<'a>(
    job: &str,
    logs: impl IntoIterator<Item = &'a str>,
) -> Result<JobHistory, ExplainError> {
    let mut read = 0;
    let texts = logs.into_iter().inspect(|_| read += 1);
    let lines: Vec<LogLine> = texts.filter_map(LogLine::read).collect();
    let job_lines: Vec<&LogLine> = lines.iter().filter(|line| is_about(line, job)).collect();
    let arrival_ms = |line: &&LogLine| line.unix_ms.saturating_sub(line.took_ms.unwrap_or(0));
    let Some(received_ms) = job_lines.iter().map(arrival_ms).min() else {
        return Err(ExplainError::Unknown {
            job: job.to_owned(),
            read,
            skipped: read - lines.len(),
        });
    };
    let ended_ms = job_lines.iter().map(|line| line.unix_ms).max();
    let from_ms = received_ms.saturating_sub(CONTEXT_MS);
    let until_ms = ended_ms.unwrap_or(received_ms) + CONTEXT_MS;
    let nodes = job_lines.iter().map(|line| line.node.as_str());
    let hosts = job_lines.iter().flat_map(|line| line.hosts());
    let involved: BTreeSet<&str> = nodes.chain(hosts).collect();
    let is_context = |line: &LogLine| {
        let mut names = std::iter::once(line.node.as_str()).chain(line.hosts());
        line.job.is_none()
            && (from_ms..=until_ms).contains(&line.unix_ms)
            && names.any(|name| involved.contains(name))
    };
    let history = lines
        .iter()
        .filter(|line| is_about(line, job) || is_context(line));
    let mut history: Vec<LogLine> = history.cloned().collect();
    // Among lines of the same millisecond, an outcome is put after its causes.
    history.sort_by_key(|line| (line.unix_ms, line.took_ms.is_some()));
    Ok(JobHistory {
        job: job.to_owned(),
        received_ms,
        lines: history,
    })
}

fn is_about(line: &LogLine, job: &str) -> bool {
    line.job.as_deref() == Some(job)
}

impl JobHistory {
    /// Describes the outcome of the job, from the last line that names one.
    fn summary(&self) -> String {
        let is_recorded =
            |line: &&LogLine| is_about(line, &self.job) && line.event == RECORDED_EVENT;
        if let Some(line) = self.lines.iter().rfind(is_recorded) {
            let end = line.values("end").next().unwrap_or_default();
            return format!("stored, and recorded as {end}: every entry tells it so");
        }
        let has_outcome = |line: &&LogLine| is_about(line, &self.job) && line.took_ms.is_some();
        let Some(line) = self.lines.iter().rfind(has_outcome) else {
            return "no outcome was logged: the process ended first, or lines were dropped"
                .to_owned();
        };
        let cause = line.values("cause").chain(line.values("reason")).next();
        let took_ms = line.took_ms.unwrap_or(0);
        let meaning = meaning(&line.event, cause.unwrap_or_default());
        format!("{} after {took_ms} ms: {meaning}", line.event)
    }
}

fn meaning(event: &str, cause: &str) -> &'static str {
    match (event, cause) {
        ("completed", _) => "all of its tasks were done",
        ("failed", _) => "a task failed as often as its queue allows; see the task-failed lines",
        ("refused", "no-prospect") => {
            "nothing of it had started, and with the work ahead of it it would have been late"
        }
        ("refused", "too-late") => "nothing of it had started until it was of no use",
        ("refused", "no-minion") => "no minion of its service was in reach",
        ("refused", "never-fits") => "no minion is large enough for one of its tasks",
        ("refused", "stopping") => "the entry was about to end",
        ("refused", "not-storable") => "the store did not take it, so that it never runs",
        ("refused", "overloaded") => "too much waited before it; it was not stored and never runs",
        ("refused", _) => "nothing of it had started",
        ("too-late", _) => "a part of it ran, and the rest would have come too late to be of use",
        ("cancelled", "caller-left") => "its caller closed the connection",
        ("cancelled", _) => "its caller cancelled it",
        _ => "see the line",
    }
}

impl fmt::Display for JobHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "job {}", self.job)?;
        for line in &self.lines {
            let since_ms = line.unix_ms.cast_signed() - self.received_ms.cast_signed();
            let marker = if line.job.is_some() { '*' } else { ' ' };
            let why = line.why.trim_end();
            writeln!(
                f,
                "{marker} {since_ms:>6} ms  {}  {}  {why}",
                line.node, line.event
            )?;
        }
        writeln!(f, "{}", self.summary())
    }
}
