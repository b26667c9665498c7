//! An executor: runs, leases, fencing and ends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fulmarpond_reactor::RequestId;
use fulmarpond_reactor::http::{Request, Response};
use serde_json::{Value, json};

/// The longest wait of a hold.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// How an executor is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorOptions {
    /// Where its calls arrive.
    pub listen: SocketAddr,
    /// Where it sends its heartbeats.
    pub control: SocketAddr,
    /// The zone.
    pub zone: String,
    /// Thousandths of a core.
    pub cpu: u32,
}

#[derive(Debug)]
struct Run {
    number: u32,
    cpu: u32,
    began: Instant,
    ends: Option<Instant>,
    how: &'static str,
}

impl Run {
    /// Returns the share of the work that is done, in percent.
    fn progress(&self, now: Instant) -> u64 {
        let Some(ends) = self.ends else {
            return 0;
        };
        let whole = ends.duration_since(self.began).as_micros().max(1);
        let done = now.duration_since(self.began).as_micros() * 100 / whole;
        u64::try_from(done.min(99)).unwrap_or(99)
    }
}

#[derive(Debug)]
struct Hold {
    request: RequestId,
    until: Instant,
}

#[derive(Debug)]
pub(super) struct Executor {
    pub(super) options: ExecutorOptions,
    pub(super) id: String,
    pub(super) next_beat: Instant,
    pub(super) sequence: u64,
    pub(super) draining: bool,
    /// Whether runs stand still.
    pub(super) hangs: bool,
    origin: Instant,
    fence: u64,
    lease: i64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u32>,
    ended: Vec<Value>,
    next_end: u64,
    holds: Vec<Hold>,
}

impl Executor {
    pub(super) fn new(options: ExecutorOptions, number: usize, now: Instant) -> Self {
        Self {
            options,
            id: format!("i-{number:08x}"),
            next_beat: now,
            sequence: 0,
            draining: false,
            hangs: false,
            origin: now,
            fence: 0,
            lease: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            holds: Vec::new(),
        }
    }

