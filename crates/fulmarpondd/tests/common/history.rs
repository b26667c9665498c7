//! Records callers' requests and replies, and checks them against the ledgers of the endpoints.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{System, TEAM, get, post_within};

/// The reply to a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reply {
    /// The job is complete, with these results.
    Answered(Vec<Value>),
    /// The request did not run, for this reason.
    NotRun(String),
    /// The request may have run, for this reason.
    MayHaveRun(String),
    /// The job is still running: a reply to a fetch, or to a submission that does not wait.
    Pending,
    /// No candidate knows the job: a reply to a fetch.
    Unknown,
    /// The connection ended without a reply.
    Disconnected,
}

impl Reply {
    /// Parses the response of an entry.
    pub(crate) fn parse((status, body): &(u16, Value)) -> Self {
        let reason = body["reason"].as_str().unwrap_or_default().to_owned();
        match (status, body["verdict"].as_str()) {
            (200, Some("answered")) => {
                let results = body["results"].as_array();
                Self::Answered(results.cloned().expect("an answer has results"))
            }
            (400..=503, Some("not_run")) => Self::NotRun(reason),
            (504, Some("may_have_run")) => Self::MayHaveRun(reason),
            (202, _) => Self::Pending,
            (404, _) => Self::Unknown,
            (0, _) => Self::Disconnected,
            _ => panic!("unexpected response: status {status}, body {body}"),
        }
    }

    /// Returns whether this is the final answer to a request.
    pub(crate) fn is_final(&self) -> bool {
        matches!(
            self,
            Self::Answered(_) | Self::NotRun(_) | Self::MayHaveRun(_)
        )
    }

    /// Returns whether this is a complete answer.
    pub(crate) fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}

/// One submission of a job and its reply.
#[derive(Debug, Clone)]
struct Attempt {
    sent: Instant,
    reply: Reply,
}

/// One job with all replies to its callers.
#[derive(Debug, Default)]
struct JobRecord {
    tasks: usize,
    attempts: Vec<Attempt>,
    /// The number of submissions without a reply.
    pending: usize,
    fetched: Vec<Reply>,
}

/// The history of callers' requests, shared by threads.
#[derive(Debug, Default)]
pub(crate) struct History {
    records: Mutex<BTreeMap<String, JobRecord>>,
}

impl History {
    fn update_record<T>(&self, id: &str, f: impl FnOnce(&mut JobRecord) -> T) -> T {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        f(records.entry(id.to_owned()).or_default())
    }

    /// Submits a job once and waits at most `timeout` for the reply.
    pub(crate) fn submit_within(&self, entry: SocketAddr, job: &Value, timeout: Duration) -> Reply {
        let id = job["id"].as_str().expect("a job has an id");
        let tasks = job["tasks"].as_array().expect("a job has tasks").len();
        self.update_record(id, |record| {
            record.tasks = tasks;
            record.pending += 1;
        });
        let sent = Instant::now();
        let reply = Reply::parse(&post_within(entry, "/v1/jobs", job, timeout));
        self.update_record(id, |record| {
            record.pending -= 1;
            let reply = reply.clone();
            record.attempts.push(Attempt { sent, reply });
        });
        reply
    }

    /// Submits a job once.
    pub(crate) fn submit(&self, entry: SocketAddr, job: &Value) -> Reply {
        self.submit_within(entry, job, super::WAIT_TIMEOUT)
    }

    /// Fetches the answer of a job until it is final.
    pub(crate) fn fetch(&self, entry: SocketAddr, id: &str) -> Reply {
        let path = format!("/v1/jobs/{id}/answer?team={TEAM}&wait_ms=5000");
        let mut last = Reply::Pending;
        super::wait_until("the answer is final", || {
            let response = get(entry, &path);
            // A lookup that cannot reach an agent is refused, which does not reveal the job's
            // state.
            if response.0 == 503 {
                return false;
            }
            last = Reply::parse(&response);
            last != Reply::Pending
        });
        self.update_record(id, |record| record.fetched.push(last.clone()));
        last
    }

