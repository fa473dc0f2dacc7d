//! Placements that wait for room on an owner, served by priority and share.

use {
    crate::core::{
        Message, Millis, NodeId, OrganisationName, PlacementRequest, PoolName, Priority, TaskId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Most asks that wait on one node.
const MAX_QUEUE_LEN: usize = 100_000;

/// A waiting ask.
#[derive(Clone, Debug)]
pub struct QueuedPlacement {
    pub request: PlacementRequest,
    pub from: NodeId,
    pub expires_at: Millis,
}

/// Asks of one team for one pool, in order of service.
type Lane = BTreeMap<(Priority, u64), QueuedPlacement>;

/// Key of a lane.
pub type LaneKey = (OrganisationName, PoolName);

/// Waiting asks by team and pool.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    lanes: BTreeMap<LaneKey, Lane>,
    by_task: BTreeMap<TaskId, (LaneKey, (Priority, u64))>,
    by_expiry: BTreeSet<(Millis, TaskId)>,
    last: u64,
}

impl WaitQueue {
    /// Returns how many asks wait.
    pub fn len(&self) -> usize {
        self.by_task.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Tells whether a task waits.
    pub fn contains(&self, task: &TaskId) -> bool {
        self.by_task.contains_key(task)
    }

    /// Adds an ask; returns false if the queue is full.
    pub fn push(&mut self, waiting: QueuedPlacement) -> bool {
        if self.len() >= MAX_QUEUE_LEN {
            return false;
        }
        let spec = &waiting.request.spec;
        let lane = (spec.organisation.clone(), spec.pool.clone());
        self.last += 1;
        let place = (spec.priority, self.last);
        self.by_task.insert(spec.id.clone(), (lane.clone(), place));
        self.by_expiry.insert((waiting.expires_at, spec.id.clone()));
        self.lanes.entry(lane).or_default().insert(place, waiting);
        true
    }

    /// Removes a task's ask.
    pub fn remove(&mut self, task: &TaskId) -> Option<QueuedPlacement> {
        let (key, place) = self.by_task.remove(task)?;
        let lane = self.lanes.get_mut(&key)?;
        let waiting = lane.remove(&place)?;
        if lane.is_empty() {
            self.lanes.remove(&key);
        }
        self.by_expiry.remove(&(waiting.expires_at, task.clone()));
        Some(waiting)
    }

    /// Removes all asks whose wait has ended.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<QueuedPlacement> {
        let mut out = Vec::new();
        while let Some((at, task)) = self.by_expiry.first().cloned() {
            if at > now {
                break;
            }
            out.extend(self.remove(&task));
        }
        out
    }

    /// Removes all asks for which `gone` holds.
    pub fn remove_where(
        &mut self,
        gone: impl Fn(&QueuedPlacement) -> bool,
    ) -> Vec<QueuedPlacement> {
        let all = self.lanes.values().flat_map(BTreeMap::values);
        let tasks: Vec<TaskId> = all
            .filter(|w| gone(w))
            .map(|w| w.request.spec.id.clone())
            .collect();
        tasks.iter().filter_map(|t| self.remove(t)).collect()
    }

    /// Orders lanes by priority of their head, then by the team's `usage` of its share.
    pub fn service_order(&self, usage: impl Fn(&OrganisationName) -> f64) -> Vec<LaneKey> {
        let mut keys: Vec<(bool, f64, u64, &LaneKey)> = self
            .lanes
            .iter()
            .filter_map(|(key, lane)| {
                let ((priority, seq), _) = lane.first_key_value()?;
                Some((*priority != Priority::Urgent, usage(&key.0), *seq, key))
            })
            .collect();
        keys.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        keys.into_iter().map(|(_, _, _, key)| key.clone()).collect()
    }

    /// Returns the first `n` asks of a lane.
    pub fn first_tasks(&self, key: &LaneKey, n: usize) -> Vec<TaskId> {
        let lane = self.lanes.get(key).into_iter();
        lane.flat_map(BTreeMap::values)
            .take(n)
            .map(|w| w.request.spec.id.clone())
            .collect()
    }

    /// Returns a waiting ask.
    pub fn get(&self, task: &TaskId) -> Option<&QueuedPlacement> {
        let (key, place) = self.by_task.get(task)?;
        self.lanes.get(key)?.get(place)
    }

    /// Counts the waiting asks of each team.
    pub fn counts_by_organisation(&self) -> BTreeMap<OrganisationName, usize> {
        let mut counts = BTreeMap::new();
        for ((organisation, _), lane) in &self.lanes {
            *counts.entry(organisation.clone()).or_default() += lane.len();
        }
        counts
    }
}

/// Message that refuses a waiting ask.
pub fn refusal_message(waiting: &QueuedPlacement, reason: crate::core::RefuseReason) -> Message {
    Message::Refused {
        task: waiting.request.spec.id.clone(),
        reason,
    }
}
