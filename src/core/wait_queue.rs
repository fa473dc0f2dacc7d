//! A shard owner's queue of placements that wait for free capacity or quota.
//!
//! `node_placement` pushes requests and picks them in `service_order`: urgent ones first, then by
//! the organisations' usage of their share. The queue itself places and refuses nothing.

use {
    crate::core::{
        Message, Millis, NodeId, OrganisationName, PlacementRequest, PoolName, Priority, TaskId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Max placements queued on one node.
const MAX_QUEUE_LEN: usize = 100_000;

/// A queued placement request.
#[derive(Clone, Debug)]
pub struct QueuedPlacement {
    pub request: PlacementRequest,
    /// The node to send a refusal to.
    pub from: NodeId,
    /// When the request is refused if it is still queued.
    pub expires_at: Millis,
}

/// Placements of one organisation in one pool, by priority, then in order of arrival.
type OrganisationQueue = BTreeMap<(Priority, u64), QueuedPlacement>;

/// Key of an `OrganisationQueue`: its organisation and pool.
pub type OrganisationQueueKey = (OrganisationName, PoolName);

/// Queued placements by organisation and pool; the three maps hold the same ones.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<OrganisationQueueKey, OrganisationQueue>,
    by_task: BTreeMap<TaskId, (OrganisationQueueKey, (Priority, u64))>,
    by_expiry: BTreeSet<(Millis, TaskId)>,
    /// Sequence number of the last placement added.
    last_seq: u64,
}

impl WaitQueue {
    /// Returns the number of queued placements.
    pub fn len(&self) -> usize {
        self.by_task.len()
    }

    /// Returns whether no placement is queued.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns whether a task's placement is queued.
    pub fn contains(&self, task: &TaskId) -> bool {
        self.by_task.contains_key(task)
    }

    /// Adds a placement, whose task must not be queued yet; returns false if the queue is full.
    pub fn push(&mut self, placement: QueuedPlacement) -> bool {
        if self.len() >= MAX_QUEUE_LEN {
            return false;
        }
        let spec = &placement.request.spec;
        let key = (spec.organisation.clone(), spec.pool.clone());
        self.last_seq += 1;
        let position = (spec.priority, self.last_seq);
        self.by_task
            .insert(spec.id.clone(), (key.clone(), position));
        self.by_expiry
            .insert((placement.expires_at, spec.id.clone()));
        self.queues
            .entry(key)
            .or_default()
            .insert(position, placement);
        true
    }

    /// Removes and returns a task's placement; `None` if it is not queued.
    pub fn remove(&mut self, task: &TaskId) -> Option<QueuedPlacement> {
        let (key, position) = self.by_task.remove(task)?;
        let queue = self.queues.get_mut(&key)?;
        let placement = queue.remove(&position)?;
        if queue.is_empty() {
            self.queues.remove(&key);
        }
        self.by_expiry.remove(&(placement.expires_at, task.clone()));
        Some(placement)
    }

    /// Removes and returns the placements that have expired, the earliest first.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<QueuedPlacement> {
        let mut expired = Vec::new();
        while let Some((at, task)) = self.by_expiry.first().cloned() {
            if at > now {
                break;
            }
            expired.extend(self.remove(&task));
        }
        expired
    }

    /// Removes and returns the placements for which `predicate` is true.
    pub fn remove_where(
        &mut self,
        predicate: impl Fn(&QueuedPlacement) -> bool,
    ) -> Vec<QueuedPlacement> {
        let all = self.queues.values().flat_map(BTreeMap::values);
        let tasks: Vec<TaskId> = all
            .filter(|p| predicate(p))
            .map(|p| p.request.spec.id.clone())
            .collect();
        tasks.iter().filter_map(|t| self.remove(t)).collect()
    }

    /// Returns the queues in the order in which they are served.
    ///
    /// Queues headed by an urgent placement come first, then those of the organisation with the
    /// lowest `usage` of its share, then those whose head was queued first.
    pub fn service_order(
        &self,
        usage: impl Fn(&OrganisationName) -> f64,
    ) -> Vec<OrganisationQueueKey> {
        let mut keys: Vec<(bool, f64, u64, &OrganisationQueueKey)> = self
            .queues
            .iter()
            .filter_map(|(key, queue)| {
                let ((priority, seq), _) = queue.first_key_value()?;
                Some((*priority != Priority::Urgent, usage(&key.0), *seq, key))
            })
            .collect();
        keys.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        keys.into_iter().map(|(_, _, _, key)| key.clone()).collect()
    }

    /// Returns the tasks of the first `n` placements of a queue.
    pub fn first_tasks(&self, key: &OrganisationQueueKey, n: usize) -> Vec<TaskId> {
        let queue = self.queues.get(key).into_iter();
        queue
            .flat_map(BTreeMap::values)
            .take(n)
            .map(|p| p.request.spec.id.clone())
            .collect()
    }

    /// Returns a task's queued placement.
    pub fn get(&self, task: &TaskId) -> Option<&QueuedPlacement> {
        let (key, position) = self.by_task.get(task)?;
        self.queues.get(key)?.get(position)
    }

    /// Returns the number of queued placements of each organisation that has any.
    pub fn counts_by_organisation(&self) -> BTreeMap<OrganisationName, usize> {
        let mut counts = BTreeMap::new();
        for ((organisation, _), queue) in &self.queues {
            *counts.entry(organisation.clone()).or_default() += queue.len();
        }
        counts
    }
}

/// Builds the message that refuses a queued placement.
pub fn refusal_message(queued: &QueuedPlacement, reason: crate::core::RefuseReason) -> Message {
    Message::Refused {
        task: queued.request.spec.id.clone(),
        reason,
    }
}
