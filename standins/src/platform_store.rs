//! Simulates the platform's key-value store: revisions, leases, history and transactions.
//!
//! `platform_host` serves it over HTTP. It reads no clock and knows no faults.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    dragonflyferry::core::Millis,
    serde_json::{Value, json},
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Changes that the history holds.
const MAX_HISTORY: usize = 4_000;

/// Items of one page.
const PAGE_ITEMS: usize = 500;

/// Size of the values in base64 from which on a page takes no more items.
const PAGE_BYTES: usize = 1 << 20;

/// Status and body of a reply.
pub type StoreReply = (u16, Value);

#[derive(Clone, Debug)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

/// The store's items, leases and recent changes.
#[derive(Debug)]
pub struct PlatformStore {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// Revision, key and item of each change; no item if the key was removed.
    history: VecDeque<(u64, String, Option<Item>)>,
    /// Newest revision whose change is no longer in the history.
    compacted: u64,
    /// Since when leases do not expire, in ms.
    paused_at: Option<Millis>,
}

impl Default for PlatformStore {
    fn default() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            compacted: 1,
            paused_at: None,
        }
    }
}

impl PlatformStore {
    /// Carries out a node's call other than a watch.
    pub fn call(
        &mut self,
        path: &str,
        query: &HashMap<String, String>,
        body: &Value,
        now: Millis,
    ) -> StoreReply {
        self.expire(now);
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        if let Some(id) = path.strip_prefix("/-/kv-keep/") {
            return self.renew(id.parse().unwrap_or(0), now);
        }
        match path {
            "/-/kv-key" => self.get(text("key")),
            "/-/kv-range" => self.range(text("prefix"), text("after")),
            "/-/kv-txn" => self.transact(body),
            "/-/kv-lease" => {
                let ttl = body["ttlMs"].as_u64().unwrap_or(1_000).max(1_000);
                self.last_lease += 1;
                let expires_at = now + ttl;
                self.leases
                    .insert(self.last_lease, Lease { ttl, expires_at });
                (200, json!({"lease": self.last_lease, "ttlMs": ttl}))
            }
            _ => (400, json!({})),
        }
    }

    fn renew(&mut self, id: u64, now: Millis) -> StoreReply {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl;
                (200, json!({"lease": id, "ttlMs": lease.ttl}))
            }
            None => (404, json!({})),
        }
    }

    fn get(&self, key: &str) -> StoreReply {
        match self.items.get(key) {
            Some(item) => {
                let mut row = item_row(key, item);
                row["storeRevision"] = json!(self.revision);
                (200, row)
            }
            None => (404, json!({"storeRevision": self.revision})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> StoreReply {
        let rows = self.items.range(prefix.to_owned()..);
        let mut rows = rows
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(k, _)| k.as_str() > after);
        let mut items: Vec<Value> = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in rows.by_ref() {
            if items.len() == PAGE_ITEMS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_row(key, item));
        }
        let revision = self.revision;
        (
            200,
            json!({"items": items, "hasMore": has_more, "storeRevision": revision}),
        )
    }

    /// Returns the reply to a watch, or `None` if there is no change after `after` yet.
    pub fn watch(&mut self, prefix: &str, after: u64, now: Millis) -> Option<StoreReply> {
        self.expire(now);
        if after < self.compacted {
            return Some((410, json!({})));
        }
        let row = |(revision, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => item_row(key, item),
            None => json!({"key": key, "revision": revision, "removed": true}),
        };
        let changes = self.history.iter();
        let changes = changes.filter(|(r, k, _)| *r > after && k.starts_with(prefix));
        let events: Vec<Value> = changes.map(row).collect();
        (!events.is_empty()).then(|| self.watch_reply(&events))
    }

    /// Returns the reply to a watch whose wait is over.
    pub fn watch_reply(&self, events: &[Value]) -> StoreReply {
        (
            200,
            json!({"events": events, "storeRevision": self.revision}),
        )
    }

    fn transact(&mut self, txn: &Value) -> StoreReply {
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |i| i.revision);
        let expected = rows("expectRev");
        let holds = |row: &Value| row["revision"] == revision_of(&text(&row["key"]));
        if !expected.iter().all(holds) {
            let current = |row: &Value| {
                let key = text(&row["key"]);
                let missing = json!({"key": key, "revision": 0});
                self.items.get(&key).map_or(missing, |i| item_row(&key, i))
            };
            let items: Vec<Value> = expected.iter().map(current).collect();
            return (412, json!({"items": items}));
        }
        let (set, removed) = (rows("setKeys"), rows("remove"));
        let keys = set.iter().map(|r| &r["key"]).chain(&removed);
        let reserved = |k: &Value| text(k).starts_with("op/") || text(k).starts_with("servers/");
        if keys.clone().any(reserved) {
            return (403, json!({}));
        }
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let is_live = |row: &Value| lease(row) == 0 || self.leases.contains_key(&lease(row));
        if !set.iter().all(is_live) {
            return (404, json!({}));
        }
        self.revision += 1;
        for row in &set {
            self.put_at_revision(text(&row["key"]), text(&row["value"]), lease(row));
        }
        for key in &removed {
            self.remove_at_revision(&text(key));
        }
        (200, json!({"revision": self.revision}))
    }

    /// Writes a key as the platform or the operator.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        self.put_at_revision(key.to_owned(), STANDARD.encode(value), 0);
    }

    /// Removes a key as the platform.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.remove_at_revision(key);
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        STANDARD.decode(&self.items.get(key)?.value).ok()
    }

    fn put_at_revision(&mut self, key: String, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(&key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.clone(), item.clone());
        self.record(key, Some(item));
    }

    fn remove_at_revision(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key.to_owned(), None);
        }
    }

    fn record(&mut self, key: String, item: Option<Item>) {
        self.history.push_back((self.revision, key, item));
        if self.history.len() > MAX_HISTORY
            && let Some((revision, _, _)) = self.history.pop_front()
        {
            self.compacted = revision;
        }
    }

    /// Discards the history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Stops the expiry of leases, or resumes it with the time left then.
    pub fn pause_leases(&mut self, paused: bool, now: Millis) {
        if paused {
            self.expire(now);
            self.paused_at.get_or_insert(now);
        } else if let Some(since) = self.paused_at.take() {
            for lease in self.leases.values_mut() {
                lease.expires_at += now - since;
            }
        }
    }

    /// Returns whether leases do not expire at present.
    pub fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    /// Removes expired leases and their keys; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        if self.paused_at.is_some() {
            return false;
        }
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at < now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.leases.remove(id);
            self.remove_leased(*id);
        }
        !expired.is_empty()
    }

    fn remove_leased(&mut self, lease: u64) {
        let keys = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_row(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}
