//! Calls to the store, each counted by kind and answer and noted as contact or its loss.

use {
    crate::{
        entry::Shared,
        platform::{StoreChange, StoreError, StoreItem, Transaction},
    },
    std::time::Duration,
};

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    Commit,
    Get,
    Grant,
    Range,
    Renew,
    Watch,
}

impl StoreCall {
    /// All kinds, in the order of their counters.
    pub const ALL: [Self; 6] = [
        Self::Commit,
        Self::Get,
        Self::Grant,
        Self::Range,
        Self::Renew,
        Self::Watch,
    ];
}

/// How a call ended, as counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    Busy,
    /// A condition did not hold, the history is gone or the lease has ended.
    Declined,
    Done,
    Unknown,
}

impl StoreOutcome {
    /// All outcomes, in the order of their counters.
    pub const ALL: [Self; 4] = [Self::Busy, Self::Declined, Self::Done, Self::Unknown];

    fn of<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(StoreError::Busy) => Self::Busy,
            Err(StoreError::Conflict(_) | StoreError::Compacted | StoreError::LeaseNotFound) => {
                Self::Declined
            }
            Err(StoreError::Unknown) => Self::Unknown,
        }
    }
}

impl Shared {
    /// Reads one item; linearizable.
    pub async fn get(&self, key: &str, timeout: Duration) -> Result<Option<StoreItem>, StoreError> {
        let result = self.store.get(key, timeout).await;
        self.note_call(StoreCall::Get, result)
    }

    /// Reads all items under a prefix, and a revision from which a watch misses nothing.
    pub async fn range(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<(Vec<StoreItem>, u64), StoreError> {
        let result = self.store.range(prefix, timeout).await;
        self.note_call(StoreCall::Range, result)
    }

    /// Waits for changes under a prefix; `grace` is the time beyond `wait` until the call
    /// counts as lost.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        grace: Duration,
    ) -> Result<(Vec<StoreChange>, u64), StoreError> {
        let result = self.store.watch(prefix, after, wait, wait + grace).await;
        self.note_call(StoreCall::Watch, result)
    }

    /// Writes all or nothing; returns the new revision.
    pub async fn commit(&self, txn: &Transaction, timeout: Duration) -> Result<u64, StoreError> {
        let result = self.store.commit(txn, timeout).await;
        self.note_call(StoreCall::Commit, result)
    }

    /// Creates a lease; returns its number.
    pub async fn grant(&self, ttl: Duration, timeout: Duration) -> Result<u64, StoreError> {
        let result = self.store.grant(ttl, timeout).await;
        self.note_call(StoreCall::Grant, result)
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        let result = self.store.renew(lease, timeout).await;
        self.note_call(StoreCall::Renew, result)
    }

    fn note_call<T>(
        &self,
        call: StoreCall,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let outcome = StoreOutcome::of(&result);
        self.event_log.count_store_call(call, outcome);
        match outcome {
            StoreOutcome::Declined | StoreOutcome::Done => self.record_store_success(),
            StoreOutcome::Busy | StoreOutcome::Unknown => self.record_store_failure(),
        }
        result
    }
}
