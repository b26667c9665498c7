//! Rendering of responses to callers and operators.

use fulmarpond_core::contract::{Answer, Event, JobId, Reason, Refusal, Status, Verdict};
use fulmarpond_core::entry::CallerReply;
use fulmarpond_http::header::RETRY_AFTER;
use fulmarpond_http::{Fault, Response};
use serde_json::{Value, json};

/// Renders a reply from the core.
pub(super) fn reply(reply: CallerReply) -> Response {
    match reply {
        CallerReply::Answer(final_answer) => answer(&final_answer),
        CallerReply::Accepted(job) => job_state(202, &job, "accepted"),
        CallerReply::Pending(job) => job_state(202, &job, "running"),
        CallerReply::Unknown(job) => job_state(404, &job, "unknown"),
        CallerReply::Status(status) => json_response(200, &render_status(&status)),
        CallerReply::Events(events) => {
            let list: Vec<Value> = events.events.iter().map(render_event).collect();
            json_response(
                200,
                &json!({"events": list, "next": events.next, "ended": events.ended}),
            )
        }
        CallerReply::Endpoints(peers) => {
            let list: Vec<Value> = peers
                .iter()
                .map(|peer| {
                    let state = match (peer.leaving, peer.load.failing) {
                        (true, _) => "leaving",
                        (false, true) => "ejected",
                        (false, false) => "open",
                    };
                    json!({
                        "agent": peer.agent, "addr": peer.addr, "zone": peer.zone,
                        "slots": peer.load.slots, "free": peer.load.free,
                        "queued": peer.load.queued, "state": state,
                    })
                })
                .collect();
            json_response(200, &json!(list))
        }
        CallerReply::Roster(roster) => json_response(
            200,
            &json!({"version": roster.version(), "members": roster.members()}),
        ),
        CallerReply::Teams(teams) => json_response(200, &json!(teams)),
        CallerReply::Config(config) => json_response(
            200,
            &json!({
                "version": config.version, "patch": config.patch.id,
                "author": config.patch.author, "values": config.values,
            }),
        ),
        CallerReply::Applied(version) => json_response(201, &json!({"version": version})),
        CallerReply::Conflict { current } => {
            let detail = format!("version {current} is in force");
            json_response(
                409,
                &json!({"version": current, "reason": "conflict", "detail": detail}),
            )
        }
        CallerReply::InvalidPatch(detail) => invalid(400, &detail),
        CallerReply::Unconfirmed(refusal) => unanswered(&refusal),
        CallerReply::Refused(refusal) => refused(&refusal),
    }
}

/// Renders the final answer of a job.
pub(super) fn answer(answer: &Answer) -> Response {
    let mut body = json!({"id": answer.job.name(), "team": answer.job.team()});
    if let (Some(body), Ok(Value::Object(verdict))) =
        (body.as_object_mut(), serde_json::to_value(&answer.verdict))
    {
        body.extend(verdict);
    }
    match &answer.verdict {
        Verdict::Answered { .. } => json_response(200, &body),
        Verdict::NotRun(refusal) => {
            with_retry_after(json_response(http_status(refusal), &body), refusal)
        }
        Verdict::MayHaveRun(refusal) => with_retry_after(json_response(504, &body), refusal),
    }
}

/// Renders the refusal of a query. It has no verdict, since it says nothing about a job.
pub(super) fn refused(refusal: &Refusal) -> Response {
    let body = json!({
        "reason": refusal.reason, "retry_after_ms": refusal.retry_ms, "detail": refusal.detail,
    });
    with_retry_after(json_response(http_status(refusal), &body), refusal)
}

/// Renders the refusal of a malformed request, which was not run.
pub(super) fn invalid(status: u16, detail: &str) -> Response {
    malformed(status, Reason::Invalid, detail)
}

fn malformed(status: u16, reason: Reason, detail: &str) -> Response {
    let body = json!({
        "verdict": "not_run", "reason": reason, "retry_after_ms": 0, "detail": detail,
    });
    json_response(status, &body)
}

/// Renders the refusal of a request that the listener could not read completely.
pub(super) fn fault(fault: Fault) -> Response {
    match fault {
        Fault::BodyTooLarge(_) => malformed(fault.status(), Reason::TooLarge, &fault.to_string()),
        _ => invalid(fault.status(), &fault.to_string()),
    }
}

/// Renders the response to a request that the core did not answer, so it may have run.
pub(super) fn unanswered(refusal: &Refusal) -> Response {
    let body = json!({
        "verdict": "may_have_run", "reason": refusal.reason,
        "retry_after_ms": refusal.retry_ms, "detail": refusal.detail,
    });
    with_retry_after(json_response(504, &body), refusal)
}

fn http_status(refusal: &Refusal) -> u16 {
    match refusal.reason {
        Reason::Invalid => 400,
        Reason::TooLarge => 413,
        Reason::OverQuota => 429,
        _ => 503,
    }
}

fn with_retry_after(response: Response, refusal: &Refusal) -> Response {
    if refusal.retry_ms == 0 {
        return response;
    }
    let seconds = refusal.retry_ms.div_ceil(1_000);
    response.with_header(RETRY_AFTER, seconds)
}

fn job_state(status: u16, job: &JobId, state: &str) -> Response {
    json_response(
        status,
        &json!({"id": job.name(), "team": job.team(), "state": state}),
    )
}

fn render_status(status: &Status) -> Value {
    json!({
        "id": status.job.name(), "team": status.job.team(), "state": status.state,
        "tasks": status.tasks, "waiting": status.waiting, "sent": status.sent,
        "done": status.done, "home": status.home,
    })
}

fn render_event(event: &Event) -> Value {
    json!({
        "number": event.number, "at_ms": event.at_ms, "kind": event.kind, "task": event.task,
        "agent": event.agent, "detail": event.detail,
    })
}

/// Creates a JSON response.
pub(super) fn json_response(status: u16, body: &Value) -> Response {
    Response::json(status, body)
}