    /// Submits a job until it has a verdict: if the connection ends without a reply, it resubmits
    /// through the next entry. After a refusal it retries up to `retries` times.
    pub(crate) fn submit_until_final(
        &self,
        entries: &[SocketAddr],
        job: &Value,
        retries: u32,
    ) -> Reply {
        let mut job = job.clone();
        let mut refusals = 0;
        for attempt in 1.. {
            job["attempt"] = attempt.into();
            let entry = entries[attempt as usize % entries.len()];
            match self.submit(entry, &job) {
                Reply::Disconnected if attempt < 50 => {}
                Reply::NotRun(_) if refusals < retries => refusals += 1,
                reply => return reply,
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        unreachable!("the last attempt returns its reply");
    }

    /// Returns the number of jobs with a complete answer.
    pub(crate) fn answered(&self) -> usize {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .values()
            .filter(|record| record.replies().any(Reply::is_answered))
            .count()
    }

    /// Returns the replies to all submissions, with the ids of the jobs.
    pub(crate) fn replies(&self) -> Vec<(String, Reply)> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let replies_of = |(id, record): (&String, &JobRecord)| {
            let id = id.clone();
            let attempts = record.attempts.iter();
            let list: Vec<_> = attempts.map(|a| (id.clone(), a.reply.clone())).collect();
            list
        };
        records.iter().flat_map(replies_of).collect()
    }

    /// Checks the replies to callers against the starts in the ledgers of the endpoints.
    pub(crate) fn check(&self, system: &System) {
        let starts = Starts::read(system);
        let mut violations = Vec::new();
        for ((job, task), count) in &starts.counts {
            if *count != 1 {
                violations.push(format!("task {task} of {job} started {count} times"));
            }
        }
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        for job in starts.jobs.keys() {
            let id = job.strip_prefix(&format!("{TEAM}/"));
            if !id.is_some_and(|id| records.contains_key(id)) {
                violations.push(format!("{job} was started but never submitted"));
            }
        }
        for (id, record) in &*records {
            record.check(id, &starts, &mut violations);
        }
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}

/// The starts in the ledgers of all endpoints.
struct Starts {
    counts: HashMap<(String, u64), u64>,
    /// The starts of each job, each with an upper bound of its time.
    jobs: HashMap<String, Vec<(u64, Instant)>>,
}

impl Starts {
    fn read(system: &System) -> Self {
        let mut starts = Self {
            counts: system.starts(),
            jobs: HashMap::new(),
        };
        for node in &system.nodes {
            for row in node.endpoint.ledger() {
                // Ledgers truncate times to whole milliseconds.
                let before = node.ledger_origin + Duration::from_millis(row.at_ms + 1);
                let rows = starts.jobs.entry(row.job).or_default();
                rows.push((row.task, before));
            }
        }
        starts
    }
}

impl JobRecord {
    fn replies(&self) -> impl Iterator<Item = &Reply> {
        let attempts = self.attempts.iter().map(|attempt| &attempt.reply);
        attempts.chain(&self.fetched)
    }

    fn check(&self, id: &str, starts: &Starts, violations: &mut Vec<String>) {
        let job = format!("{TEAM}/{id}");
        let none = Vec::new();
        let started = starts.jobs.get(&job).unwrap_or(&none);
        if self.pending > 0 {
            violations.push(format!(
                "{job}: {} submissions without a reply",
                self.pending
            ));
        }
        if !self.replies().any(Reply::is_final) {
            violations.push(format!("{job}: no final answer: {:?}", self.attempts));
        }
        for (task, _) in started {
            if *task >= self.tasks as u64 {
                violations.push(format!("{job}: task {task} was started but not submitted"));
            }
        }
        // No task may start before the first attempt that was not refused.
        let is_refused = |attempt: &&Attempt| matches!(attempt.reply, Reply::NotRun(_));
        let not_refused = self.attempts.iter().filter(|attempt| !is_refused(attempt));
        match not_refused.map(|attempt| attempt.sent).min() {
            Some(sent) => {
                for (task, before) in started {
                    if *before < sent {
                        violations.push(format!(
                            "{job}: task {task} started although the reply was \"not run\""
                        ));
                    }
                }
            }
            None if !started.is_empty() => {
                violations.push(format!(
                    "{job}: {} tasks started although all attempts got \"not run\": {:?}",
                    started.len(),
                    self.attempts
                ));
            }
            None => {}
        }
        for reply in self.replies() {
            if let Reply::Answered(results) = reply {
                self.check_results(id, results, started.len(), violations);
            }
        }
    }

    fn check_results(
        &self,
        id: &str,
        results: &[Value],
        started: usize,
        violations: &mut Vec<String>,
    ) {
        if results.len() != self.tasks || started != self.tasks {
            violations.push(format!(
                "{id}: {} results and {started} starts for {} tasks",
                results.len(),
                self.tasks
            ));
        }
        for (index, result) in results.iter().enumerate() {
            if result["echo"]["number"] != index || result["echo"]["job"] != id {
                violations.push(format!(
                    "{id}: result {index} belongs to another task: {result}"
                ));
            }
        }
    }
}
