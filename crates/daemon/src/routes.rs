//! The HTTP interface of an entry: it turns requests into commands for the
//! core, and replies into responses.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use crossbeam::channel::Sender;
use gannetvane_core::Command;
use gannetvane_core::Reply;
use gannetvane_node::HttpResponse;
use gannetvane_wire::MemberState;
use gannetvane_wire::Name;
use gannetvane_wire::Reason;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::Task;
use gannetvane_wire::api::ChangeBody;
use gannetvane_wire::api::ContactsBody;
use gannetvane_wire::api::IdsBody;
use gannetvane_wire::api::JobBody;
use gannetvane_wire::api::PlanBody;
use gannetvane_wire::api::PlanRequest;
use gannetvane_wire::api::RequestBody;
use gannetvane_wire::api::TaskBody;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::http::Handler;
use crate::http::HttpCall;
use crate::http::overloaded;
use crate::input::CommandRequest;
use crate::input::Input;
use crate::metrics::Metrics;
use crate::problem::answer_response;
use crate::problem::json_response;
use crate::problem::refusal_response;
use crate::problem::rejection;
use crate::problem::text_response;

/// Largest number of ids in one reply.
const MAX_IDS: usize = 10_000;
/// Largest number of tasks of any submission; services may allow fewer.
const MAX_TASKS: usize = 1_024;
/// Largest length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Largest number of addresses in a reply to a process that looks for agents.
const MAX_CONTACTS: usize = 16;
/// Time to wait for the answer to a lookup without `wait_ms`, a cancellation, or
/// the confirmation or status of a change.
const DEFAULT_WAIT_MS: u64 = 30_000;
/// Time beyond the wait of a command after which a core that does not reply is
/// taken to be stopping.
const CORE_REPLY_GRACE: Duration = Duration::from_secs(10);

type Refusal = Box<HttpResponse>;

/// Routes requests to the core of an entry.
#[derive(Debug)]
pub(crate) struct Routes {
    pub(crate) inputs: Sender<Input>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) is_ready: Arc<AtomicBool>,
    pub(crate) max_deadline_ms: u64,
}

#[async_trait(?Send)]
impl Handler for Routes {
    async fn handle(&self, call: HttpCall) -> HttpResponse {
        let response = self.route(call).await;
        response.unwrap_or_else(|refusal| *refusal)
    }
}

impl Routes {
    /// Returns the response to one request.
    async fn route(&self, call: HttpCall) -> Result<HttpResponse, Refusal> {
        let path = call.path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (call.method(), segments.as_slice()) {
            ("GET", ["healthz"]) => Ok(text_response(200, "ok\n")),
            ("GET", ["readyz"]) => Ok(readiness(&self.is_ready)),
            ("GET", ["metrics"]) => Ok(text_response(200, &self.metrics.text())),
            ("POST", ["v1", "ids"]) => self.take_ids(&call).await,
            ("PUT", ["v1", "jobs", id]) => self.submit_job(call, id).await,
            ("PUT", ["v1", "requests", id]) => self.submit_request(call, id).await,
            ("GET", ["v1", "jobs" | "requests", id]) => self.lookup(&call, id).await,
            ("DELETE", ["v1", "jobs" | "requests", id]) => self.cancel(id).await,
            ("POST", ["v1", "plans"]) => self.plan(&call).await,
            ("PUT", ["v1", "changes", id]) => self.confirm(&call, id).await,
            ("GET", ["v1", "changes", id]) => self.change_status(id).await,
            ("GET", ["v1", "configuration"]) => self.configuration().await,
            ("GET", ["v1", "members"]) => self.members().await,
            ("GET", ["v1", "contacts"]) => self.contacts().await,
            _ => Err(refuse(
                Reason::NoSuchPath,
                format!("{} {path}", call.method()),
            )),
        }
    }

    async fn take_ids(&self, call: &HttpCall) -> Result<HttpResponse, Refusal> {
        let service = query_value(call.query(), "service")
            .ok_or_else(|| refuse(Reason::BadRequest, "service: missing in the query"))?;
        let service = parse_name("service", service)?;
        let count = query_number(call.query(), "count", 1, 1, MAX_IDS as u64)?;
        let count = usize::try_from(count).unwrap_or(MAX_IDS);
        let reply = self
            .send_command(
                Command::TakeIds {
                    service: service.clone(),
                    count,
                },
                0,
            )
            .await?;
        Ok(match reply {
            Reply::Ids(ids) => {
                let ids = ids.iter().map(ToString::to_string).collect();
                json_response(200, &IdsBody { ids })
            }
            other => reply_response(other, &format!("ids for service {service}")),
        })
    }

