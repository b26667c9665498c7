//! A non-blocking connection with its buffers.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// How many bytes one read asks for.
const READ_CHUNK: usize = 16 * 1024;

/// What reading a channel brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadState {
    /// The other side may send more.
    Open,
    /// The other side has closed the connection, or it is broken.
    Closed,
}

/// A TCP connection with an input and an output buffer.
#[derive(Debug)]
pub(crate) struct Channel {
    stream: TcpStream,
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    connected: bool,
}

impl Channel {
    pub(crate) fn accepted(stream: TcpStream) -> Self {
        // Without it, small responses on kept connections wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            connected: true,
        }
    }

    pub(crate) fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            connected: false,
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
        // The descriptor is closed right after, which deregisters it as well.
        let _ = registry.deregister(&mut self.stream);
    }

    pub(crate) fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    pub(crate) const fn is_connected(&self) -> bool {
        self.connected
    }

    /// Checks whether a pending connect has ended; returns whether it just succeeded.
    pub(crate) fn finish_connect(&mut self) -> io::Result<bool> {
        if self.connected {
            return Ok(false);
        }
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connected = true;
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads until nothing more is there.
    pub(crate) fn read(&mut self) -> ReadState {
        loop {
            let start = self.input.len();
            self.input.resize(start + READ_CHUNK, 0);
            let result = self.stream.read(&mut self.input[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.input.truncate(start + count);
            match result {
                Ok(0) => return ReadState::Closed,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadState::Closed,
            }
        }
    }

    /// Appends bytes to the output without sending them.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    pub(crate) const fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    pub(crate) const fn pending(&self) -> usize {
        self.output.len()
    }

    /// Sends what the connection takes.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        if !self.connected {
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

    /// Gives memory back that a large message needed.
    pub(crate) fn shrink(&mut self) {
        if self.input.is_empty() && self.input.capacity() > READ_CHUNK {
            self.input = Vec::new();
        }
        if self.output.is_empty() && self.output.capacity() > READ_CHUNK {
            self.output = Vec::new();
        }
    }
}
