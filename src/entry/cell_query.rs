//! Questions to the cell from outside the owner's task.

use {
    crate::{
        entry::{OwnerInput, Shared},
        fleet::{Cell, Now},
    },
    std::{fmt, time::Duration},
    tokio::sync::oneshot,
};

type Ask = dyn FnOnce(&Cell, Now) + Send;

/// A question that the owner's task answers between two events.
pub struct CellQuery(Box<Ask>);

/// Why a question got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryError {
    /// This node owns no cell, or no more.
    NotOwner,
    TimedOut,
}

impl CellQuery {
    /// Creates a question; the closure passes the answer on.
    pub fn new(ask: impl FnOnce(&Cell, Now) + Send + 'static) -> Self {
        Self(Box::new(ask))
    }

    pub(super) fn run(self, cell: &Cell, now: Now) {
        (self.0)(cell, now);
    }
}

impl fmt::Debug for CellQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CellQuery")
    }
}

impl Shared {
    /// Asks the cell of this node.
    pub async fn query_cell<T: Send + 'static>(
        &self,
        timeout: Duration,
        ask: impl FnOnce(&Cell, Now) -> T + Send + 'static,
    ) -> Result<T, QueryError> {
        let owner = self.local_owner().ok_or(QueryError::NotOwner)?;
        let (tx, rx) = oneshot::channel();
        let question = CellQuery::new(move |cell, now| {
            // Nobody waits any more if this fails.
            let _ = tx.send(ask(cell, now));
        });
        let sent = owner.send(OwnerInput::Query(question));
        sent.map_err(|_| QueryError::NotOwner)?;
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(QueryError::NotOwner),
            Err(_) => Err(QueryError::TimedOut),
        }
    }
}
