//! The history of callers' requests, and its check against the ledgers of the endpoints.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{System, TEAM, get, post_within};

/// What a caller was told.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Told {
    /// The results.
    Answered(Vec<Value>),
    /// The request did not run, for this reason.
    NotRun(String),
    /// The request may have run, for this reason.
    MayHaveRun(String),
    /// The job runs. Only replies to a fetch say so.
    Pending,
    /// No candidate knows the job. Only replies to a fetch say so.
    Unknown,
    /// The connection ended without a reply.
    NoReply,
}

impl Told {
    /// Reads a reply of an entry.
    pub(crate) fn read((status, body): &(u16, Value)) -> Self {
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
            (0, _) => Self::NoReply,
            _ => panic!("status {status} does not fit the body {body}"),
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

/// One submission of a job, with the reply.
#[derive(Debug, Clone)]
struct Attempt {
    sent: Instant,
    told: Told,
}

/// One job with all that its callers were told.
#[derive(Debug, Default)]
struct Record {
    tasks: usize,
    attempts: Vec<Attempt>,
    /// Submissions whose reply has not come.
    open: usize,
    fetched: Vec<Told>,
}

/// The history of callers' requests. Threads share it.
#[derive(Debug, Default)]
pub(crate) struct History {
    records: Mutex<BTreeMap<String, Record>>,
}

impl History {
    fn with<T>(&self, id: &str, f: impl FnOnce(&mut Record) -> T) -> T {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        f(records.entry(id.to_owned()).or_default())
    }

    /// Submits a job once and waits at most `limit` for the reply.
    pub(crate) fn submit_within(&self, entry: SocketAddr, job: &Value, limit: Duration) -> Told {
        let id = job["id"].as_str().expect("a job has an id");
        let tasks = job["tasks"].as_array().expect("a job has tasks").len();
        self.with(id, |record| {
            record.tasks = tasks;
            record.open += 1;
        });
        let sent = Instant::now();
        let told = Told::read(&post_within(entry, "/v1/jobs", job, limit));
        self.with(id, |record| {
            record.open -= 1;
            let told = told.clone();
            record.attempts.push(Attempt { sent, told });
        });
        told
    }

    /// Submits a job once.
    pub(crate) fn submit(&self, entry: SocketAddr, job: &Value) -> Told {
        self.submit_within(entry, job, super::PATIENCE)
    }

    /// Fetches the answer of a job until it is final.
    pub(crate) fn fetch(&self, entry: SocketAddr, id: &str) -> Told {
        let path = format!("/v1/jobs/{id}/answer?team={TEAM}&wait_ms=5000");
        let mut last = Told::Pending;
        super::wait_until("the answer is there", || {
            let reply = get(entry, &path);
            // A lookup that can't reach an agent is refused, which says nothing about the job.
            if reply.0 == 503 {
                return false;
            }
            last = Told::read(&reply);
            last != Told::Pending
        });
        self.with(id, |record| record.fetched.push(last.clone()));
        last
    }

    /// Submits a job as a caller who wants an answer: when the connection ends without a reply, it
    /// submits again through the next entry. A refusal is repeated up to `retries` times.
    pub(crate) fn persist(&self, entries: &[SocketAddr], job: &Value, retries: u32) -> Told {
        let mut job = job.clone();
        let mut refusals = 0;
        for attempt in 1.. {
            job["attempt"] = attempt.into();
            let entry = entries[attempt as usize % entries.len()];
            match self.submit(entry, &job) {
                Told::NoReply if attempt < 50 => {}
                Told::NotRun(_) if refusals < retries => refusals += 1,
                told => return told,
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        unreachable!("the attempts end with a return");
    }

    /// Returns how many jobs have a complete answer.
    pub(crate) fn answered(&self) -> usize {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .values()
            .filter(|record| record.told().any(Told::is_answered))
            .count()
    }

    /// Returns what callers were told in reply to submissions, with the ids of the jobs.
    pub(crate) fn told(&self) -> Vec<(String, Told)> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let told = |(id, record): (&String, &Record)| {
            let id = id.clone();
            let attempts = record.attempts.iter();
            let list: Vec<_> = attempts.map(|a| (id.clone(), a.told.clone())).collect();
            list
        };
        records.iter().flat_map(told).collect()
    }

    /// Checks what callers were told against what the endpoints did.
    pub(crate) fn check(&self, system: &System) {
        let starts = Starts::read(system);
        let mut faults = Vec::new();
        for ((job, task), count) in &starts.counts {
            if *count != 1 {
                faults.push(format!("task {task} of {job} was started {count} times"));
            }
        }
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        for job in starts.jobs.keys() {
            let id = job.strip_prefix(&format!("{TEAM}/"));
            if !id.is_some_and(|id| records.contains_key(id)) {
                faults.push(format!("{job} was started, but nobody submitted it"));
            }
        }
        for (id, record) in &*records {
            record.check(id, &starts, &mut faults);
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
    }
}

/// The starts in the ledgers of all endpoints.
struct Starts {
    counts: HashMap<(String, u64), u64>,
    /// The starts of each job, each with a time before which it happened.
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
                // Ledgers cut off the fraction of a millisecond.
                let before = node.begun + Duration::from_millis(row.at_ms + 1);
                let rows = starts.jobs.entry(row.job).or_default();
                rows.push((row.task, before));
            }
        }
        starts
    }
}

impl Record {
    fn told(&self) -> impl Iterator<Item = &Told> {
        let attempts = self.attempts.iter().map(|attempt| &attempt.told);
        attempts.chain(&self.fetched)
    }

    fn check(&self, id: &str, starts: &Starts, faults: &mut Vec<String>) {
        let job = format!("{TEAM}/{id}");
        let none = Vec::new();
        let started = starts.jobs.get(&job).unwrap_or(&none);
        if self.open > 0 {
            faults.push(format!("{job}: {} submissions have no reply", self.open));
        }
        if !self.told().any(Told::is_final) {
            faults.push(format!("{job}: no final answer: {:?}", self.attempts));
        }
        for (task, _) in started {
            if *task >= self.tasks as u64 {
                faults.push(format!("{job}: task {task} was started but not submitted"));
            }
        }
        // Nothing may start before the first attempt that was not refused.
        let refused = |attempt: &&Attempt| matches!(attempt.told, Told::NotRun(_));
        let exposed = self.attempts.iter().filter(|attempt| !refused(attempt));
        match exposed.map(|attempt| attempt.sent).min() {
            Some(sent) => {
                for (task, before) in started {
                    if *before < sent {
                        faults.push(format!("{job}: task {task} ran although told \"not run\""));
                    }
                }
            }
            None if !started.is_empty() => {
                faults.push(format!(
                    "{job}: {} tasks ran although all attempts were told \"not run\": {:?}",
                    started.len(),
                    self.attempts
                ));
            }
            None => {}
        }
        for told in self.told() {
            if let Told::Answered(results) = told {
                self.check_results(id, results, started.len(), faults);
            }
        }
    }

    fn check_results(&self, id: &str, results: &[Value], started: usize, faults: &mut Vec<String>) {
        if results.len() != self.tasks || started != self.tasks {
            faults.push(format!(
                "{id}: {} results and {started} starts for {} tasks",
                results.len(),
                self.tasks
            ));
        }
        for (index, result) in results.iter().enumerate() {
            if result["echo"]["number"] != index || result["echo"]["job"] != id {
                faults.push(format!("{id}: result {index} belongs elsewhere: {result}"));
            }
        }
    }
}
