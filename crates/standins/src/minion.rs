//! Stand-in for a minion, which runs tasks that only wait and records every start.
//!
//! - `POST /tasks/{submission}/{index}` runs a task. The body holds the run time,
//!   `run_ms=N`, and `fail` if the task is to fail.
//! - `DELETE /tasks/{submission}/{index}` stops a task.
//! - `GET /starts` lists all starts.
//! - `PUT /fault` with `fail-all` makes every task fail at once; `none` ends that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::serve::Answer;
use crate::serve::Call;
use crate::serve::serve;

/// Maximum number of connections that a minion serves at one time.
const MAX_CONNECTIONS: usize = 64;

/// One start of a task on the minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// The task, as `submission/index`.
    pub task: String,
    /// Whether the task may run more than once.
    pub is_repeatable: bool,
}

/// A minion that runs one task on each of its slots.
#[derive(Clone, Debug)]
pub struct MinionStandIn {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    slots: usize,
}

#[derive(Debug, Default)]
struct State {
    starts: Vec<StartRecord>,
    /// Running tasks, and whether each was asked to stop.
    running: BTreeMap<String, bool>,
    max_running: usize,
    fails_all: bool,
}

impl MinionStandIn {
    /// Creates a minion with `slots` slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        let shared = Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            slots,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Serves the minion at an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn serve(&self, addr: SocketAddr) -> std::io::Result<()> {
        let minion = self.clone();
        serve(addr, MAX_CONNECTIONS, move |call| minion.answer(call))
    }

    /// Returns all starts so far.
    #[must_use]
    pub fn starts(&self) -> Vec<StartRecord> {
        self.lock().starts.clone()
    }

    /// Returns the number of tasks that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Sets whether every task fails at once.
    pub fn set_fails_all(&self, fails_all: bool) {
        self.lock().fails_all = fails_all;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, call: &Call) -> Answer {
        let path = call.path.trim_matches('/');
        match (call.method.as_str(), path) {
            ("GET", "starts") => Answer::new(
                200,
                serde_json::to_string(&self.starts()).unwrap_or_default(),
            ),
            ("PUT", "fault") => {
                self.set_fails_all(call.body.trim() == "fail-all");
                Answer::new(200, "")
            }
            _ => match (call.method.as_str(), path.strip_prefix("tasks/")) {
                ("POST", Some(task)) => self.run(task, call),
                ("DELETE", Some(task)) => self.stop(task),
                _ => Answer::new(404, "no such path"),
            },
        }
    }

    fn run(&self, task: &str, call: &Call) -> Answer {
        {
            let mut state = self.lock();
            if state.running.len() >= self.shared.slots {
                return Answer::new(429, "all slots are busy");
            }
            let record = StartRecord {
                task: task.to_owned(),
                is_repeatable: call.is_repeatable,
            };
            state.starts.push(record);
            if state.fails_all {
                return Answer::new(500, "every task is set to fail");
            }
            state.running.insert(task.to_owned(), false);
            state.max_running = state.max_running.max(state.running.len());
        }
        let was_stopped = self.wait_unless_stopped(task, parse_run_time(&call.body));
        self.lock().running.remove(task);
        if was_stopped {
            return Answer::new(409, "stopped");
        }
        if call.body.contains("fail") {
            return Answer::new(500, "failed as asked");
        }
        Answer::new(200, format!("done {task}"))
    }

    /// Waits until the run time has passed or the task is stopped. Returns true if
    /// it was stopped.
    fn wait_unless_stopped(&self, task: &str, run_time: Duration) -> bool {
        let end = Instant::now() + run_time;
        let mut state = self.lock();
        loop {
            if state.running.get(task).copied().unwrap_or(false) {
                return true;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn stop(&self, task: &str) -> Answer {
        let mut state = self.lock();
        match state.running.get_mut(task) {
            Some(is_stopped) => {
                *is_stopped = true;
                self.shared.changed.notify_all();
                Answer::new(200, "")
            }
            None => Answer::new(404, "not running"),
        }
    }
}

fn parse_run_time(body: &str) -> Duration {
    let words = body.split_whitespace();
    let run_ms = words
        .filter_map(|word| word.strip_prefix("run_ms="))
        .find_map(|n| n.parse().ok());
    Duration::from_millis(run_ms.unwrap_or(0))
}
