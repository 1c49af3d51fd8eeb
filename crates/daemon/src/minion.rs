//! The HTTP client of the minion beside an agent, and the threads that call it.

use std::fmt::Debug;
use std::io::ErrorKind;
use std::io::Read;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use gannetvane_wire::Name;
use gannetvane_wire::Reason;
use gannetvane_wire::TaskId;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStart;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use slog::Logger;
use slog::warn;

use crate::input::Input;

/// Largest size of the output of a task.
const MAX_OUTPUT_BYTES: u64 = 256 * 1024;
/// Timeout of a request to stop a task.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A minion that runs tasks.
pub(crate) trait Minion: Debug + Send + Sync {
    /// Runs a task and returns its result after its end.
    fn run(&self, start: &TaskStart) -> TaskResult;

    /// Requests the stop of a running task; [`Self::run`] then returns early.
    fn stop(&self, task_id: TaskId);
}

/// A minion that is called over HTTP.
pub(crate) struct HttpMinion {
    url: String,
    log: Logger,
    client: Client,
    stop_client: Client,
}

impl Debug for HttpMinion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpMinion")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}

impl HttpMinion {
    /// Creates a client of the minion at `url`.
    ///
    /// A task that takes longer than `timeout` has an unknown result.
    #[must_use]
    pub fn new(url: &str, timeout: Duration, log: Logger) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
            log,
            client: Client::new().with_global_timeout(timeout),
            stop_client: Client::new().with_global_timeout(STOP_TIMEOUT),
        }
    }

    /// Builds the request that starts a task; returns `None` when the kind of
    /// the task is not a valid header value.
    fn request(&self, start: &TaskStart) -> Option<Request<Body>> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("{}/tasks/{}", self.url, start.task_id))
            .header("gannetvane-kind", &*start.task.kind)
            .header("gannetvane-attempt", start.task_id.attempt.to_string())
            .header("gannetvane-repeatable", start.repeatable.to_string())
            .header("gannetvane-remaining-ms", start.remaining_ms.to_string())
            .body(Body::from(start.task.payload.to_string()))
            .ok()
    }

    /// Returns the unknown result for a call whose connection broke or timed out:
    /// the task may have run. Logs the error.
    fn unknown_result(&self, task_id: TaskId, error: &std::io::Error) -> TaskResult {
        warn!(self.log, "task-outcome-unknown"; "task" => %task_id, "error" => %error);
        TaskResult::Unknown
    }

    fn task_result(&self, response: Response<Body>, task_id: TaskId) -> TaskResult {
        let status = response.status();
        let mut text = String::new();
        let mut body = response.into_body().take(MAX_OUTPUT_BYTES + 1);
        if let Err(error) = body.read_to_string(&mut text) {
            return self.unknown_result(task_id, &error);
        }
        if text.len() as u64 > MAX_OUTPUT_BYTES {
            return TaskResult::Failed(Name::from("output over the limit"));
        }
        if status == StatusCode::TOO_MANY_REQUESTS {
            TaskResult::NotStarted(Reason::MinionUnreachable)
        } else if status.is_success() {
            TaskResult::Done(Name::from(text))
        } else {
            TaskResult::Failed(Name::from(format!("minion answered {status}: {text}")))
        }
    }
}

impl Minion for HttpMinion {
    fn run(&self, start: &TaskStart) -> TaskResult {
        let Some(request) = self.request(start) else {
            return TaskResult::Failed(Name::from("kind of task is not a valid header value"));
        };
        match self.client.request(request) {
            Ok(response) => self.task_result(response, start.task_id),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                TaskResult::NotStarted(Reason::MinionUnreachable)
            }
            Err(error) => self.unknown_result(start.task_id, &error),
        }
    }

    fn stop(&self, task_id: TaskId) {
        let url = format!("{}/tasks/{task_id}", self.url);
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(url)
            .body(Body::empty());
        if let Ok(request) = request {
            // If the request fails, the task runs to its end.
            let _ = self.stop_client.request(request);
        }
    }
}

/// The threads that call the minion: one for each slot, and one that stops tasks.
#[derive(Debug)]
pub(crate) struct MinionWorkers {
    starts: Sender<TaskStart>,
    stops: Sender<TaskId>,
}

impl MinionWorkers {
    pub(crate) fn start(
        minion: Arc<dyn Minion>,
        slots: u16,
        inputs: &Sender<Input>,
    ) -> std::io::Result<Self> {
        let (starts, start_queue) = unbounded();
        let (stops, stop_queue) = unbounded();
        for slot in 0..slots {
            let minion = Arc::clone(&minion);
            let start_queue: Receiver<TaskStart> = start_queue.clone();
            let inputs = inputs.clone();
            thread::Builder::new()
                .name(format!("slot-{slot}"))
                .spawn(move || run_tasks(&*minion, &start_queue, &inputs))?;
        }
        thread::Builder::new()
            .name("stop-tasks".into())
            .spawn(move || stop_queue.iter().for_each(|task_id| minion.stop(task_id)))?;
        Ok(Self { starts, stops })
    }

    pub(crate) fn run(&self, start: TaskStart) {
        // Fails only when the threads have ended together with the process.
        let _ = self.starts.send(start);
    }

    pub(crate) fn stop(&self, task_id: TaskId) {
        let _ = self.stops.send(task_id);
    }
}

fn run_tasks(minion: &dyn Minion, start_queue: &Receiver<TaskStart>, inputs: &Sender<Input>) {
    for start in start_queue {
        let result = minion.run(&start);
        if inputs
            .send(Input::TaskEnded {
                credit: start.credit,
                result,
            })
            .is_err()
        {
            return;
        }
    }
}
