//! Commands that other nodes send for the owner: which node sends them, which of them await a
//! reply, and until when a node may send one.
//!
//! Used by the owner task. Nothing here sends a message or reads a clock. A node in between makes a
//! command later or loses it, as the network does; fencing tokens, run numbers and lease ends are
//! the owner's.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            ExecutorCommand, ExecutorId,
            policy::{Dispatcher, MAX_CLOCK_LAG_MILLI, choose_dispatcher},
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time for which a node that got no reply from an executor sends it no commands, in ms; doubles with
/// each further failure.
const MIN_DETOUR_MS: Millis = 5_000;

/// Maximum of that time, in ms.
const MAX_DETOUR_MS: Millis = 60_000;

/// Nodes that got no reply from an executor after which the owner itself sends its commands: more
/// likely than the ways of two nodes, the executor is the cause.
const MAX_AVOIDED_NODES: usize = 2;

/// Bounds the executors to which the owner itself sends commands while other nodes could. Each costs it
/// as much as ten that nodes send for it, and a slow owner makes more commands fail.
const MAX_DIRECT_EXECUTORS: usize = 40;

/// A command to one executor, with what a node needs to send it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemoteCommand {
    pub call: CallId,
    pub executor: ExecutorId,
    /// IP address and port.
    pub address: Arc<str>,
    pub command: ExecutorCommand,
    /// Timeout of the call to the executor, in ms.
    pub timeout_ms: Millis,
    /// Time on the sending node's clock from which the command must not be sent, in ms since boot.
    pub send_before: Millis,
    /// Availability zone of the executor. Last, so that a node of an earlier version, which does
    /// not know the field, can read the rest.
    pub zone: Arc<str>,
}

/// A node that sends commands, as seen by the owner.
#[derive(Clone, Debug)]
struct Node {
    /// Lower bound of the node's clock minus the owner's, in ms, when it was read.
    clock_offset: i64,
    /// When it was read, in ms on the owner's monotonic clock.
    read_at: Millis,
}

impl Node {
    /// Returns the lower bound at `now`, as the node's clock may be slower than the owner's.
    fn offset_at(&self, now: Millis) -> i64 {
        let elapsed_ms = now.saturating_sub(self.read_at);
        let lag_ms = (elapsed_ms * MAX_CLOCK_LAG_MILLI).div_ceil(1_000);
        self.clock_offset - lag_ms.cast_signed()
    }
}

/// A command that another node sends and whose reply has not arrived.
#[derive(Clone, Debug)]
pub struct RemoteCall {
    pub node: Arc<str>,
    pub executor: ExecutorId,
    pub address: Arc<str>,
    /// The command if it can be sent again without the cell, which holds for renewals.
    pub renewal: Option<ExecutorCommand>,
    /// Timeout of the call to the executor, in ms.
    pub timeout_ms: Millis,
    /// When the owner stops waiting, in ms on its monotonic clock.
    pub times_out_at: Millis,
}

/// How the commands of an executor go for a time, after a node got no reply.
#[derive(Clone, Debug, Default)]
struct Detour {
    until: Millis,
    duration_ms: Millis,
    /// Nodes that got no reply.
    avoided: Vec<Arc<str>>,
    /// The owner itself sends the commands.
    direct: bool,
    /// The node chosen among the others; none until the next command, or if `direct`.
    node: Option<Arc<str>>,
}

/// Nodes that send commands for the owner, and the calls in flight. Times are in ms on the owner's
/// monotonic clock unless stated.
#[derive(Debug, Default)]
pub struct Dispatch {
    nodes: BTreeMap<Arc<str>, Node>,
    /// The same nodes, in the form that the choice takes.
    dispatchers: Vec<Dispatcher>,
    /// The choice made for each executor; emptied when the nodes change.
    chosen: HashMap<ExecutorId, Arc<str>>,
    calls: HashMap<CallId, RemoteCall>,
    detours: HashMap<ExecutorId, Detour>,
}

impl Dispatch {
    /// Adds a node or updates it. `node_ms` is a reading of its clock, taken before `now`; one that waited
    /// longer than an earlier one does not replace it. Returns whether the node was added.
    pub fn set_node(&mut self, dispatcher: Dispatcher, node_ms: Millis, now: Millis) -> bool {
        let clock_offset = node_ms.cast_signed() - now.cast_signed();
        let known = self.nodes.get(&dispatcher.node);
        let is_new = known.is_none();
        if known.is_none_or(|n| n.offset_at(now) <= clock_offset) {
            let node = Node {
                clock_offset,
                read_at: now,
            };
            self.nodes.insert(dispatcher.node.clone(), node);
        }
        if !self.dispatchers.contains(&dispatcher) {
            self.dispatchers.retain(|d| d.node != dispatcher.node);
            self.dispatchers.push(dispatcher);
            self.clear_choices();
        }
        is_new
    }

