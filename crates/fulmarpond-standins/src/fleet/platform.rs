//! The emulator: one thread that serves the store and all executors over sockets.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::{Method, Request, Response};
use fulmarpond_reactor::{Call, Event, Limits, ListenerId, Reactor, RequestId};

use super::call_fault::{CallEffect, CallFault, CallFaults};
use super::executor::{Executor, ExecutorOptions};
use super::run_record::{RunRecord, RunRecords};
use super::store::{Outcome, Store};

/// Maximum interval between checks for expired leases and finished runs.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time limit of a heartbeat call.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed or rejected heartbeat is sent again.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Options of an emulator.
#[derive(Debug, Clone)]
pub struct EmulatorOptions {
    /// The address at which the store listens.
    pub store: SocketAddr,
    /// The executors.
    pub executors: Vec<ExecutorOptions>,
    /// The interval between heartbeats of an executor.
    pub heartbeat: Duration,
    /// The initial configuration, as JSON, that the operator writes to the store.
    pub configuration: String,
}

/// The start of a run of a task on an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// The index of the executor in [`EmulatorOptions::executors`].
    pub executor: usize,
    /// The name of the task.
    pub task: String,
}

enum Command {
    Configure(String),
    StoreDown(bool),
    Compact,
    Drain(usize),
    Hang(usize, bool),
    Evacuate(String, bool),
    Cool(usize, Duration),
    Restart(usize),
    Disturb(usize, Vec<CallFault>),
    SetClock(usize, u32),
    SetStopTime(usize, Duration),
    Translate(SocketAddr, SocketAddr),
    Stop,
}

/// A running emulator.
#[derive(Debug)]
pub struct Emulator {
    store: SocketAddr,
    commands: Sender<Command>,
    ledger: Arc<Mutex<Vec<TaskStart>>>,
    runs: Arc<Mutex<RunRecords>>,
    thread: Option<JoinHandle<()>>,
}

impl Emulator {
    /// Starts the store and the executors.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if an address cannot be bound.
    pub fn start(options: EmulatorOptions) -> io::Result<Self> {
        let mut reactor = Reactor::new(Limits::default())?;
        let (listener, store) = reactor.listen_http(options.store)?;
        let mut executors = HashMap::new();
        for (index, executor) in options.executors.into_iter().enumerate() {
            let (id, _) = reactor.listen_http(executor.listen)?;
            executors.insert(id, (index, Executor::new(executor, index, Instant::now())));
        }
        let (commands, received) = channel();
        let ledger: Arc<Mutex<Vec<TaskStart>>> = Arc::default();
        let runs: Arc<Mutex<RunRecords>> = Arc::default();
        let mut server = Server {
            reactor,
            listener,
            store: Store::new(),
            executors,
            heartbeat: options.heartbeat,
            heartbeat_calls: HashMap::new(),
            commands: received,
            ledger: Arc::clone(&ledger),
            runs: Arc::clone(&runs),
            call_faults: CallFaults::default(),
            delayed_calls: Vec::new(),
            unanswered: HashSet::new(),
        };
        let configuration = options.configuration.as_bytes();
        server.store.put("op/config", configuration, 0);
        let thread = std::thread::spawn(move || server.run());
        Ok(Self {
            store,
            commands,
            ledger,
            runs,
            thread: Some(thread),
        })
    }

    /// Returns the address of the store.
    pub const fn store_addr(&self) -> SocketAddr {
        self.store
    }

    /// Returns all starts of runs so far.
    pub fn ledger(&self) -> Vec<TaskStart> {
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.clone()
    }

