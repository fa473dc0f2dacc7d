//! Watches the configuration in the store, puts new versions in force, and records when it was
//! last confirmed. Started by the daemon on every node. It never goes back to an older version.

use {
    crate::{
        entry::{Shared, clock},
        fleet::FleetEvent,
        platform::{CONFIG_KEY, StoreChange, StoreItem, config_from_bytes},
    },
    std::{sync::Arc, time::Duration},
};

/// Time that the store holds one watch open. Its reply confirms the configuration, so this bounds
/// the configuration's age.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);

/// Timeout of a read, and the margin of a watch beyond its own wait.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between a failed watch and the read that replaces it.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time between failed reads of the configuration.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Watches the configuration until the process exits.
pub async fn run(shared: Arc<Shared>) {
    let mut revision = None;
    loop {
        let sent_at = clock::mono();
        match revision {
            // Continues from the store's revision that the range returns. The item's own revision
            // may be older than the store's history, and a watch from it would fail at once.
            None => match shared.range(CONFIG_KEY, REPLY_TIMEOUT).await {
                Ok((items, next)) if items.iter().any(|i| i.key == CONFIG_KEY) => {
                    revision = Some(next);
                    for item in &items {
                        apply_if_newer(&shared, item);
                    }
                    shared.record_config_confirmed(sent_at);
                }
                Ok(_) | Err(_) => tokio::time::sleep(READ_RETRY_INTERVAL).await,
            },
            Some(after) => {
                let result = shared
                    .watch(CONFIG_KEY, after, WATCH_WAIT, REPLY_TIMEOUT)
                    .await;
                let Ok((changes, next)) = result else {
                    revision = None;
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                    continue;
                };
                revision = Some(next);
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

/// Puts a configuration in force if its version is newer than the current one; logs one that
/// cannot be decoded.
fn apply_if_newer(shared: &Shared, item: &StoreItem) {
    if item.key != CONFIG_KEY {
        return;
    }
    let config = match config_from_bytes(&item.value) {
        Ok(config) => Arc::new(config),
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
