//! A TCP relay that can stop forwarding without closing its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// Forwards TCP connections to a server.
pub(crate) struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    closed: Receiver<()>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    /// Connections with a lower number are frozen.
    frozen_below: usize,
    accepted: usize,
    is_stopped: bool,
}

impl Relay {
    /// Starts a relay on a port chosen by the operating system.
    pub(crate) fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind(super::any_port()).expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        let shared = Arc::new(Shared::default());
        let (closed, receiver) = channel();
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || {
            for client in listener.incoming() {
                let client = client.expect("a connection");
                if acceptor.state.lock().expect("no panic").is_stopped {
                    return;
                }
                let Ok(server) = TcpStream::connect(server) else {
                    continue;
                };
                acceptor.forward(&client, &server, &closed);
            }
        });
        Self {
            addr,
            shared,
            closed: receiver,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops forwarding on all current connections and leaves them open.
    pub(crate) fn freeze(&self) {
        let mut state = self.shared.state.lock().expect("no panic");
        state.frozen_below = state.accepted;
    }

    /// Waits until a client has closed a connection. Each closed connection ends one wait.
    pub(crate) fn wait_closed(&self) {
        self.closed.recv().expect("the relay runs");
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.state.lock().expect("no panic").is_stopped = true;
        self.shared.changed.notify_all();
        // Unblocks the thread that accepts connections.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Shared {
    fn forward(self: &Arc<Self>, client: &TcpStream, server: &TcpStream, closed: &Sender<()>) {
        let number = {
            let mut state = self.state.lock().expect("no panic");
            state.accepted += 1;
            state.accepted - 1
        };
        let directions = [
            (client, server, Some(closed.clone())),
            (server, client, None),
        ];
        for (from, to, closed) in directions {
            from.set_nodelay(true).expect("an open socket");
            let mut from = from.try_clone().expect("an open socket");
            let mut to = to.try_clone().expect("an open socket");
            let shared = Arc::clone(self);
            thread::spawn(move || {
                shared.copy(number, &mut from, &mut to);
                if let Some(closed) = closed {
                    let _ = closed.send(());
                }
            });
        }
    }

    /// Copies data until the sender closes its side. Frozen connections are neither read nor
    /// closed.
    fn copy(&self, number: usize, from: &mut TcpStream, to: &mut TcpStream) {
        let mut buffer = [0; 65_536];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            let mut state = self.state.lock().expect("no panic");
            while number < state.frozen_below && !state.is_stopped {
                state = self.changed.wait(state).expect("no panic");
            }
            drop(state);
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