    /// Returns all runs so far, in the order of their starts.
    pub fn runs(&self) -> Vec<RunRecord> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.to_vec()
    }

    /// Writes a configuration to the store, as the operator does.
    pub fn configure(&self, configuration: &str) {
        self.send_command(Command::Configure(configuration.to_owned()));
    }

    /// Sets whether the store refuses every call.
    pub fn set_store_down(&self, down: bool) {
        self.send_command(Command::StoreDown(down));
    }

    /// Drops the change history of the store.
    pub fn compact(&self) {
        self.send_command(Command::Compact);
    }

    /// Makes an executor report in its heartbeats that it is draining.
    pub fn drain(&self, executor: usize) {
        self.send_command(Command::Drain(executor));
    }

    /// Sets whether newly started runs of an executor never finish.
    pub fn set_hang(&self, executor: usize, hang: bool) {
        self.send_command(Command::Hang(executor, hang));
    }

    /// Writes or removes the key that asks for the evacuation of a zone, as the operator does.
    pub fn set_evacuated(&self, zone: &str, is_evacuated: bool) {
        self.send_command(Command::Evacuate(zone.to_owned(), is_evacuated));
    }

    /// Makes an executor report in its heartbeats that it is cold for some time.
    pub fn cool(&self, executor: usize, duration: Duration) {
        self.send_command(Command::Cool(executor, duration));
    }

    /// Restarts an executor under its id. A heartbeat of its earlier life arrives later.
    pub fn restart(&self, executor: usize) {
        self.send_command(Command::Restart(executor));
    }

    /// Replaces the faults of the calls to an executor; none lets all calls pass.
    pub fn disturb(&self, executor: usize, faults: Vec<CallFault>) {
        self.send_command(Command::Disturb(executor, faults));
    }

    /// Sets how fast the clock of an executor runs, in percent of real time. Only for an executor
    /// that no agent has called yet: the reading jumps.
    pub fn set_clock(&self, executor: usize, percent: u32) {
        self.send_command(Command::SetClock(executor, percent));
    }

    /// Sets how long runs of an executor go on after their stop.
    pub fn set_stop_time(&self, executor: usize, time: Duration) {
        self.send_command(Command::SetStopTime(executor, time));
    }

    /// Makes the store keep `to` wherever a process writes the address `from`, so that others reach
    /// the process through a relay.
    pub fn translate(&self, from: SocketAddr, to: SocketAddr) {
        self.send_command(Command::Translate(from, to));
    }

    /// Stops the emulator.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn send_command(&self, command: Command) {
        // Sending fails only after the thread has ended: after a stop or a failed poll.
        let _ = self.commands.send(command);
    }

    fn shut_down(&mut self) {
        self.send_command(Command::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for Emulator {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// A call that is carried out later.
struct DelayedCall {
    due_at: Instant,
    listener: ListenerId,
    id: RequestId,
    request: Request,
}

struct Server {
    reactor: Reactor,
    listener: ListenerId,
    store: Store,
    executors: HashMap<ListenerId, (usize, Executor)>,
    heartbeat: Duration,
    heartbeat_calls: HashMap<fulmarpond_reactor::CallId, ListenerId>,
    commands: Receiver<Command>,
    ledger: Arc<Mutex<Vec<TaskStart>>>,
    runs: Arc<Mutex<RunRecords>>,
    call_faults: CallFaults,
    delayed_calls: Vec<DelayedCall>,
    /// Calls whose responses are lost.
    unanswered: HashSet<RequestId>,
}

impl Server {
    fn run(&mut self) {
        let mut events = Vec::new();
        while self.run_commands() {
            if self
                .reactor
                .poll(Instant::now() + POLL_INTERVAL, &mut events)
                .is_err()
            {
                return;
            }
            let now = Instant::now();
            for event in events.drain(..) {
                self.handle_event(event, now);
            }
            self.run_delayed_calls(now);
            self.send_heartbeats(now);
            let mut due = self.store.take_due_responses(now);
            for (_, executor) in self.executors.values_mut() {
                due.extend(executor.take_due_responses(now));
            }
            self.record_ends();
            for (request, response) in due {
                self.respond(request, &response);
            }
        }
    }

    /// Sends a response, unless it is to be lost.
    fn respond(&mut self, request: RequestId, response: &Response) {
        if !self.unanswered.remove(&request) {
            self.reactor.respond(request, response);
        }
    }

    fn run_delayed_calls(&mut self, now: Instant) {
        let calls = std::mem::take(&mut self.delayed_calls);
        let (due, waiting) = calls.into_iter().partition(|call| now >= call.due_at);
        self.delayed_calls = waiting;
        let due: Vec<DelayedCall> = due;
        for call in due {
            self.call_executor(call.listener, call.id, &call.request, now);
        }
    }

    fn record_ends(&mut self) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        for (index, executor) in self.executors.values_mut() {
            for end in executor.take_new_ends() {
                runs.end(*index, &end);
            }
        }
    }

    /// Runs the pending commands and returns whether the server continues.
    fn run_commands(&mut self) -> bool {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Configure(text) => self.store.put("op/config", text.as_bytes(), 0),
                Command::StoreDown(down) => self.store.is_down = down,
                Command::Compact => self.store.compact(),
                Command::Drain(index) => self.with_executor(index, |executor| {
                    executor.is_draining = true;
                    executor.next_heartbeat = Instant::now();
                }),
                Command::Hang(index, hang) => {
                    self.with_executor(index, |executor| executor.is_hanging = hang);
                }
                Command::Evacuate(zone, is_evacuated) => {
                    let key = format!("op/evacuate/{zone}");
                    if is_evacuated {
                        self.store.put(&key, b"{}", 0);
                    } else {
                        self.store.delete(&key);
                    }
                }
                Command::Cool(index, duration) => self.with_executor(index, |executor| {
                    executor.cold_until = Instant::now() + duration;
                    executor.next_heartbeat = Instant::now();
                }),
                Command::Restart(index) => self.with_executor(index, |executor| {
                    *executor = executor.restarted(Instant::now());
                }),
                Command::Disturb(index, faults) => self.call_faults.set(index, faults),
                Command::SetClock(index, percent) => {
                    self.with_executor(index, |executor| executor.clock_percent = percent);
                }
                Command::SetStopTime(index, time) => {
                    self.with_executor(index, |executor| executor.stop_time = time);
                }
                Command::Translate(from, to) => self.store.translate(from, to),
                Command::Stop => return false,
            }
        }
        true
    }

    fn with_executor(&mut self, index: usize, action: impl FnOnce(&mut Executor)) {
        let mut executors = self.executors.values_mut();
        if let Some((_, executor)) = executors.find(|(known, _)| *known == index) {
            action(executor);
        }
    }

    fn handle_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Request {
                listener,
                id,
                request,
                ..
            } => self.handle_request(listener, id, request, now),
            Event::Replied { call, outcome } => {
                let executor = self.heartbeat_calls.remove(&call);
                let executor = executor.and_then(|listener| self.executors.get_mut(&listener));
                if let Some((_, executor)) = executor
                    && !outcome.is_ok_and(|reply| reply.status == 200)
                {
                    executor.next_heartbeat = now + HEARTBEAT_RETRY_DELAY;
                }
            }
            _ => {}
        }
    }

    fn handle_request(
        &mut self,
        listener: ListenerId,
        id: RequestId,
        request: Request,
        now: Instant,
    ) {
        if listener == self.listener {
            if let Outcome::Reply(response) = self.store.handle(id, &request, now) {
                self.reactor.respond(id, &response);
            }
            return;
        }
        let executor = self.executors.get(&listener);
        let effect = executor
            .and_then(|(index, _)| self.call_faults.next_effect(*index, request.path.as_str()));
        match effect {
            Some(CallEffect::Lost) => return,
            Some(CallEffect::Refused(status)) => {
                self.reactor.respond(id, &Response::empty(status));
                return;
            }
            Some(CallEffect::Delayed(delay)) => {
                self.delayed_calls.push(DelayedCall {
                    due_at: now + delay,
                    listener,
                    id,
                    request,
                });
                return;
            }
            Some(CallEffect::Unanswered) => {
                self.unanswered.insert(id);
            }
            None => {}
        }
        self.call_executor(listener, id, &request, now);
    }

    fn call_executor(
        &mut self,
        listener: ListenerId,
        id: RequestId,
        request: &Request,
        now: Instant,
    ) {
        let Some((index, executor)) = self.executors.get_mut(&listener) else {
            self.reactor.respond(id, &Response::empty(404));
            return;
        };
        let (response, started) = executor.handle(id, request, now);
        if let Some((task, run)) = started {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.start(*index, &task, run, now);
            let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.push(TaskStart {
                executor: *index,
                task,
            });
        }
        if let Some(response) = response {
            self.respond(id, &response);
        }
    }

    fn send_heartbeats(&mut self, now: Instant) {
        for (&listener, (_, executor)) in &mut self.executors {
            for body in executor.take_due_heartbeats(self.heartbeat, now) {
                let call = Call {
                    method: Method::Post,
                    path: format!("/v1/instances/{}/heartbeat", executor.id),
                    headers: Vec::new(),
                    body: body.to_string().into_bytes(),
                    deadline: now + HEARTBEAT_TIMEOUT,
                    last_deadline: now + HEARTBEAT_TIMEOUT,
                };
                let id = self.reactor.call(executor.options.control, 0, 1, &call);
                self.heartbeat_calls.insert(id, listener);
            }
        }
    }
}
