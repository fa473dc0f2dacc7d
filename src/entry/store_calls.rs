//! Calls to the store. Each is counted by kind and outcome, and recorded as a success or failure
//! of reaching the store. All tasks of a node must use these instead of the client itself.

use {
    crate::{
        entry::Shared,
        fleet::{FleetEvent, SkippedRows},
        platform::{StoreChange, StoreError, StoreItem, Transaction},
    },
    std::time::Duration,
};

/// Kind of a call to the store; its name is the metric's `call` label.
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
    /// All kinds, in declaration order: counters are indexed by it.
    pub const ALL: [Self; 6] = [
        Self::Commit,
        Self::Get,
        Self::Grant,
        Self::Range,
        Self::Renew,
        Self::Watch,
    ];
}

/// Outcome of a call; its name is the metric's `outcome` label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The store replied that it did nothing.
    Busy,
    /// A condition was not met, the history was compacted, the lease does not exist, or the store
    /// refused the call for good.
    Declined,
    Done,
    /// No usable reply: the call may have taken effect.
    Unknown,
}

impl StoreOutcome {
    /// All outcomes, in declaration order: counters are indexed by it.
    pub const ALL: [Self; 4] = [Self::Busy, Self::Declined, Self::Done, Self::Unknown];

    fn from_result<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(StoreError::Busy) => Self::Busy,
            Err(
                StoreError::Conflict(_)
                | StoreError::Compacted
                | StoreError::LeaseNotFound
                | StoreError::Refused,
            ) => Self::Declined,
            Err(StoreError::Unknown) => Self::Unknown,
        }
    }
}

impl Shared {
    /// Reads one item with a linearizable read; none if it does not exist.
    pub async fn get(&self, key: &str, timeout: Duration) -> Result<Option<StoreItem>, StoreError> {
        let result = self.store.get(key, timeout).await;
        self.record_call(StoreCall::Get, result)
    }

    /// Reads all items under a prefix. Also returns the revision from which a watch misses no
    /// change.
    pub async fn range(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<(Vec<StoreItem>, u64), StoreError> {
        let result = self.store.range(prefix, timeout).await;
        let page = self.record_call(StoreCall::Range, result)?;
        self.log_skipped(&format!("range={prefix}"), &page.skipped);
        Ok((page.items, page.revision))
    }

    /// Waits up to `wait` for changes under a prefix after a revision; returns them and the
    /// revision to continue from. The call times out after `wait` and `grace`.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        grace: Duration,
    ) -> Result<(Vec<StoreChange>, u64), StoreError> {
        let result = self.store.watch(prefix, after, wait, grace).await;
        let page = self.record_call(StoreCall::Watch, result)?;
        self.log_skipped(&format!("watch={prefix}"), &page.skipped);
        Ok((page.items, page.revision))
    }

    /// Writes a transaction, all or nothing; returns the new revision.
    pub async fn commit(&self, txn: &Transaction, timeout: Duration) -> Result<u64, StoreError> {
        let result = self.store.commit(txn, timeout).await;
        self.record_call(StoreCall::Commit, result)
    }

    /// Creates a lease; returns its id and the TTL that applies, in ms.
    pub async fn grant(&self, ttl: Duration, timeout: Duration) -> Result<(u64, u64), StoreError> {
        let result = self.store.grant(ttl, timeout).await;
        self.record_call(StoreCall::Grant, result)
    }

    /// Renews a lease; [`StoreError::LeaseNotFound`] if it has expired.
    pub async fn renew(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        let result = self.store.renew(lease, timeout).await;
        self.record_call(StoreCall::Renew, result)
    }

    /// Logs rows of a list that were left out, if there are any.
    pub(super) fn log_skipped(&self, list: &str, skipped: &SkippedRows) {
        if skipped.count > 0 {
            self.log_event(FleetEvent::BadEntry, &format!("{list} {skipped}"));
        }
    }

    fn record_call<T>(
        &self,
        call: StoreCall,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let outcome = StoreOutcome::from_result(&result);
        self.event_log.count_store_call(call, outcome);
        match outcome {
            StoreOutcome::Declined | StoreOutcome::Done => self.record_store_success(),
            StoreOutcome::Busy | StoreOutcome::Unknown => self.record_store_failure(),
        }
        result
    }
}
