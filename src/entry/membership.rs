//! The node's lease in the store, the view of live nodes, and claims of ownership.

use {
    crate::{
        core::Millis,
        entry::{
            OwnerInput, Shared, claim_rank, clock, owner, owner::OwnershipClaim, should_step_down,
            store_keys as keys,
        },
        fleet::{EpochRecord, FleetEvent, NodeRecord, OwnerRecord},
        platform::{StoreChange, StoreError, StoreItem, Transaction},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// Life of the node's lease without renewal: bounds how long starts wait after the loss of
/// an owner, and outlasts a store that is 60 times slower than usual.
const LEASE: Duration = Duration::from_millis(1_200);

/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Time until an unanswered call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Wait of one watch of the members.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time until a failed watch is replaced by a read.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Time between attempts after a failure.
const PAUSE: Duration = Duration::from_millis(150);

/// Time by which the next node in order waits longer before it claims, so that mostly one does.
const CLAIM_STAGGER: Duration = Duration::from_millis(60);

/// Time in office after which an owner looks for a much stronger node, in ms: after a loss of
/// power all nodes are back within about 0.3 s.
const CEDE_AFTER_MS: Millis = 500;

/// Time that a node which ceded leaves to others before it claims again.
const CEDE_PAUSE: Duration = Duration::from_secs(1);

/// Time before a node cedes once more, in ms: a stronger node that keeps failing must not
/// interrupt the starts each time it is back.
const CEDE_AGAIN_MS: Millis = 30_000;

/// Holds the node's lease and key; publishes the lease's number.
pub async fn keep_lease(shared: Arc<Shared>, lease: watch::Sender<Option<u64>>) {
    while !shared.is_draining() {
        let Some(id) = register(&shared).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        lease.send_replace(Some(id));
        let mut confirmed = clock::mono();
        loop {
            tokio::time::sleep(RENEW_INTERVAL).await;
            match shared.renew(id, CALL_TIMEOUT).await {
                Ok(()) => {
                    confirmed = clock::mono();
                }
                Err(StoreError::LeaseNotFound) => break,
                Err(_) => {}
            }
            if clock::mono() > confirmed + Millis::from(60_000_u32) {
                break;
            }
        }
        lease.send_replace(None);
    }
}

/// Creates a lease and the node's key under it.
async fn register(shared: &Shared) -> Option<u64> {
    let shortest = Duration::from_millis(shared.settings.bounds.min_store_lease_ms);
    let ttl = LEASE.max(shortest);
    let id = shared.grant(ttl, CALL_TIMEOUT).await.ok()?;
    let record = NodeRecord {
        node: shared.node.clone(),
        address: Arc::from(shared.settings.peer_address.to_string()),
        cpu_milli: shared.settings.cpu_milli,
    };
    let value = keys::encode(&record).ok()?;
    let txn = Transaction {
        set: vec![(format!("{}{}", keys::NODES_PREFIX, shared.node), value, id)],
        ..Transaction::default()
    };
    shared.commit(&txn, CALL_TIMEOUT).await.ok()?;
    Some(id)
}

/// Follows the keys of nodes and owner.
pub async fn watch_members(shared: Arc<Shared>) {
    let mut items: BTreeMap<String, StoreItem> = BTreeMap::new();
    let mut revision = None;
    loop {
        let Some(after) = revision else {
            if let Ok((all, next)) = shared.range(keys::MEMBERS_PREFIX, CALL_TIMEOUT).await {
                items = all.into_iter().map(|i| (i.key.clone(), i)).collect();
                revision = Some(next);
                publish(&shared, &items);
            } else {
                tokio::time::sleep(PAUSE).await;
            }
            continue;
        };
        let answer = shared
            .watch(keys::MEMBERS_PREFIX, after, WATCH_WAIT, CALL_TIMEOUT)
            .await;
        let Ok((changes, next)) = answer else {
            revision = None;
            tokio::time::sleep(WATCH_PAUSE).await;
            continue;
        };
        revision = Some(next);
        for change in changes {
            match change {
                StoreChange::Set(item) => {
                    items.insert(item.key.clone(), item);
                }
                StoreChange::Removed(key) => {
                    items.remove(&key);
                }
            }
        }
        publish(&shared, &items);
    }
}

fn publish(shared: &Shared, items: &BTreeMap<String, StoreItem>) {
    let node = |i: &StoreItem| keys::decode::<NodeRecord>(&i.key, &i.value).ok();
    let nodes = items
        .values()
        .filter(|i| i.key.starts_with(keys::NODES_PREFIX));
    shared.set_nodes(nodes.filter_map(node).collect());
    let owner = items.get(keys::OWNER);
    let record = owner.and_then(|i| keys::decode::<OwnerRecord>(&i.key, &i.value).ok());
    shared.owner.send_if_modified(|old| {
        let changed = *old != record;
        *old = record;
        changed
    });
}

/// Claims ownership whenever there is no owner, and runs the cell while this node owns it.
pub async fn run_election(shared: Arc<Shared>, lease: watch::Receiver<Option<u64>>) {
    let mut view = shared.owner.subscribe();
    let mut ceded = None;
    loop {
        let vacant = {
            let record = view.borrow_and_update();
            record.as_ref().is_none_or(|r| predecessor(&shared, r))
        };
        let ready = shared.config.borrow().is_some() && !shared.is_draining();
        let id = *lease.borrow();
        if let (true, true, Some(id)) = (vacant, ready, id) {
            tokio::time::sleep(stagger(&shared)).await;
            if let Some(claim) = claim(&shared, id).await {
                hold_office(&shared, claim, &mut view, &mut ceded).await;
                continue;
            }
        }
        let _ = tokio::time::timeout(PAUSE, view.changed()).await;
    }
}

/// Tells whether an owner was an earlier life of this very node.
fn predecessor(shared: &Shared, record: &OwnerRecord) -> bool {
    *record.address == *shared.settings.peer_address.to_string() && record.node != shared.node
}

/// Returns how long this node lets others claim first.
fn stagger(shared: &Shared) -> Duration {
    let place = claim_rank(&shared.nodes(), &shared.node);
    CLAIM_STAGGER * u32::try_from(place).unwrap_or(0)
}

/// Writes owner and epoch if there is no owner; none if another node was first.
async fn claim(shared: &Shared, lease: u64) -> Option<OwnershipClaim> {
    let (owner, epoch) = tokio::join!(
        shared.get(keys::OWNER, CALL_TIMEOUT),
        shared.get(keys::EPOCH, CALL_TIMEOUT),
    );
    let (owner, epoch) = (owner.ok()?, epoch.ok()?);
    let old = owner
        .as_ref()
        .and_then(|i| keys::decode::<OwnerRecord>(&i.key, &i.value).ok());
    if old.is_some_and(|r| !predecessor(shared, &r)) {
        return None;
    }
    let last = match &epoch {
        Some(item) => {
            keys::decode::<EpochRecord>(&item.key, &item.value)
                .ok()?
                .token
        }
        None => 0,
    };
    let record = EpochRecord {
        token: last + 1,
        node: shared.node.clone(),
    };
    let office = OwnerRecord {
        token: record.token,
        node: shared.node.clone(),
        address: Arc::from(shared.settings.peer_address.to_string()),
    };
    let revision = |i: &Option<StoreItem>| i.as_ref().map_or(0, |i| i.revision);
    let txn = Transaction {
        expect: vec![
            (keys::OWNER.to_owned(), revision(&owner)),
            (keys::EPOCH.to_owned(), revision(&epoch)),
        ],
        set: vec![
            (keys::OWNER.to_owned(), keys::encode(&office).ok()?, lease),
            (keys::EPOCH.to_owned(), keys::encode(&record).ok()?, 0),
        ],
        remove: Vec::new(),
    };
    match shared.commit(&txn, CALL_TIMEOUT).await {
        Ok(revision) => Some(OwnershipClaim {
            epoch: record,
            revision,
        }),
        Err(StoreError::Unknown) => confirm(shared, record).await,
        Err(_) => None,
    }
}

/// Looks whether a claim whose answer was lost was carried out.
async fn confirm(shared: &Shared, record: EpochRecord) -> Option<OwnershipClaim> {
    let item = shared.get(keys::EPOCH, CALL_TIMEOUT).await.ok()??;
    let found = keys::decode::<EpochRecord>(&item.key, &item.value).ok()?;
    (found == record).then_some(OwnershipClaim {
        epoch: record,
        revision: item.revision,
    })
}

/// Runs the cell until a newer owner is seen, or the node stops.
async fn hold_office(
    shared: &Arc<Shared>,
    claim: OwnershipClaim,
    view: &mut watch::Receiver<Option<OwnerRecord>>,
    ceded: &mut Option<Millis>,
) {
    let token = claim.epoch.token;
    let began = clock::mono();
    let may_cede = ceded.is_none_or(|at| began > at + CEDE_AGAIN_MS);
    let (tx, rx) = mpsc::unbounded_channel();
    let run = owner::run(shared.clone(), claim, tx.clone(), rx);
    tokio::pin!(run);
    let gives_way = loop {
        tokio::select! {
            result = &mut run => {
                if result.is_err() {
                    shared.log_event(FleetEvent::OwnerLost, "records could not be read; given up");
                    resign(shared, token).await;
                }
                return;
            }
            _ = view.changed() => {
                let newer = view.borrow_and_update().as_ref().is_some_and(|r| r.token > token);
                if newer {
                    let _ = tx.send(OwnerInput::StepDown);
                }
            }
            () = stopping(shared) => break false,
            () = outranked(shared, began), if may_cede => break true,
        }
    };
    if gives_way {
        shared.log_event(FleetEvent::OwnerLost, "ceded to a stronger node");
    }
    let _ = tx.send(OwnerInput::StepDown);
    let _ = (&mut run).await;
    resign(shared, token).await;
    if gives_way {
        *ceded = Some(clock::mono());
        tokio::time::sleep(CEDE_PAUSE).await;
    }
}

/// Waits until a much stronger node lives, which has had time to settle.
async fn outranked(shared: &Shared, began: Millis) {
    while clock::mono() < began + CEDE_AFTER_MS || !should_step_down(&shared.nodes(), &shared.node)
    {
        tokio::time::sleep(PAUSE).await;
    }
}

async fn stopping(shared: &Shared) {
    while !shared.is_draining() {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Gives ownership up, so that another node need not wait for the lease to expire.
async fn resign(shared: &Shared, token: u64) {
    let Ok(Some(item)) = shared.get(keys::OWNER, CALL_TIMEOUT).await else {
        return;
    };
    let mine = keys::decode::<OwnerRecord>(&item.key, &item.value);
    if mine.is_ok_and(|r| r.token == token) {
        let txn = Transaction {
            expect: vec![(item.key.clone(), item.revision)],
            set: Vec::new(),
            remove: vec![item.key],
        };
        // If it fails, the lease expires.
        let _ = shared.commit(&txn, CALL_TIMEOUT).await;
    }
}
