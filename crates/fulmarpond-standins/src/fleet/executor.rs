//! An emulated executor: starts and ends runs and checks leases and fencing tokens.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarpond_reactor::RequestId;
use fulmarpond_reactor::http::{Request, Response};
use serde_json::{Value, json};

use super::run_record::RunEnd;

/// The reading of each executor's clock when it starts, in milliseconds.
const CLOCK_START_MS: i64 = 7_000;

/// The maximum time that a lease lasts on the executor's clock, in milliseconds. A longer one is
/// shortened.
const MAX_LEASE_MS: i64 = 1_000;

/// How long after a restart a heartbeat of the earlier life arrives.
const LATE_HEARTBEAT_DELAY: Duration = Duration::from_millis(200);

/// Maximum wait of a `/v1/hold` call.
const MAX_HOLD_WAIT: Duration = Duration::from_secs(2);

/// Options of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorOptions {
    /// The address at which it receives calls.
    pub listen: SocketAddr,
    /// The address to which it sends heartbeats.
    pub control: SocketAddr,
    /// The availability zone.
    pub zone: String,
    /// Processor capacity, in thousandths of a core.
    pub cpu: u32,
}

#[derive(Debug)]
struct Run {
    number: u32,
    cpu: u32,
    started_at: Instant,
    finishes_at: Option<Instant>,
    outcome: &'static str,
    /// Whether it was told to stop.
    is_stopping: bool,
}

impl Run {
    /// Returns the progress in percent, at most 99 while running and 0 if the run hangs.
    fn progress(&self, now: Instant) -> u64 {
        let Some(finishes_at) = self.finishes_at else {
            return 0;
        };
        let total_us = finishes_at
            .duration_since(self.started_at)
            .as_micros()
            .max(1);
        let percent = now.duration_since(self.started_at).as_micros() * 100 / total_us;
        u64::try_from(percent.min(99)).unwrap_or(99)
    }
}

#[derive(Debug)]
struct Hold {
    request: RequestId,
    deadline: Instant,
}

#[derive(Debug)]
pub(super) struct Executor {
    pub(super) options: ExecutorOptions,
    pub(super) id: String,
    /// When this life was started, in Unix milliseconds.
    born: u64,
    /// A heartbeat of an earlier life that is still on its way, and when it arrives.
    late_heartbeat: Option<(Instant, Value)>,
    pub(super) next_heartbeat: Instant,
    pub(super) sequence: u64,
    pub(super) is_draining: bool,
    /// Whether newly started runs never finish.
    pub(super) is_hanging: bool,
    /// Until when it reports itself as cold.
    pub(super) cold_until: Instant,
    clock_origin: Instant,
    /// How fast its clock runs, in percent of real time.
    pub(super) clock_percent: u32,
    /// How long a run goes on after its stop.
    pub(super) stop_time: Duration,
    /// Whether runs that are being stopped are listed until they have ended.
    pub(super) lists_stopping: bool,
    /// The number of its life, which is a part of its id after the first one.
    life: u32,
    /// Until when it is down, after a crash or a planned end.
    pub(super) down_until: Option<Instant>,
    /// When it ends after its drain, and for how long it is down then.
    planned_end: Option<(Instant, Duration)>,
    fencing_token: u64,
    lease_deadline_ms: i64,
    runs: BTreeMap<String, Run>,
    highest_runs: HashMap<String, u32>,
    /// Ends that have not been recorded yet.
    new_ends: Vec<RunEnd>,
    ended_runs: Vec<Value>,
    next_cursor: u64,
    pending_holds: Vec<Hold>,
}

impl Executor {
    pub(super) fn new(options: ExecutorOptions, number: usize, now: Instant) -> Self {
        Self {
            options,
            id: format!("i-{number:08x}"),
            born: unix_ms(),
            late_heartbeat: None,
            next_heartbeat: now,
            sequence: 0,
            is_draining: false,
            is_hanging: false,
            cold_until: now,
            clock_origin: now,
            clock_percent: 100,
            stop_time: Duration::ZERO,
            lists_stopping: true,
            life: 1,
            down_until: None,
            planned_end: None,
            fencing_token: 0,
            lease_deadline_ms: 0,
            runs: BTreeMap::new(),
            highest_runs: HashMap::new(),
            new_ends: Vec::new(),
            ended_runs: Vec::new(),
            next_cursor: 1,
            pending_holds: Vec::new(),
        }
    }

