//! Routes and the limits on requests.

use fulmarpond_derive::message;

use super::AdvicePolicy;

/// Limits on the requests of callers.
#[message]
#[derive(Copy, Eq)]
pub struct CallerLimits {
    /// The maximum size of the header section, in bytes.
    pub header_bytes: usize,
    /// The maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// The timeout for receiving a request, in milliseconds.
    pub header_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A queue for the jobs of one host and path prefix.
#[message]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host name that requests must carry.
    pub host: String,
    /// The path prefix that requests must have.
    pub prefix: String,
    /// The service whose endpoints run the tasks.
    pub service: String,
    /// The priority class; 0 is the highest.
    pub priority: u8,
    /// The maximum number of failed runs of a task before its job fails.
    pub attempts: u32,
    /// The latency objective, as a multiple of the critical path of a job.
    pub stretch: f64,
    /// A constant that is added to the latency objective, in milliseconds.
    pub target_ms: u64,
    /// The policy that restricts the endpoints for its tasks, if any.
    pub advice: Option<AdvicePolicy>,
}