    /// Returns the body of a heartbeat.
    pub(super) fn beat(&mut self, now: Instant) -> Value {
        self.sequence += 1;
        json!({
            "Service": "service",
            "Address": self.options.listen.to_string(),
            "Zone": self.options.zone,
            "Version": "v1",
            "Slots": 8,
            "State": if self.draining { "draining" } else { "ready" },
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.options.cpu, "MemMb": 65_536, "Gpu": 0},
            "Labels": ["a", "r1-1"],
            "ClockMs": self.clock(now),
            "Seq": self.sequence,
        })
    }

    fn clock(&self, now: Instant) -> i64 {
        let elapsed = now.duration_since(self.origin).as_millis();
        // An executor's clock has an origin of its own.
        7_000 + i64::try_from(elapsed).unwrap_or(i64::MAX)
    }

    /// Handles a call; a start returns the task that began.
    pub(super) fn handle(
        &mut self,
        id: RequestId,
        request: &Request,
        now: Instant,
    ) -> (Option<Response>, Option<String>) {
        self.advance(now);
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != self.id)
        {
            return (Some(Response::empty(421)), None);
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return (Some(Response::empty(400)), None);
        };
        let fence = body["FencingToken"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return (Some(self.refused("fence", now)), None);
        }
        self.fence = fence;
        match request.path.as_str() {
            "/v1/run-start" => self.start(&body, now),
            "/v1/run-stop" => (Some(self.stop(&body, now)), None),
            "/v1/hold" => (self.hold(id, &body, now), None),
            _ => (Some(Response::empty(404)), None),
        }
    }

    fn start(&mut self, body: &Value, now: Instant) -> (Option<Response>, Option<String>) {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let run = body["Run"].as_u64().unwrap_or(0) as u32;
        let lease = body["DeadlineMs"].as_i64().unwrap_or(0);
        if lease <= self.clock(now) {
            return (Some(self.refused("late", now)), None);
        }
        self.lease = self.lease.max(lease);
        if self
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return (Some(self.done(now)), None);
        }
        if self
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return (Some(self.refused("old", now)), None);
        }
        let work = Work::from(body["Spec"].as_str().unwrap_or_default());
        let used: u32 = self.runs.values().map(|run| run.cpu).sum();
        if used + work.cpu > self.options.cpu {
            return (Some(self.refused("room", now)), None);
        }
        let ends = (!self.hangs).then(|| now + work.time);
        let live = Run {
            number: run,
            cpu: work.cpu,
            began: now,
            ends,
            how: work.how,
        };
        self.runs.insert(task.clone(), live);
        (Some(self.done(now)), Some(task))
    }

    fn stop(&mut self, body: &Value, now: Instant) -> Response {
        let task = body["Task"].as_str().unwrap_or_default();
        let run = body["Run"].as_u64().unwrap_or(0) as u32;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        if self.runs.get(task).is_some_and(|known| known.number <= run) {
            self.end(task, "stopped");
        }
        self.done(now)
    }

    fn hold(&mut self, id: RequestId, body: &Value, now: Instant) -> Option<Response> {
        let acked = body["AckCursor"].as_u64().unwrap_or(0);
        self.ended.retain(|end| end[0].as_u64() > Some(acked));
        if let Some(lease) = body["DeadlineMs"].as_i64() {
            self.lease = self.lease.max(lease);
        }
        let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0)).min(MAX_WAIT);
        if wait.is_zero() || !self.ended.is_empty() {
            return Some(self.lists(now));
        }
        self.holds.push(Hold {
            request: id,
            until: now + wait,
        });
        None
    }

    fn end(&mut self, task: &str, how: &str) {
        if let Some(run) = self.runs.remove(task) {
            let highest = self.highest.entry(task.to_owned()).or_default();
            *highest = (*highest).max(run.number);
            self.ended
                .push(json!([self.next_end, task, run.number, how, ""]));
            self.next_end += 1;
        }
    }

    fn advance(&mut self, now: Instant) {
        let lapsed = self.clock(now) >= self.lease;
        let ended: Vec<(String, &'static str)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| {
                if run.ends.is_some_and(|ends| ends <= now) {
                    Some((task.clone(), run.how))
                } else if lapsed {
                    Some((task.clone(), "lapsed"))
                } else {
                    None
                }
            })
            .collect();
        for (task, how) in ended {
            self.end(&task, how);
        }
    }

    /// Returns the holds that have an answer now.
    pub(super) fn due(&mut self, now: Instant) -> Vec<(RequestId, Response)> {
        self.advance(now);
        let ready = !self.ended.is_empty();
        let (due, waiting) = std::mem::take(&mut self.holds)
            .into_iter()
            .partition(|hold| ready || now >= hold.until);
        self.holds = waiting;
        let due: Vec<Hold> = due;
        due.iter()
            .map(|hold| (hold.request, self.lists(now)))
            .collect()
    }

    fn lists(&self, now: Instant) -> Response {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.number, "", run.progress(now), run.cpu]))
            .collect();
        ok(&json!({"ClockMs": self.clock(now), "Running": running, "Ended": self.ended}))
    }

    fn done(&self, now: Instant) -> Response {
        ok(&json!({"ClockMs": self.clock(now)}))
    }

    fn refused(&self, reason: &str, now: Instant) -> Response {
        let body = json!({"ClockMs": self.clock(now), "Reason": reason});
        Response::json(409, body.to_string().into_bytes())
    }
}

fn ok(body: &Value) -> Response {
    Response::json(200, body.to_string().into_bytes())
}

/// What a task does here: `ms=80 cpu=1000`, and `fail` for a task that fails.
struct Work {
    time: Duration,
    cpu: u32,
    how: &'static str,
}

impl From<&str> for Work {
    fn from(spec: &str) -> Self {
        let value = |name: &str| {
            let mut words = spec.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.parse::<u32>().ok())
        };
        let fails = spec.split_whitespace().any(|word| word == "fail");
        Self {
            time: Duration::from_millis(value("ms=").unwrap_or(50).into()),
            cpu: value("cpu=").unwrap_or(1_000),
            how: if fails { "failed" } else { "done" },
        }
    }
}
