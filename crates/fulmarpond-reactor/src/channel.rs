//! A non-blocking TCP connection with an input and an output buffer.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// The number of bytes requested per read.
pub(crate) const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The buffer capacity that is kept when a buffer is empty, in bytes.
const KEPT_CAPACITY_BYTES: usize = 4 * 1024;

/// The state of a channel after a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadState {
    /// The peer may send more data.
    Open,
    /// The input has reached the limit, and unread data may be left in the socket.
    Full,
    /// The peer closed the connection, or the connection failed.
    Closed,
}

/// A TCP connection with an input and an output buffer.
#[derive(Debug)]
pub(crate) struct Channel {
    stream: TcpStream,
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    is_connected: bool,
}

impl Channel {
    pub(crate) fn accepted(stream: TcpStream) -> Self {
        // With Nagle's algorithm, small responses on persistent connections wait for
        // acknowledgements.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            is_connected: true,
        }
    }

    pub(crate) fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            is_connected: false,
        })
    }

    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(
            &mut self.stream,
            token,
            Interest::READABLE | Interest::WRITABLE,
        )
    }

    pub(crate) fn deregister(&mut self, registry: &Registry) {
        // Errors can be ignored: closing the descriptor next deregisters it as well.
        let _ = registry.deregister(&mut self.stream);
    }

    pub(crate) fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    pub(crate) const fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Checks a connection attempt in progress.
    ///
    /// Returns `true` if the connection has been established by this call, and `false` if the
    /// attempt is still in progress or the connection was established before.
    pub(crate) fn finish_connect(&mut self) -> io::Result<bool> {
        if self.is_connected {
            return Ok(false);
        }
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.is_connected = true;
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads into the input buffer until the socket has no more data or the input has `max_input`
    /// bytes.
    ///
    /// The bytes come through `chunk`, so that a connection holds no room for what it has not sent.
    /// After [`ReadState::Full`] no further readiness event may arrive, so the caller has to close
    /// the connection.
    pub(crate) fn read(&mut self, max_input: usize, chunk: &mut [u8]) -> ReadState {
        loop {
            if self.input.len() >= max_input {
                return ReadState::Full;
            }
            match self.stream.read(chunk) {
                Ok(0) => return ReadState::Closed,
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadState::Closed,
            }
        }
    }

    /// Returns the number of bytes that have arrived and are not handled, or are not sent yet.
    pub(crate) const fn held_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Appends bytes to the output buffer without sending them.
    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    pub(crate) const fn output_mut(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    pub(crate) const fn pending_output_bytes(&self) -> usize {
        self.output.len()
    }

    /// Writes as much of the output as the socket accepts without blocking.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        if !self.is_connected {
            return Ok(());
        }
        let mut sent = 0;
        while sent < self.output.len() {
            match self.stream.write(&self.output[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.drain(..sent);
        Ok(())
    }

    /// Releases the memory of empty buffers that grew for a large message.
    pub(crate) fn shrink_buffers(&mut self) {
        if self.input.is_empty() && self.input.capacity() > KEPT_CAPACITY_BYTES {
            self.input = Vec::new();
        }
        if self.output.is_empty() && self.output.capacity() > KEPT_CAPACITY_BYTES {
            self.output = Vec::new();
        }
    }
}