    /// Returns the executor after a restart under its id, which knows nothing of this life.
    pub(super) fn restarted(&mut self, now: Instant) -> Self {
        let late_heartbeat = self.heartbeat_body(now);
        self.end_all_runs("crashed", now);
        Self {
            id: self.id.clone(),
            born: unix_ms().max(self.born + 1),
            late_heartbeat: Some((now + LATE_HEARTBEAT_DELAY, late_heartbeat)),
            clock_percent: self.clock_percent,
            stop_time: self.stop_time,
            lists_stopping: self.lists_stopping,
            life: self.life,
            new_ends: std::mem::take(&mut self.new_ends),
            ..Self::new(self.options.clone(), 0, now)
        }
    }

    /// Returns the next life of the executor, which has another id, knows nothing of this one and is
    /// down until `up_at`. `outcome` is that of the runs that end with this life.
    pub(super) fn succeeded(
        &mut self,
        outcome: &'static str,
        up_at: Instant,
        now: Instant,
    ) -> Self {
        self.end_all_runs(outcome, now);
        let life = self.life + 1;
        let id = self.id.split('-').take(2).collect::<Vec<&str>>().join("-");
        Self {
            id: format!("{id}-{life}"),
            born: unix_ms().max(self.born + 1),
            clock_percent: self.clock_percent,
            stop_time: self.stop_time,
            lists_stopping: self.lists_stopping,
            life,
            down_until: Some(up_at),
            next_heartbeat: up_at,
            new_ends: std::mem::take(&mut self.new_ends),
            ..Self::new(self.options.clone(), 0, now)
        }
    }

    /// Makes it report that it drains, end at `ends_at` and be down for some time then.
    pub(super) fn leave(&mut self, ends_at: Instant, down_time: Duration) {
        self.is_draining = true;
        self.next_heartbeat = Instant::now();
        self.planned_end = Some((ends_at, down_time));
    }

    /// Returns for how long it is down from now on, if its planned end has come.
    pub(super) fn take_planned_end(&mut self, now: Instant) -> Option<Duration> {
        let end = self.planned_end.take_if(|(ends_at, _)| now >= *ends_at);
        end.map(|(_, down_time)| down_time)
    }

    /// Returns the body of a deregistration.
    pub(super) fn deregistration_body(&self) -> Value {
        json!({"born": self.born})
    }

    fn end_all_runs(&mut self, outcome: &'static str, now: Instant) {
        self.end_due_runs(now);
        let running: Vec<String> = self.runs.keys().cloned().collect();
        for task in running {
            self.end_run(&task, outcome, now);
        }
    }

