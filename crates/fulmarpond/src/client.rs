//! HTTP client for entries.

use std::fs;
use std::io;
use std::time::Duration;

use serde_json::Value;
use ureq::http::Request;
use ureq::{Agent, Timeout};

use crate::cli::Options;
use crate::{Failure, Result};

/// Timeout for establishing a connection. A round trip takes a few milliseconds, so this only
/// bounds the wait for hosts that are down.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Additional time for a reply beyond the wait that the request asks for.
pub(crate) const REPLY_MARGIN: Duration = Duration::from_secs(10);

/// Maximum size of a reply. A job of 670 tasks with large results stays well below it.
const MAX_REPLY_BYTES: u64 = 256 * 1024 * 1024;

/// An HTTP request method.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Method {
    Get,
    Post,
    Delete,
}

impl Method {
    fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
        }
    }
}

/// An HTTP reply with any status.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) text: String,
    /// Whether an earlier attempt at another entry may have been sent and got no reply.
    pub(crate) has_lost_attempt: bool,
}

impl Reply {
    /// Returns the body as JSON, or null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns the JSON body of a reply with status 200 to 299.
    ///
    /// # Errors
    ///
    /// Returns a refusal for 4xx other than 404, and for 503 with verdict `not_run`: the request
    /// did not run. With any other status, or after an earlier attempt was lost, it may have run.
    pub(crate) fn success_json(&self, subject: &str) -> Result<Value> {
        if (200..300).contains(&self.status) {
            return serde_json::from_str(&self.text).map_err(|error| {
                Failure::may_have_run(format!("{subject}: the reply is not JSON: {error}"))
            });
        }
        let message = format!("{subject}: {}", self.describe());
        let refused = match self.status {
            // An id that no candidate agent knows may belong to a job whose home agent was lost.
            404 => false,
            400..=499 => true,
            503 => self.json()["verdict"] == "not_run",
            _ => false,
        };
        Err(if refused {
            self.refusal_failure(message)
        } else {
            Failure::may_have_run(message)
        })
    }

    /// Returns the failure for a refused request, which depends on whether an earlier attempt was
    /// lost.
    pub(crate) fn refusal_failure(&self, message: String) -> Failure {
        if self.has_lost_attempt {
            Failure::may_have_run(format!(
                "{message}; an earlier attempt at another entry got no reply and may have run"
            ))
        } else {
            Failure::refused(message)
        }
    }

    /// Describes the status with the reason and detail in the body.
    pub(crate) fn describe(&self) -> String {
        let body = self.json();
        let parts: Vec<&str> = [&body["reason"], &body["detail"]]
            .into_iter()
            .filter_map(Value::as_str)
            .filter(|part| !part.is_empty())
            .collect();
        let text = if parts.is_empty() {
            self.text.trim().chars().take(200).collect()
        } else {
            parts.join(": ")
        };
        if text.is_empty() {
            format!("status {}", self.status)
        } else {
            format!("status {}, {text}", self.status)
        }
    }
}

/// Error of a request without a reply.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No connection was established, so nothing was sent.
    NotSent(String),
    /// The request may have been sent.
    Lost(String),
}

impl CallError {
    /// Returns the error message.
    pub(crate) fn message(&self) -> &str {
        match self {
            Self::NotSent(message) | Self::Lost(message) => message,
        }
    }
}

/// A client for the entries given on the command line.
#[derive(Debug)]
pub(crate) struct Client {
    agent: Agent,
    entries: Vec<String>,
    token: Option<String>,
    team: Option<String>,
}

impl Client {
    /// Creates a client that keeps at most `connections` idle connections.
    ///
    /// # Errors
    ///
    /// Returns a usage failure if the token file can't be read or no entry is given.
    pub(crate) fn new(options: &Options, connections: usize) -> Result<Self> {
        let token = match &options.token_file {
            Some(path) => {
                let text = fs::read_to_string(path).map_err(|error| {
                    Failure::usage(format!(
                        "token file {} can't be read: {error}",
                        path.display()
                    ))
                })?;
                Some(text.trim().to_owned())
            }
            None => None,
        };
        let entries: Vec<String> = options
            .entries
            .iter()
            .map(|entry| entry.trim().to_owned())
            .filter(|entry| !entry.is_empty())
            .collect();
        if entries.is_empty() {
            return Err(Failure::usage("no entry is named"));
        }
        Ok(Self {
            agent: http_agent(connections),
            entries,
            token,
            team: options.team.clone(),
        })
    }

    /// Returns the addresses of the entries.
    pub(crate) fn entries(&self) -> &[String] {
        &self.entries
    }

