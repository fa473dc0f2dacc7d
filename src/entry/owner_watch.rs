//! Watches of the owner: executors, accepted jobs and cancellations, configuration. The owner task
//! starts them after a takeover. They only pass changes on to the cell and never write.

use {
    crate::{
        core::Millis,
        entry::{
            OwnerInput, Shared, clock, store_keys as keys,
            takeover::{READ_TIMEOUT, executor_or_log, ok_or_log},
        },
        fleet::{CellEvent, JobEnd, JobId, JobRecord},
        platform::{EXECUTORS_PREFIX, StoreChange, StoreError, StoreItem},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::MissedTickBehavior},
};

/// Max time that the store holds a watch of executors open. A connection may stop delivering without
/// an error, which shows only when the reply is overdue: then the watch goes on over a new connection,
/// and the platform requires that the changes it missed are heeded 2 s and more after them.
const EXECUTOR_WATCH_WAIT: Duration = Duration::from_secs(1);

/// The same of the watch of accepted jobs and cancellations, which pauses between two calls.
const WORK_WATCH_WAIT: Duration = Duration::from_millis(500);

/// Time beyond its wait after which the reply to a watch is overdue. A slow store takes 0.26 s, and a
/// busy owner may read the reply late.
const WATCH_GRACE: Duration = Duration::from_millis(1_200);

/// Min time between watches of executors. Each of their heartbeats is a change that ends a watch, so with
/// hundreds of executors one would follow the other without a pause.
const EXECUTOR_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between watches of accepted jobs. The watch is only needed for jobs and cancellations
/// whose message was lost.
const WORK_WATCH_INTERVAL: Duration = Duration::from_millis(700);

/// Time between a failed read of a job and the next attempt.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between a failed watch and the next attempt.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time by which a report of an executor may be in the store later than its interval, in ms.
const REPORT_LAG_MS: Millis = 200;

/// A revision of the platform's list, from which a watch continues.
#[derive(Clone, Copy, Debug)]
pub struct ListPosition {
    pub revision: u64,
    /// When the call was sent whose reply named the revision, in ms since boot: later changes were
    /// written after it.
    pub sent_at: Millis,
}

/// Returns the earliest time at which an entry of a list may have been written that was read by a call
/// sent at `sent_at`, in ms since boot. An executor that lives writes in each interval.
pub(super) fn list_written_after(shared: &Shared, sent_at: Millis) -> Millis {
    let max_age_ms = shared.settings.bounds.report_interval_ms + REPORT_LAG_MS;
    sent_at.saturating_sub(max_age_ms)
}

/// Watches the platform's list of executors; lists all of them again after a failed watch, unless
/// the store was only busy.
pub async fn watch_executors(
    shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<OwnerInput>,
    mut position: ListPosition,
) {
    let mut interval = tokio::time::interval(EXECUTOR_WATCH_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let (after, sent_at) = (position.revision, clock::mono());
        let result = shared
            .watch(EXECUTORS_PREFIX, after, EXECUTOR_WATCH_WAIT, WATCH_GRACE)
            .await;
        match result {
            Ok((changes, revision)) => {
                for change in changes {
                    on_executor_change(&shared, &tx, change, position.sent_at);
                }
                position = ListPosition { revision, sent_at };
            }
            Err(StoreError::Busy) => tokio::time::sleep(WATCH_RETRY_DELAY).await,
            Err(_) => {
                let sent_at = clock::mono();
                let list = shared.range(EXECUTORS_PREFIX, READ_TIMEOUT).await;
                let Ok((items, revision)) = list else {
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                    continue;
                };
                position = ListPosition { revision, sent_at };
                let infos = items
                    .iter()
                    .filter_map(|i| executor_or_log(&shared, i))
                    .collect();
                let event = CellEvent::Relisted {
                    infos,
                    written_after: list_written_after(&shared, sent_at),
                };
                let _ = tx.send(OwnerInput::Cell(event));
            }
        }
    }
}

fn on_executor_change(
    shared: &Shared,
    tx: &mpsc::UnboundedSender<OwnerInput>,
    change: StoreChange,
    written_after: Millis,
) {
    let event = match change {
        StoreChange::Set(item) => executor_or_log(shared, &item).map(|info| CellEvent::Listed {
            info,
            written_after,
        }),
        StoreChange::Removed(key) => {
            let id = key.strip_prefix(EXECUTORS_PREFIX).unwrap_or(&key);
            Some(CellEvent::Unlisted(Arc::from(id)))
        }
    };
    if let Some(event) = event {
        let _ = tx.send(OwnerInput::Cell(event));
    }
}

