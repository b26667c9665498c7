//! Runs real processes in leased mode with the emulator of the platform.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the helpers"
)]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions};

/// How long a test waits for an expected condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);

/// Returns an address on which nothing listens. Each has its own loopback address, so that no
/// outgoing connection can take its port.
pub fn free_addr() -> SocketAddr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let process = 1 + std::process::id() % 250;
    let [_, _, high, low] = number.to_be_bytes();
    ([127, process as u8, high, low], 7_000).into()
}

/// Returns a configuration with one route, for the path `prefix` at host `desk`.
pub fn configuration(version: u64, prefix: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"desk","Prefix":"{prefix}",
        "Type":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":60,"Priority":0,
        "Service":"service","MaxAttempts":3,"Stretch":1.6}}],"Services":[],"Limits":
        {{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Returns the same with many further routes, and the prefix of the last of them.
pub fn large_configuration(version: u64, prefix: &str, routes: usize) -> (String, String) {
    let others = (0..routes).map(|number| {
        format!(
            r#"{{"Name":"r{number}","Host":"desk","Prefix":"/extra{number}/","Type":"non_idempotent",
            "TimeoutMs":1500,"TargetLatencyMs":60,"Priority":0,"Service":"service","MaxAttempts":3,
            "Stretch":1.6}},"#
        )
    });
    let others: String = others.collect();
    let text =
        configuration(version, prefix).replace(r#""Routes":["#, &format!(r#""Routes":[{others}"#));
    (text, format!("/extra{}/", routes.saturating_sub(1)))
}

/// A process in leased mode.
pub struct Process {
    child: Child,
    settings: PathBuf,
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    fn start(name: &str, settings: &str, reads_log: bool) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = format!("fulmarpond-{}-{number}-{name}.ini", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarpondd"))
            .env("FULMARPOND_SETTINGS", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        if reads_log && let Some(out) = child.stdout.take() {
            let lines = Arc::clone(&log);
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    lines.lock().expect("the log").push(line);
                }
            });
        }
        Self {
            child,
            settings: path,
            log,
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Replaces a part of the settings file.
    pub fn replace_in_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        assert!(text.contains(from), "{from} is not in the settings");
        fs::write(&self.settings, text.replace(from, to)).expect("the settings file");
    }

    /// Returns the value of a line of the process's status in kilobytes, such as `VmHWM`, or `None` if
    /// the process has ended.
    pub fn status_kb(&self, name: &str) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Returns the number of open file descriptors.
    pub fn open_files(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).map_or(0, Iterator::count)
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process has exited");
    }

    /// Waits until the process exits, and returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not exit in time");
    }

    pub fn has_line(&self, parts: &[&str]) -> bool {
        let log = self.log.lock().expect("the log");
        log.iter()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = self.log.lock().expect("the log");
            eprintln!("{}:\n{}", self.settings.display(), log.join("\n"));
        }
        // The process may have exited before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Entry and agent processes with an emulator.
pub struct System {
    pub emulator: Emulator,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
    pub metrics: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    pub links: Vec<SocketAddr>,
    /// Section `[limits]` of all processes.
    limits: &'static str,
    /// The zones of the agents, in turn.
    zones: Vec<&'static str>,
    reads_log: bool,
}

impl System {
    pub fn start(entries: usize, agents: usize) -> Self {
        Self::start_with(entries, agents, true)
    }

    /// Starts a system. If `reads_log` is false, nothing reads the standard output of the
    /// processes.
    pub fn start_with(entries: usize, agents: usize, reads_log: bool) -> Self {
        Self::start_in_zones(entries, agents, reads_log, &["Saga"])
    }

    /// Starts a system with one entry and one agent whose settings have the given limits.
    pub fn start_limited(limits: &'static str) -> Self {
        Self::start_all(1, 1, true, &["Saga"], limits)
    }