    /// Returns the path of job `id`, followed by `tail` and a query.
    ///
    /// The team is part of the query, because an entry without tokens reads it from there.
    pub(crate) fn job_path(&self, id: &str, tail: &str, query: &[(&str, u64)]) -> String {
        let mut pairs: Vec<String> = query
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        pairs.extend(self.team.iter().map(|team| format!("team={team}")));
        let mark = if pairs.is_empty() { "" } else { "?" };
        format!("/v1/jobs/{id}{tail}{mark}{}", pairs.join("&"))
    }

    /// Sends a request to one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. A reply with any status is not an error.
    pub(crate) fn call(
        &self,
        entry: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let mut request = Request::builder()
            .method(method.as_str())
            .uri(format!("{}{path}", base_url(entry)));
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let result = match body {
            Some(body) => request
                .header("content-type", "application/json")
                .body(body.to_string())
                .map_err(ureq::Error::from)
                .and_then(|request| self.send(request, timeout)),
            None => request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|request| self.send(request, timeout)),
        };
        result.map_err(|error| classify_error(entry, &error))
    }

    /// Sends a read-only or idempotent request to each entry in turn until one replies. A 503 is
    /// returned only if no other entry replies.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied.
    pub(crate) fn request_any(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Reply> {
        let is_read_only = matches!(method, Method::Get);
        let mut unavailable = None;
        let mut errors = Vec::new();
        for entry in &self.entries {
            match self.call(entry, method, path, body, timeout) {
                Ok(reply) if reply.status == 503 => unavailable = Some(reply),
                Ok(reply) => {
                    return Ok(Reply {
                        has_lost_attempt: !is_read_only && has_lost_request(&errors),
                        ..reply
                    });
                }
                Err(error) => errors.push(error),
            }
        }
        match unavailable {
            Some(reply) => Ok(Reply {
                has_lost_attempt: !is_read_only && has_lost_request(&errors),
                ..reply
            }),
            None => Err(no_reply_failure(&errors, is_read_only)),
        }
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied or if the status is not 200 to 299.
    pub(crate) fn get_json(&self, subject: &str, path: &str) -> Result<Value> {
        self.request_any(Method::Get, path, None, REPLY_MARGIN)?
            .success_json(subject)
    }

    /// Fetches a page from any process, without sending the token.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. A reply with any status is not an error.
    pub(crate) fn get_page(
        &self,
        addr: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        Request::builder()
            .uri(format!("{}{path}", base_url(addr)))
            .body(())
            .map_err(ureq::Error::from)
            .and_then(|request| self.send(request, timeout))
            .map_err(|error| classify_error(addr, &error))
    }

    fn send<S: ureq::AsSendBody>(
        &self,
        request: Request<S>,
        timeout: Duration,
    ) -> Result<Reply, ureq::Error> {
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        let mut response = self.agent.run(request)?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_REPLY_BYTES)
            .read_to_string()?;
        Ok(Reply {
            status,
            text,
            has_lost_attempt: false,
        })
    }
}

/// Returns the failure for a request without a reply from any entry.
///
/// A lost read-only request has no effect, so the entries count as unreachable.
pub(crate) fn no_reply_failure(errors: &[CallError], is_read_only: bool) -> Failure {
    let message = errors
        .iter()
        .map(CallError::message)
        .collect::<Vec<_>>()
        .join("; ");
    if has_lost_request(errors) && !is_read_only {
        Failure::may_have_run(format!("no reply: {message}"))
    } else {
        Failure::Unreachable { message }
    }
}

/// Returns whether any of the requests may have been sent.
pub(crate) fn has_lost_request(errors: &[CallError]) -> bool {
    errors
        .iter()
        .any(|error| matches!(error, CallError::Lost(_)))
}

/// Creates an HTTP agent that returns replies with any status, ignores proxy settings and follows
/// no redirects.
pub(crate) fn http_agent(connections: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build()
        .into()
}

/// Returns the base URL of an address, which may be `HOST:PORT` or a URL.
pub(crate) fn base_url(addr: &str) -> String {
    if addr.contains("://") {
        addr.trim_end_matches('/').to_owned()
    } else {
        format!("http://{addr}")
    }
}

fn classify_error(entry: &str, error: &ureq::Error) -> CallError {
    let message = format!("{entry}: {error}");
    let not_sent = match error {
        // Connection refused is the only I/O error that can't occur after the request was sent.
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => true,
        _ => false,
    };
    if not_sent {
        CallError::NotSent(message)
    } else {
        CallError::Lost(message)
    }
}
