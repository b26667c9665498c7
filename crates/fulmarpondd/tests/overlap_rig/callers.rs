//! Callers that send their jobs again through any entry after a lost answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::case::{Case, Fault, Jobs};
use super::day::BURST_PERMILLE;
use super::fleet::Fleet;
use super::journal::Journal;

/// When a caller sends its job again after it lost its answer.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// How often a caller sends its job at most.
const MAX_ATTEMPTS: u32 = 5;

/// The stack of a caller, in bytes; hundreds of them wait at a time.
const STACK_BYTES: usize = 256 * 1_024;

/// The durations of tasks, in milliseconds.
const TASK_TIMES_MS: [u64; 7] = [60, 200, 600, 900, 1_400, 2_500, 3_600];

/// How long a patient caller of a deployment waits, in milliseconds.
const PATIENT_MS: u64 = 6_000;

/// The share of attempts that a fault of the caller befalls, in percent.
const FAULTY_PERCENT: u32 = 30;

/// How the caller of an attempt behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// It waits for its answer until its deadline, then closes the connection.
    Patient,
    /// Its connection breaks on its side only: the entry still sees it open.
    BreaksOneSided,
    /// It gives up early, and its connection is closed.
    GivesUp,
    /// It sends to a paused entry if there is one, and leaves before the request is read.
    LeavesEarly,
}

/// What the callers of a case share.
pub(super) struct Callers<'a> {
    case: &'a Case,
    fleet: &'a Fleet,
    journal: &'a Journal,
    /// Connections that the callers have left and the entries see open.
    left: Mutex<Vec<TcpStream>>,
    ends_at: Instant,
}

impl<'a> Callers<'a> {
    pub(super) fn new(case: &'a Case, fleet: &'a Fleet, journal: &'a Journal) -> Self {
        Self {
            case,
            fleet,
            journal,
            left: Mutex::default(),
            ends_at: Instant::now() + Duration::from_secs(case.seconds),
        }
    }

    /// Starts callers until the case ends, and waits for all of them.
    pub(super) fn run(&self) {
        thread::scope(|scope| {
            let mut number = 0;
            while Instant::now() < self.ends_at {
                let builder = thread::Builder::new().stack_size(STACK_BYTES);
                let caller = builder.spawn_scoped(scope, move || self.submit(number));
                caller.expect("a thread for a caller");
                number += 1;
                thread::sleep(self.interval());
            }
        });
    }

    /// Returns the time until the next caller, half of the usual one in the burst of a scripted day.
    fn interval(&self) -> Duration {
        let interval = Duration::from_millis(self.case.shape.interval_ms);
        let length = Duration::from_secs(self.case.seconds);
        let left = self.ends_at.saturating_duration_since(Instant::now());
        let passed = length.saturating_sub(left);
        let permille = (passed.as_millis() * 1_000 / length.as_millis().max(1)) as u32;
        if self.has(Fault::Day) && BURST_PERMILLE.contains(&permille) {
            interval / 2
        } else {
            interval
        }
    }

    /// Submits a job until it gets an answer.
    fn submit(&self, number: u64) {
        let seed = self.case.seed;
        let mut rng = Pcg64Mcg::seed_from_u64(seed << 32 | number);
        let job = format!("{:04x}{number:012x}", seed & 0xffff);
        let body = match self.case.shape.jobs {
            Jobs::Mixed => random_body(!self.has(Fault::Kept), &mut rng),
            Jobs::Deployment => deployment_body(&mut rng),
        };
        for attempt in 1..=MAX_ATTEMPTS {
            let status = self.attempt(&job, attempt, &body, &mut rng);
            if !matches!(status, None | Some(502 | 504)) || Instant::now() > self.ends_at {
                return;
            }
            thread::sleep(RESEND_DELAY);
        }
    }

