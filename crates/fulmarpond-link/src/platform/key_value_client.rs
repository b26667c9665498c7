//! Calls of the key-value service.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body, RequestBuilder, Timeout};

use super::{Changes, Item, Items, PlatformError, Result};

/// Characters of a key that are escaped in a path.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Largest reply in bytes: a list holds many values of up to 1 MB.
const REPLY_LIMIT: u64 = 256 * 1024 * 1024;

/// A blocking client of the platform's key-value service, for use by one thread.
///
/// No call is repeated: a caller that gets [`PlatformError::Unknown`] reads the key back.
///
/// # Examples
///
/// ```no_run
/// use std::time::Duration;
/// use fulmarpond_link::platform::{KeyValueClient, PlatformError};
///
/// let client = KeyValueClient::new("127.0.0.1:7100".parse()?, Duration::from_secs(2));
/// match client.put("config/1", "{}", Some(0)) {
///     Ok(revision) => println!("created at revision {revision}"),
///     Err(PlatformError::Conflict { revision }) => println!("exists at revision {revision}"),
///     Err(error) => println!("{error}"),
/// }
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct KeyValueClient {
    http: Agent,
    base: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

impl KeyValueClient {
    /// Creates a client of the service at `addr`.
    ///
    /// `timeout` limits each call as a whole; a watch may take its waiting time in addition. Half
    /// of it limits the connection attempt.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            // The shorter limit lets a failed connection be told apart from a lost reply.
            .timeout_connect(Some(timeout / 2))
            .timeout_global(Some(timeout))
            .build();
        Self {
            http: config.into(),
            base: format!("http://{addr}"),
            timeout,
        }
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] or [`PlatformError::Unknown`].
    pub fn get(&self, key: &str) -> Result<Option<Item>> {
        let reply = self.http.get(self.key_url(key)).call();
        let mut reply = reply.map_err(|error| failure(&error))?;
        if reply.status() == StatusCode::NOT_FOUND {
            // Only a connection whose reply was read is reused; the content does not matter.
            let _ = reply.body_mut().read_to_vec();
            return Ok(None);
        }
        decode(reply).map(Some)
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] or [`PlatformError::Unknown`].
    pub fn list(&self, prefix: &str) -> Result<Items> {
        let request = self.http.get(format!("{}/kv", self.base));
        let reply = request.query("prefix", prefix).call();
        decode(reply.map_err(|error| failure(&error))?)
    }

    /// Writes a key and returns its new revision.
    ///
    /// With `if_revision` the write takes effect only if the key is at that revision; 0 means that
    /// the key must not exist.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; only after [`PlatformError::Unknown`] may the write have taken effect.
    pub fn put(&self, key: &str, value: &str, if_revision: Option<u64>) -> Result<u64> {
        let request = conditional(self.http.put(self.key_url(key)), if_revision);
        let reply = request
            .content_type("text/plain; charset=utf-8")
            .send(value);
        let reply: Revision = decode(reply.map_err(|error| failure(&error))?)?;
        Ok(reply.revision)
    }

    /// Deletes a key, with `if_revision` only if the key is at that revision.
    ///
    /// Deleting a key that does not exist succeeds unless `if_revision` names another revision
    /// than 0.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but [`PlatformError::TooLarge`]; only after
    /// [`PlatformError::Unknown`] may the deletion have taken effect.
    pub fn delete(&self, key: &str, if_revision: Option<u64>) -> Result<()> {
        let reply = conditional(self.http.delete(self.key_url(key)), if_revision).call();
        let mut reply = check(reply.map_err(|error| failure(&error))?)?;
        let _ = reply.body_mut().read_to_vec();
        Ok(())
    }

    /// Waits at most `wait_ms` milliseconds for changes of keys that begin with `prefix` after the
    /// revision `after`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] or [`PlatformError::Unknown`].
    pub fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes> {
        let limit = self.timeout + Duration::from_millis(wait_ms);
        let request = (self.http.get(format!("{}/watch", self.base)))
            .query("prefix", prefix)
            .query("after", after.to_string())
            .query("wait_ms", wait_ms.to_string());
        let reply = request.config().timeout_global(Some(limit)).build().call();
        decode(reply.map_err(|error| failure(&error))?)
    }

    fn key_url(&self, key: &str) -> String {
        format!("{}/kv/{}", self.base, utf8_percent_encode(key, ESCAPED))
    }
}

fn conditional<B>(request: RequestBuilder<B>, if_revision: Option<u64>) -> RequestBuilder<B> {
    match if_revision {
        Some(revision) => request.query("if_revision", revision.to_string()),
        None => request,
    }
}

/// Tells whether a call that failed without a reply can have reached the service.
fn failure(error: &ureq::Error) -> PlatformError {
    match error {
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            PlatformError::Unavailable
        }
        ureq::Error::Timeout(Timeout::Resolve | Timeout::Connect)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => PlatformError::Unavailable,
        _ => PlatformError::Unknown,
    }
}

/// Passes a reply with status 200 and turns others into an error.
fn check(mut reply: Response<Body>) -> Result<Response<Body>> {
    match reply.status() {
        StatusCode::OK => Ok(reply),
        StatusCode::CONFLICT => {
            let revision = read::<Revision>(&mut reply)?.revision;
            Err(PlatformError::Conflict { revision })
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(PlatformError::TooLarge),
        // A client error says that the call was declined.
        status if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() => {
            Err(PlatformError::Unavailable)
        }
        _ => Err(PlatformError::Unknown),
    }
}

fn decode<T: DeserializeOwned>(reply: Response<Body>) -> Result<T> {
    read(&mut check(reply)?)
}

fn read<T: DeserializeOwned>(reply: &mut Response<Body>) -> Result<T> {
    let body = reply.body_mut().with_config().limit(REPLY_LIMIT);
    body.read_json().map_err(|_| PlatformError::Unknown)
}