    /// Starts a system whose agents stand in several zones, in turn. They read evacuations from the
    /// store if there is more than one zone.
    pub fn start_in_zones(
        entries: usize,
        agents: usize,
        reads_log: bool,
        zones: &[&'static str],
    ) -> Self {
        Self::start_all(entries, agents, reads_log, zones, "")
    }

    fn start_all(
        entries: usize,
        agents: usize,
        reads_log: bool,
        zones: &[&'static str],
        limits: &'static str,
    ) -> Self {
        // A crowd that holds connections has to stay for as long as a test lasts.
        let mut configuration = configuration(1, "/jobs/");
        if !limits.is_empty() {
            configuration =
                configuration.replace(r#""HeaderTimeoutMs":3000"#, r#""HeaderTimeoutMs":60000"#);
        }
        let controls: Vec<SocketAddr> = (0..agents).map(|_| free_addr()).collect();
        let executors = controls.iter().enumerate();
        let executors = executors.map(|(agent, &control)| ExecutorOptions {
            listen: free_addr(),
            control,
            zone: zones[agent % zones.len()].to_owned(),
            cpu: 8_000,
        });
        let emulator = Emulator::start(EmulatorOptions {
            store: free_addr(),
            executors: executors.collect(),
            heartbeat: Duration::from_millis(300),
            configuration,
        })
        .expect("the emulator starts");
        let mut system = Self {
            emulator,
            entries: Vec::new(),
            agents: Vec::new(),
            callers: (0..entries).map(|_| free_addr()).collect(),
            readiness: (0..entries).map(|_| free_addr()).collect(),
            metrics: (0..entries).map(|_| free_addr()).collect(),
            controls,
            links: (0..entries).map(|_| free_addr()).collect(),
            limits,
            zones: zones.to_vec(),
            reads_log,
        };
        for entry in 0..entries {
            let process = system.start_entry(entry);
            system.entries.push(process);
        }
        for agent in 0..agents {
            let process = system.start_agent(agent);
            system.agents.push(process);
        }
        for entry in 0..entries {
            system.wait_until_ready(entry, agents);
        }
        system
    }

    fn timing() -> &'static str {
        "[timing]\nresend = 1300ms\nhold_max = 1s\nstop = 50ms\nheartbeat = 300ms\ngrace = 6s\n"
    }

    pub fn start_entry(&self, entry: usize) -> Process {
        self.start_entry_with_store(entry, self.emulator.store_addr())
    }

    /// Starts an entry process whose settings name another address of the store.
    pub fn start_entry_with_store(&self, entry: usize, store: SocketAddr) -> Process {
        let settings = format!(
            "[daemon]\nmode = leased\nrole = entry\nname = entry-{entry}\nzone = Saga\n[listen]\n\
             callers = {}\nreadiness = {}\nlink = {}\nmetrics = {}\n[store]\naddr = {}\n{}{}",
            self.callers[entry],
            self.readiness[entry],
            self.links[entry],
            self.metrics[entry],
            store,
            Self::timing(),
            self.limits,
        );
        Process::start("entry", &settings, self.reads_log)
    }

    /// Starts an agent process. Its seeds contain only the first entry, from which it learns the
    /// others.
    pub fn start_agent(&self, agent: usize) -> Process {
        let seed = self.links[0];
        let zone = self.zones[agent % self.zones.len()];
        let evacuation = if self.zones.len() > 1 {
            let store = self.emulator.store_addr();
            format!("[evacuation]\nstore = {store}\nbound = 5000ms\n")
        } else {
            String::new()
        };
        let settings = format!(
            "[daemon]\nmode = leased\nrole = agent\nname = agent-{agent}\nzone = {zone}\n[listen]\n\
             heartbeats = {}\n[cluster]\nseeds = {seed}\nlink_port = {}\n{evacuation}{}{}",
            self.controls[agent],
            seed.port(),
            Self::timing(),
            self.limits,
        );
        Process::start("agent", &settings, self.reads_log)
    }

    /// Waits until an entry is ready and `agents` agents accept tasks from it.
    pub fn wait_until_ready(&self, entry: usize, agents: usize) {
        let ready_agents = format!(r#"fulmarpond_level{{name="ready_agents"}} {agents}"#);
        wait_until(&format!("entry {entry} is ready"), || {
            let is_ready =
                get(self.readiness[entry], "/v1/ready").is_some_and(|(status, _)| status == 200);
            let is_linked = get(self.metrics[entry], "/metrics")
                .is_some_and(|(_, text)| text.contains(&ready_agents));
            is_ready && is_linked
        });
    }

    /// Submits a job of `count` tasks, and returns the status and the body.
    ///
    /// The estimate is long, so that the entry does not refuse the job for load on a slow machine.
    pub fn submit(&self, entry: usize, id: &str, count: u32, spec: &str) -> Option<(u16, String)> {
        let body = format!(
            r#"{{"Spec":"{spec}","Steps":[{{"Count":{count},"Cpu":1000,"MemMb":64,"EstimatedMs":2000}}],"BestEffort":true}}"#
        );
        self.post(entry, &format!("/jobs/{id}"), &body)
    }

    pub fn post(&self, entry: usize, path: &str, body: &str) -> Option<(u16, String)> {
        request(self.callers[entry], "POST", path, body)
    }

    /// Returns the task of each start of a job's tasks.
    pub fn starts(&self, id: &str) -> Vec<String> {
        let prefix = format!("{id}.");
        let ledger = self.emulator.ledger().into_iter();
        let of_job = ledger.filter(|row| row.task.starts_with(&prefix));
        of_job.map(|row| row.task).collect()
    }
}

/// Waits until a condition holds.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn get(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    request(addr, "GET", path, "")
}

/// Sends a request, and returns the status and the body, or `None` without a response.
pub fn request(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk\r\nX-Deadline-Ms: 6000\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n")?.1.to_owned();
    Some((status, body))
}
