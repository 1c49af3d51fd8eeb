//! The story of one job, from the log lines of all processes.
//!
//! Lines that name the job are its own. Lines without a job count as its
//! surroundings when they come from a host that it was on, or speak of one,
//! while it was open: an agent that was lost, a minion that fell silent.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use thiserror::Error;

/// Time before a job came and after it ended whose events are shown with it,
/// in milliseconds: clocks of hosts differ by some.
const CONTEXT_MS: u64 = 500;

/// A story that cannot be told.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// No line names the job.
    #[error("no line names {job}: {read} lines read, {skipped} of them no log lines")]
    Unknown {
        /// The job.
        job: String,
        /// Lines that were read.
        read: usize,
        /// Lines that are not log lines.
        skipped: usize,
    },
}

/// Event of the line that tells that the end of a stored job lies in the log.
const RECORDED_EVENT: &str = "recorded";

/// What a log line holds; fields that are not named here are left out.
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
    /// Reads a line; what stands before the JSON object is left out.
    fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// Values of a field in `why`.
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

/// The lines that tell what became of a job, in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobHistory {
    job: String,
    received_ms: u64,
    lines: Vec<LogLine>,
}

/// Finds the story of a job in log lines of any processes, in any order.
///
/// # Errors
///
/// [`ExplainError`] when no line names the job.
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
    // An outcome comes after what led to it in the same millisecond.
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
    /// What the last line that names an outcome means.
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
