//! What the owner follows while it is in office: executors, accepted work, configuration.

use {
    crate::{
        entry::{
            OwnerInput, Shared, store_keys as keys,
            takeover::{READ_TIMEOUT, executor_or_log, ok_or_log},
        },
        fleet::{CellEvent, JobRecord},
        platform::{EXECUTORS_PREFIX, StoreChange, StoreError, StoreItem},
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Longest wait of a watch; short, as a connection may go silent unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time between reads of the watch of accepted jobs: it only finds what a lost message hid.
const WORK_WATCH_PAUSE: Duration = Duration::from_millis(700);

/// Time between attempts after a failed watch.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Follows the list of executors.
pub(super) async fn watch_executors(
    shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<OwnerInput>,
    mut revision: u64,
) {
    loop {
        let answer = shared
            .watch(EXECUTORS_PREFIX, revision, WATCH_WAIT, READ_TIMEOUT)
            .await;
        match answer {
            Ok((changes, next)) => {
                revision = next;
                for change in changes {
                    executor_changed(&shared, &tx, change);
                }
            }
            Err(fault) => {
                tokio::time::sleep(WATCH_PAUSE).await;
                if matches!(fault, StoreError::Busy) {
                    continue;
                }
                if let Ok((items, next)) = shared.range(EXECUTORS_PREFIX, READ_TIMEOUT).await {
                    revision = next;
                    let infos = items
                        .iter()
                        .filter_map(|i| executor_or_log(&shared, i))
                        .collect();
                    let _ = tx.send(OwnerInput::Cell(CellEvent::Relisted(infos)));
                }
            }
        }
    }
}

fn executor_changed(shared: &Shared, tx: &mpsc::UnboundedSender<OwnerInput>, change: StoreChange) {
    let event = match change {
        StoreChange::Set(item) => executor_or_log(shared, &item).map(CellEvent::Listed),
        StoreChange::Removed(key) => {
            let id = key.strip_prefix(EXECUTORS_PREFIX).unwrap_or(&key);
            Some(CellEvent::Unlisted(Arc::from(id)))
        }
    };
    if let Some(event) = event {
        let _ = tx.send(OwnerInput::Cell(event));
    }
}

/// Finds jobs and cancellations whose message was lost.
pub(super) async fn watch_work(
    shared: Arc<Shared>,
    tx: mpsc::UnboundedSender<OwnerInput>,
    mut revision: u64,
) {
    loop {
        tokio::time::sleep(WORK_WATCH_PAUSE).await;
        let answer = shared
            .watch(keys::WORK_PREFIX, revision, WATCH_WAIT, READ_TIMEOUT)
            .await;
        match answer {
            Ok((changes, next)) => {
                revision = next;
                for change in changes {
                    if let StoreChange::Set(item) = change {
                        work_found(&shared, &tx, &item);
                    }
                }
            }
            Err(StoreError::Busy) => {}
            Err(_) => {
                if let Ok((items, next)) = shared.range(keys::WORK_PREFIX, READ_TIMEOUT).await {
                    revision = next;
                    for item in &items {
                        work_found(&shared, &tx, item);
                    }
                }
            }
        }
    }
}

fn work_found(shared: &Shared, tx: &mpsc::UnboundedSender<OwnerInput>, item: &StoreItem) {
    if let Some(id) = item.key.strip_prefix(keys::CANCELLATIONS_PREFIX) {
        if let Ok(job) = id.parse() {
            let _ = tx.send(OwnerInput::Cancelled(job));
        }
        return;
    }
    let record = ok_or_log(shared, keys::decode::<JobRecord>(&item.key, &item.value));
    if let Some(JobRecord::Open(submission)) = record {
        let _ = tx.send(OwnerInput::Submitted(Box::new(submission)));
    }
}

/// Passes new configurations to the cell.
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
