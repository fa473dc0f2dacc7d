//! The platform's key-value store as PROTOCOL.md describes it.

use {
    crate::wire::{Json, Request, from_base64, quote, to_base64},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::{Condvar, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// `valueBytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// A change: its revision, the key and the item, if it was not removed.
type Change = (u64, String, Option<Item>);

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    history: Vec<Change>,
    /// Connections in which a watch waits: the node that sent it, its prefix, and since when.
    waiting: HashMap<u64, (usize, String, Instant)>,
    /// Connections that went silent: nothing that comes in is handled, and nothing goes out.
    silent: HashSet<u64>,
}

/// The store. `node` names the machine that calls.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// For each node: real addresses, and the link through which this node reaches each of them. Both
    /// have the same length.
    links: Mutex<HashMap<usize, Vec<(String, String)>>>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, l)| l.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.changed.notify_all();
        }
        state
    }

    /// Writes a key as the operator or as an executor.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.set(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|i| i.value.clone())
    }

    /// Silences all connections in which a watch waits; returns how many.
    pub fn silence_waiting(&self) -> usize {
        let mut state = self.lock();
        let waiting: Vec<u64> = state.waiting.keys().copied().collect();
        state.silent.extend(&waiting);
        waiting.len()
    }

    /// Returns for how long a watch of a node for a prefix has waited; `None` if there is none.
    pub fn watch_age(&self, node: usize, prefix: &str) -> Option<Duration> {
        let state = self.lock();
        let mut waiting = state.waiting.values();
        waiting
            .find(|(n, p, _)| *n == node && p == prefix)
            .map(|(_, _, since)| since.elapsed())
    }

    /// Sets the link through which a node reaches an address.
    pub fn add_link(&self, node: usize, address: &str, link: &str) {
        assert_eq!(address.len(), link.len());
        let mut links = self.links.lock().unwrap();
        links
            .entry(node)
            .or_default()
            .push((address.to_owned(), link.to_owned()));
    }

    /// Shows a value to a node (`inward`) or takes one from it, with the addresses replaced.
    fn readdress(&self, node: usize, mut value: Vec<u8>, inward: bool) -> Vec<u8> {
        for (address, link) in self.links.lock().unwrap().get(&node).into_iter().flatten() {
            let (from, to) = if inward {
                (address, link)
            } else {
                (link, address)
            };
            let (from, to) = (from.as_bytes(), to.as_bytes());
            for at in 0..(value.len() + 1).saturating_sub(from.len()) {
                if value[at..].starts_with(from) {
                    value[at..at + to.len()].copy_from_slice(to);
                }
            }
        }
        value
    }

    fn row(&self, node: usize, key: &str, item: &Item) -> String {
        let shown = key.starts_with("servers/") || key.starts_with("m/") || key.starts_with("c/");
        let value = if shown {
            self.readdress(node, item.value.clone(), true)
        } else {
            item.value.clone()
        };
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            to_base64(&value),
            item.revision,
            item.created,
            item.lease
        )
    }

    /// Carries out a call; `None` if the connection is silent.
    pub fn call(&self, node: usize, req: &Request) -> Option<(u16, String)> {
        if self.lock().silent.contains(&req.connection) {
            wait_for_ever();
        }
        if req.path == "/-/kv-watch" {
            return self.watch(node, req);
        }
        let reply = self.execute(node, req);
        self.changed.notify_all();
        Some(reply)
    }

    fn watch(&self, node: usize, req: &Request) -> Option<(u16, String)> {
        let prefix = req.param("prefix");
        let after: u64 = req.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(req.param("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k.starts_with(prefix))
                .map(|(r, k, item)| match item {
                    Some(item) => self.row(node, k, item),
                    None => format!("{{\"key\":{},\"revision\":{r},\"removed\":true}}", quote(k)),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                state.waiting.remove(&req.connection);
                if state.silent.contains(&req.connection) {
                    drop(state);
                    wait_for_ever();
                }
                let revision = state.revision;
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{revision}}}",
                    events.join(",")
                );
                return Some((200, body));
            }
            let entry = state.waiting.entry(req.connection);
            entry.or_insert_with(|| (node, prefix.to_owned(), now));
            // Wakes up at intervals, so that leases end while nothing else happens.
            let pause = (until - now).min(Duration::from_millis(20));
            drop(self.changed.wait_timeout(state, pause).unwrap());
            state = self.lock();
        }
    }

    fn execute(&self, node: usize, req: &Request) -> (u16, String) {
        let mut state = self.lock();
        let revision = state.revision;
        match (&*req.method, &*req.path) {
            ("GET", "/-/kv-key") => match state.items.get(req.param("key")) {
                Some(item) => {
                    let item = self.row(node, req.param("key"), item);
                    (
                        200,
                        format!("{},\"storeRevision\":{revision}}}", &item[..item.len() - 1]),
                    )
                }
                None => (404, format!("{{\"storeRevision\":{revision}}}")),
            },
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (req.param("prefix"), req.param("after"));
                let keys = state.items.range(prefix.to_owned()..);
                let found: Vec<_> = keys
                    .take_while(|(k, _)| k.starts_with(prefix))
                    .filter(|(k, _)| k.as_str() > after)
                    .take(501)
                    .collect();
                let rows: Vec<String> = found
                    .iter()
                    .take(500)
                    .map(|(k, i)| self.row(node, k, i))
                    .collect();
                let more = found.len() > 500;
                let items = rows.join(",");
                let body = format!(
                    "{{\"items\":[{items}],\"hasMore\":{more},\"storeRevision\":{revision}}}"
                );
                (200, body)
            }
            ("POST", "/-/kv-txn") => self.transact(&mut state, node, &req.json()),
            ("POST", "/-/kv-lease") => {
                let ttl_ms = req
                    .json()
                    .get("ttlMs")
                    .int()
                    .unwrap_or(0)
                    .clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends_at: Instant::now() + ttl,
                    },
                );
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        (
                            200,
                            format!("{{\"lease\":{id},\"ttlMs\":{}}}", lease.ttl.as_millis()),
                        )
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                state.end_lease(path["/-/kv-lease-end/".len()..].parse().unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn transact(&self, state: &mut State, node: usize, txn: &Json) -> (u16, String) {
        let (expect, set, remove) = (
            txn.get("expectRev").list(),
            txn.get("setKeys").list(),
            txn.get("remove").list(),
        );
        if expect.len() + set.len() + remove.len() > 32 {
            return (400, "{}".to_owned());
        }
        let revision_of = |key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds = |e: &Json| e.get("revision").int() == Some(revision_of(e.get("key").text()));
        if !expect.iter().all(holds) {
            let rows: Vec<String> = expect
                .iter()
                .map(|e| e.get("key").text())
                .map(|k| match state.items.get(k) {
                    Some(item) => self.row(node, k, item),
                    None => format!("{{\"key\":{},\"revision\":0}}", quote(k)),
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let reserved = |k: &str| k.starts_with("op/") || k.starts_with("servers/");
        let written = set.iter().map(|s| s.get("key").text());
        if written.chain(remove.iter().map(Json::text)).any(reserved) {
            return (403, "{}".to_owned());
        }
        let value = |s: &Json| from_base64(s.get("value").text());
        if set.iter().any(|s| value(s).len() > VALUE_BYTES) {
            return (400, "{}".to_owned());
        }
        let lease = |s: &Json| s.get("lease").int().unwrap_or(0);
        if set
            .iter()
            .any(|s| lease(s) > 0 && !state.leases.contains_key(&lease(s)))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for s in set {
            let value = self.readdress(node, value(s), false);
            state.set(s.get("key").text(), value, lease(s));
        }
        for key in remove {
            state.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64) {
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

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, i)| i.lease == id);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

/// Holds a connection open without a word, until this process ends.
fn wait_for_ever() -> ! {
    loop {
        std::thread::sleep(Duration::from_secs(3_600));
    }
}
