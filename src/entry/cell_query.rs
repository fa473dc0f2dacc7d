//! Read-only queries of the cell from outside the owner task. Used by the operators' interface,
//! the owner link and the peer server. A query runs on the owner task, so it must be short.

use {
    crate::{
        entry::{OwnerInput, Shared},
        fleet::{Cell, Now},
    },
    std::{fmt, time::Duration},
    tokio::sync::oneshot,
};

type QueryFn = dyn FnOnce(&Cell, Now) + Send;

/// A query that the owner task runs between two inputs.
pub struct CellQuery(Box<QueryFn>);

/// Why a query has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryError {
    /// This node is not the owner, or no longer.
    NotOwner,
    /// The owner task did not run the query in time.
    TimedOut,
}

impl CellQuery {
    /// Creates a query; the closure must send its result itself.
    pub fn new(query: impl FnOnce(&Cell, Now) + Send + 'static) -> Self {
        Self(Box::new(query))
    }

    /// Runs the query; called by the task that owns the cell.
    pub fn run(self, cell: &Cell, now: Now) {
        (self.0)(cell, now);
    }
}

impl fmt::Debug for CellQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CellQuery")
    }
}

impl Shared {
    /// Runs a query on the cell of this node and returns its result.
    ///
    /// # Errors
    ///
    /// If this node is not the owner or the result does not arrive within `timeout`.
    pub async fn query_cell<T: Send + 'static>(
        &self,
        timeout: Duration,
        query: impl FnOnce(&Cell, Now) -> T + Send + 'static,
    ) -> Result<T, QueryError> {
        let owner = self.local_owner().ok_or(QueryError::NotOwner)?;
        let (tx, rx) = oneshot::channel();
        let cell_query = CellQuery::new(move |cell, now| {
            // Fails only if the caller no longer waits.
            let _ = tx.send(query(cell, now));
        });
        let sent = owner.send(OwnerInput::Query(cell_query));
        sent.map_err(|_| QueryError::NotOwner)?;
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(QueryError::NotOwner),
            Err(_) => Err(QueryError::TimedOut),
        }
    }
}
