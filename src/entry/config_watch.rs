//! Keeps the configuration in force and knows how old that knowledge is.

use {
    crate::{
        entry::{Shared, clock},
        fleet::FleetEvent,
        platform::{CONFIG_KEY, StoreChange, StoreItem, config_from_bytes},
    },
    std::{sync::Arc, time::Duration},
};

/// Wait of one watch; its answer confirms the configuration, so this bounds its age.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);

/// Time beyond the wait until a watch counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time until a failed watch is replaced by a read.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Time between attempts while the store does not answer.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration until the node ends.
pub async fn run(shared: Arc<Shared>) {
    let mut revision = None;
    loop {
        let sent = clock::mono();
        match revision {
            // The range tells the store's revision; the item's own may be older than the
            // store's history, and a watch from it would fail at once.
            None => match shared.range(CONFIG_KEY, ANSWER_TIMEOUT).await {
                Ok((items, next)) if items.iter().any(|i| i.key == CONFIG_KEY) => {
                    revision = Some(next);
                    for item in &items {
                        adopt(&shared, item);
                    }
                    shared.record_config_confirmed(sent);
                }
                Ok(_) | Err(_) => tokio::time::sleep(PAUSE).await,
            },
            Some(after) => {
                let answer = shared
                    .watch(CONFIG_KEY, after, WATCH_WAIT, ANSWER_TIMEOUT)
                    .await;
                let Ok((changes, next)) = answer else {
                    revision = None;
                    tokio::time::sleep(WATCH_PAUSE).await;
                    continue;
                };
                revision = Some(next);
                for change in changes {
                    if let StoreChange::Set(item) = change {
                        adopt(&shared, &item);
                    }
                }
                shared.record_config_confirmed(sent);
            }
        }
    }
}

/// Puts a configuration in force unless a newer one already is.
fn adopt(shared: &Shared, item: &StoreItem) {
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
    let newer = shared.config.send_if_modified(|old| {
        let newer = old.as_ref().is_none_or(|o| o.version < config.version);
        if newer {
            *old = Some(config);
        }
        newer
    });
    if newer {
        let detail = format!("version={version} revision={}", item.revision);
        shared.log_event(FleetEvent::ConfigInForce, &detail);
    }
}
