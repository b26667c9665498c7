//! A version of the configuration, with an index of its routes.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{CallerLimits, Route, RouteKey};

/// The routes of one host.
#[derive(Debug, Default, PartialEq)]
struct HostRoutes {
    by_prefix: HashMap<String, Rc<Route>>,
    /// The lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

/// All routes by host name in lower case.
type RouteIndex = HashMap<String, HostRoutes>;

/// A version of the configuration. Copies share the routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Configuration {
    /// The version number; a higher version replaces a lower one.
    pub version: u64,
    /// Limits on the requests of callers.
    pub limits: Option<CallerLimits>,
    index: Rc<RouteIndex>,
    count: usize,
}

/// The encoded form of a configuration.
#[derive(Serialize, Deserialize)]
struct Encoded {
    version: u64,
    routes: Vec<Rc<Route>>,
    limits: Option<CallerLimits>,
}

impl From<Encoded> for Configuration {
    fn from(encoded: Encoded) -> Self {
        Self::with_routes(encoded.version, encoded.routes, encoded.limits)
    }
}

impl From<Configuration> for Encoded {
    fn from(configuration: Configuration) -> Self {
        Self {
            version: configuration.version,
            routes: configuration.routes().cloned().collect(),
            limits: configuration.limits,
        }
    }
}

impl Configuration {
    /// Creates a configuration. Of several routes with the same host and prefix, the first one
    /// counts.
    pub fn new(version: u64, routes: Vec<Route>, limits: Option<CallerLimits>) -> Self {
        Self::with_routes(version, routes.into_iter().map(Rc::new), limits)
    }

    /// Creates a configuration that shares its routes with others.
    pub(super) fn with_routes(
        version: u64,
        routes: impl IntoIterator<Item = Rc<Route>>,
        limits: Option<CallerLimits>,
    ) -> Self {
        let mut index = RouteIndex::new();
        let mut count = 0;
        for route in routes {
            let host = index.entry(route.host.to_ascii_lowercase()).or_default();
            if let Entry::Vacant(vacant) = host.by_prefix.entry(route.prefix.clone()) {
                let len = vacant.key().len();
                vacant.insert(route);
                count += 1;
                // The lengths are few, since prefixes are generated alike.
                if !host.lengths.contains(&len) {
                    host.lengths.push(len);
                }
            }
        }
        for host in index.values_mut() {
            host.lengths.sort_unstable_by(|a, b| b.cmp(a));
        }
        Self {
            version,
            limits,
            index: Rc::new(index),
            count,
        }
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.index.values().flat_map(|host| host.by_prefix.values())
    }

    /// Returns the number of routes.
    pub const fn route_count(&self) -> usize {
        self.count
    }

    /// Returns the route with exactly this host and prefix.
    pub(super) fn get(&self, key: &RouteKey) -> Option<&Rc<Route>> {
        self.index.get(&key.host)?.by_prefix.get(&key.prefix)
    }

    /// Returns the route of a request with the longest matching prefix, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(Rc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        let path = path.split('?').next().unwrap_or_default();
        let routes = self.index.get(&host.to_ascii_lowercase())?;
        routes.lengths.iter().find_map(|&len| {
            let (prefix, rest) = path.split_at_checked(len)?;
            let route = routes.by_prefix.get(prefix)?;
            Some((Rc::clone(route), rest))
        })
    }
}
