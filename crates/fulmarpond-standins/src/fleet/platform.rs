//! The emulator: one thread that serves the store and all executors.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::{Method, Request, Response};
use fulmarpond_reactor::{Call, Event, Limits, ListenerId, Reactor, RequestId};

use super::executor::{Executor, ExecutorOptions};
use super::store::{Outcome, Store};

/// The longest time between two looks at leases and ends.
const STEP: Duration = Duration::from_millis(2);

/// How long a heartbeat may take.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause before a heartbeat without an answer is sent again.
const BEAT_RETRY: Duration = Duration::from_millis(100);

/// How an emulator is set up.
#[derive(Debug, Clone)]
pub struct EmulatorOptions {
    /// Where the store listens.
    pub store: SocketAddr,
    /// The executors.
    pub executors: Vec<ExecutorOptions>,
    /// The interval of heartbeats.
    pub heartbeat: Duration,
    /// The configuration that the operator has written, as JSON.
    pub configuration: String,
}

/// A start that an executor has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// The position of the executor.
    pub executor: usize,
    /// The name of the task.
    pub task: String,
}

enum Order {
    Configure(String),
    StoreDown(bool),
    Compact,
    Drain(usize),
    Hang(usize, bool),
    Stop,
}

/// A running emulator.
#[derive(Debug)]
pub struct Emulator {
    store: SocketAddr,
    orders: Sender<Order>,
    ledger: Arc<Mutex<Vec<Ledger>>>,
    thread: Option<JoinHandle<()>>,
}

impl Emulator {
    /// Starts the store and the executors.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn start(options: EmulatorOptions) -> io::Result<Self> {
        let mut reactor = Reactor::new(Limits::default())?;
        let (listener, store) = reactor.listen_http(options.store)?;
        let mut executors = HashMap::new();
        for (number, executor) in options.executors.into_iter().enumerate() {
            let (id, _) = reactor.listen_http(executor.listen)?;
            executors.insert(
                id,
                (number, Executor::new(executor, number, Instant::now())),
            );
        }
        let (orders, received) = channel();
        let ledger: Arc<Mutex<Vec<Ledger>>> = Arc::default();
        let mut server = Server {
            reactor,
            listener,
            store: Store::new(),
            executors,
            heartbeat: options.heartbeat,
            beats: HashMap::new(),
            orders: received,
            ledger: Arc::clone(&ledger),
        };
        let configuration = options.configuration.as_bytes();
        server.store.put("op/config", configuration, 0);
        let thread = std::thread::spawn(move || server.run());
        Ok(Self {
            store,
            orders,
            ledger,
            thread: Some(thread),
        })
    }

    /// Returns the address of the store.
    pub const fn store_addr(&self) -> SocketAddr {
        self.store
    }

    /// Returns all starts so far.
    pub fn ledger(&self) -> Vec<Ledger> {
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.clone()
    }

    /// Writes a configuration as the operator.
    pub fn configure(&self, configuration: &str) {
        self.order(Order::Configure(configuration.to_owned()));
    }

    /// Takes the store down or back up.
    pub fn set_store_down(&self, down: bool) {
        self.order(Order::StoreDown(down));
    }

    /// Drops the history of the store.
    pub fn compact(&self) {
        self.order(Order::Compact);
    }

    /// Lets an executor announce that it leaves.
    pub fn drain(&self, executor: usize) {
        self.order(Order::Drain(executor));
    }

    /// Lets the next runs of an executor stand still, or not.
    pub fn set_hang(&self, executor: usize, hangs: bool) {
        self.order(Order::Hang(executor, hangs));
    }

    /// Stops the emulator.
    pub fn stop(mut self) {
        self.end();
    }

    fn order(&self, order: Order) {
        // The thread only ends when it is told to.
        let _ = self.orders.send(order);
    }

    fn end(&mut self) {
        self.order(Order::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by then.
            let _ = thread.join();
        }
    }
}

impl Drop for Emulator {
    fn drop(&mut self) {
        self.end();
    }
}

struct Server {
    reactor: Reactor,
    listener: ListenerId,
    store: Store,
    executors: HashMap<ListenerId, (usize, Executor)>,
    heartbeat: Duration,
    beats: HashMap<fulmarpond_reactor::CallId, ListenerId>,
    orders: Receiver<Order>,
    ledger: Arc<Mutex<Vec<Ledger>>>,
}

impl Server {
    fn run(&mut self) {
        let mut events = Vec::new();
        while self.take_orders() {
            if self
                .reactor
                .poll(Instant::now() + STEP, &mut events)
                .is_err()
            {
                return;
            }
            let now = Instant::now();
            for event in events.drain(..) {
                self.event(event, now);
            }
            self.send_beats(now);
            let mut due = self.store.due(now);
            for (_, executor) in self.executors.values_mut() {
                due.extend(executor.due(now));
            }
            for (request, response) in due {
                self.reactor.respond(request, &response);
            }
        }
    }

    /// Carries out what was asked for; returns whether to go on.
    fn take_orders(&mut self) -> bool {
        while let Ok(order) = self.orders.try_recv() {
            match order {
                Order::Configure(text) => self.store.put("op/config", text.as_bytes(), 0),
                Order::StoreDown(down) => self.store.down = down,
                Order::Compact => self.store.compact(),
                Order::Drain(number) => self.change(number, |executor| {
                    executor.draining = true;
                    executor.next_beat = Instant::now();
                }),
                Order::Hang(number, hangs) => {
                    self.change(number, |executor| executor.hangs = hangs);
                }
                Order::Stop => return false,
            }
        }
        true
    }

    fn change(&mut self, number: usize, act: impl FnOnce(&mut Executor)) {
        let mut executors = self.executors.values_mut();
        if let Some((_, executor)) = executors.find(|(known, _)| *known == number) {
            act(executor);
        }
    }

    fn event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Request {
                listener,
                id,
                request,
            } => self.request(listener, id, &request, now),
            Event::Replied { call, outcome } => {
                let executor = self.beats.remove(&call);
                let executor = executor.and_then(|listener| self.executors.get_mut(&listener));
                if let Some((_, executor)) = executor
                    && !outcome.is_ok_and(|reply| reply.status == 200)
                {
                    executor.next_beat = now + BEAT_RETRY;
                }
            }
            _ => {}
        }
    }

    fn request(&mut self, listener: ListenerId, id: RequestId, request: &Request, now: Instant) {
        if listener == self.listener {
            if let Outcome::Respond(response) = self.store.handle(id, request, now) {
                self.reactor.respond(id, &response);
            }
            return;
        }
        let Some((number, executor)) = self.executors.get_mut(&listener) else {
            self.reactor.respond(id, &Response::empty(404));
            return;
        };
        let (response, started) = executor.handle(id, request, now);
        if let Some(task) = started {
            let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.push(Ledger {
                executor: *number,
                task,
            });
        }
        if let Some(response) = response {
            self.reactor.respond(id, &response);
        }
    }

    fn send_beats(&mut self, now: Instant) {
        for (&listener, (_, executor)) in &mut self.executors {
            if now < executor.next_beat {
                continue;
            }
            executor.next_beat = now + self.heartbeat;
            let call = Call {
                method: Method::Post,
                path: format!("/v1/instances/{}/heartbeat", executor.id),
                headers: Vec::new(),
                body: executor.beat(now).to_string().into_bytes(),
                deadline: now + BEAT_TIMEOUT,
            };
            let id = self.reactor.call(executor.options.control, 0, 1, &call);
            self.beats.insert(id, listener);
        }
    }
}
