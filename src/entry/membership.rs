//! The node's lease in the store, the list of live nodes, and the election of the cell owner.
//! The daemon runs the three public tasks. A node becomes the owner only by a transaction on the
//! owner and epoch keys, and must not run the cell without it.

use {
    crate::{
        core::Millis,
        entry::{
            OwnerInput, Shared, StoreLease, claim_rank, clock, owner, owner::OwnershipClaim,
            should_step_down, store_keys as keys, takeover::ok_or_log,
        },
        fleet::{
            EpochRecord, FleetEvent, NODE_PROTOCOL, NodeRecord, OwnerRecord, policy::OwnershipProof,
        },
        platform::{StoreChange, StoreError, StoreItem, Transaction},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// TTL of the node's lease. Bounds how long starts wait after the loss of an owner, and leaves
/// time to renew when the store is 60 times slower than usual.
const LEASE_TTL: Duration = Duration::from_millis(1_200);

/// Time between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a call to the store, and the margin of a watch beyond its own wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time that the store holds one watch of the members open. If the connection goes silent, the loss of
/// the owner shows only after that.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Time between a failed watch and the read that replaces it.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Age of the last successful renewal after which a lease is given up, in ms.
const MAX_LEASE_AGE_MS: Millis = 60_000;

/// Time between attempts after a failure, and between checks of a condition.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Delay of a claim per rank, so that usually only one node claims.
const CLAIM_STAGGER: Duration = Duration::from_millis(60);

/// Time that an owner serves before it may step down for a much stronger node, in ms. After a
/// power failure all nodes are back within about 0.3 s.
const MIN_OWNER_TIME_MS: Millis = 500;

/// Maximum time of a planned hand-over of ownership: leaves time to release it before a stopped process
/// ends.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time that a node which stepped down waits for other nodes before it claims again.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);

/// Min interval at which a node steps down for a stronger one, in ms. A stronger node that keeps
/// failing must not interrupt starts each time it is back.
const MIN_STEP_DOWN_INTERVAL_MS: Millis = 30_000;

/// Keeps the node's lease and key in the store, and publishes the lease; none while there is no
/// lease. Registers again when the lease is gone or could not be renewed for 60 s, but not while
/// draining.
pub async fn keep_lease(shared: Arc<Shared>) {
    while !shared.is_draining() {
        let Some(lease) = register(&shared).await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let mut proof = lease.proof;
        shared.store_lease.send_replace(Some(lease));
        while clock::mono() < proof.sent_at + MAX_LEASE_AGE_MS {
            tokio::time::sleep(RENEW_INTERVAL).await;
            let sent_at = clock::mono();
            match shared.renew(lease.id, STORE_TIMEOUT).await {
                Ok(()) => {
                    proof.sent_at = sent_at;
                    let renewed = StoreLease { proof, ..lease };
                    shared.store_lease.send_replace(Some(renewed));
                }
                Err(StoreError::LeaseNotFound) => break,
                Err(_) => {}
            }
        }
        shared.store_lease.send_replace(None);
    }
}

/// Creates a lease and the node's key under it; returns the lease.
async fn register(shared: &Shared) -> Option<StoreLease> {
    let min_ttl = Duration::from_millis(shared.settings.bounds.min_store_lease_ms);
    let sent_at = clock::mono();
    let granted = shared.grant(LEASE_TTL.max(min_ttl), STORE_TIMEOUT).await;
    let (id, ttl_ms) = granted.ok()?;
    let proof = OwnershipProof { sent_at, ttl_ms };
    let record = NodeRecord {
        node: shared.node.clone(),
        address: Arc::from(shared.settings.peer_address.to_string()),
        cpu_milli: shared.settings.cpu_milli,
        protocol: NODE_PROTOCOL,
    };
    let value = record.encode().ok()?;
    let txn = Transaction {
        set: vec![(format!("{}{}", keys::NODES_PREFIX, shared.node), value, id)],
        ..Transaction::default()
    };
    shared.commit(&txn, STORE_TIMEOUT).await.ok()?;
    Some(StoreLease { id, proof })
}

/// Watches the keys of nodes and owner, and publishes both to the node's shared state.
pub async fn watch_members(shared: Arc<Shared>) {
    let mut items: BTreeMap<String, StoreItem> = BTreeMap::new();
    let mut revision = None;
    loop {
        let Some(after) = revision else {
            if let Ok((all, next)) = shared.range(keys::MEMBERS_PREFIX, STORE_TIMEOUT).await {
                items = all.into_iter().map(|i| (i.key.clone(), i)).collect();
                revision = Some(next);
                publish_members(&shared, &items);
            } else {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            continue;
        };
        let result = shared
            .watch(keys::MEMBERS_PREFIX, after, WATCH_WAIT, STORE_TIMEOUT)
            .await;
        let Ok((changes, next)) = result else {
            revision = None;
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
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
        publish_members(&shared, &items);
    }
}

fn publish_members(shared: &Shared, items: &BTreeMap<String, StoreItem>) {
    let node = |i: &StoreItem| ok_or_log(shared, keys::decode_node(&i.key, &i.value));
    let nodes = items
        .values()
        .filter(|i| i.key.starts_with(keys::NODES_PREFIX));
    shared.set_nodes(nodes.filter_map(node).collect());
    let owner = items.get(keys::OWNER);
    let record = owner.and_then(|i| ok_or_log(shared, keys::decode(&i.key, &i.value)));
    shared.owner.send_if_modified(|current| {
        let changed = *current != record;
        *current = record;
        changed
    });
}

/// Claims ownership whenever there is no owner, and runs the cell while this node is the owner.
pub async fn run_election(shared: Arc<Shared>) {
    let mut owner_rx = shared.owner.subscribe();
    let mut stepped_down_at = None;
    loop {
        let no_owner = {
            let record = owner_rx.borrow_and_update();
            record.as_ref().is_none_or(|r| names_this_node(&shared, r))
        };
        let ready = shared.config.borrow().is_some() && !shared.is_draining();
        let lease = *shared.store_lease.borrow();
        if let (true, true, Some(lease)) = (no_owner, ready, lease) {
            tokio::time::sleep(claim_delay(&shared)).await;
            if let Some(claim) = claim(&shared, lease.id).await {
                run_owner(&shared, claim, &mut owner_rx, &mut stepped_down_at).await;
                continue;
            }
        }
        let _ = tokio::time::timeout(RETRY_INTERVAL, owner_rx.changed()).await;
    }
}

/// Returns whether a record names this node as the owner while it does not run the cell: it was
/// written by an earlier incarnation, or by a claim or release whose reply was lost.
fn names_this_node(shared: &Shared, record: &OwnerRecord) -> bool {
    *record.address == *shared.settings.peer_address.to_string()
}

/// Returns how long this node waits for better-ranked nodes to claim first.
fn claim_delay(shared: &Shared) -> Duration {
    let rank = claim_rank(&shared.nodes(), &shared.node);
    CLAIM_STAGGER * u32::try_from(rank).unwrap_or(0)
}

/// Writes the owner and epoch keys if there is no owner; none if another node claimed first or
/// the store could not be read or written.
async fn claim(shared: &Shared, lease: u64) -> Option<OwnershipClaim> {
    let (owner, epoch) = tokio::join!(
        shared.get(keys::OWNER, STORE_TIMEOUT),
        shared.get(keys::EPOCH, STORE_TIMEOUT),
    );
    let (owner, epoch) = (owner.ok()?, epoch.ok()?);
    let current = owner
        .as_ref()
        .and_then(|i| keys::decode::<OwnerRecord>(&i.key, &i.value).ok());
    if current.is_some_and(|r| !names_this_node(shared, &r)) {
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
    let owner_record = OwnerRecord {
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
            (
                keys::OWNER.to_owned(),
                keys::encode(&owner_record).ok()?,
                lease,
            ),
            (keys::EPOCH.to_owned(), keys::encode(&record).ok()?, 0),
        ],
        remove: Vec::new(),
    };
    match shared.commit(&txn, STORE_TIMEOUT).await {
        Ok(revision) => Some(OwnershipClaim {
            epoch: record,
            revision,
            lease,
        }),
        Err(StoreError::Unknown) => confirm_claim(shared, record, lease).await,
        Err(_) => None,
    }
}

/// Reads whether a claim with an unknown outcome was written.
async fn confirm_claim(shared: &Shared, record: EpochRecord, lease: u64) -> Option<OwnershipClaim> {
    let item = shared.get(keys::EPOCH, STORE_TIMEOUT).await.ok()??;
    let found = keys::decode::<EpochRecord>(&item.key, &item.value).ok()?;
    (found == record).then_some(OwnershipClaim {
        epoch: record,
        revision: item.revision,
        lease,
    })
}

/// Runs the cell until there is a newer owner, the node drains or it steps down for a stronger
/// node. `stepped_down_at` is when it last did so.
async fn run_owner(
    shared: &Arc<Shared>,
    claim: OwnershipClaim,
    owner_rx: &mut watch::Receiver<Option<OwnerRecord>>,
    stepped_down_at: &mut Option<Millis>,
) {
    let token = claim.epoch.token;
    let started_at = clock::mono();
    let may_step_down =
        stepped_down_at.is_none_or(|at| started_at > at + MIN_STEP_DOWN_INTERVAL_MS);
    let (tx, rx) = mpsc::unbounded_channel();
    let run = owner::run(shared.clone(), claim, tx.clone(), rx);
    tokio::pin!(run);
    let steps_down = loop {
        tokio::select! {
            result = &mut run => {
                if result.is_err() {
                    shared.log_event(FleetEvent::OwnerLost, "records could not be read; given up");
                    release_ownership(shared, token).await;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                return;
            }
            _ = owner_rx.changed() => {
                let newer = owner_rx.borrow_and_update().as_ref().is_some_and(|r| r.token > token);
                if newer {
                    let _ = tx.send(OwnerInput::StepDown);
                }
            }
            () = wait_for_drain(shared) => break false,
            () = wait_for_stronger_node(shared, started_at), if may_step_down => break true,
        }
    };
    if steps_down {
        shared.log_event(FleetEvent::OwnerLost, "ceded to a stronger node");
    }
    let _ = tx.send(OwnerInput::HandOver);
    if tokio::time::timeout(HAND_OVER_TIMEOUT, &mut run)
        .await
        .is_err()
    {
        let _ = tx.send(OwnerInput::StepDown);
        let _ = (&mut run).await;
    }
    release_ownership(shared, token).await;
    if steps_down {
        *stepped_down_at = Some(clock::mono());
        tokio::time::sleep(STEP_DOWN_DELAY).await;
    }
}

/// Waits until this node has served for `MIN_OWNER_TIME_MS` and a much stronger node is live.
async fn wait_for_stronger_node(shared: &Shared, started_at: Millis) {
    while clock::mono() < started_at + MIN_OWNER_TIME_MS
        || !should_step_down(&shared.nodes(), &shared.node)
    {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn wait_for_drain(shared: &Shared) {
    while !shared.is_draining() {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Deletes the owner key, so that the next owner need not wait for the lease to expire.
async fn release_ownership(shared: &Shared, token: u64) {
    let Ok(Some(item)) = shared.get(keys::OWNER, STORE_TIMEOUT).await else {
        return;
    };
    let current = keys::decode::<OwnerRecord>(&item.key, &item.value);
    if current.is_ok_and(|r| r.token == token) {
        let txn = Transaction {
            expect: vec![(item.key.clone(), item.revision)],
            set: Vec::new(),
            remove: vec![item.key],
        };
        // If this fails, the key expires with the lease.
        let _ = shared.commit(&txn, STORE_TIMEOUT).await;
    }
}
