//! The front of an entry: forwards the connections of callers, and can hold them back.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time limit for connecting to the entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The stack of a forwarding thread, in bytes.
const STACK_BYTES: usize = 128 * 1_024;

const BUFFER_BYTES: usize = 4 * 1_024;

/// How long after held data the end of the connection is passed on, in milliseconds.
const END_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=10;

/// What a front does with the connections of callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FrontFaults {
    /// All data and ends are held back, in both directions.
    pub(super) is_cut: bool,
    /// New connections are not passed on yet.
    pub(super) holds_new: bool,
    /// The ends of connections that callers leave are never passed on.
    pub(super) hides_ends: bool,
}

/// Forwards the connections of callers to an entry.
#[derive(Debug)]
pub(super) struct Front {
    addr: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Front {
    /// Starts the front of an entry; `seed` draws how late held ends are passed on.
    pub(super) fn start(listen: SocketAddr, entry: SocketAddr, seed: u64) -> Self {
        let listener = TcpListener::bind(listen).expect("the front listens");
        let state = State {
            entry,
            faults: FrontFaults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            is_stopped: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let acceptor = {
            let shared = Arc::clone(&shared);
            thread::spawn(move || shared.accept(&listener))
        };
        Self {
            addr: listen,
            shared,
            acceptor: Some(acceptor),
        }
    }

    /// Returns the address that callers connect to.
    pub(super) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults. What is held back no longer is passed on.
    pub(super) fn set_faults(&self, faults: FrontFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Forwards new connections to another address. Open ones stay.
    pub(super) fn set_entry(&self, entry: SocketAddr) {
        self.shared.lock().entry = entry;
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.shared.lock().is_stopped = true;
        self.shared.changed.notify_all();
        // The thread blocks in `accept`, so a connection wakes it.
        let _ = TcpStream::connect(self.addr);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

#[derive(Debug)]
struct State {
    entry: SocketAddr,
    faults: FrontFaults,
    rng: Pcg64Mcg,
    is_stopped: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Signals other faults, and the stop.
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while a fault holds, and returns whether it did.
    fn wait_while(&self, holds: impl Fn(FrontFaults) -> bool) -> bool {
        let mut state = self.lock();
        let has_waited = holds(state.faults);
        while holds(state.faults) && !state.is_stopped {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        has_waited
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for caller in listener.incoming() {
            if self.lock().is_stopped {
                return;
            }
            let Ok(caller) = caller else {
                continue;
            };
            let shared = Arc::clone(self);
            // A caller whose connection can't be forwarded sees it end.
            let _ = spawn(move || shared.forward(caller));
        }
    }

    /// Forwards both directions of a connection.
    fn forward(self: &Arc<Self>, caller: TcpStream) {
        self.wait_while(|faults| faults.holds_new);
        let entry = self.lock().entry;
        let Ok(entry) = TcpStream::connect_timeout(&entry, CONNECT_TIMEOUT) else {
            return;
        };
        // Small writes are sent late otherwise, and nothing else.
        let _ = (caller.set_nodelay(true), entry.set_nodelay(true));
        let (caller, entry) = (Arc::new(caller), Arc::new(entry));
        let responses = {
            let (shared, caller, entry) =
                (Arc::clone(self), Arc::clone(&caller), Arc::clone(&entry));
            move || shared.forward_responses(&entry, &caller)
        };
        if spawn(responses).is_ok() {
            self.forward_requests(&caller, &entry);
        }
    }

    /// Forwards what the caller sends: the data first, and the end of the connection a moment later if
    /// they were held back.
    fn forward_requests(&self, mut caller: &TcpStream, mut entry: &TcpStream) {
        let mut buffer = [0; BUFFER_BYTES];
        let mut was_held = false;
        loop {
            let size = caller.read(&mut buffer).unwrap_or(0);
            was_held |= self.wait_while(|faults| faults.is_cut);
            if size == 0 || entry.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        let mut state = self.lock();
        if state.faults.hides_ends {
            return;
        }
        let delay_ms = state.rng.random_range(END_DELAY_MS);
        drop(state);
        if was_held {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        let _ = entry.shutdown(Shutdown::Both);
    }

    fn forward_responses(&self, mut entry: &TcpStream, mut caller: &TcpStream) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let size = entry.read(&mut buffer).unwrap_or(0);
            self.wait_while(|faults| faults.is_cut);
            if size == 0 || caller.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        let _ = caller.shutdown(Shutdown::Both);
    }
}

fn spawn(action: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(action).map(drop)
}