    async fn submit_job(&self, call: HttpCall, id: &str) -> Result<HttpResponse, Refusal> {
        let body: JobBody = parse_body(&call)?;
        let tasks = body
            .tasks
            .into_iter()
            .map(parse_task)
            .collect::<Result<Vec<Task>, Refusal>>()?;
        let submission = Submission {
            service: parse_name("service", &body.service)?,
            team: parse_name("team", &body.team)?,
            repeatable: false,
            tasks,
        };
        self.submit(call, id, submission, body.deadline_ms).await
    }

    async fn submit_request(&self, call: HttpCall, id: &str) -> Result<HttpResponse, Refusal> {
        let body: RequestBody = parse_body(&call)?;
        let task_body = TaskBody {
            kind: body.kind,
            payload: body.payload,
            declared_ms: body.declared_ms,
            needs: body.needs,
        };
        let submission = Submission {
            service: parse_name("service", &body.service)?,
            team: parse_name("team", &body.team)?,
            repeatable: body.repeatable,
            tasks: vec![parse_task(task_body)?],
        };
        self.submit(call, id, submission, body.deadline_ms).await
    }

    async fn submit(
        &self,
        call: HttpCall,
        id: &str,
        submission: Submission,
        deadline_ms: u64,
    ) -> Result<HttpResponse, Refusal> {
        if call.has_idempotency_key() {
            let detail = "idempotency-key: not accepted; POST /v1/ids, then PUT under that id";
            return Err(refuse(Reason::OwnKey, detail));
        }
        let id = parse_submission_id(id)?;
        in_range("deadline_ms", deadline_ms, 1, self.max_deadline_ms)?;
        in_range("tasks", submission.tasks.len() as u64, 1, MAX_TASKS as u64)?;
        let HttpCall { request, body } = call;
        drop(body);
        let held = request.hold(submission.memory_bytes());
        let _held = held.map_err(|_| Box::new(overloaded()))?;
        let submission = Arc::new(submission);
        let reply = self
            .send_command(
                Command::Submit {
                    id,
                    submission,
                    deadline_ms,
                },
                deadline_ms,
            )
            .await?;
        Ok(submission_response(id, reply))
    }

    async fn lookup(&self, call: &HttpCall, id: &str) -> Result<HttpResponse, Refusal> {
        let id = parse_submission_id(id)?;
        let default_ms = DEFAULT_WAIT_MS.min(self.max_deadline_ms);
        let wait_ms = query_number(call.query(), "wait_ms", default_ms, 1, self.max_deadline_ms)?;
        let reply = self
            .send_command(Command::Lookup { id, wait_ms }, wait_ms)
            .await?;
        Ok(submission_response(id, reply))
    }

    async fn cancel(&self, id: &str) -> Result<HttpResponse, Refusal> {
        let id = parse_submission_id(id)?;
        let reply = self
            .send_command(Command::Cancel { id }, DEFAULT_WAIT_MS)
            .await?;
        Ok(submission_response(id, reply))
    }

    async fn plan(&self, call: &HttpCall) -> Result<HttpResponse, Refusal> {
        let body: PlanRequest = parse_body(call)?;
        let change_id = body.change_id.unwrap_or_else(random_change_id);
        let command = Command::Plan {
            change_id,
            operations: body.operations,
        };
        match self.send_command(command, 0).await? {
            Reply::Plan(Ok(plan)) => {
                let body = PlanBody {
                    change: plan.change,
                    effects: plan.effects,
                };
                Ok(json_response(200, &body))
            }
            Reply::Plan(Err(error)) => Err(refuse(Reason::BadRequest, error.to_string())),
            other => Ok(reply_response(other, "plan")),
        }
    }

    async fn confirm(&self, call: &HttpCall, id: &str) -> Result<HttpResponse, Refusal> {
        let body: PlanBody = parse_body(call)?;
        if &*body.change.change_id != id {
            let detail = format!(
                "change_id: {} in the body, {id} in the path",
                body.change.change_id
            );
            return Err(refuse(Reason::BadRequest, detail));
        }
        in_range("operations", body.change.operations.len() as u64, 1, 256)?;
        let reply = self
            .send_command(
                Command::Confirm {
                    change: body.change,
                },
                DEFAULT_WAIT_MS,
            )
            .await?;
        Ok(change_response(id, reply))
    }

    async fn change_status(&self, id: &str) -> Result<HttpResponse, Refusal> {
        let change_id = parse_name("change_id", id)?;
        let reply = self
            .send_command(Command::ChangeStatus { change_id }, DEFAULT_WAIT_MS)
            .await?;
        Ok(change_response(id, reply))
    }

    async fn configuration(&self) -> Result<HttpResponse, Refusal> {
        match self.send_command(Command::Configuration, 0).await? {
            Reply::Configuration(snapshot) => Ok(json_response(200, &snapshot.configuration)),
            other => Ok(reply_response(other, "configuration")),
        }
    }

