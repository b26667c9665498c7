//! The emulator: one thread that serves the store and all executors over sockets.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::{Method, Request, Response};
use fulmarpond_reactor::{Call, CallId, Event, Limits, ListenerId, Reactor, RequestId};
use serde_json::Value;

use super::call_fault::{CallEffect, CallFault, CallFaults};
use super::executor::{Executor, ExecutorOptions};
use super::run_record::{RunRecord, RunRecords};
use super::store::{Outcome, Store};

/// Maximum interval between checks for expired leases and finished runs.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Delay before an address that could not be opened is tried again.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An address at which nobody calls.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

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
    ListStopping(usize, bool),
    Crash(usize, Duration),
    Leave(usize, Duration, Duration),
    Revoke(String),
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
        let mut executors = Vec::new();
        let mut listeners = HashMap::new();
        for (index, executor) in options.executors.into_iter().enumerate() {
            let (id, _) = reactor.listen_http(executor.listen)?;
            listeners.insert(id, index);
            executors.push(Executor::new(executor, index, Instant::now()));
        }
        let (commands, received) = channel();
        let ledger: Arc<Mutex<Vec<TaskStart>>> = Arc::default();
        let runs: Arc<Mutex<RunRecords>> = Arc::default();
        let mut server = Server {
            reactor,
            listener,
            store: Store::new(),
            executors,
            listeners,
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

    /// Sets whether an executor lists runs that it was told to stop until they have ended.
    pub fn set_lists_stopping(&self, executor: usize, lists: bool) {
        self.send_command(Command::ListStopping(executor, lists));
    }

    /// Crashes an executor. It comes back at its address after `down_time`, under another id.
    pub fn crash(&self, executor: usize, down_time: Duration) {
        self.send_command(Command::Crash(executor, down_time));
    }

    /// Makes an executor drain, deregister and end after `drain_time`. It comes back as after a crash.
    pub fn leave(&self, executor: usize, drain_time: Duration, down_time: Duration) {
        self.send_command(Command::Leave(executor, drain_time, down_time));
    }

    /// Ends the leases of the store's items whose keys contain `part`, as the platform may.
    pub fn revoke(&self, part: &str) {
        self.send_command(Command::Revoke(part.to_owned()));
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
    executors: Vec<Executor>,
    /// The executors by their listeners, also by those that were closed: connections outlast them.
    listeners: HashMap<ListenerId, usize>,
    heartbeat: Duration,
    heartbeat_calls: HashMap<CallId, usize>,
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
            self.start_and_end_executors(now);
            self.send_heartbeats(now);
            let mut due = self.store.take_due_responses(now);
            for executor in &mut self.executors {
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
        for (index, executor) in self.executors.iter_mut().enumerate() {
            for end in executor.take_new_ends() {
                runs.end(index, &end);
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
                Command::ListStopping(index, lists) => {
                    self.with_executor(index, |executor| executor.lists_stopping = lists);
                }
                Command::Crash(index, down_time) => {
                    self.end_executor(index, "crashed", down_time, Instant::now());
                }
                Command::Leave(index, drain_time, down_time) => {
                    let ends_at = Instant::now() + drain_time;
                    self.with_executor(index, |executor| executor.leave(ends_at, down_time));
                }
                Command::Revoke(part) => self.store.revoke_leases_of(&part),
                Command::Translate(from, to) => self.store.translate(from, to),
                Command::Stop => return false,
            }
        }
        true
    }

    fn with_executor(&mut self, index: usize, action: impl FnOnce(&mut Executor)) {
        if let Some(executor) = self.executors.get_mut(index) {
            action(executor);
        }
    }

    /// Ends executors whose planned end has come, and starts those that have been down.
    fn start_and_end_executors(&mut self, now: Instant) {
        for index in 0..self.executors.len() {
            let executor = &mut self.executors[index];
            if let Some(down_time) = executor.take_planned_end(now) {
                self.send_deregistration(index, now);
                self.end_executor(index, "left", down_time, now);
            }
            let executor = &mut self.executors[index];
            if executor.down_until.take_if(|up_at| now >= *up_at).is_some() {
                self.listen_again(index, now);
            }
        }
    }

    /// Opens the listener of an executor again. Connections outlast their listener and keep its number, so
    /// a number that was that of another executor's listener is not used again.
    fn listen_again(&mut self, index: usize, now: Instant) {
        let addr = self.executors[index].options.listen;
        while let Ok((listener, _)) = self.reactor.listen_http(addr) {
            let known = self.listeners.get(&listener);
            if known.is_none_or(|&known| known == index) {
                self.listeners.insert(listener, index);
                return;
            }
            self.reactor.stop_listening(listener);
            // A listener that nobody knows takes the number.
            if self.reactor.listen_http(UNUSED_ADDR).is_err() {
                break;
            }
        }
        self.executors[index].down_until = Some(now + LISTEN_RETRY_DELAY);
    }

    /// Ends the life of an executor, whose address refuses connections while it is down.
    fn end_executor(
        &mut self,
        index: usize,
        outcome: &'static str,
        down_time: Duration,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(index) else {
            return;
        };
        *executor = executor.succeeded(outcome, now + down_time, now);
        let mut listeners = self.listeners.iter();
        let listeners = listeners.by_ref().filter(|(_, known)| **known == index);
        for (&listener, _) in listeners {
            self.reactor.stop_listening(listener);
        }
        self.delayed_calls
            .retain(|call| self.listeners.get(&call.listener) != Some(&index));
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
                let executor = executor.and_then(|index| self.executors.get_mut(index));
                if let Some(executor) = executor
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
        let effect = self
            .listeners
            .get(&listener)
            .and_then(|&index| self.call_faults.next_effect(index, request.path.as_str()));
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
        let Some(&index) = self.listeners.get(&listener) else {
            self.reactor.respond(id, &Response::empty(404));
            return;
        };
        let executor = &mut self.executors[index];
        if executor.down_until.is_some() {
            return;
        }
        let (response, started) = executor.handle(id, request, now);
        if let Some((task, run)) = started {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.start(index, &task, run, now);
            let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.push(TaskStart {
                executor: index,
                task,
            });
        }
        if let Some(response) = response {
            self.respond(id, &response);
        }
    }

    fn send_heartbeats(&mut self, now: Instant) {
        for index in 0..self.executors.len() {
            let executor = &mut self.executors[index];
            if executor.down_until.is_some() {
                continue;
            }
            for body in executor.take_due_heartbeats(self.heartbeat, now) {
                let call = self.call_to_control(index, "heartbeat", &body, now);
                self.heartbeat_calls.insert(call, index);
            }
        }
    }

    /// Tells the agent of an executor that it leaves. The call is not repeated.
    fn send_deregistration(&mut self, index: usize, now: Instant) {
        let body = self.executors[index].deregistration_body();
        self.call_to_control(index, "deregister", &body, now);
    }

    fn call_to_control(
        &mut self,
        index: usize,
        action: &str,
        body: &Value,
        now: Instant,
    ) -> CallId {
        let executor = &self.executors[index];
        let call = Call {
            method: Method::Post,
            path: format!("/v1/instances/{}/{action}", executor.id),
            headers: Vec::new(),
            body: body.to_string().into_bytes(),
            deadline: now + HEARTBEAT_TIMEOUT,
            last_deadline: now + HEARTBEAT_TIMEOUT,
        };
        self.reactor.call(executor.options.control, 0, 1, &call)
    }
}
