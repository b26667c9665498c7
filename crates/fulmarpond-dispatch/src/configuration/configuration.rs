//! A version of the configuration, with an index of its routes.

use std::borrow::{Borrow, Cow};
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{CallerLimits, Route};

/// A route that is found by its prefix.
#[derive(Debug)]
struct ByPrefix(Rc<Route>);

impl Borrow<str> for ByPrefix {
    fn borrow(&self) -> &str {
        &self.0.prefix
    }
}

impl PartialEq for ByPrefix {
    fn eq(&self, other: &Self) -> bool {
        self.0.prefix == other.0.prefix
    }
}

impl Eq for ByPrefix {}

impl Hash for ByPrefix {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.prefix.hash(state);
    }
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashSet<ByPrefix>,
    /// The lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

impl HostRoutes {
    /// Adds a route unless there is one with its prefix.
    fn add(&mut self, route: Rc<Route>) {
        let len = route.prefix.len();
        // The set keeps the route that it has.
        self.by_prefix.insert(ByPrefix(route));
        // The lengths are few, since prefixes are generated alike.
        if !self.lengths.contains(&len) {
            self.lengths.push(len);
        }
    }
}

/// All routes by host name in lower case.
type RouteIndex = HashMap<String, HostRoutes>;

/// Returns a host name in lower case.
pub(super) fn lowercase(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// A version of the configuration. Copies share the routes.
#[derive(Debug, Clone, Serialize, Deserialize)]
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

impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        (self.version, self.limits, self.count) == (other.version, other.limits, other.count)
            && self.routes_unlike(other).is_empty()
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
        let mut routes = routes.into_iter();
        while let Some(route) = routes.next() {
            let host = lowercase(&route.host);
            if let Some(known) = index.get_mut(host.as_ref()) {
                known.add(Rc::clone(&route));
                continue;
            }
            let known = index.entry(host.into_owned()).or_default();
            // Few hosts have nearly all routes.
            known.by_prefix.reserve(routes.size_hint().0);
            known.add(Rc::clone(&route));
        }
        for host in index.values_mut() {
            host.lengths.sort_unstable_by(|a, b| b.cmp(a));
        }
        Self {
            version,
            limits,
            count: index.values().map(|host| host.by_prefix.len()).sum(),
            index: Rc::new(index),
        }
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        let hosts = self.index.values();
        hosts.flat_map(|host| host.by_prefix.iter().map(|route| &route.0))
    }

    /// Returns the routes that another version does not have in the same form.
    pub(super) fn routes_unlike(&self, other: &Self) -> Vec<Rc<Route>> {
        self.routes_where(other, |route, known| known != Some(route))
    }

    /// Returns the routes whose host and prefix another version does not have.
    pub(super) fn routes_missing_in(&self, other: &Self) -> Vec<Rc<Route>> {
        self.routes_where(other, |_, known| known.is_none())
    }

    /// Returns the routes that a predicate selects, given those of another version with the same
    /// host and prefix.
    fn routes_where(
        &self,
        other: &Self,
        is_selected: impl Fn(&Rc<Route>, Option<&Rc<Route>>) -> bool,
    ) -> Vec<Rc<Route>> {
        let mut selected = Vec::new();
        for (host, routes) in self.index.iter() {
            let others = other.index.get(host);
            for ByPrefix(route) in &routes.by_prefix {
                let known = others.and_then(|others| others.by_prefix.get(route.prefix.as_str()));
                if is_selected(route, known.map(|known| &known.0)) {
                    selected.push(Rc::clone(route));
                }
            }
        }
        selected
    }

    /// Returns the number of routes.
    pub const fn route_count(&self) -> usize {
        self.count
    }

    /// Returns the route of a request with the longest matching prefix, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(Rc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        let path = path.split('?').next().unwrap_or_default();
        let routes = self.index.get(lowercase(host).as_ref())?;
        routes.lengths.iter().find_map(|&len| {
            let (prefix, rest) = path.split_at_checked(len)?;
            let route = routes.by_prefix.get(prefix)?;
            Some((Rc::clone(&route.0), rest))
        })
    }
}