    async fn members(&self) -> Result<HttpResponse, Refusal> {
        match self.send_command(Command::Members, 0).await? {
            Reply::Members(members) => Ok(json_response(200, &members)),
            other => Ok(reply_response(other, "members")),
        }
    }

    async fn contacts(&self) -> Result<HttpResponse, Refusal> {
        let Reply::Members(members) = self.send_command(Command::Members, 0).await? else {
            return Ok(json_response(
                200,
                &ContactsBody {
                    addresses: Vec::new(),
                },
            ));
        };
        let alive = members
            .iter()
            .filter(|member| member.state == MemberState::Alive);
        let addresses = alive.map(|member| member.addr).take(MAX_CONTACTS).collect();
        Ok(json_response(200, &ContactsBody { addresses }))
    }

    /// Sends a command to the core and waits for its reply, for at most `wait_ms`
    /// and [`CORE_REPLY_GRACE`].
    async fn send_command(&self, command: Command, wait_ms: u64) -> Result<Reply, Refusal> {
        let (reply_to, reply) = oneshot::channel();
        let stopping_response = || {
            let answer = gannetvane_wire::Answer::refusal(
                gannetvane_wire::Ran::Unknown,
                Reason::HomeSilent,
                Some(1_000),
            );
            Box::new(refusal_response(
                &answer,
                "this entry is stopping".to_owned(),
            ))
        };
        let input = Input::Command(CommandRequest { command, reply_to });
        self.inputs.send(input).map_err(|_| stopping_response())?;
        let longest = Duration::from_millis(wait_ms) + CORE_REPLY_GRACE;
        match timeout(longest, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(stopping_response()),
        }
    }
}

/// Returns the response of `/readyz`.
pub(crate) fn readiness(is_ready: &AtomicBool) -> HttpResponse {
    if is_ready.load(Ordering::SeqCst) {
        text_response(200, "ready\n")
    } else {
        text_response(503, "not ready\n")
    }
}

fn submission_response(id: SubmissionId, reply: Reply) -> HttpResponse {
    match reply {
        Reply::Answer(answer) => answer_response(id, &answer),
        other => reply_response(other, &format!("submission {id}")),
    }
}

fn change_response(id: &str, reply: Reply) -> HttpResponse {
    match reply {
        Reply::ChangeAccepted { version } => json_response(
            200,
            &ChangeBody {
                change_id: Name::from(id),
                version,
            },
        ),
        other => reply_response(other, &format!("change {id}")),
    }
}

fn reply_response(reply: Reply, detail: &str) -> HttpResponse {
    match reply {
        Reply::Answer(answer) => refusal_response(&answer, detail.to_owned()),
        _ => text_response(500, "unexpected reply\n"),
    }
}

fn refuse(reason: Reason, detail: impl Into<String>) -> Refusal {
    Box::new(rejection(reason, detail))
}

fn parse_body<T: DeserializeOwned>(call: &HttpCall) -> Result<T, Refusal> {
    serde_json::from_slice(call.body.bytes())
        .map_err(|error| refuse(Reason::BadRequest, format!("body: {error}")))
}

fn parse_submission_id(text: &str) -> Result<SubmissionId, Refusal> {
    text.parse()
        .map_err(|error| refuse(Reason::IdInvalid, format!("{error}")))
}

fn parse_name(field: &str, text: &str) -> Result<Name, Refusal> {
    let is_plain = text.chars().all(|c| c.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_plain {
        let detail = format!(
            "{field}: from 1 to {MAX_NAME_BYTES} printable characters without spaces allowed"
        );
        return Err(refuse(Reason::BadRequest, detail));
    }
    Ok(Name::from(text))
}

fn parse_task(body: TaskBody) -> Result<Task, Refusal> {
    let kind = parse_name("kind", &body.kind)?;
    Ok(Task {
        kind,
        payload: body.payload,
        declared_ms: body.declared_ms,
        needs: body.needs,
    })
}

fn in_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), Refusal> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let detail = format!("{field}: {value} given, from {min} to {max} allowed");
    Err(refuse(Reason::BadRequest, detail))
}

fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(k, _)| *k == key)
        .map(|(_, v)| v)
}

fn query_number(query: &str, key: &str, default: u64, min: u64, max: u64) -> Result<u64, Refusal> {
    let Some(text) = query_value(query, key) else {
        return Ok(default);
    };
    let value = text.parse().map_err(|_| {
        refuse(
            Reason::BadRequest,
            format!("{key}: {text:?} is not a number"),
        )
    })?;
    in_range(key, value, min, max)?;
    Ok(value)
}

fn random_change_id() -> Name {
    Name::from(format!("change-{:016x}", rand::random::<u64>()))
}