    /// Returns the heartbeats that are due.
    pub(super) fn take_due_heartbeats(&mut self, interval: Duration, now: Instant) -> Vec<Value> {
        let mut due = Vec::new();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + interval;
            due.push(self.heartbeat_body(now));
        }
        let late = self.late_heartbeat.take_if(|(at, _)| now >= *at);
        due.extend(late.map(|(_, body)| body));
        due
    }

    /// Returns the body of the next heartbeat.
    fn heartbeat_body(&mut self, now: Instant) -> Value {
        self.sequence += 1;
        json!({
            "Service": "service",
            "Address": self.options.listen.to_string(),
            "Zone": self.options.zone,
            "Version": "v1",
            "Slots": 8,
            "State": if self.is_draining { "draining" } else { "ready" },
            "ColdRemainingMs": self.cold_remaining_ms(now),
            "Capacity": {"Cpu": self.options.cpu, "MemMb": 65_536, "Gpu": 0},
            "Labels": ["a", "r1-1"],
            "ClockMs": self.clock_ms(now),
            "Seq": self.sequence,
            "born": self.born,
        })
    }

    fn cold_remaining_ms(&self, now: Instant) -> u64 {
        let remaining = self.cold_until.saturating_duration_since(now);
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    fn clock_ms(&self, now: Instant) -> i64 {
        let elapsed = now.duration_since(self.clock_origin).as_millis();
        let shown = elapsed * u128::from(self.clock_percent) / 100;
        // Each executor's clock has its own origin, unrelated to wall-clock time.
        CLOCK_START_MS + i64::try_from(shown).unwrap_or(i64::MAX)
    }

    /// Returns when the lease lapses, or has lapsed.
    fn lease_deadline(&self) -> Instant {
        let shown = u64::try_from(self.lease_deadline_ms - CLOCK_START_MS).unwrap_or(0);
        self.clock_origin + Duration::from_millis(shown * 100 / u64::from(self.clock_percent))
    }

    /// Returns the ends since the last call.
    pub(super) fn take_new_ends(&mut self) -> Vec<RunEnd> {
        std::mem::take(&mut self.new_ends)
    }

    /// Handles a call and returns its response, if it has one yet, and the name of the task if a
    /// run was started.
    pub(super) fn handle(
        &mut self,
        id: RequestId,
        request: &Request,
        now: Instant,
    ) -> (Option<Response>, Option<(String, u32)>) {
        self.end_due_runs(now);
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != self.id)
        {
            return (Some(Response::empty(421)), None);
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return (Some(Response::empty(400)), None);
        };
        let fencing_token = body["FencingToken"].as_u64().unwrap_or(0);
        if fencing_token < self.fencing_token {
            return (Some(self.refusal_response("fence", now)), None);
        }
        self.fencing_token = fencing_token;
        match request.path.as_str() {
            "/v1/run-start" => self.start(&body, now),
            "/v1/run-stop" => (Some(self.stop(&body, now)), None),
            "/v1/hold" => (self.hold(id, &body, now), None),
            _ => (Some(Response::empty(404)), None),
        }
    }

    fn start(&mut self, body: &Value, now: Instant) -> (Option<Response>, Option<(String, u32)>) {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let run = body["Run"].as_u64().unwrap_or(0) as u32;
        let deadline_ms = body["DeadlineMs"].as_i64().unwrap_or(0);
        if deadline_ms <= self.clock_ms(now) {
            return (Some(self.refusal_response("late", now)), None);
        }
        self.extend_lease(deadline_ms, now);
        if self
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return (Some(self.accepted_response(now)), None);
        }
        if self
            .highest_runs
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return (Some(self.refusal_response("old", now)), None);
        }
        let task_spec = TaskSpec::from(body["Spec"].as_str().unwrap_or_default());
        let used: u32 = self.runs.values().map(|run| run.cpu).sum();
        if used + task_spec.cpu > self.options.cpu {
            return (Some(self.refusal_response("room", now)), None);
        }
        let finishes_at = (!self.is_hanging).then(|| now + task_spec.time);
        let new_run = Run {
            number: run,
            cpu: task_spec.cpu,
            started_at: now,
            finishes_at,
            outcome: task_spec.outcome,
            is_stopping: false,
        };
        if self.runs.contains_key(&task) {
            self.end_run(&task, "replaced", now);
        }
        self.runs.insert(task.clone(), new_run);
        (Some(self.accepted_response(now)), Some((task, run)))
    }

    fn stop(&mut self, body: &Value, now: Instant) -> Response {
        let task = body["Task"].as_str().unwrap_or_default();
        let run = body["Run"].as_u64().unwrap_or(0) as u32;
        let highest = self.highest_runs.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        let stop_time = self.stop_time;
        if let Some(known) = self.runs.get_mut(task).filter(|known| known.number <= run) {
            known.is_stopping = true;
            let stopped_at = now + stop_time;
            if known.finishes_at.is_none_or(|at| at > stopped_at) {
                known.finishes_at = Some(stopped_at);
                known.outcome = "stopped";
            }
        }
        self.end_due_runs(now);
        self.accepted_response(now)
    }

    fn hold(&mut self, id: RequestId, body: &Value, now: Instant) -> Option<Response> {
        let acked_cursor = body["AckCursor"].as_u64().unwrap_or(0);
        self.ended_runs
            .retain(|end| end[0].as_u64() > Some(acked_cursor));
        if let Some(deadline_ms) = body["DeadlineMs"].as_i64() {
            self.extend_lease(deadline_ms, now);
        }
        let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0)).min(MAX_HOLD_WAIT);
        if wait.is_zero() || !self.ended_runs.is_empty() {
            return Some(self.runs_response(now));
        }
        self.pending_holds.push(Hold {
            request: id,
            deadline: now + wait,
        });
        None
    }

    fn extend_lease(&mut self, deadline_ms: i64, now: Instant) {
        let deadline_ms = deadline_ms.min(self.clock_ms(now) + MAX_LEASE_MS);
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms);
    }

    fn end_run(&mut self, task: &str, outcome: &'static str, at: Instant) {
        if let Some(run) = self.runs.remove(task) {
            self.new_ends.push(RunEnd {
                task: task.to_owned(),
                run: run.number,
                at,
                outcome,
            });
            let highest = self.highest_runs.entry(task.to_owned()).or_default();
            *highest = (*highest).max(run.number);
            self.ended_runs
                .push(json!([self.next_cursor, task, run.number, outcome, ""]));
            self.next_cursor += 1;
        }
    }

    fn end_due_runs(&mut self, now: Instant) {
        let has_lease_expired = self.clock_ms(now) >= self.lease_deadline_ms;
        let lapsed_at = self.lease_deadline().min(now);
        let due_runs: Vec<(String, &'static str, Instant)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| {
                if let Some(finished_at) = run.finishes_at.filter(|finishes_at| *finishes_at <= now)
                {
                    Some((task.clone(), run.outcome, finished_at))
                } else if has_lease_expired {
                    Some((task.clone(), "lapsed", lapsed_at))
                } else {
                    None
                }
            })
            .collect();
        for (task, outcome, at) in due_runs {
            self.end_run(&task, outcome, at);
        }
    }

    /// Ends due runs and removes the holds that have ended runs to report or have timed out, with
    /// their responses.
    pub(super) fn take_due_responses(&mut self, now: Instant) -> Vec<(RequestId, Response)> {
        self.end_due_runs(now);
        let has_ended_runs = !self.ended_runs.is_empty();
        let (due, waiting) = std::mem::take(&mut self.pending_holds)
            .into_iter()
            .partition(|hold| has_ended_runs || now >= hold.deadline);
        self.pending_holds = waiting;
        let due: Vec<Hold> = due;
        due.iter()
            .map(|hold| (hold.request, self.runs_response(now)))
            .collect()
    }

    fn runs_response(&self, now: Instant) -> Response {
        let running: Vec<Value> = self
            .runs
            .iter()
            .filter(|(_, run)| self.lists_stopping || !run.is_stopping)
            .map(|(task, run)| json!([task, run.number, "", run.progress(now), run.cpu]))
            .collect();
        ok(&json!({
            "born": self.born,
            "ClockMs": self.clock_ms(now),
            "Running": running,
            "Ended": self.ended_runs,
        }))
    }

    fn accepted_response(&self, now: Instant) -> Response {
        ok(&json!({"ClockMs": self.clock_ms(now)}))
    }

    fn refusal_response(&self, reason: &str, now: Instant) -> Response {
        let body = json!({"ClockMs": self.clock_ms(now), "Reason": reason});
        Response::json(409, body.to_string().into_bytes())
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

fn ok(body: &Value) -> Response {
    Response::json(200, body.to_string().into_bytes())
}

/// Behaviour of a task, parsed from its specification: for example `ms=80 cpu=1000`, plus `fail`
/// for a task that fails.
struct TaskSpec {
    time: Duration,
    cpu: u32,
    outcome: &'static str,
}

impl From<&str> for TaskSpec {
    fn from(spec: &str) -> Self {
        let value = |name: &str| {
            let mut words = spec.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.parse::<u32>().ok())
        };
        let should_fail = spec.split_whitespace().any(|word| word == "fail");
        Self {
            time: Duration::from_millis(value("ms=").unwrap_or(50).into()),
            cpu: value("cpu=").unwrap_or(1_000),
            outcome: if should_fail { "failed" } else { "done" },
        }
    }
}
