//! Runs real daemon processes with stand-ins for the platform and the endpoints.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod history;
pub(crate) mod load;
pub(crate) mod operators;

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fulmarpond_core::contract::JobId;
use fulmarpond_core::zone::Roster;
use fulmarpond_standins::{Endpoint, EndpointLimits, EndpointOptions, KeyValue, Relay};
use serde_json::{Value, json};

/// How long a test waits for a condition. It is generous, since tests check outcomes rather than
/// times.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The availability zones of the test system.
pub(crate) const ZONES: [&str; 4] = ["Fukuoka", "Kitakyushu", "Saga", "Kurume"];

/// The team of all jobs.
pub(crate) const TEAM: &str = "hunt-desk";

/// How often a process is started whose port another process may have taken.
const START_ATTEMPTS: u32 = 5;

static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A daemon process.
pub(crate) struct Process {
    child: Child,
    pub(crate) http: SocketAddr,
    pub(crate) link: SocketAddr,
    settings: PathBuf,
}

impl Process {
    /// Starts a daemon with the given settings and reads its addresses.
    pub(crate) fn start(settings: &str) -> Self {
        Self::try_start(settings).expect("the daemon prints its addresses")
    }

    /// Starts a daemon. Returns `None` if it exits without printing its addresses, for example
    /// because a port is in use.
    pub(crate) fn try_start(settings: &str) -> Option<Self> {
        let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
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
            .expect("standard output can be read");
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, http, _, link] = words[..] else {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(&path);
            return None;
        };
        Some(Self {
            http: http.parse().expect("an address"),
            link: link.parse().expect("an address"),
            child,
            settings: path,
        })
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status()
            .expect("the signal can be sent");
        assert!(status.success());
    }

    /// Suspends the process and waits until all its threads have stopped: under load they continue
    /// for a while after the signal.
    pub(crate) fn suspend(&self) {
        self.signal("-STOP");
        wait_until("all threads of the daemon have stopped", || {
            self.is_suspended()
        });
    }

    /// Returns whether every thread is stopped by a signal (state `T` in `/proc`).
    fn is_suspended(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.child.id());
        let threads = std::fs::read_dir(tasks).expect("the threads can be listed");
        threads.flatten().all(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the thread name, which is in parentheses.
            let state = stat
                .rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next());
            state == Some('T')
        })
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns the value of a metric that has no labels besides the common ones.
    pub(crate) fn metric(&self, name: &str) -> Option<u64> {
        metric(self.http, name)
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process gracefully and returns whether it exited successfully.
    pub(crate) fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        self.wait()
    }

    /// Waits until the process exits and returns whether it exited successfully.
    pub(crate) fn wait(&mut self) -> bool {
        let mut status = None;
        wait_until("the daemon exits", || {
            status = self.child.try_wait().expect("the daemon can be queried");
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// An agent process with its endpoint.
///
/// The endpoint is kept after the agent has exited, since its ledger is checked at the end.
pub(crate) struct Node {
    pub(crate) agent: Process,
    pub(crate) endpoint: Endpoint,
    pub(crate) name: String,
    pub(crate) zone: &'static str,
    /// The address at which other processes reach the agent.
    pub(crate) addr: SocketAddr,
    /// The relay that forwards all links to the agent, if there is one.
    pub(crate) relay: Option<Relay>,
    /// Whether the agent is expected in the roster.
    pub(crate) live: bool,
    /// An instant just after the start of the endpoint, used as the origin of the times in its
    /// ledger, so that the converted times are upper bounds.
    pub(crate) ledger_origin: Instant,
}

impl Node {
    /// Returns whether the endpoint has started a task of a job.
    pub(crate) fn has_started(&self, id: &str) -> bool {
        let job = format!("{TEAM}/{id}");
        self.endpoint.ledger().iter().any(|row| row.job == job)
    }
}

/// A system of daemon processes.
pub(crate) struct System {
    pub(crate) entries: Vec<Process>,
    pub(crate) nodes: Vec<Node>,
    /// The key-value stand-in, dropped after the processes that use it.
    pub(crate) kv: Arc<KeyValue>,
    slots: u32,
    extra_settings: String,
}

impl System {
    /// Starts `entries` entries and `agents` agents with endpoints of `slots` slots, and waits
    /// until all are ready.
    pub(crate) fn start(entries: usize, agents: usize, slots: u32) -> Self {
        Self::with_settings(entries, agents, slots, "")
    }

    /// Starts a system with additional settings lines, which begin in the section `[timing]`.
    pub(crate) fn with_settings(entries: usize, agents: usize, slots: u32, lines: &str) -> Self {
        let kv = KeyValue::start("127.0.0.1:0").expect("the key-value stand-in starts");
        let kv = Arc::new(kv);
        let extra_settings = format!("[timing]\nannounce = 100ms\n{lines}\n");
        let mut system = Self {
            kv,
            entries: Vec::new(),
            nodes: Vec::new(),
            slots,
            extra_settings,
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
        let extra_settings = &self.extra_settings;
        let settings = format!(
            "[daemon]\nrole = entry\nname = entry-{number}\nzone = {zone}\n\
             [listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
             [platform]\nkv = {kv}\n[log]\nlevel = warn\n{extra_settings}"
        );
        self.entries.push(Process::start(&settings));
    }

    /// Starts another agent with its endpoint.
    pub(crate) fn add_node(&mut self, number: usize) {
        let agent = self
            .start_agent(number, "link = 127.0.0.1:0")
            .expect("an agent starts on any port");
        let addr = agent.link;
        self.push_node(number, agent, addr, None);
    }

    /// Starts another agent with its endpoint. All links to the agent pass through a relay.
    pub(crate) fn add_relayed_node(&mut self, number: usize) {
        for _ in 0..START_ATTEMPTS {
            let free = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let link = free.local_addr().expect("the port has an address");
            drop(free);
            let relay = Relay::start(link).expect("the relay starts");
            let addr = relay.addr();
            let listen = format!("link = {link}\nadvertise = {addr}");
            if let Some(agent) = self.start_agent(number, &listen) {
                self.push_node(number, agent, addr, Some(relay));
                return;
            }
        }
        panic!("no agent could be started behind a relay");
    }

    /// Starts a new agent process with a new endpoint at the address of a node whose agent has
    /// exited.
    pub(crate) fn replace(&mut self, index: usize) {
        let link = self.nodes[index].addr;
        let name = self.nodes[index].name.clone();
        let number: usize = name[5..].parse().expect("the name has a number");
        let listen = format!("link = {link}");
        for _ in 0..START_ATTEMPTS {
            if let Some(agent) = self.start_agent(number, &listen) {
                self.push_node(number, agent, link, None);
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        panic!("no agent could be started at {link}");
    }

    fn push_node(&mut self, number: usize, agent: Process, addr: SocketAddr, relay: Option<Relay>) {
        let zone = ZONES[number % ZONES.len()];
        let endpoint = self.start_endpoint(agent.http, zone);
        self.nodes.push(Node {
            agent,
            endpoint,
            name: format!("host-{number}"),
            zone,
            addr,
            relay,
            live: true,
            ledger_origin: Instant::now(),
        });
    }

    /// Kills an agent with SIGKILL. Its endpoint completes the tasks in flight and stops.
    pub(crate) fn kill_agent(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.agent.kill();
        node.live = false;
        // Another process could get the agent's port, so the endpoint must not continue to announce
        // itself there.
        node.endpoint.stop();
    }

    /// Stops an agent gracefully, then its endpoint. Returns whether the agent exited successfully.
    pub(crate) fn stop_agent(&mut self, index: usize) -> bool {
        let node = &mut self.nodes[index];
        let success = node.agent.terminate();
        node.live = false;
        node.endpoint.stop();
        success
    }

    /// Starts an agent process. Returns `None` if it cannot bind its listeners.
    fn start_agent(&self, number: usize, listen: &str) -> Option<Process> {
        let name = format!("host-{number}");
        let zone = ZONES[number % ZONES.len()];
        let entries: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.link.to_string())
            .collect();
        let entries = entries.join(", ");
        let extra_settings = &self.extra_settings;
        Process::try_start(&format!(
            "[daemon]\nrole = agent\nname = {name}\nzone = {zone}\n\
             [listen]\nhttp = 127.0.0.1:0\n{listen}\n\
             [cluster]\nentries = {entries}\n[log]\nlevel = warn\n{extra_settings}"
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

    /// Returns the addresses of the entries.
    pub(crate) fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.http).collect()
    }

    /// Returns the nodes whose agents are expected in the roster.
    pub(crate) fn live_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.live)
    }

    /// Returns the roster known to an entry.
    pub(crate) fn roster(&self, entry: usize) -> Roster {
        let (_, mut roster) = get(self.entries[entry].http, "/v1/roster");
        // The response does not contain the floor, which does not affect the candidates.
        roster["floor"] = json!(0);
        serde_json::from_value(roster).expect("an entry shows its roster")
    }

    /// Returns the indices of the nodes that are candidates for the home of a job, best first.
    pub(crate) fn candidates(&self, id: &str) -> Vec<usize> {
        let roster = self.roster(0);
        let candidates = roster.candidates(&JobId::new(TEAM, id));
        let index = |addr| {
            let found = |node: &Node| node.live && node.addr == addr;
            self.nodes.iter().position(found)
        };
        candidates
            .iter()
            .filter_map(|member| index(member.addr))
            .collect()
    }

    /// Returns a job id with `prefix` whose first candidate is the node `node`, or is not if
    /// `is_home` is false.
    pub(crate) fn id_with_home(&self, prefix: &str, node: usize, is_home: bool) -> String {
        (0..10_000)
            .map(|number| format!("{prefix}-{number}"))
            .find(|id| (self.candidates(id).first() == Some(&node)) == is_home)
            .expect("some id has this home")
    }

    /// Waits until every live agent is in the roster of every entry and every process is ready.
    pub(crate) fn wait_ready(&self) {
        let agents = self.live_nodes().count();
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
                    .live_nodes()
                    .all(|node| get(node.agent.http, "/readyz").0 == 200)
        });
    }

    /// Waits until every process has the same roster with the live agents as its live members.
    pub(crate) fn wait_roster(&self) {
        let live = self.live_nodes().count() as u64;
        wait_until("all processes have the same roster", || {
            let version = self.entries[0].metric("roster_version");
            let agents = self.live_nodes().map(|node| &node.agent);
            self.entries.iter().chain(agents).all(|process| {
                process.metric("roster_version") == version
                    && process.metric("roster_members") == Some(live)
            })
        });
    }

    /// Returns how often each task was started, over all endpoints, including stopped ones.
    pub(crate) fn starts(&self) -> HashMap<(String, u64), u64> {
        let mut starts = HashMap::new();
        for row in self.nodes.iter().flat_map(|node| node.endpoint.ledger()) {
            *starts.entry((row.job.clone(), row.task)).or_insert(0) += 1;
        }
        starts
    }

    /// Waits until any endpoint has started a task of a job.
    pub(crate) fn wait_started(&self, id: &str) {
        wait_until("a task has started", || {
            self.nodes.iter().any(|node| node.has_started(id))
        });
    }

    /// Asserts that no task was started more than once.
    pub(crate) fn assert_single_starts(&self) {
        for (task, starts) in self.starts() {
            assert_eq!(starts, 1, "task {task:?} was started {starts} times");
        }
    }
}

/// Waits until a condition holds.
pub(crate) fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

fn client(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .build()
        .new_agent()
}

fn parse_response(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> (u16, Value) {
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

/// Sends a GET request. Status 0 means that no response was received.
pub(crate) fn get(addr: SocketAddr, path: &str) -> (u16, Value) {
    parse_response(
        client(WAIT_TIMEOUT)
            .get(format!("http://{addr}{path}"))
            .call(),
    )
}

/// Returns the value of a metric, which has no labels besides the common ones, from the process at
/// `addr`.
pub(crate) fn metric(addr: SocketAddr, name: &str) -> Option<u64> {
    let (_, text) = get(addr, "/metrics");
    let prefix = format!("fulmarpond_{name}{{");
    let line = text
        .as_str()?
        .lines()
        .find(|line| line.starts_with(&prefix))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Sends a DELETE request.
pub(crate) fn delete(addr: SocketAddr, path: &str) -> (u16, Value) {
    parse_response(
        client(WAIT_TIMEOUT)
            .delete(format!("http://{addr}{path}"))
            .call(),
    )
}

/// Sends a POST request.
pub(crate) fn post(addr: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    post_within(addr, path, body, WAIT_TIMEOUT)
}

/// Sends a POST request and waits at most `timeout` for the response.
pub(crate) fn post_within(
    addr: SocketAddr,
    path: &str,
    body: &Value,
    timeout: Duration,
) -> (u16, Value) {
    parse_response(
        client(timeout)
            .post(format!("http://{addr}{path}"))
            .send_json(body),
    )
}

/// Creates a submission with one task for each run time in milliseconds.
pub(crate) fn job(id: &str, attempt: u32, runs: &[u64]) -> Value {
    let tasks: Vec<Value> = runs
        .iter()
        .enumerate()
        .map(|(index, run_ms)| {
            let payload = json!({"run_ms": run_ms, "number": index, "job": id});
            json!({"kind": "answer-check", "payload": payload})
        })
        .collect();
    json!({
        "id": id, "team": TEAM, "attempt": attempt, "deadline_ms": 30_000, "tasks": tasks,
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
