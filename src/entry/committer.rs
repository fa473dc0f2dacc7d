//! Writes the cell's records to the store, one transaction at a time. Started by the owner task.
//!
//! Every transaction rewrites the epoch key, which contains the owner's fencing token, on condition
//! of the key's last known revision; the cell must write no record without this. A transaction
//! whose reply was lost can therefore not take effect after a later one, and none can take effect
//! after a newer owner has claimed.

use {
    crate::{
        core::CallId,
        entry::{EntryError, OwnerInput, Shared, store_keys as keys},
        fleet::{CellEvent, EpochRecord, FleetEvent, StoreWrite},
        platform::{StoreError, Transaction},
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Timeout of a write; the store replies in 4 ms, and in 260 ms when it is slow.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes of the cell that take effect together.
#[derive(Debug)]
pub struct Commit {
    /// Names the commit in its [`CellEvent::CommitResult`].
    pub call: CallId,
    pub writes: Vec<StoreWrite>,
}

/// Outcome of one commit.
enum CommitOutcome {
    Done,
    /// Not written, or not known whether it was written.
    Retry,
    /// A newer owner has claimed.
    NotOwner,
}

struct Committer {
    shared: Arc<Shared>,
    epoch: EpochRecord,
    /// Revision of the epoch key; none after a conflict or a write with an unknown
    /// outcome.
    revision: Option<u64>,
}

/// Writes commits and reports each result to the owner task, until either side of the channels
/// is closed. Reports [`OwnerInput::StepDown`] when there is a newer owner.
pub async fn run(
    shared: Arc<Shared>,
    epoch: EpochRecord,
    revision: u64,
    mut rx: mpsc::UnboundedReceiver<Commit>,
    owner: mpsc::UnboundedSender<OwnerInput>,
) {
    let mut committer = Committer {
        shared,
        epoch,
        revision: Some(revision),
    };
    while let Some(commit) = rx.recv().await {
        let input = match committer.commit(&commit.writes).await {
            CommitOutcome::NotOwner => OwnerInput::StepDown,
            outcome => OwnerInput::Cell(CellEvent::CommitResult {
                call: commit.call,
                ok: matches!(outcome, CommitOutcome::Done),
            }),
        };
        if owner.send(input).is_err() {
            return;
        }
    }
}

impl Committer {
    async fn commit(&mut self, writes: &[StoreWrite]) -> CommitOutcome {
        let revision = match self.revision {
            Some(revision) => revision,
            None => match self.reload_revision().await {
                Ok(revision) => revision,
                Err(outcome) => return outcome,
            },
        };
        let txn = match self.transaction(writes, revision) {
            Ok(txn) => txn,
            Err(e) => {
                self.shared
                    .log_event(FleetEvent::CommitFailed, &e.to_string());
                return CommitOutcome::Retry;
            }
        };
        match self.shared.commit(&txn, WRITE_TIMEOUT).await {
            Ok(revision) => {
                self.revision = Some(revision);
                CommitOutcome::Done
            }
            Err(StoreError::Busy) => CommitOutcome::Retry,
            Err(_) => {
                self.revision = None;
                CommitOutcome::Retry
            }
        }
    }

    /// Reads the revision of the epoch key after a write with an unknown outcome; `NotOwner` if
    /// the key no longer contains this owner's record.
    async fn reload_revision(&mut self) -> Result<u64, CommitOutcome> {
        let item = self.shared.get(keys::EPOCH, WRITE_TIMEOUT).await;
        let Ok(Some(item)) = item else {
            return Err(CommitOutcome::Retry);
        };
        let record = keys::decode::<EpochRecord>(&item.key, &item.value);
        if record.is_ok_and(|r| r == self.epoch) {
            self.revision = Some(item.revision);
            return Ok(item.revision);
        }
        Err(CommitOutcome::NotOwner)
    }

    fn transaction(&self, writes: &[StoreWrite], revision: u64) -> Result<Transaction, EntryError> {
        let mut txn = Transaction::default();
        txn.expect.push((keys::EPOCH.to_owned(), revision));
        let epoch = keys::encode(&self.epoch)?;
        txn.set.push((keys::EPOCH.to_owned(), epoch, 0));
        for write in writes {
            match write {
                StoreWrite::Progress { job, progress } => {
                    let value = keys::encode(progress)?;
                    txn.set.push((keys::progress(*job), value, 0));
                }
                StoreWrite::Ended { job, record } => {
                    txn.set.push((keys::job(*job), keys::encode(record)?, 0));
                    txn.remove.push(keys::progress(*job));
                }
                StoreWrite::Delete { job } => {
                    txn.remove.push(keys::job(*job));
                    txn.remove.push(keys::cancellation(*job));
                }
                StoreWrite::LeaseWaits(waits) => {
                    txn.set
                        .push((keys::LEASE_WAITS.to_owned(), keys::encode(waits)?, 0));
                }
                StoreWrite::Roster(roster) => {
                    txn.set
                        .push((keys::ROSTER.to_owned(), keys::encode(roster)?, 0));
                }
            }
        }
        Ok(txn)
    }
}
