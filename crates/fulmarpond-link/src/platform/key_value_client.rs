//! Blocking calls to the key-value service.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body, RequestBuilder, Timeout};

use super::{Changes, Item, Items, PlatformError, Result};

/// Characters of a key that are percent-encoded in a URL path.
const ESCAPED_IN_PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The maximum size of a reply. A list contains many values of up to 1 MB each.
const MAX_REPLY_BYTES: u64 = 256 * 1024 * 1024;

/// A blocking client of the platform's key-value service, for use by one thread.
///
/// Calls are never retried. After [`PlatformError::Unknown`] the caller has to read the key to
/// learn whether its write took effect.
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
struct RevisionReply {
    revision: u64,
}

impl KeyValueClient {
    /// Creates a client of the service at `addr`.
    ///
    /// `timeout` applies to each call as a whole; for a watch its waiting time is added. Connecting
    /// may take at most half of `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            // Shorter than the global timeout, so that a failed connection can be distinguished
            // from a lost reply.
            .timeout_connect(Some(timeout / 2))
            .timeout_global(Some(timeout))
            .build();
        Self {
            http: config.into(),
            base: format!("http://{addr}"),
            timeout,
        }
    }

    /// Reads a key. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] or [`PlatformError::Unknown`].
    pub fn get(&self, key: &str) -> Result<Option<Item>> {
        let reply = self.http.get(self.key_url(key)).call();
        let mut reply = reply.map_err(|error| classify_error(&error))?;
        if reply.status() == StatusCode::NOT_FOUND {
            // The connection is reused only if the reply was read; its content is ignored.
            let _ = reply.body_mut().read_to_vec();
            return Ok(None);
        }
        decode_reply(reply).map(Some)
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] or [`PlatformError::Unknown`].
    pub fn list(&self, prefix: &str) -> Result<Items> {
        let request = self.http.get(format!("{}/kv", self.base));
        let reply = request.query("prefix", prefix).call();
        decode_reply(reply.map_err(|error| classify_error(&error))?)
    }

    /// Writes a key and returns its new revision.
    ///
    /// If `if_revision` is given, the write takes effect only if the key is at that revision; 0
    /// means that the key must not exist.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]. The write may have taken effect only after
    /// [`PlatformError::Unknown`].
    pub fn put(&self, key: &str, value: &str, if_revision: Option<u64>) -> Result<u64> {
        let request = with_condition(self.http.put(self.key_url(key)), if_revision);
        let reply = request
            .content_type("text/plain; charset=utf-8")
            .send(value);
        let reply: RevisionReply = decode_reply(reply.map_err(|error| classify_error(&error))?)?;
        Ok(reply.revision)
    }

    /// Deletes a key. If `if_revision` is given, only if the key is at that revision.
    ///
    /// Deleting a key that does not exist succeeds unless `if_revision` is a revision other than
    /// 0.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except [`PlatformError::TooLarge`]. The deletion may have taken
    /// effect only after [`PlatformError::Unknown`].
    pub fn delete(&self, key: &str, if_revision: Option<u64>) -> Result<()> {
        let reply = with_condition(self.http.delete(self.key_url(key)), if_revision).call();
        let mut reply = check_status(reply.map_err(|error| classify_error(&error))?)?;
        let _ = reply.body_mut().read_to_vec();
        Ok(())
    }

    /// Waits up to `wait_ms` milliseconds for changes after the revision `after` to keys that
    /// begin with `prefix`.
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
        decode_reply(reply.map_err(|error| classify_error(&error))?)
    }

    fn key_url(&self, key: &str) -> String {
        format!(
            "{}/kv/{}",
            self.base,
            utf8_percent_encode(key, ESCAPED_IN_PATH)
        )
    }
}

fn with_condition<B>(request: RequestBuilder<B>, if_revision: Option<u64>) -> RequestBuilder<B> {
    match if_revision {
        Some(revision) => request.query("if_revision", revision.to_string()),
        None => request,
    }
}

/// Classifies the error of a call without a reply by whether the call may have reached the
/// service.
fn classify_error(error: &ureq::Error) -> PlatformError {
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

/// Returns a reply with status 200 and maps any other status to an error.
fn check_status(mut reply: Response<Body>) -> Result<Response<Body>> {
    match reply.status() {
        StatusCode::OK => Ok(reply),
        StatusCode::CONFLICT => {
            let revision = read_json::<RevisionReply>(&mut reply)?.revision;
            Err(PlatformError::Conflict { revision })
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(PlatformError::TooLarge),
        // A client error (4xx) means that the service refused the call without any effect.
        status if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() => {
            Err(PlatformError::Unavailable)
        }
        _ => Err(PlatformError::Unknown),
    }
}

fn decode_reply<T: DeserializeOwned>(reply: Response<Body>) -> Result<T> {
    read_json(&mut check_status(reply)?)
}

fn read_json<T: DeserializeOwned>(reply: &mut Response<Body>) -> Result<T> {
    let body = reply.body_mut().with_config().limit(MAX_REPLY_BYTES);
    body.read_json().map_err(|_| PlatformError::Unknown)
}
