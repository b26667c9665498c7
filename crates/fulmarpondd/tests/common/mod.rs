//! A small system of real daemon processes with stand-ins for the platform and the endpoints.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fulmarpond_standins::{Endpoint, EndpointLimits, EndpointOptions, KeyValue};
use serde_json::{Value, json};

/// How long a condition may take before a test gives up. Tests assert outcomes, not times.
const PATIENCE: Duration = Duration::from_secs(60);

/// The zones of the hunt desk.
pub(crate) const ZONES: [&str; 4] = ["Fukuoka", "Kitakyushu", "Saga", "Kurume"];

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// A daemon process.
pub(crate) struct Process {
    child: Child,
    pub(crate) http: SocketAddr,
    pub(crate) link: SocketAddr,
    settings: PathBuf,
}

impl Process {
    /// Starts a daemon with these settings and reads its addresses.
    pub(crate) fn start(settings: &str) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("fulmarpond-{}-{number}.ini", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings).expect("the settings file can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarpondd"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the daemon can be started");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the daemon prints its addresses");
        let words: Vec<&str> = line.split_whitespace().collect();
        let addr = |index: usize| words[index].parse().expect("an address");
        Self {
            http: addr(1),
            link: addr(3),
            child,
            settings: path,
        }
    }

    /// Sends a signal by process id.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status()
            .expect("the signal can be sent");
        assert!(status.success());
    }

    /// Kills the process without warning.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process gracefully and returns whether it reported success.
    pub(crate) fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        self.child.wait().expect("the daemon ends").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// An agent process with its endpoint.
pub(crate) struct Node {
    pub(crate) agent: Process,
    pub(crate) endpoint: Endpoint,
    pub(crate) name: String,
    pub(crate) zone: &'static str,
}

/// A system of daemon processes.
pub(crate) struct System {
    pub(crate) kv: KeyValue,
    pub(crate) entries: Vec<Process>,
    pub(crate) nodes: Vec<Node>,
    slots: u32,
    extra: String,
}

impl System {
    /// Starts `entries` entries and `agents` agents with endpoints of `slots` slots, and waits
    /// until all are ready.
    pub(crate) fn start(entries: usize, agents: usize, slots: u32) -> Self {
        Self::with_timing(entries, agents, slots, "")
    }

    /// Starts a system with additional lines in the section `[timing]`.
    pub(crate) fn with_timing(entries: usize, agents: usize, slots: u32, timing: &str) -> Self {
        let kv = KeyValue::start("127.0.0.1:0").expect("the key-value stand-in starts");
        let extra = format!("[timing]\nannounce = 100ms\n{timing}\n");
        let mut system = Self {
            kv,
            entries: Vec::new(),
            nodes: Vec::new(),
            slots,
            extra,
        };
        for number in 0..entries {
            system.add_entry(number);
        }
        for number in 0..agents {
            system.add_node(number);
        }
        system.wait_ready();
        system
    }

    fn add_entry(&mut self, number: usize) {
        let zone = ZONES[number % ZONES.len()];
        let kv = self.kv.addr();
        let extra = &self.extra;
        let settings = format!(
            "[daemon]\nrole = entry\nname = entry-{number}\nzone = {zone}\n\
             [listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
             [platform]\nkv = {kv}\n[log]\nlevel = warn\n{extra}"
        );
        self.entries.push(Process::start(&settings));
    }

    /// Starts one more agent with its endpoint.
    pub(crate) fn add_node(&mut self, number: usize) {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("host-{number}");
        let agent = self.start_agent(&name, zone, "127.0.0.1:0");
        let endpoint = self.start_endpoint(agent.http, zone);
        self.nodes.push(Node {
            agent,
            endpoint,
            name,
            zone,
        });
    }

