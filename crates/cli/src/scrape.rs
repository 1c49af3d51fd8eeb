//! Figures read over HTTP: metrics of the processes, starts of the minion stand-ins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;

use crate::client::CallError;
use crate::client::Client;
use crate::report::Messages;

const MESSAGES_METRIC: &str = "gannetvane_messages_sent_total";
const BYTES_METRIC: &str = "gannetvane_bytes_sent_total";
const RESENDS_METRIC: &str = "gannetvane_resends_total";
const RETRIES_METRIC: &str = "gannetvane_retries_total";
/// Kinds of messages that every task needs.
const REQUIRED_KINDS: [&str; 4] = ["submit", "answer", "start", "finished"];
/// Kinds of messages about tasks and credits that a task can do without.
const AVOIDABLE_KINDS: [&str; 3] = ["credit-request", "credit-grant", "revoke"];
/// Time that a process may take to respond.
const RESPONSE_WAIT: Duration = Duration::from_secs(5);

/// Counters summed over several processes, by metric and label.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counters {
    values: BTreeMap<CounterKey, u64>,
}

/// Metric and label that identify a counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    metric: String,
    label: String,
}

/// One start of a task, as a minion stand-in lists it.
#[derive(Clone, Debug, Deserialize)]
struct Start {
    task: String,
    is_repeatable: bool,
}

/// Starts of tasks over all minions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    /// Number of starts.
    pub(crate) count: u64,
    /// Number of tasks that may run only once but started more often.
    pub(crate) started_twice: u64,
    /// Submissions of which a task started.
    pub(crate) submissions: BTreeSet<String>,
}

impl Counters {
    /// Reads the metrics of processes. A process that gives no response adds nothing.
    pub(crate) fn scrape(urls: &[String]) -> Self {
        let mut counters = Self::default();
        for url in urls {
            if let Ok(response) = Client::new(url).get("/metrics", RESPONSE_WAIT) {
                counters.add(&String::from_utf8_lossy(&response.body));
            }
        }
        counters
    }

    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((metric, rest)) = line.split_once('{') else {
                continue;
            };
            let Some((labels, value)) = rest.rsplit_once("} ") else {
                continue;
            };
            let value = value.trim().parse::<f64>().unwrap_or(0.0) as u64;
            let key = CounterKey {
                metric: metric.to_owned(),
                label: label_of(labels),
            };
            *self.values.entry(key).or_default() += value;
        }
    }

    fn get(&self, metric: &str, label: &str) -> u64 {
        let key = CounterKey {
            metric: metric.to_owned(),
            label: label.to_owned(),
        };
        self.values.get(&key).copied().unwrap_or(0)
    }

    fn sum(&self, metric: &str) -> u64 {
        self.values
            .iter()
            .filter(|(key, _)| key.metric == metric)
            .map(|(_, value)| value)
            .sum()
    }

    /// Computes the figures of the messages sent since `earlier` for `tasks` tasks.
    pub(crate) fn messages_since(&self, earlier: &Self, tasks: u64) -> Messages {
        let since = |metric: &str, label: &str| {
            self.get(metric, label)
                .saturating_sub(earlier.get(metric, label))
        };
        let sum_since = |metric: &str| self.sum(metric).saturating_sub(earlier.sum(metric));
        let mut by_kind = BTreeMap::new();
        for kind in REQUIRED_KINDS.iter().chain(&AVOIDABLE_KINDS) {
            by_kind.insert((*kind).to_owned(), since(MESSAGES_METRIC, kind));
        }
        let total: u64 = by_kind.values().sum();
        let avoidable: u64 = AVOIDABLE_KINDS
            .iter()
            .map(|kind| since(MESSAGES_METRIC, kind))
            .sum();
        let repeated = sum_since(RESENDS_METRIC) + 2 * sum_since(RETRIES_METRIC);
        let wasted = avoidable + repeated;
        let task_path_bytes: u64 = REQUIRED_KINDS
            .iter()
            .chain(&AVOIDABLE_KINDS)
            .map(|kind| since(BYTES_METRIC, kind))
            .sum();
        Messages {
            by_kind,
            per_task: total as f64 / tasks.max(1) as f64,
            wasted_share: wasted as f64 / total.saturating_sub(wasted).max(1) as f64,
            control_bytes: sum_since(BYTES_METRIC).saturating_sub(task_path_bytes),
        }
    }
}

impl Starts {
    /// Reads the starts from minion stand-ins.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when a minion does not list its starts.
    pub(crate) fn read(urls: &[String]) -> Result<Self, CallError> {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        let mut starts = Self::default();
        for url in urls {
            let response = Client::new(url).get("/starts", RESPONSE_WAIT)?;
            for start in response.json::<Vec<Start>>()? {
                starts.count += 1;
                let submission = start.task.split('/').next().unwrap_or_default();
                starts.submissions.insert(submission.to_owned());
                if !start.is_repeatable {
                    *counts.entry(start.task).or_default() += 1;
                }
            }
        }
        starts.started_twice = counts.values().filter(|count| **count > 1).count() as u64;
        Ok(starts)
    }
}

/// Returns the value of the first label that gannetvane sets itself; the metrics
/// library adds others.
fn label_of(labels: &str) -> String {
    let pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
    let mut counter_labels =
        pairs.filter(|(key, _)| matches!(*key, "message" | "reason" | "event"));
    counter_labels
        .next()
        .map(|(_, value)| value.trim_matches('"').to_owned())
        .unwrap_or_default()
}
