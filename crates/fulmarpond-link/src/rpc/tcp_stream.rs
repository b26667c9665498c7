//! A TCP stream that records its activity and can be shut down from another task.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use super::LinkStats;

/// The time for which a closed connection still reads and discards data from the peer. Closing a
/// socket with unread data resets the connection, and the peer may lose the last responses.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A TCP stream with `TCP_NODELAY` that records reads and counts bytes.
pub(super) struct MonitoredStream {
    stream: Arc<TcpStream>,
    activity: Arc<Activity>,
    stats: Arc<LinkStats>,
    released: Option<oneshot::Sender<Arc<TcpStream>>>,
}

/// Monitors a [`MonitoredStream`] without keeping it open.
#[derive(Debug)]
pub(super) struct StreamMonitor {
    stream: Weak<TcpStream>,
    activity: Arc<Activity>,
}

/// Receives the underlying stream when a [`MonitoredStream`] is dropped.
pub(super) type ReleasedStream = oneshot::Receiver<Arc<TcpStream>>;

#[derive(Debug)]
struct Activity {
    opened: Instant,
    /// Milliseconds from `opened` to the last read that returned bytes.
    last_read_ms: AtomicU64,
}

impl MonitoredStream {
    /// Wraps a connected stream and sets `TCP_NODELAY`.
    pub(super) fn new(
        stream: TcpStream,
        stats: Arc<LinkStats>,
    ) -> io::Result<(Self, StreamMonitor, ReleasedStream)> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let activity = Arc::new(Activity {
            opened: Instant::now(),
            last_read_ms: AtomicU64::new(0),
        });
        let (sender, released) = oneshot::channel();
        let monitor = StreamMonitor {
            stream: Arc::downgrade(&stream),
            activity: Arc::clone(&activity),
        };
        let monitored = Self {
            stream,
            activity,
            stats,
            released: Some(sender),
        };
        Ok((monitored, monitor, released))
    }
}

impl Drop for MonitoredStream {
    fn drop(&mut self) {
        if let Some(released) = self.released.take() {
            // If the receiver was dropped, the connection is closed immediately.
            let _ = released.send(Arc::clone(&self.stream));
        }
    }
}

impl StreamMonitor {
    /// Waits until no bytes were received for `limit`.
    ///
    /// When a suspended process resumes, its timer is overdue while bytes received in the meantime
    /// are still unread in the socket. An overdue timer therefore waits for `grace`, so that the
    /// reader can process them first.
    pub(super) async fn wait_inactive(&self, limit: Duration, grace: Duration) {
        loop {
            let deadline = self.activity.last_read() + limit;
            sleep_until(deadline).await;
            if Instant::now() >= deadline + grace {
                sleep(grace).await;
            }
            if self.activity.last_read() + limit <= Instant::now() {
                return;
            }
        }
    }

    /// Shuts down both directions of the connection. Pending reads and writes end immediately.
    pub(super) fn shutdown(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // Shutdown fails only if the connection is already closed.
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Both);
        }
    }
}

/// Shuts down the sending direction, then reads and discards data until the peer closes its side.
pub(super) async fn linger(stream: Arc<TcpStream>) {
    if SockRef::from(&*stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        let mut buffer = [0; 4096];
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // A peer that does not close its side is disconnected after the timeout.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}

impl Activity {
    fn last_read(&self) -> Instant {
        self.opened + Duration::from_millis(self.last_read_ms.load(Ordering::Relaxed))
    }

    fn record_read(&self) {
        let elapsed_ms = u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_read_ms.store(elapsed_ms, Ordering::Relaxed);
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    if read > 0 {
                        self.activity.record_read();
                        self.stats
                            .received_bytes
                            .fetch_add(read as u64, Ordering::Relaxed);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Ok(written) => {
                    self.stats
                        .sent_bytes
                        .fetch_add(written as u64, Ordering::Relaxed);
                    return Poll::Ready(Ok(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
