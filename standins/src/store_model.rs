//! Simulates the store of core: compare-and-swap, leases and prefix ranges.
//!
//! Used by `fleet` and `server`. It has no clock: every call receives the time.

use {
    dragonflyferry::core::{Millis, StoreOp, StoreReply},
    std::{collections::BTreeMap, sync::Arc},
};

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Arc<str>,
    lease: Option<u64>,
}

/// All keys and leases of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    /// TTL and expiry time of each lease, in ms.
    leases: BTreeMap<u64, (Millis, Millis)>,
    /// Get and range calls so far.
    pub reads: u64,
    /// All other calls so far, lease calls included.
    pub writes: u64,
}

impl StoreModel {
    /// Removes expired leases with their keys, then executes a call.
    pub fn apply(&mut self, op: &StoreOp, now: Millis) -> StoreReply {
        self.expire(now);
        match op {
            StoreOp::Get { .. } | StoreOp::Range { .. } => self.reads += 1,
            _ => self.writes += 1,
        }
        match op {
            StoreOp::Get { key, known_version } => self.get(key, *known_version),
            StoreOp::Range { prefix } => StoreReply::Entries {
                entries: self
                    .entries
                    .range(prefix.clone()..)
                    .take_while(|(k, _)| k.starts_with(prefix.as_str()))
                    .map(|(k, e)| (k.clone(), e.version, e.value.clone()))
                    .collect(),
            },
            StoreOp::CompareAndSwap {
                key,
                expected_version,
                value,
                lease,
            } => self.compare_and_swap(key, *expected_version, value, *lease),
            StoreOp::Delete {
                key,
                expected_version,
            } => self.delete(key, *expected_version),
            StoreOp::CreateLease { ttl_ms } => {
                self.revision += 1;
                self.leases.insert(self.revision, (*ttl_ms, now + ttl_ms));
                StoreReply::Lease {
                    lease: self.revision,
                }
            }
            StoreOp::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some((ttl, expires_at)) => {
                    *expires_at = now + *ttl;
                    StoreReply::Lease { lease: *lease }
                }
                None => StoreReply::Lapsed,
            },
        }
    }

    /// Returns a key's value without expiring leases or counting a read.
    pub fn value(&self, key: &str) -> Option<Arc<str>> {
        self.entries.get(key).map(|e| e.value.clone())
    }

    fn expire(&mut self, now: Millis) {
        self.leases.retain(|_, (_, expires_at)| now < *expires_at);
        let leases = &self.leases;
        self.entries
            .retain(|_, e| e.lease.is_none_or(|l| leases.contains_key(&l)));
    }

    fn get(&self, key: &str, known_version: u64) -> StoreReply {
        match self.entries.get(key) {
            None => StoreReply::Absent,
            Some(e) if e.version == known_version => StoreReply::Unchanged,
            Some(e) => StoreReply::Value {
                version: e.version,
                value: e.value.clone(),
            },
        }
    }

    fn current_version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |e| e.version)
    }

    fn compare_and_swap(
        &mut self,
        key: &str,
        expected_version: u64,
        value: &Arc<str>,
        lease: Option<u64>,
    ) -> StoreReply {
        let version = self.current_version(key);
        if version != expected_version {
            return StoreReply::Conflict { version };
        }
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return StoreReply::Lapsed;
        }
        self.revision += 1;
        let entry = Entry {
            version: self.revision,
            value: value.clone(),
            lease,
        };
        self.entries.insert(key.to_owned(), entry);
        StoreReply::Written {
            version: self.revision,
        }
    }

    fn delete(&mut self, key: &str, expected_version: u64) -> StoreReply {
        let version = self.current_version(key);
        if version != expected_version {
            return StoreReply::Conflict { version };
        }
        self.entries.remove(key);
        StoreReply::Written { version: 0 }
    }
}
