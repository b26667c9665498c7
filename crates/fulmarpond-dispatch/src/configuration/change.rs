//! The difference between two versions of the configuration.

use std::collections::HashSet;
use std::rc::Rc;

use fulmarpond_derive::{key, message};

use super::configuration::lowercase;
use super::{CallerLimits, Configuration, Route};

/// What identifies a route within a version.
#[key]
pub struct RouteKey {
    /// The host name, in lower case.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
}

impl From<&Route> for RouteKey {
    fn from(route: &Route) -> Self {
        Self {
            host: lowercase(&route.host).into_owned(),
            prefix: route.prefix.clone(),
        }
    }
}

/// What turns one version of the configuration into a later one.
#[message]
pub struct ConfigurationChange {
    /// The version that it applies to.
    pub base: u64,
    /// The version that results.
    pub version: u64,
    /// The routes that are added or replaced.
    pub changed: Vec<Rc<Route>>,
    /// The routes that are removed.
    pub removed: Vec<RouteKey>,
    /// The limits that result.
    pub limits: Option<CallerLimits>,
}

impl ConfigurationChange {
    /// Returns the difference between two versions.
    pub fn between(base: &Configuration, next: &Configuration) -> Self {
        let removed = base.routes_missing_in(next);
        Self {
            base: base.version,
            version: next.version,
            changed: next.routes_unlike(base),
            removed: removed
                .iter()
                .map(|route| RouteKey::from(&**route))
                .collect(),
            limits: next.limits,
        }
    }

    /// Returns the number of routes that it names.
    pub const fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Returns whether it names no routes.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the version that results from a version with the number `base`.
    pub(super) fn apply_to(&self, base: &Configuration) -> Configuration {
        let changed: Vec<RouteKey> = self
            .changed
            .iter()
            .map(|route| RouteKey::from(&**route))
            .collect();
        let keys = changed.iter().chain(&self.removed);
        let replaced: HashSet<(&str, &str)> = keys
            .map(|key| (key.host.as_str(), key.prefix.as_str()))
            .collect();
        let is_kept = |route: &&Rc<Route>| {
            let host = lowercase(&route.host);
            !replaced.contains(&(host.as_ref(), route.prefix.as_str()))
        };
        let routes = base.routes().filter(is_kept).chain(&self.changed).cloned();
        Configuration::with_routes(self.version, routes, self.limits)
    }
}
