//! A TCP connection that records its activity and can be cut from another task.

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

/// The time that a closed connection is kept to read out what the peer still sends. A socket that
/// is closed with unread data resets the connection, and the peer may lose the last responses.
const LINGER: Duration = Duration::from_secs(1);

/// A TCP connection with `TCP_NODELAY`.
pub(super) struct Wire {
    stream: Arc<TcpStream>,
    activity: Arc<Activity>,
    stats: Arc<LinkStats>,
    released: Option<oneshot::Sender<Arc<TcpStream>>>,
}

/// Watches a [`Wire`] without keeping it open.
#[derive(Debug)]
pub(super) struct WireWatch {
    stream: Weak<TcpStream>,
    activity: Arc<Activity>,
}

/// Resolves when a [`Wire`] is dropped, with its stream.
pub(super) type Released = oneshot::Receiver<Arc<TcpStream>>;

#[derive(Debug)]
struct Activity {
    opened: Instant,
    /// Milliseconds from `opened` to the last read that returned bytes.
    last_read: AtomicU64,
}

impl Wire {
    /// Wraps a connected stream and sets `TCP_NODELAY`.
    pub(super) fn new(
        stream: TcpStream,
        stats: Arc<LinkStats>,
    ) -> io::Result<(Self, WireWatch, Released)> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let activity = Arc::new(Activity {
            opened: Instant::now(),
            last_read: AtomicU64::new(0),
        });
        let (sender, released) = oneshot::channel();
        let watch = WireWatch {
            stream: Arc::downgrade(&stream),
            activity: Arc::clone(&activity),
        };
        let wire = Self {
            stream,
            activity,
            stats,
            released: Some(sender),
        };
        Ok((wire, watch, released))
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        if let Some(released) = self.released.take() {
            // Without a watch the connection closes at once.
            let _ = released.send(Arc::clone(&self.stream));
        }
    }
}

impl WireWatch {
    /// Waits until nothing was received for `limit`.
    ///
    /// A process that was stopped for a while wakes up to an overdue timer while the bytes received
    /// meanwhile wait in the socket, so an overdue timer gives the reader `grace` to fetch them.
    pub(super) async fn silent(&self, limit: Duration, grace: Duration) {
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

    /// Closes the connection in both directions. Pending reads and writes end at once.
    pub(super) fn cut(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // It fails only if the connection is closed already.
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Both);
        }
    }
}

/// Closes the sending direction and discards what the peer still sends until it closes too.
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
    // A peer that never closes is cut off after the limit.
    let _ = tokio::time::timeout(LINGER, drain).await;
}

impl Activity {
    fn last_read(&self) -> Instant {
        self.opened + Duration::from_millis(self.last_read.load(Ordering::Relaxed))
    }

    fn record_read(&self) {
        let millis = u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_read.store(millis, Ordering::Relaxed);
    }
}

impl AsyncRead for Wire {
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

impl AsyncWrite for Wire {
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