    /// Starts an agent process.
    pub(crate) fn start_agent(&self, name: &str, zone: &str, link: &str) -> Process {
        let entries: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.link.to_string())
            .collect();
        let entries = entries.join(", ");
        let extra = &self.extra;
        Process::start(&format!(
            "[daemon]\nrole = agent\nname = {name}\nzone = {zone}\n\
             [listen]\nhttp = 127.0.0.1:0\nlink = {link}\n\
             [cluster]\nentries = {entries}\n[log]\nlevel = warn\n{extra}"
        ))
    }

    /// Starts an endpoint that announces itself to an agent.
    pub(crate) fn start_endpoint(&self, agent: SocketAddr, zone: &str) -> Endpoint {
        Endpoint::start(EndpointOptions {
            listen: "127.0.0.1:0".parse().expect("an address"),
            agent,
            slots: self.slots,
            connections: 64,
            zone: zone.to_owned(),
            limits: EndpointLimits {
                memory_mb: 65_536,
                processors: 32,
                accelerators: 1,
            },
        })
        .expect("the endpoint stand-in starts")
    }

    /// Waits until every agent is in the roster of every entry and every process is ready.
    pub(crate) fn wait_ready(&self) {
        let agents = self.nodes.len();
        wait_until("all processes are ready", || {
            let entries = self.entries.iter().all(|entry| {
                let members = get(entry.http, "/v1/roster").1["members"].clone();
                let live = members.as_array().map_or(0, |members| {
                    members.iter().filter(|m| m["left"].is_null()).count()
                });
                live == agents
                    && get(entry.http, "/v1/endpoints")
                        .1
                        .as_array()
                        .map_or(0, |list| {
                            list.iter().filter(|agent| agent["slots"] != 0).count()
                        })
                        == agents
            });
            entries
                && self
                    .nodes
                    .iter()
                    .all(|node| get(node.agent.http, "/readyz").0 == 200)
        });
    }

    /// Returns how often each task was started, over all endpoints that are still there.
    pub(crate) fn starts(&self) -> HashMap<(String, u64), u64> {
        let mut starts = HashMap::new();
        for row in self.nodes.iter().flat_map(|node| node.endpoint.ledger()) {
            *starts.entry((row.job.clone(), row.task)).or_insert(0) += 1;
        }
        starts
    }

    /// Asserts that no task was started more than once.
    pub(crate) fn assert_single_starts(&self) {
        for (task, starts) in self.starts() {
            assert_eq!(starts, 1, "task {task:?} was started {starts} times");
        }
    }
}

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "gave up waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .new_agent()
}

fn read(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> (u16, Value) {
    match result {
        Ok(mut response) => {
            let status = response.status().as_u16();
            let text = response.body_mut().read_to_string().unwrap_or_default();
            (
                status,
                serde_json::from_str(&text).unwrap_or(Value::String(text)),
            )
        }
        Err(error) => (0, Value::String(error.to_string())),
    }
}

/// Sends a GET request. Status 0 means that no response came.
pub(crate) fn get(addr: SocketAddr, path: &str) -> (u16, Value) {
    read(client().get(format!("http://{addr}{path}")).call())
}

/// Sends a DELETE request.
pub(crate) fn delete(addr: SocketAddr, path: &str) -> (u16, Value) {
    read(client().delete(format!("http://{addr}{path}")).call())
}

/// Sends a POST request.
pub(crate) fn post(addr: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    read(
        client()
            .post(format!("http://{addr}{path}"))
            .send_json(body),
    )
}

/// Makes a submission with one task for each run time in milliseconds.
pub(crate) fn job(id: &str, attempt: u32, runs: &[u64]) -> Value {
    let tasks: Vec<Value> = runs
        .iter()
        .enumerate()
        .map(|(index, run_ms)| {
            json!({"kind": "answer-check", "payload": {"run_ms": run_ms, "number": index}})
        })
        .collect();
    json!({
        "id": id, "team": "hunt-desk", "attempt": attempt, "deadline_ms": 30_000, "tasks": tasks,
    })
}

/// Submits a job and waits for the answer.
pub(crate) fn submit(entry: SocketAddr, job: &Value) -> (u16, Value) {
    post(entry, "/v1/jobs", job)
}

/// Asserts that an answer is complete, with the result of each task at its position.
pub(crate) fn assert_complete(answer: &Value, tasks: usize) {
    assert_eq!(answer["verdict"], "answered", "{answer}");
    let results = answer["results"].as_array().expect("an answer has results");
    assert_eq!(results.len(), tasks);
    for (index, result) in results.iter().enumerate() {
        assert_eq!(
            result["echo"]["number"], index,
            "result {index} belongs to another task"
        );
    }
}