/// Watches accepted jobs and cancellations, to find those whose message to the owner was lost.
pub async fn watch_work(
    shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<OwnerInput>,
    mut revision: u64,
) {
    let mut overdue = false;
    tokio::time::sleep(WORK_WATCH_INTERVAL).await;
    loop {
        let result = shared
            .watch(keys::WORK_PREFIX, revision, WORK_WATCH_WAIT, WATCH_GRACE)
            .await;
        match result {
            Ok((changes, next)) => {
                overdue = false;
                revision = next;
                for change in changes {
                    if let StoreChange::Set(item) = change {
                        on_work_item(&shared, &tx, &item);
                    }
                }
            }
            Err(StoreError::Busy) => {}
            Err(StoreError::Unknown) if !overdue => {
                // Changes may be waiting already; the store still has them in its history.
                overdue = true;
                continue;
            }
            Err(_) => {
                if let Ok(next) = read_work(&shared, &tx).await {
                    overdue = false;
                    revision = next;
                }
            }
        }
        tokio::time::sleep(WORK_WATCH_INTERVAL).await;
    }
}

/// Passes the record of a job to the cell, or that there is none; a record that cannot be decoded
/// is logged and not passed on.
pub(super) async fn read_job(
    shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<OwnerInput>,
    job: JobId,
) {
    let item = loop {
        match shared.get(&keys::job(job), READ_TIMEOUT).await {
            Ok(item) => break item,
            Err(_) => tokio::time::sleep(READ_RETRY_DELAY).await,
        }
    };
    let record = match item {
        Some(item) => {
            let Some(record) = ok_or_log(&shared, keys::decode(&item.key, &item.value)) else {
                return;
            };
            Some(Box::new(record))
        }
        None => None,
    };
    let _ = tx.send(OwnerInput::Cell(CellEvent::JobRead { job, record }));
}

/// Passes all accepted jobs and cancellations to the cell; returns the revision from which a watch
/// continues.
async fn read_work(
    shared: &Shared,
    tx: &mpsc::UnboundedSender<OwnerInput>,
) -> Result<u64, StoreError> {
    let (items, next) = shared.range(keys::WORK_PREFIX, READ_TIMEOUT).await?;
    for item in &items {
        on_work_item(shared, tx, item);
    }
    Ok(next)
}

fn on_work_item(shared: &Shared, tx: &mpsc::UnboundedSender<OwnerInput>, item: &StoreItem) {
    if let Some(id) = item.key.strip_prefix(keys::CANCELLATIONS_PREFIX) {
        if let Ok(job) = id.parse() {
            let _ = tx.send(OwnerInput::Cancelled(job));
        }
        return;
    }
    let record = ok_or_log(shared, keys::decode::<JobRecord>(&item.key, &item.value));
    match record {
        Some(JobRecord::Open(submission) | JobRecord::OpenLarge(submission)) => {
            let _ = tx.send(OwnerInput::Submitted(Box::new(submission)));
        }
        // Entry nodes write these too; other ends are the owner's own.
        Some(
            record @ JobRecord::Ended {
                end: JobEnd::Cancelled,
                ..
            },
        ) => {
            let id = item.key.strip_prefix(keys::JOBS_PREFIX);
            if let Some(Ok(job)) = id.map(str::parse) {
                let event = CellEvent::CancelledRecord {
                    job,
                    record: Box::new(record),
                };
                let _ = tx.send(OwnerInput::Cell(event));
            }
        }
        Some(JobRecord::Ended { .. }) | None => {}
    }
}

/// Passes the current and every newer configuration to the cell.
pub(super) async fn watch_config(shared: Arc<Shared>, tx: mpsc::UnboundedSender<OwnerInput>) {
    let mut config = shared.config.subscribe();
    loop {
        let newest = config.borrow_and_update().clone();
        if let Some(newest) = newest
            && tx
                .send(OwnerInput::Cell(CellEvent::Config(newest)))
                .is_err()
        {
            return;
        }
        if config.changed().await.is_err() {
            return;
        }
    }
}

/// Passes the zones to evacuate and every change of them to the cell.
pub(super) async fn watch_evacuations(shared: Arc<Shared>, tx: mpsc::UnboundedSender<OwnerInput>) {
    let mut evacuations = shared.evacuations.subscribe();
    loop {
        let newest = evacuations.borrow_and_update().clone();
        let event = OwnerInput::Cell(CellEvent::Evacuations(newest));
        if tx.send(event).is_err() || evacuations.changed().await.is_err() {
            return;
        }
    }
}
