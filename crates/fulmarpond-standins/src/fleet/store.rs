//! The emulated platform store: items with revisions, leases and watches.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fulmarpond_reactor::RequestId;
use fulmarpond_reactor::http::{Method, Request, Response};
use serde_json::{Value, json};

/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Number of items in a page of a range.
const PAGE_ITEMS: usize = 500;

/// Number of changes kept for watches.
const MAX_HISTORY_CHANGES: usize = 1_000;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created_revision: u64,
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
    deadline: Instant,
}

#[derive(Debug)]
pub(super) struct Store {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: VecDeque<Change>,
    watches: Vec<Watch>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Values that processes write, and what is kept in their place.
    translations: HashMap<Vec<u8>, Vec<u8>>,
    /// Whether every call is refused with status 503.
    pub(super) is_down: bool,
}

/// Immediate outcome of a request; a watch may be answered later.
pub(super) enum Outcome {
    Reply(Response),
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
            translations: HashMap::new(),
            is_down: false,
        }
    }

    /// Writes an item unconditionally, as the operator does.
    pub(super) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    /// Keeps the address `to` wherever a process writes `from`.
    pub(super) fn translate(&mut self, from: SocketAddr, to: SocketAddr) {
        let value = |addr: SocketAddr| addr.to_string().into_bytes();
        self.translations.insert(value(from), value(to));
    }

    fn write(&mut self, key: &str, value: &[u8], lease: u64) {
        let revision = self.revision;
        let created_revision = self
            .items
            .get(key)
            .map_or(revision, |item| item.created_revision);
        let item = Item {
            value: STANDARD.encode(value),
            revision,
            created_revision,
            lease,
        };
        let event = item_json(key, &item, None);
        self.items.insert(key.to_owned(), item);
        self.record_change(key, event);
    }

    /// Removes an item unconditionally, as the operator does.
    pub(super) fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.remove(key);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"Key": key, "Revision": self.revision, "Deleted": true});
            self.record_change(key, event);
        }
    }

    fn record_change(&mut self, key: &str, event: Value) {
        self.history.push_back(Change {
            key: key.to_owned(),
            revision: self.revision,
            event,
        });
        if self.history.len() > MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
    }

    /// Drops the history, so that later watches from an older revision get status 410 and have to
    /// restart.
    pub(super) fn compact(&mut self) {
        self.revision += 1;
        self.history.clear();
    }

    pub(super) fn handle(&mut self, id: RequestId, request: &Request, now: Instant) -> Outcome {
        if self.is_down {
            return Outcome::Reply(Response::empty(503));
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
            (Method::Get, "/v1/kv-key") => Outcome::Reply(self.get(key)),
            (Method::Get, "/v1/kv-range") => {
                Outcome::Reply(self.range(prefix, parameter("After").unwrap_or_default()))
            }
            (Method::Get, "/v1/kv-watch") => {
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0)).min(MAX_WATCH_WAIT);
                self.watch(id, prefix, number("After").unwrap_or(0), now + wait)
            }
            (Method::Post, "/v1/kv-txn") => Outcome::Reply(self.run_transaction(&request.body)),
            (Method::Post, "/v1/kv-lease") => Outcome::Reply(self.grant(&request.body, now)),
            (method, path) => Outcome::Reply(self.handle_lease_call(method, path, now)),
        }
    }

    fn get(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => ok(&item_json(key, item, Some(self.revision))),
            None => Response::empty(404),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let in_range =
            |(key, _): &(&String, &Item)| key.starts_with(prefix) && key.as_str() > after;
        let mut found = self.items.iter().filter(in_range);
        let page = found.by_ref().take(PAGE_ITEMS);
        let items: Vec<Value> = page.map(|(key, item)| item_json(key, item, None)).collect();
        let has_more = found.next().is_some();
        ok(&json!({"items": items, "HasMore": has_more, "At": self.revision}))
    }

    fn watch(
        &mut self,
        request: RequestId,
        prefix: &str,
        after: u64,
        deadline: Instant,
    ) -> Outcome {
        let oldest = self
            .history
            .front()
            .map_or(self.revision + 1, |change| change.revision);
        if after + 1 < oldest {
            return Outcome::Reply(Response::empty(410));
        }
        self.watches.push(Watch {
            request,
            prefix: prefix.to_owned(),
            after,
            deadline,
        });
        Outcome::Wait
    }

    /// Expires leases and removes the watches that have changes or have timed out, with their
    /// responses.
    pub(super) fn take_due_responses(&mut self, now: Instant) -> Vec<(RequestId, Response)> {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expiry))| now >= *expiry)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
        let mut due = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let matching = self.history.iter().filter(|change| {
                change.revision > watch.after && change.key.starts_with(&watch.prefix)
            });
            let events: Vec<&Value> = matching.map(|change| &change.event).collect();
            if events.is_empty() && now < watch.deadline {
                self.watches.push(watch);
                continue;
            }
            let body = json!({"events": events, "At": self.revision});
            due.push((watch.request, ok(&body)));
        }
        due
    }

    fn run_transaction(&mut self, body: &[u8]) -> Response {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return Response::empty(400);
        };
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("Expected");
        let is_conflicting = |row: &Value| {
            let key = row["Key"].as_str().unwrap_or_default();
            let current = self.items.get(key).map_or(0, |item| item.revision);
            row["Revision"].as_u64() != Some(current)
        };
        if expected.iter().any(is_conflicting) {
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
        let has_unknown_lease = |row: &Value| {
            let lease = row["Lease"].as_u64().unwrap_or(0);
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if writes.iter().any(has_unknown_lease) {
            return Response::empty(404);
        }
        self.revision += 1;
        for row in writes {
            let value = row["Value"].as_str().unwrap_or_default();
            let bytes = STANDARD.decode(value).unwrap_or_default();
            let bytes = self.translations.get(&bytes).cloned().unwrap_or(bytes);
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

    fn handle_lease_call(&mut self, method: Method, path: &str, now: Instant) -> Response {
        if let (Method::Post, Some(lease)) = (method, path.strip_prefix("/v1/kv-keep/")) {
            let lease: u64 = lease.parse().unwrap_or(0);
            return match self.leases.get_mut(&lease) {
                Some((ttl, expiry)) => {
                    *expiry = now + *ttl;
                    ok(&json!({"TtlMs": ttl.as_millis() as u64}))
                }
                None => Response::empty(404),
            };
        }
        if let (Method::Delete, Some(lease)) = (method, path.strip_prefix("/v1/kv-lease-end/")) {
            self.revoke_lease(lease.parse().unwrap_or(0));
            return Response::empty(200);
        }
        Response::empty(404)
    }

    /// Ends the leases of the items whose keys contain `part`.
    pub(super) fn revoke_leases_of(&mut self, part: &str) {
        let items = self.items.iter().filter(|(key, _)| key.contains(part));
        let leases: Vec<u64> = items.map(|(_, item)| item.lease).collect();
        for lease in leases.into_iter().filter(|&lease| lease != 0) {
            self.revoke_lease(lease);
        }
    }

    fn revoke_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
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
        "Created": item.created_revision,
        "Lease": item.lease,
    });
    if let Some(at) = at {
        body["At"] = json!(at);
    }
    body
}
