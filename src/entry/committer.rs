//! Writes the cell's records to the store. Started by the owner task.
//!
//! Every transaction is conditional on the last known revision of the epoch key, which contains the
//! owner's fencing token; the cell must write no record without this, and never has the same record in
//! two transactions under way, but for what it leaves to the next owner: either order is safe there.
//! After a transaction with an unknown outcome no other is sent until the outcomes of all are known or
//! unknown; the next one rewrites the epoch key. None that is outstanding can therefore take effect
//! after it, and none after a newer owner has claimed.

use {
    crate::{
        core::CallId,
        entry::{EntryError, OwnerInput, Shared, store_keys as keys},
        fleet::{CellEvent, EpochRecord, FleetEvent, StoreWrite},
        platform::{StoreError, Transaction},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, task::JoinSet},
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
    /// Not written, and never will be.
    Refused,
    /// Not written, or not known whether it was written.
    Retry,
    /// A newer owner has claimed.
    NotOwner,
}

type WriteResult = (CallId, Result<u64, StoreError>);

struct Committer {
    shared: Arc<Shared>,
    epoch: EpochRecord,
    /// Revision of the epoch key; none after a conflict or a write with an unknown
    /// outcome.
    revision: Option<u64>,
    /// Writes under way, conditional on `revision`.
    in_flight: JoinSet<WriteResult>,
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
        in_flight: JoinSet::new(),
    };
    loop {
        let may_send = committer.revision.is_some() || committer.in_flight.is_empty();
        let input = tokio::select! {
            commit = rx.recv(), if may_send => {
                let Some(commit) = commit else { return };
                committer.on_commit(commit).await
            }
            Some(written) = committer.in_flight.join_next() => {
                let Ok((call, result)) = written else { continue };
                Some(committer.on_written(call, &result))
            }
        };
        if input.is_some_and(|input| owner.send(input).is_err()) {
            return;
        }
    }
}

impl Committer {
    /// Starts to write a commit, or writes it alone after an unknown outcome; returns its result if
    /// that is known already.
    async fn on_commit(&mut self, commit: Commit) -> Option<OwnerInput> {
        let Some(revision) = self.revision else {
            let outcome = self.commit_alone(&commit.writes).await;
            return Some(report(commit.call, &outcome));
        };
        match Self::transaction(&commit.writes, revision) {
            Ok(txn) => {
                let shared = self.shared.clone();
                self.in_flight
                    .spawn(async move { (commit.call, shared.commit(&txn, WRITE_TIMEOUT).await) });
                None
            }
            Err(e) => Some(report(commit.call, &self.not_encoded(&e))),
        }
    }

    /// Handles the result of a write under way.
    fn on_written(&mut self, call: CallId, result: &Result<u64, StoreError>) -> OwnerInput {
        let outcome = match result {
            Ok(_) => CommitOutcome::Done,
            Err(StoreError::Busy) => CommitOutcome::Retry,
            Err(StoreError::Refused) => CommitOutcome::Refused,
            Err(_) => {
                self.revision = None;
                CommitOutcome::Retry
            }
        };
        report(call, &outcome)
    }

    /// Writes a commit together with the epoch key, so that no earlier one can take effect any more.
    async fn commit_alone(&mut self, writes: &[StoreWrite]) -> CommitOutcome {
        let revision = match self.read_revision().await {
            Ok(revision) => revision,
            Err(outcome) => return outcome,
        };
        let epoch = keys::encode(&self.epoch);
        let txn = Self::transaction(writes, revision).and_then(|mut txn| {
            txn.set.push((keys::EPOCH.to_owned(), epoch?, 0));
            Ok(txn)
        });
        let txn = match txn {
            Ok(txn) => txn,
            Err(e) => return self.not_encoded(&e),
        };
        match self.shared.commit(&txn, WRITE_TIMEOUT).await {
            Ok(revision) => {
                self.revision = Some(revision);
                CommitOutcome::Done
            }
            Err(StoreError::Refused) => CommitOutcome::Refused,
            Err(_) => CommitOutcome::Retry,
        }
    }

    fn not_encoded(&self, error: &EntryError) -> CommitOutcome {
        self.shared
            .log_event(FleetEvent::CommitFailed, &error.to_string());
        CommitOutcome::Refused
    }

    /// Reads the revision of the epoch key after a write with an unknown outcome; `NotOwner` if
    /// the key no longer contains this owner's record.
    async fn read_revision(&self) -> Result<u64, CommitOutcome> {
        let item = self.shared.get(keys::EPOCH, WRITE_TIMEOUT).await;
        let Ok(Some(item)) = item else {
            return Err(CommitOutcome::Retry);
        };
        let record = keys::decode::<EpochRecord>(&item.key, &item.value);
        if record.is_ok_and(|r| r == self.epoch) {
            return Ok(item.revision);
        }
        Err(CommitOutcome::NotOwner)
    }

    fn transaction(writes: &[StoreWrite], revision: u64) -> Result<Transaction, EntryError> {
        let mut txn = Transaction::default();
        txn.expect.push((keys::EPOCH.to_owned(), revision));
        for write in writes {
            match write {
                StoreWrite::Progress { job, value, record } => {
                    txn.set.push((keys::progress(*job), value.clone(), 0));
                    if let Some(record) = record {
                        txn.set.push((keys::job(*job), keys::encode(record)?, 0));
                    }
                }
                StoreWrite::Ended {
                    job,
                    record,
                    remove_progress,
                } => {
                    txn.set.push((keys::job(*job), keys::encode(record)?, 0));
                    if *remove_progress {
                        txn.remove.push(keys::progress(*job));
                    }
                }
                StoreWrite::Delete { job } => {
                    txn.remove.push(keys::job(*job));
                    txn.remove.push(keys::cancellation(*job));
                }
                StoreWrite::LeaseWaits(waits) => {
                    let value = waits.encode().map_err(|e| EntryError::RecordCodec {
                        message: e.to_string(),
                    })?;
                    txn.set.push((keys::LEASE_WAITS.to_owned(), value, 0));
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

/// Returns the owner task's input that reports the outcome of a commit.
fn report(call: CallId, outcome: &CommitOutcome) -> OwnerInput {
    match outcome {
        CommitOutcome::NotOwner => OwnerInput::StepDown,
        CommitOutcome::Refused => OwnerInput::Cell(CellEvent::CommitRefused { call }),
        outcome => OwnerInput::Cell(CellEvent::CommitResult {
            call,
            ok: matches!(outcome, CommitOutcome::Done),
        }),
    }
}
