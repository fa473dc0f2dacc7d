//! Calls to the store for a caller's request, through the owner's node where the store rejects
//! this one. Used by the callers' interface.
//!
//! A write that may be made twice must be conditional: the first attempt may still be carried out
//! after the second has succeeded.

use {
    crate::{
        entry::Shared,
        platform::{StoreError, StoreItem, Transaction},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Timeout of a call to the store that no other node can make.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a call to the store that another node can make as well; beyond the delay of a slow
/// store, 0.24 s.
const HEDGED_TIMEOUT: Duration = Duration::from_millis(350);

/// Time without success at the store after which the owner's node is tried first, in ms; a node
/// calls the store every 300 ms.
const RELAY_FIRST_AFTER_MS: u64 = 700;

/// A call that another node makes to the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RelayedCall {
    /// Writes a transaction.
    Commit(Transaction),
    /// Reads one key.
    Get(String),
}

/// Result of a relayed call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RelayedOutcome {
    /// The new revision.
    Commit(Result<u64, StoreError>),
    /// The item; none if the key does not exist.
    Get(Result<Option<StoreItem>, StoreError>),
}

impl RelayedOutcome {
    /// Returns the error if the call may be made again by another node.
    fn failure(&self) -> Option<&StoreError> {
        let error = match self {
            Self::Commit(result) => result.as_ref().err(),
            Self::Get(result) => result.as_ref().err(),
        };
        error.filter(|e| matches!(e, StoreError::Busy | StoreError::Unknown))
    }
}

impl Shared {
    /// Writes a conditional transaction for a caller. [`StoreError::Busy`] means that no node wrote
    /// anything.
    pub async fn commit_for_caller(&self, txn: &Transaction) -> Result<u64, StoreError> {
        match self.call_either(RelayedCall::Commit(txn.clone())).await {
            RelayedOutcome::Commit(result) => result,
            RelayedOutcome::Get(_) => Err(StoreError::Unknown),
        }
    }

    /// Reads one item for a caller; none if it does not exist.
    pub async fn get_for_caller(&self, key: &str) -> Result<Option<StoreItem>, StoreError> {
        match self.call_either(RelayedCall::Get(key.to_owned())).await {
            RelayedOutcome::Get(result) => result,
            RelayedOutcome::Commit(_) => Err(StoreError::Unknown),
        }
    }

    /// Makes a call itself and, if that gets no usable reply and another node reaches the store,
    /// through the owner's node; in the other order while the store rejects this node.
    async fn call_either(&self, call: RelayedCall) -> RelayedOutcome {
        if !self.has_store_relay() {
            return self.call_store(&call, STORE_TIMEOUT).await;
        }
        if self.store_age_ms() < RELAY_FIRST_AFTER_MS {
            let first = self.call_store(&call, HEDGED_TIMEOUT).await;
            return if first.failure().is_none() {
                first
            } else {
                let second = self.relay(call).await;
                combine(first, second)
            };
        }
        match self.relay(call.clone()).await {
            None => self.call_store(&call, HEDGED_TIMEOUT).await,
            Some(first) if first.failure().is_none() => first,
            Some(first) => {
                let second = self.call_store(&call, HEDGED_TIMEOUT).await;
                combine(first, Some(second))
            }
        }
    }

    /// Makes a call for another node.
    pub async fn make_relayed_call(&self, call: RelayedCall) -> RelayedOutcome {
        self.call_store(&call, HEDGED_TIMEOUT).await
    }

    async fn call_store(&self, call: &RelayedCall, timeout: Duration) -> RelayedOutcome {
        match call {
            RelayedCall::Commit(txn) => RelayedOutcome::Commit(self.commit(txn, timeout).await),
            RelayedCall::Get(key) => RelayedOutcome::Get(self.get(key, timeout).await),
        }
    }
}

/// Returns the result of two attempts of which the first failed. Nothing was done only if both say
/// so; `second` is none if it was not sent.
fn combine(first: RelayedOutcome, second: Option<RelayedOutcome>) -> RelayedOutcome {
    let Some(second) = second else { return first };
    let may_be_done = matches!(first.failure(), Some(StoreError::Unknown));
    let refused = matches!(second.failure(), Some(StoreError::Busy));
    if may_be_done && refused {
        first
    } else {
        second
    }
}
