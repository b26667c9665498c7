//! The platform's store: items with revisions, leases and watches.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fulmarpond_reactor::RequestId;
use fulmarpond_reactor::http::{Method, Request, Response};
use serde_json::{Value, json};

/// The longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How many changes are kept for watches.
const HISTORY: usize = 1_000;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    key: String,
    revision: u64,
    event: Value,
}

#[derive(Debug)]
struct Watch {
    request: RequestId,
    prefix: String,
    after: u64,
    until: Instant,
}

#[derive(Debug)]
pub(super) struct Store {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: VecDeque<Change>,
    watches: Vec<Watch>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// While set, every call is refused.
    pub(super) down: bool,
}

/// What a request leads to at once.
pub(super) enum Outcome {
    Respond(Response),
    Wait,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            items: BTreeMap::new(),
            revision: 1,
            history: VecDeque::new(),
            watches: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            down: false,
        }
    }

    /// Writes an item as the operator does.
    pub(super) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    fn write(&mut self, key: &str, value: &[u8], lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: STANDARD.encode(value),
            revision,
            created,
            lease,
        };
        let event = item_json(key, &item, None);
        self.items.insert(key.to_owned(), item);
        self.note(key, event);
    }

    fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.remove(key);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"Key": key, "Revision": self.revision, "Deleted": true});
            self.note(key, event);
        }
    }

    fn note(&mut self, key: &str, event: Value) {
        self.history.push_back(Change {
            key: key.to_owned(),
            revision: self.revision,
            event,
        });
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// Drops the history, so that present watches have to begin again.
    pub(super) fn compact(&mut self) {
        self.revision += 1;
        self.history.clear();
    }

    pub(super) fn handle(&mut self, id: RequestId, request: &Request, now: Instant) -> Outcome {
        if self.down {
            return Outcome::Respond(Response::empty(503));
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
        let key = parameter("Key").unwrap_or_default();
        let prefix = parameter("Prefix").unwrap_or_default();
        match (request.method, path) {
            (Method::Get, "/v1/kv-key") => Outcome::Respond(self.get(key)),
            (Method::Get, "/v1/kv-range") => Outcome::Respond(self.range(prefix)),
            (Method::Get, "/v1/kv-watch") => {
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0)).min(MAX_WAIT);
                self.watch(id, prefix, number("After").unwrap_or(0), now + wait)
            }
            (Method::Post, "/v1/kv-txn") => Outcome::Respond(self.txn(&request.body)),
            (Method::Post, "/v1/kv-lease") => Outcome::Respond(self.grant(&request.body, now)),
            (method, path) => Outcome::Respond(self.lease_call(method, path, now)),
        }
    }

    fn get(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => ok(&item_json(key, item, Some(self.revision))),
            None => Response::empty(404),
        }
    }

    fn range(&self, prefix: &str) -> Response {
        let found = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<Value> = found
            .map(|(key, item)| item_json(key, item, None))
            .collect();
        ok(&json!({"items": items, "HasMore": false, "At": self.revision}))
    }

    fn watch(&mut self, request: RequestId, prefix: &str, after: u64, until: Instant) -> Outcome {
        let oldest = self
            .history
            .front()
            .map_or(self.revision + 1, |change| change.revision);
        if after + 1 < oldest {
            return Outcome::Respond(Response::empty(410));
        }
        self.watches.push(Watch {
            request,
            prefix: prefix.to_owned(),
            after,
            until,
        });
        Outcome::Wait
    }

    /// Returns the watches that have an answer now.
    pub(super) fn due(&mut self, now: Instant) -> Vec<(RequestId, Response)> {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| now >= *end)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
        let mut due = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let of_watch = self.history.iter().filter(|change| {
                change.revision > watch.after && change.key.starts_with(&watch.prefix)
            });
            let events: Vec<&Value> = of_watch.map(|change| &change.event).collect();
            if events.is_empty() && now < watch.until {
                self.watches.push(watch);
                continue;
            }
            let body = json!({"events": events, "At": self.revision});
            due.push((watch.request, ok(&body)));
        }
        due
    }

    fn txn(&mut self, body: &[u8]) -> Response {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return Response::empty(400);
        };
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("Expected");
        let differs = |row: &Value| {
            let key = row["Key"].as_str().unwrap_or_default();
            let present = self.items.get(key).map_or(0, |item| item.revision);
            row["Revision"].as_u64() != Some(present)
        };
        if expected.iter().any(differs) {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = row["Key"].as_str()?;
                    Some(item_json(key, self.items.get(key)?, None))
                })
                .collect();
            return Response::json(412, json!({"items": items}).to_string().into_bytes());
        }
        let writes = rows("Writes");
        let lapsed = |row: &Value| {
            let lease = row["Lease"].as_u64().unwrap_or(0);
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if writes.iter().any(lapsed) {
            return Response::empty(404);
        }
        self.revision += 1;
        for row in writes {
            let value = row["Value"].as_str().unwrap_or_default();
            let bytes = STANDARD.decode(value).unwrap_or_default();
            let lease = row["Lease"].as_u64().unwrap_or(0);
            self.write(row["Key"].as_str().unwrap_or_default(), &bytes, lease);
        }
        for key in rows("Remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        ok(&json!({"Revision": self.revision}))
    }

    fn grant(&mut self, body: &[u8], now: Instant) -> Response {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let ttl = Duration::from_millis(body["TtlMs"].as_u64().unwrap_or(1_000));
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, (ttl, now + ttl));
        ok(&json!({"Lease": lease, "TtlMs": ttl.as_millis() as u64}))
    }

    fn lease_call(&mut self, method: Method, path: &str, now: Instant) -> Response {
        if let (Method::Post, Some(lease)) = (method, path.strip_prefix("/v1/kv-keep/")) {
            let lease: u64 = lease.parse().unwrap_or(0);
            return match self.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    ok(&json!({"TtlMs": ttl.as_millis() as u64}))
                }
                None => Response::empty(404),
            };
        }
        if let (Method::Delete, Some(lease)) = (method, path.strip_prefix("/v1/kv-lease-end/")) {
            self.end_lease(lease.parse().unwrap_or(0));
            return Response::empty(200);
        }
        Response::empty(404)
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn ok(body: &Value) -> Response {
    Response::json(200, body.to_string().into_bytes())
}

fn item_json(key: &str, item: &Item, at: Option<u64>) -> Value {
    let mut body = json!({
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "Created": item.created,
        "Lease": item.lease,
    });
    if let Some(at) = at {
        body["At"] = json!(at);
    }
    body
}
