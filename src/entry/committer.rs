//! Writes the cell's records, one transaction at a time, under the owner's token.
//!
//! Every transaction rewrites the epoch key under its last known revision. A transaction
//! whose answer was lost can therefore not be carried out after a later one, and none after
//! a newer owner has claimed.

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

/// Time until an unanswered write counts as lost; the store answers in 4 ms, slow in 260.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// One commit of the cell.
#[derive(Debug)]
pub struct Commit {
    pub call: CallId,
    pub writes: Vec<StoreWrite>,
}

/// Why commits end.
enum Outcome {
    Done,
    Retry,
    Deposed,
}

struct Committer {
    shared: Arc<Shared>,
    epoch: EpochRecord,
    /// Revision of the epoch key; none after a write whose outcome is not known.
    revision: Option<u64>,
}

/// Carries out commits until the cell ends or a newer owner is found.
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
            Outcome::Deposed => OwnerInput::StepDown,
            outcome => OwnerInput::Cell(CellEvent::CommitResult {
                call: commit.call,
                ok: matches!(outcome, Outcome::Done),
            }),
        };
        if owner.send(input).is_err() {
            return;
        }
    }
}

impl Committer {
    async fn commit(&mut self, writes: &[StoreWrite]) -> Outcome {
        let revision = match self.revision {
            Some(revision) => revision,
            None => match self.reread().await {
                Ok(revision) => revision,
                Err(outcome) => return outcome,
            },
        };
        let txn = match self.transaction(writes, revision) {
            Ok(txn) => txn,
            Err(e) => {
                self.shared
                    .log_event(FleetEvent::CommitFailed, &e.to_string());
                return Outcome::Retry;
            }
        };
        match self.shared.commit(&txn, WRITE_TIMEOUT).await {
            Ok(revision) => {
                self.revision = Some(revision);
                Outcome::Done
            }
            Err(StoreError::Busy) => Outcome::Retry,
            Err(_) => {
                self.revision = None;
                Outcome::Retry
            }
        }
    }

    /// Reads the epoch key again after a write whose outcome is not known.
    async fn reread(&mut self) -> Result<u64, Outcome> {
        let item = self.shared.get(keys::EPOCH, WRITE_TIMEOUT).await;
        let Ok(Some(item)) = item else {
            return Err(Outcome::Retry);
        };
        let record = keys::decode::<EpochRecord>(&item.key, &item.value);
        if record.is_ok_and(|r| r == self.epoch) {
            self.revision = Some(item.revision);
            return Ok(item.revision);
        }
        Err(Outcome::Deposed)
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
                StoreWrite::Roster(roster) => {
                    txn.set
                        .push((keys::ROSTER.to_owned(), keys::encode(roster)?, 0));
                }
            }
        }
        Ok(txn)
    }
}
