//! HTTP responses for answers, refusals and failures.

use gannetvane_node::HttpResponse;
use gannetvane_wire::Answer;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::TaskReport;
use gannetvane_wire::TaskStatus;
use gannetvane_wire::api::AnswerBody;
use gannetvane_wire::api::Problem;
use gannetvane_wire::api::TaskState;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use serde::Serialize;

use crate::metrics::reason_name;

const JSON: &str = "application/json";
const PROBLEM_JSON: &str = "application/problem+json";

/// The HTTP status and the problem title for a reason.
struct StatusAndTitle {
    status: u16,
    title: &'static str,
}

/// Returns the response for a final answer.
pub(crate) fn answer_response(id: SubmissionId, answer: &Answer) -> HttpResponse {
    if answer.outcome == Outcome::Complete {
        let results = answer
            .tasks
            .iter()
            .map(|task| task.output.clone())
            .collect();
        return json_response(
            200,
            &AnswerBody {
                id: id.to_string(),
                results,
            },
        );
    }
    problem_response(&build_problem(answer, format!("submission {id}")))
}

/// Returns the response for a refusal of something other than a submission.
pub(crate) fn refusal_response(answer: &Answer, detail: String) -> HttpResponse {
    problem_response(&build_problem(answer, detail))
}

/// Returns the response for a request that cannot be served without a change.
pub(crate) fn rejection(reason: Reason, detail: impl Into<String>) -> HttpResponse {
    refusal_response(&Answer::refusal(Ran::NotRun, reason, None), detail.into())
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> HttpResponse {
    response(
        status,
        JSON,
        serde_json::to_string(body).unwrap_or_default(),
    )
}

/// Returns a response with a text body.
pub(crate) fn text_response(status: u16, text: &str) -> HttpResponse {
    response(status, "text/plain; charset=utf-8", text.to_owned())
}

fn build_problem(answer: &Answer, detail: String) -> Problem {
    let status_and_title = status_and_title(answer.reason);
    Problem {
        kind: format!("urn:gannetvane:problem:{}", reason_name(answer.reason)),
        title: status_and_title.title.to_owned(),
        status: status_and_title.status,
        detail,
        ran: answer.ran,
        reason: answer.reason,
        retry_after_ms: answer.retry_after_ms,
        tasks: answer.tasks.iter().map(task_state).collect(),
    }
}

fn task_state(report: &TaskReport) -> TaskState {
    let error = (report.status == TaskStatus::Failed).then(|| report.output.clone());
    TaskState {
        status: report.status,
        error,
    }
}

fn problem_response(problem: &Problem) -> HttpResponse {
    let body = serde_json::to_string(problem).unwrap_or_default();
    let mut response = response(problem.status, PROBLEM_JSON, body);
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

fn response(status: u16, content_type: &str, body: String) -> HttpResponse {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Full::new(Bytes::from(body)))
        .unwrap_or_default()
}

fn status_and_title(reason: Reason) -> StatusAndTitle {
    let (status, title) = match reason {
        Reason::None => (500, "no reason was given"),
        Reason::BadRequest => (400, "the request is malformed"),
        Reason::BodyTooLarge => (413, "the body is over the limit"),
        Reason::OwnKey => (400, "take a submission id first; own keys are not accepted"),
        Reason::NoSuchPath => (404, "there is no such path or method"),
        Reason::UnknownService => (404, "the service is not configured"),
        Reason::UnknownTeam => (404, "the team is not configured"),
        Reason::TooManyTasks => (422, "the job has more tasks than the service allows"),
        Reason::FitsNoWorker => (422, "no worker of the service can hold one of the tasks"),
        Reason::NoCapacity => (503, "the service has no live minion"),
        Reason::QueueFull => (429, "the queue of the service is full"),
        Reason::TeamQuota => (429, "the team has reached its quota of waiting tasks"),
        Reason::DeadlineUnreachable => (503, "the deadline cannot be met with the present queue"),
        Reason::DeadlinePassed => (504, "the deadline passed"),
        Reason::Cancelled => (409, "the submission was cancelled"),
        Reason::HomeLeaving => (503, "the home of the id is leaving; take a new id"),
        Reason::HomeLost => (502, "the home of the submission is lost"),
        Reason::HomeSilent => (504, "the home of the submission did not answer in time"),
        Reason::IdExpired => (410, "the id is older than the retention of answers"),
        Reason::IdInvalid => (400, "the id was not issued for this system"),
        Reason::IdReused => (409, "the id belongs to a submission of other content"),
        Reason::NeverSubmitted => (404, "no submission with this id has arrived so far"),
        Reason::AnswerDropped => (
            410,
            "the submission has ended; its answer is no longer held",
        ),
        Reason::TaskFailed => (500, "a task ran and failed"),
        Reason::AgentLost => (502, "the agent of a started task is lost"),
        Reason::AgentSilent => (503, "an agent is silent"),
        Reason::AgentUnreachable => (503, "no agent could be reached"),
        Reason::MinionUnreachable => (503, "no minion could be reached"),
        Reason::StaleCredit => (503, "no slot could be held"),
        Reason::AgentLeaving => (503, "all agents tried are leaving"),
        Reason::RetryBudget => (503, "too much is failing for another try"),
        Reason::EntryOverloaded => (503, "this entry holds as many requests as it may"),
        Reason::VersionConflict => (409, "the configuration changed since the plan; plan again"),
        Reason::LogDown => (503, "the platform's log cannot be reached; confirm again"),
        Reason::ChangePending => (504, "the outcome is not known yet; confirm again"),
    };
    StatusAndTitle { status, title }
}
