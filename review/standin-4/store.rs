//! The platform's store: items with revisions, leases, transactions and watches, as PROTOCOL.md has them.

use crate::{
    http::{Reply, Request},
    json::{Json, object},
};
use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Bounds of one page of a range, as PROTOCOL.md has them.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    /// Base64, as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the item or `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn new() -> Self {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Writes a key as the operator or an executor does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.set(key, encode(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key as the platform does.
    pub fn delete(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    pub fn handle(&self, req: &Request) -> Reply {
        let mut state = lock(&self.state);
        state.expire();
        let query = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let (status, reply) = match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/-/kv-key") => {
                let key = query("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut row = row(&key, item);
                        insert(&mut row, "storeRevision", state.revision.into());
                        (200, row)
                    }
                    None => (404, object([("storeRevision", state.revision.into())])),
                }
            }
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let rows = state.items.iter().filter(|(k, _)| k.starts_with(&prefix));
                let rows = rows.filter(|(k, _)| after.is_empty() || **k > after);
                let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, item) in rows {
                    if page.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                        more = true;
                        break;
                    }
                    bytes += item.value.len() / 4 * 3;
                    page.push(row(key, item));
                }
                let reply = object([
                    ("items", Json::List(page)),
                    ("hasMore", more.into()),
                    ("storeRevision", state.revision.into()),
                ]);
                (200, reply)
            }
            ("GET", "/-/kv-watch") => {
                let after = query("after").parse().unwrap_or(0);
                let wait = query("waitMs").parse().unwrap_or(0);
                drop(state);
                (
                    200,
                    self.watch(&query("prefix"), after, Duration::from_millis(wait)),
                )
            }
            ("POST", "/-/kv-txn") => transact(&mut state, &body),
            ("POST", "/-/kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttlMs").u64().unwrap_or(1_000));
                let id = state.leases.keys().last().map_or(1, |l| l + 1);
                let id = id.max(state.revision * 1_000);
                let ends_at = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends_at });
                let ttl_ms = ttl.as_millis() as u64;
                (
                    200,
                    object([("lease", id.into()), ("ttlMs", ttl_ms.into())]),
                )
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                match id.and_then(|id: u64| state.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        (200, object([]))
                    }
                    None => (404, object([])),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                state.end_lease(id.unwrap_or(0));
                (200, object([]))
            }
            _ => (400, object([])),
        };
        self.changed.notify_all();
        Some((status, reply.to_string()))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Json {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            state.expire();
            let events = state.history.iter();
            let events = events.filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<Json> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => row(key, item),
                    None => object([
                        ("key", Json::text(key.clone())),
                        ("revision", (*revision).into()),
                        ("removed", true.into()),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return object([
                    ("events", Json::List(events)),
                    ("storeRevision", state.revision.into()),
                ]);
            }
            // Wakes for the end of leases too.
            let pause = left.min(Duration::from_millis(20));
            let woken = self.changed.wait_timeout(state, pause);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, Json) {
    let (expect, set) = (body.get("expectRev").list(), body.get("setKeys").list());
    let remove = body.get("remove").list();
    if expect.len() + set.len() + remove.len() > 32 {
        return (400, object([]));
    }
    let key_of = |row: &Json| row.get("key").str().unwrap_or("").to_owned();
    let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
    let holds = expect
        .iter()
        .all(|row| row.get("revision").u64() == Some(revision_of(state, &key_of(row))));
    if !holds {
        let items = expect.iter().map(|e| {
            let key = key_of(e);
            match state.items.get(&key) {
                Some(item) => row(&key, item),
                None => object([("key", Json::text(key.clone())), ("revision", 0.into())]),
            }
        });
        let items = Json::List(items.collect());
        return (412, object([("items", items)]));
    }
    let lease_of = |row: &Json| row.get("lease").u64().unwrap_or(0);
    if set
        .iter()
        .any(|s| lease_of(s) > 0 && !state.leases.contains_key(&lease_of(s)))
    {
        return (404, object([]));
    }
    let keys = set.iter().map(key_of);
    let keys = keys.chain(remove.iter().filter_map(|k| k.str().map(str::to_owned)));
    if keys
        .into_iter()
        .any(|k| k.starts_with("op/") || k.starts_with("servers/"))
    {
        return (403, object([]));
    }
    state.revision += 1;
    for row in set {
        let value = row.get("value").str().unwrap_or("").to_owned();
        state.set(&key_of(row), value, lease_of(row));
    }
    for key in remove {
        state.remove(key.str().unwrap_or(""));
    }
    (200, object([("revision", state.revision.into())]))
}

fn row(key: &str, item: &Item) -> Json {
    object([
        ("key", key.into()),
        ("value", Json::text(item.value.clone())),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

fn insert(row: &mut Json, name: &str, value: Json) {
    if let Json::Object(fields) = row {
        fields.insert(name.to_owned(), value);
    }
}

/// Encodes bytes as standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0u32;
        for i in 0..3 {
            bits = bits << 8 | u32::from(*chunk.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
