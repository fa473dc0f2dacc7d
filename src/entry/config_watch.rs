//! Watches the operators' keys in the store: puts new versions of the configuration in force, keeps
//! the set of zones to evacuate, and records when both were last confirmed. Started by the daemon on
//! every node. The configuration never goes back to an older version.

use {
    crate::{
        entry::{Shared, clock},
        fleet::{Evacuations, FleetEvent},
        platform::{
            CONFIG_KEY, EVACUATIONS_PREFIX, OPERATOR_PREFIX, StoreChange, StoreItem,
            config_from_bytes, zone_from_evacuation,
        },
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Time that the store holds one watch open. Its reply confirms the configuration, so this bounds
/// the configuration's age.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);

/// The same once the configuration has not been confirmed for longer than a watch may take, as after
/// a slow transfer.
const CONFIRM_WAIT: Duration = Duration::from_millis(100);

/// Timeout of a read, and the margin of a watch beyond its own wait.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between a failed watch and the read that replaces it.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time between failed reads of the configuration.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Watches the operators' keys until the process exits. Where operators request no evacuations, only
/// the configuration is watched.
pub async fn run(shared: Arc<Shared>) {
    let prefix = match shared.settings.bounds.evacuation_ms {
        Some(_) => OPERATOR_PREFIX,
        None => CONFIG_KEY,
    };
    let mut revision = None;
    loop {
        let sent_at = clock::mono();
        match revision {
            // Continues from the store's revision that the range returns. The item's own revision
            // may be older than the store's history, and a watch from it would fail at once.
            None => match shared.range(prefix, REPLY_TIMEOUT).await {
                Ok((items, next)) if items.iter().any(|i| i.key == CONFIG_KEY) => {
                    revision = Some(next);
                    let zones = items.iter().filter_map(|i| zone_or_log(&shared, i));
                    set_evacuations(&shared, zones.collect(), next);
                    for item in &items {
                        apply_if_newer(&shared, item);
                    }
                    shared.record_config_confirmed(sent_at);
                }
                Ok(_) | Err(_) => tokio::time::sleep(READ_RETRY_INTERVAL).await,
            },
            Some(after) => {
                let wait = watch_wait(Duration::from_millis(shared.config_age_ms()));
                let result = shared.watch(prefix, after, wait, REPLY_TIMEOUT).await;
                let Ok((changes, next)) = result else {
                    revision = None;
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                    continue;
                };
                revision = Some(next);
                update_evacuations(&shared, &changes, next);
                for change in changes {
                    if let StoreChange::Set(item) = change {
                        apply_if_newer(&shared, &item);
                    }
                }
                shared.record_config_confirmed(sent_at);
            }
        }
    }
}

/// Returns how long the next watch may be held open, given the configuration's age. The age is that of
/// the call that confirmed it, so a watch that was held open leaves it at [`WATCH_WAIT`] and more.
pub fn watch_wait(config_age: Duration) -> Duration {
    if config_age > WATCH_WAIT + REPLY_TIMEOUT {
        CONFIRM_WAIT
    } else {
        WATCH_WAIT
    }
}

/// Returns the zone that an item requests to evacuate; logs an item that is malformed or names a
/// zone that the deployment does not have.
pub(super) fn zone_or_log(shared: &Shared, item: &StoreItem) -> Option<Arc<str>> {
    let zone = match zone_from_evacuation(&item.key, &item.value) {
        Ok(zone) => zone?,
        Err(e) => {
            shared.log_event(FleetEvent::BadEntry, &e.to_string());
            return None;
        }
    };
    let zones = &shared.settings.zones;
    if !zones.is_empty() && !zones.contains(&zone) {
        let detail = format!("{}: there is no zone {zone}", item.key);
        shared.log_event(FleetEvent::BadEntry, &detail);
        return None;
    }
    Some(zone)
}

fn update_evacuations(shared: &Shared, changes: &[StoreChange], revision: u64) {
    let mut zones = shared.evacuations.borrow().zones.clone();
    for change in changes {
        match change {
            StoreChange::Set(item) => zones.extend(zone_or_log(shared, item)),
            StoreChange::Removed(key) => {
                if let Some(zone) = key.strip_prefix(EVACUATIONS_PREFIX) {
                    zones.remove(zone);
                }
            }
        }
    }
    set_evacuations(shared, zones, revision);
}

/// Replaces the zones to evacuate as of a revision of the store.
fn set_evacuations(shared: &Shared, zones: BTreeSet<Arc<str>>, revision: u64) {
    shared.evacuations.send_if_modified(|current| {
        let changed = current.zones != zones;
        *current = Arc::new(Evacuations { revision, zones });
        changed
    });
}

/// Puts a configuration in force if its version is newer than the current one; logs one that
/// cannot be decoded.
fn apply_if_newer(shared: &Shared, item: &StoreItem) {
    if item.key != CONFIG_KEY {
        return;
    }
    let config = match config_from_bytes(&item.value) {
        Ok((config, skipped)) => {
            shared.log_skipped("config", &skipped);
            Arc::new(config)
        }
        Err(e) => {
            shared.log_event(FleetEvent::BadEntry, &e.to_string());
            return;
        }
    };
    let version = config.version;
    let newer = shared.config.send_if_modified(|current| {
        let newer = current.as_ref().is_none_or(|o| o.version < config.version);
        if newer {
            *current = Some(config);
        }
        newer
    });
    if newer {
        let detail = format!("version={version} revision={}", item.revision);
        shared.log_event(FleetEvent::ConfigInForce, &detail);
    }
}
