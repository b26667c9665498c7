//! The configuration: routes and limits on requests.

use std::rc::Rc;

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

/// A version of the configuration.
#[message]
pub struct Configuration {
    /// The version number; a higher version replaces a lower one.
    pub version: u64,
    /// The routes, sorted by descending length of their prefixes.
    routes: Vec<Rc<Route>>,
    /// Limits on the requests of callers.
    pub limits: Option<CallerLimits>,
}

impl Configuration {
    /// Creates a configuration and sorts its routes for matching.
    pub fn new(version: u64, mut routes: Vec<Route>, limits: Option<CallerLimits>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            routes: routes.into_iter().map(Rc::new).collect(),
            limits,
        }
    }

    /// Returns the number of routes.
    pub const fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the route of a request with the longest matching prefix, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(Rc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        let path = path.split('?').next().unwrap_or_default();
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .find_map(|route| {
                let rest = path.strip_prefix(route.prefix.as_str())?;
                Some((Rc::clone(route), rest))
            })
    }
}