    /// Sends a job once, and returns the status of its answer, if there is one.
    fn attempt(&self, job: &str, attempt: u32, body: &str, rng: &mut Pcg64Mcg) -> Option<u16> {
        let behaviour = self.random_behaviour(rng);
        let entry = self.random_entry(behaviour, rng);
        let wait_ms = match rng.random_range(0..4) {
            0 if self.case.shape.jobs == Jobs::Deployment => PATIENT_MS,
            0 => 300,
            // Runs that go on at an entry out of reach last longer than with a usual deadline.
            1 | 2 if self.has(Fault::Peers) => 4_000,
            _ => 1_500,
        };
        self.journal.note(format!(
            "{job} attempt {attempt} sent to entry-{entry} with {wait_ms} ms, {behaviour:?}"
        ));
        let request = render(job, wait_ms, body);
        let stream = send(self.fleet.callers[entry], &request);
        let status = stream.and_then(|stream| match behaviour {
            Behaviour::Patient => read_status(&stream, Duration::from_millis(wait_ms)),
            Behaviour::BreaksOneSided => {
                self.leave(stream, rng.random_range(20..250), false);
                None
            }
            Behaviour::GivesUp => {
                self.leave(stream, rng.random_range(30..300), true);
                None
            }
            Behaviour::LeavesEarly => {
                let is_unseen = self.has(Fault::BrokenAtCaller) && rng.random();
                self.leave(stream, rng.random_range(20..300), !is_unseen);
                None
            }
        });
        self.journal
            .note(format!("{job} attempt {attempt} answered with {status:?}"));
        status
    }

    fn random_behaviour(&self, rng: &mut Pcg64Mcg) -> Behaviour {
        let is_faulty = rng.random_range(0..100) < FAULTY_PERCENT;
        let is_first = rng.random::<bool>();
        let breaks = self.has(Fault::BrokenAtCaller);
        let leaves = self.has(Fault::ReadLate);
        if is_faulty && (self.has(Fault::GivesUp) || self.has(Fault::Day)) {
            return Behaviour::GivesUp;
        }
        match (is_faulty, breaks, leaves) {
            (true, true, true) if is_first => Behaviour::LeavesEarly,
            (true, true, _) => Behaviour::BreaksOneSided,
            (true, false, true) => Behaviour::LeavesEarly,
            _ => Behaviour::Patient,
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.case.has(fault)
    }

    fn random_entry(&self, behaviour: Behaviour, rng: &mut Pcg64Mcg) -> usize {
        let entries = self.fleet.entries();
        let paused = (0..entries.len()).filter(|&entry| entries[entry].is_paused());
        let paused: Vec<usize> = paused.collect();
        if behaviour == Behaviour::LeavesEarly && !paused.is_empty() {
            return paused[rng.random_range(0..paused.len())];
        }
        rng.random_range(0..entries.len())
    }

    /// Leaves a connection after some time; the entry sees it only if the connection `is_closed`.
    fn leave(&self, stream: TcpStream, after_ms: u64, is_closed: bool) {
        thread::sleep(Duration::from_millis(after_ms));
        if !is_closed {
            self.left.lock().expect("the connections").push(stream);
        }
    }
}

/// Returns the body of a job with tasks of random number and duration.
fn random_body(is_best_effort: bool, rng: &mut Pcg64Mcg) -> String {
    let task_ms = TASK_TIMES_MS[rng.random_range(0..TASK_TIMES_MS.len())];
    let count = 1 << rng.random_range(0..3);
    let estimated_ms = if rng.random() { task_ms } else { 60 };
    format!(
        r#"{{"Spec":"ms={task_ms} cpu=2000","Steps":[{{"Count":{count},"Cpu":2000,"MemMb":64,"EstimatedMs":{estimated_ms}}}],"BestEffort":{is_best_effort}}}"#
    )
}

/// Returns the body of one of the kinds of jobs of a deployment.
fn deployment_body(rng: &mut Pcg64Mcg) -> String {
    let (count, task_ms) = match rng.random_range(0..100) {
        0..40 => (8, 60),
        40..70 => (2, 200),
        70..95 => (4, 900),
        _ => (4, rng.random_range(900..3_600)),
    };
    format!(
        r#"{{"Spec":"ms={task_ms} cpu=1000","Steps":[{{"Count":{count},"Cpu":1000,"MemMb":64,"EstimatedMs":{task_ms}}}],"BestEffort":true}}"#
    )
}

fn render(job: &str, wait_ms: u64, body: &str) -> String {
    format!(
        "POST /jobs/{job} HTTP/1.1\r\nHost: desk\r\nX-Deadline-Ms: {wait_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn send(addr: SocketAddr, request: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Returns the status of a response, if one arrives within `wait`.
fn read_status(mut stream: &TcpStream, wait: Duration) -> Option<u16> {
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut head = [0; 64];
    let size = stream.read(&mut head).ok()?;
    let text = std::str::from_utf8(&head[..size]).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
