//! Many connections of clients that do not behave.

#![allow(unreachable_pub, reason = "a module of a test")]

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::ScopedJoinHandle;
use std::time::Duration;

/// The number of connections of a crowd that sends bodies: together 78 MB.
pub const CROWD: usize = 300;

/// The largest body of the configuration of the tests, in bytes.
pub const LEGAL_BODY_BYTES: usize = 262_144;

/// How long a connection waits for room to send. The process may not read on, which is allowed.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of threads that send at the same time.
const SENDERS: usize = 16;

/// Waits until no other crowd is at work. A test that failed does not keep the others from running.
pub fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the header section of a submission by a member of a crowd.
pub fn post_head(member: usize, len: usize) -> String {
    format!(
        "POST /jobs/{member:016x} HTTP/1.1\r\nHost: desk\r\nX-Deadline-Ms: 6000\r\n\
         Content-Length: {len}\r\n\r\n"
    )
}

/// Returns the body of a job with one step.
pub fn submission(spec: &str, count: u32, best_effort: bool) -> String {
    format!(
        r#"{{"Spec":"{spec}","Steps":[{{"Count":{count},"Cpu":100,"EstimatedMs":1}}],"BestEffort":{best_effort}}}"#
    )
}

/// Connections that stay open until they are dropped. Those that the process has closed stay in it.
#[derive(Debug)]
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections, and sends on each the bytes that `bytes` gives its number. The process may
    /// refuse a connection, or close it before all is sent.
    pub fn send(addr: SocketAddr, members: usize, bytes: impl Fn(usize) -> Vec<u8> + Sync) -> Self {
        let bytes = &bytes;
        let streams = std::thread::scope(|scope| {
            let senders = (0..SENDERS).map(|first| {
                scope.spawn(move || {
                    let numbers = (first..members).step_by(SENDERS);
                    let streams = numbers.filter_map(|member| send(addr, &bytes(member)));
                    streams.collect::<Vec<_>>()
                })
            });
            let senders: Vec<_> = senders.collect();
            let joined = senders.into_iter().map(ScopedJoinHandle::join);
            joined.flat_map(|sent| sent.expect("no panic")).collect()
        });
        Self { streams }
    }

    /// Sends the same bytes on each connection.
    pub fn send_more(&mut self, bytes: &[u8]) {
        for stream in &mut self.streams {
            // The process may have closed the connection.
            let _ = stream.write_all(bytes);
        }
    }

    pub fn shut_down(&self, side: Shutdown) {
        for stream in &self.streams {
            // The process may have closed the connection.
            let _ = stream.shutdown(side);
        }
    }
}

fn send(addr: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
    // What the process does not take is not sent.
    let _ = stream.write_all(bytes);
    Some(stream)
}
