//! Reads the state of the previous owner from the store. Called by the owner task after its claim
//! and before its first round. It only reads; a record that cannot be decoded is logged and
//! skipped.

use {
    crate::{
        entry::{EntryError, ListPosition, Shared, clock, config_watch, store_keys as keys},
        fleet::{Evacuations, ExecutorInfo, FleetEvent, JobId, JobRecord, RecoveredState},
        platform::{
            EVACUATIONS_PREFIX, EXECUTORS_PREFIX, StoreError, StoreItem, executor_from_entry,
        },
    },
    std::{collections::HashMap, time::Duration},
};

/// Timeout of a read from the store. A reply that is overdue may have been sent over a connection that
/// has gone silent, so the read is worth another attempt.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// What the store contains at a takeover, with the revisions from which watches continue.
pub(super) struct TakeoverState {
    pub recovered: RecoveredState,
    pub work_revision: u64,
    pub executors: Vec<ExecutorInfo>,
    pub executors_position: ListPosition,
}

/// Reads jobs, progress, roster and executors. The claim was written before, so no earlier owner
/// can change them any more.
pub(super) async fn load(shared: &Shared) -> Result<TakeoverState, StoreError> {
    let sent_at = clock::mono();
    let (work, progress, roster, waits, executor_items, evacuations) = tokio::try_join!(
        read_twice(|| shared.range(keys::WORK_PREFIX, READ_TIMEOUT)),
        read_twice(|| shared.range(keys::PROGRESS_PREFIX, READ_TIMEOUT)),
        read_twice(|| shared.get(keys::ROSTER, READ_TIMEOUT)),
        read_twice(|| shared.get(keys::LEASE_WAITS, READ_TIMEOUT)),
        read_twice(|| shared.range(EXECUTORS_PREFIX, READ_TIMEOUT)),
        load_evacuations(shared),
    )?;
    let (work, work_revision) = work;
    let (progress, _) = progress;
    let (executor_items, revision) = executor_items;
    let mut progress_items: HashMap<JobId, StoreItem> = HashMap::new();
    for item in progress {
        if let Ok(id) = item.key.trim_start_matches(keys::PROGRESS_PREFIX).parse() {
            progress_items.insert(id, item);
        }
    }
    let mut recovered = RecoveredState {
        evacuations,
        ..RecoveredState::default()
    };
    for item in &work {
        if let Some(id) = item.key.strip_prefix(keys::CANCELLATIONS_PREFIX) {
            recovered.cancelled.extend(id.parse::<JobId>());
        } else if let Some(id) = item.key.strip_prefix(keys::JOBS_PREFIX)
            && let Ok(id) = id.parse::<JobId>()
            && let Some(record) =
                ok_or_log(shared, keys::decode::<JobRecord>(&item.key, &item.value))
        {
            let item = progress_items.remove(&id);
            let progress = item
                .and_then(|i| ok_or_log(shared, keys::decode_progress(&i.key, &i.value, &record)));
            recovered.jobs.push((id, record, progress));
        }
    }
    if let Some(item) = roster {
        match ok_or_log(shared, keys::decode_roster(&item.key, &item.value)) {
            Some(roster) => recovered.roster = roster.executors,
            None => recovered.roster_unreadable = true,
        }
    }
    // Without a record that can be read the whole wait is kept.
    recovered.lease_waits =
        waits.and_then(|i| ok_or_log(shared, keys::decode_lease_waits(&i.key, &i.value)));
    let executors = executor_items
        .iter()
        .filter_map(|i| executor_or_log(shared, i))
        .collect();
    Ok(TakeoverState {
        recovered,
        work_revision,
        executors,
        executors_position: ListPosition { revision, sent_at },
    })
}

/// Reads again after a missing reply: the connection may have gone silent, and the next attempt opens
/// a new one.
async fn read_twice<T, F>(read: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    match read().await {
        Err(StoreError::Unknown) => read().await,
        result => result,
    }
}

/// Reads the zones to evacuate; none where operators request no evacuations.
async fn load_evacuations(shared: &Shared) -> Result<Evacuations, StoreError> {
    if shared.settings.bounds.evacuation_ms.is_none() {
        return Ok(Evacuations::default());
    }
    let (items, revision) = read_twice(|| shared.range(EVACUATIONS_PREFIX, READ_TIMEOUT)).await?;
    let zones = items
        .iter()
        .filter_map(|i| config_watch::zone_or_log(shared, i));
    Ok(Evacuations {
        revision,
        zones: zones.collect(),
    })
}

/// Returns a decoded record; logs the error and returns none if it could not be decoded.
pub(super) fn ok_or_log<T>(shared: &Shared, record: Result<T, EntryError>) -> Option<T> {
    match record {
        Ok(record) => Some(record),
        Err(e) => {
            shared.log_event(FleetEvent::BadEntry, &e.to_string());
            None
        }
    }
}

/// Returns the executor that an item of the platform's list describes; logs the error and returns
/// none if the item cannot be decoded.
pub(super) fn executor_or_log(shared: &Shared, item: &StoreItem) -> Option<ExecutorInfo> {
    match executor_from_entry(&item.key, &item.value) {
        Ok(info) => Some(info),
        Err(e) => {
            shared.log_event(FleetEvent::BadEntry, &e.to_string());
            None
        }
    }
}
