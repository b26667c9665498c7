//! The configuration in force.

use std::rc::Rc;

use fulmarpond_derive::message;

use super::AdvicePolicy;

/// Limits on what callers send.
#[message]
#[derive(Copy, Eq)]
pub struct CallerLimits {
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time to receive a request, in milliseconds.
    pub header_ms: u64,
    /// The longest time without a request on a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A queue that callers send jobs to.
#[message]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their paths begin with.
    pub prefix: String,
    /// The service whose endpoints run the tasks.
    pub service: String,
    /// The rank among the routes; 0 comes first.
    pub priority: u8,
    /// How often a task may fail.
    pub attempts: u32,
    /// The objective, as a multiple of a job's longest chain of work.
    pub stretch: f64,
    /// What is added to the objective, in milliseconds.
    pub target_ms: u64,
    /// The policy that says where its tasks may run, if it has one.
    pub advice: Option<AdvicePolicy>,
}

/// A version of the configuration.
#[message]
pub struct Configuration {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes, with the longest prefixes first.
    routes: Vec<Rc<Route>>,
    /// Limits on what callers send.
    pub limits: Option<CallerLimits>,
}

impl Configuration {
    /// Creates a version.
    pub fn new(version: u64, mut routes: Vec<Route>, limits: Option<CallerLimits>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            routes: routes.into_iter().map(Rc::new).collect(),
            limits,
        }
    }

    /// Returns the route of a request, and what follows its prefix in the path.
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