    /// Removes a node; returns its calls in flight, whose outcome is unknown.
    pub fn remove_node(&mut self, node: &str) -> Vec<(CallId, RemoteCall)> {
        if self.nodes.remove(node).is_none() {
            return Vec::new();
        }
        self.dispatchers.retain(|d| *d.node != *node);
        self.clear_choices();
        self.calls.extract_if(|_, c| *c.node == *node).collect()
    }

    /// Returns the number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the node that sends the commands of an executor; `None` if the owner does.
    pub fn route(&mut self, executor: &ExecutorId, zone: &str, now: Millis) -> Option<Arc<str>> {
        if let Some(detour) = self.detours.get_mut(executor).filter(|d| now < d.until) {
            if !detour.direct && detour.node.is_none() {
                detour.node = choose_other(executor, zone, &self.dispatchers, &detour.avoided);
            }
            return detour.node.clone();
        }
        if let Some(node) = self.chosen.get(executor) {
            return Some(node.clone());
        }
        let index = choose_dispatcher(executor, zone, &self.dispatchers)?;
        let node = self.dispatchers[index].node.clone();
        self.chosen.insert(executor.clone(), node.clone());
        Some(node)
    }

    /// Returns a time on the node's clock that is not after `owner_ms` on the owner's; `None` if the
    /// node is not known.
    pub fn to_node_clock(&self, node: &str, owner_ms: Millis) -> Option<Millis> {
        let offset = self.nodes.get(node)?.offset_at(owner_ms);
        Some(owner_ms.saturating_add_signed(offset))
    }

    /// Records a command that was passed to a node.
    pub fn add_call(&mut self, call: CallId, remote: RemoteCall) {
        self.calls.insert(call, remote);
    }

    /// Ends a call; `None` if it was given up before. `answered` is whether the executor replied.
    pub fn complete(&mut self, call: CallId, answered: bool, now: Millis) -> Option<RemoteCall> {
        let remote = self.calls.remove(&call)?;
        if answered {
            let works_again = |d: &Detour| now >= d.until || d.avoided.contains(&remote.node);
            if self.detours.get(&remote.executor).is_some_and(works_again) {
                self.detours.remove(&remote.executor);
            }
        } else {
            self.avoid_node(&remote, now);
        }
        Some(remote)
    }

    /// Gives up the calls whose replies are overdue, and returns them. Failures of long ago no longer
    /// count.
    pub fn expire(&mut self, now: Millis) -> Vec<(CallId, RemoteCall)> {
        self.detours.retain(|_, d| now < d.until + MAX_DETOUR_MS);
        let overdue = |_: &CallId, c: &mut RemoteCall| c.times_out_at <= now;
        let overdue: Vec<_> = self.calls.extract_if(overdue).collect();
        for (_, remote) in &overdue {
            self.avoid_node(remote, now);
        }
        overdue
    }

    fn clear_choices(&mut self) {
        self.chosen.clear();
        self.detours.values_mut().for_each(|d| d.node = None);
    }

    /// Has another node send the commands of an executor for a time, or the owner if two nodes got
    /// no reply or there is no other.
    fn avoid_node(&mut self, remote: &RemoteCall, now: Millis) {
        let in_force = |d: &&Detour| d.direct && now < d.until;
        let direct_count = self.detours.values().filter(in_force).count();
        let detour = self.detours.entry(remote.executor.clone()).or_default();
        if now >= detour.until {
            detour.avoided.clear();
            detour.direct = false;
        }
        if !detour.avoided.contains(&remote.node) {
            detour.avoided.push(remote.node.clone());
        }
        detour.node = None;
        let avoided = &detour.avoided;
        let no_other = self.dispatchers.iter().all(|d| avoided.contains(&d.node));
        if no_other || detour.avoided.len() >= MAX_AVOIDED_NODES {
            detour.direct = no_other || direct_count < MAX_DIRECT_EXECUTORS;
        }
        detour.duration_ms = (detour.duration_ms * 2).clamp(MIN_DETOUR_MS, MAX_DETOUR_MS);
        detour.until = now + detour.duration_ms;
    }
}

/// Chooses a node for an executor among those that are not avoided; `None` if there is none.
fn choose_other(
    executor: &ExecutorId,
    zone: &str,
    dispatchers: &[Dispatcher],
    avoided: &[Arc<str>],
) -> Option<Arc<str>> {
    let allowed = |d: &&Dispatcher| !avoided.contains(&d.node);
    let others: Vec<Dispatcher> = dispatchers.iter().filter(allowed).cloned().collect();
    let index = choose_dispatcher(executor, zone, &others)?;
    Some(others[index].node.clone())
}
