//! The node's view of the cluster: members, shard table and configuration.
//!
//! [`Cluster`] polls the store, keeps the node's own record under a lease and exchanges heartbeats.
//! `Node` calls it and acts on what changed; this module places no work and touches no worker.

use {
    crate::core::{
        CallId, Config, EffectBuffer, Heartbeat, LogEvent, Message, Millis, NodeId,
        ShardFreeCapacity, ShardTable, StoreOp, StoreReply, StoreUnavailable, ZoneName,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Interval of heartbeats, store polls and lease renewals, in ms.
const POLL_INTERVAL_MS: Millis = 1_000;

/// TTL of a node's store lease without renewal, in ms.
const NODE_LEASE_TTL_MS: Millis = 4_000;

/// Grace period before a member that is missing from the store and sends no heartbeats is
/// removed, in ms.
const MEMBER_GRACE_MS: Millis = 2_000;

/// How long contact with the store or with a majority of members proves that the configuration
/// is current, in ms.
const CONTACT_TTL_MS: Millis = 5_000;

/// Delay before a member proposes a table, per member that precedes it by id, in ms.
const PROPOSAL_DELAY_MS: Millis = 700;

const TABLE_KEY: &str = "cluster/table";
const CONFIG_KEY: &str = "cluster/config";
const NODES_PREFIX: &str = "nodes/";

/// What a node publishes about itself in the store, in JSON, under its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    pub id: NodeId,
    pub zone: ZoneName,
    /// UDP address for other nodes.
    pub peer_address: Arc<str>,
    /// TCP address for operators.
    pub admin_address: Arc<str>,
    /// The node is draining and must not own shards.
    pub leaving: bool,
}

/// What is known of another node from its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// When the last heartbeat arrived; `None` before the first.
    pub last_heartbeat_at: Option<Millis>,
    /// The last heartbeat; its `free_capacity` may be `None`.
    pub heartbeat: Heartbeat,
    /// From the last heartbeat that carried it.
    pub free_capacity: Vec<ShardFreeCapacity>,
}

#[derive(Clone, Debug)]
struct Member {
    record: NodeRecord,
    /// When a read of the store first lacked the record; `None` while it is listed.
    missing_since: Option<Millis>,
}

/// Purpose of a store call; at most one call of each purpose is in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    CreateLease,
    RenewLease,
    WriteNodeRecord,
    ReadTable,
    ReadConfig,
    ReadNodes,
    ProposeTable,
}

/// Members, table and configuration as this node knows them.
#[derive(Debug)]
pub struct Cluster {
    pub own_record: NodeRecord,
    /// Replaced only by a table of a higher revision.
    pub table: ShardTable,
    /// Replaced only by a configuration of a higher revision.
    pub config: Arc<Config>,
    /// Nodes that sent a heartbeat, members or not.
    pub peers: BTreeMap<NodeId, PeerView>,
    /// Digests of keys that an operator revoked and whose revocation may not be in the store yet.
    pub revoked_keys: BTreeSet<Arc<str>>,
    members: BTreeMap<NodeId, Member>,
    calls: BTreeMap<CallId, StoreCall>,
    /// Store lease of the node's own record.
    lease: Option<u64>,
    /// The own record as last written; `None` if it must be written.
    written_record: Option<NodeRecord>,
    /// Store version of the own record; 0 if absent.
    record_version: u64,
    /// When the last store call that got a reply was sent.
    store_reply_sent_at: Option<Millis>,
    /// State of the store in the last log event about it.
    logged_store_up: bool,
    /// When the member records were last read.
    nodes_read_at: Option<Millis>,
    /// When each call in `calls` was sent.
    sent_at: BTreeMap<CallId, Millis>,
    next_poll_at: Millis,
    /// Since when the table needs a change that no member has made.
    unbalanced_since: Option<Millis>,
    /// The table in the last proposal; adopted if its write succeeds.
    proposal: Option<ShardTable>,
    /// Free capacity as of the last heartbeat sent.
    last_sent_capacity: Vec<ShardFreeCapacity>,
    heartbeats_sent: u64,
}

impl Cluster {
    /// Creates the view of a node that has read nothing and received no heartbeat.
    pub fn new(own_record: NodeRecord) -> Self {
        Self {
            own_record,
            table: ShardTable::default(),
            config: Arc::default(),
            peers: BTreeMap::new(),
            revoked_keys: BTreeSet::new(),
            members: BTreeMap::new(),
            calls: BTreeMap::new(),
            lease: None,
            written_record: None,
            record_version: 0,
            store_reply_sent_at: None,
            logged_store_up: true,
            nodes_read_at: None,
            sent_at: BTreeMap::new(),
            next_poll_at: 0,
            unbalanced_since: None,
            proposal: None,
            last_sent_capacity: Vec::new(),
            heartbeats_sent: 0,
        }
    }

    /// Returns true if the store replied to a call sent within the last 5 s.
    pub fn store_ok(&self, now: Millis) -> bool {
        self.store_reply_sent_at
            .is_some_and(|t| now < t + CONTACT_TTL_MS)
    }

    /// Returns true if keys and configuration are current enough to accept requests.
    ///
    /// Either the store replied within the last 5 s, or more than half of all members, this one
    /// included, are in contact: an operator's key revocation reaches one of them.
    pub fn config_trusted(&self, now: Millis) -> bool {
        if self.config.revision == 0 {
            return false;
        }
        let in_contact = self
            .members
            .keys()
            .filter(|id| self.heard_recently(id, now))
            .count();
        self.store_ok(now) || 2 * (in_contact + 1) > self.members.len().max(1)
    }

    /// Returns true if a heartbeat of the node arrived within the last 5 s.
    pub fn heard_recently(&self, id: &NodeId, now: Millis) -> bool {
        let view = self.peers.get(id);
        view.and_then(|v| v.last_heartbeat_at)
            .is_some_and(|t| now < t + CONTACT_TTL_MS)
    }

    /// Returns true if a node is a member or still sends heartbeats.
    pub fn is_alive(&self, id: &NodeId, now: Millis) -> bool {
        *id == self.own_record.id || self.members.contains_key(id) || self.heard_recently(id, now)
    }

    /// Returns the records of all members, this node included, ordered by id.
    pub fn member_records(&self) -> Vec<NodeRecord> {
        let mut records: BTreeMap<&NodeId, &NodeRecord> =
            self.members.iter().map(|(id, m)| (id, &m.record)).collect();
        records.insert(&self.own_record.id, &self.own_record);
        records.into_values().cloned().collect()
    }

    /// Returns the UDP address of a member; `None` for nodes that are not members.
    pub fn peer_address(&self, id: &NodeId) -> Option<Arc<str>> {
        self.members.get(id).map(|m| m.record.peer_address.clone())
    }

    /// Iterates over the members other than this node.
    pub fn other_members(&self) -> impl Iterator<Item = &NodeId> {
        self.members.keys().filter(|id| **id != self.own_record.id)
    }

    /// Returns the nodes known to have adopted a revision of the configuration or a later one.
    pub fn nodes_at_revision(&self, revision: u64) -> Vec<NodeId> {
        let peers = self.peers.iter();
        peers
            .filter(|(_, v)| v.heartbeat.config_revision >= revision)
            .map(|(id, _)| id.clone())
            .chain((self.config.revision >= revision).then(|| self.own_record.id.clone()))
            .collect()
    }

    /// Adopts a table if its revision is higher; returns whether it was adopted.
    pub fn adopt_table(&mut self, table: ShardTable, out: &mut EffectBuffer) -> bool {
        if table.revision <= self.table.revision {
            return false;
        }
        out.log(
            LogEvent::TableAdopted,
            format!("shard table revision {}", table.revision),
        );
        self.table = table;
        true
    }

    /// Adopts a configuration if its revision is higher; returns whether it was adopted.
    ///
    /// Revocations that it contains are no longer kept in `revoked_keys`.
    pub fn adopt_config(&mut self, config: Arc<Config>, out: &mut EffectBuffer) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }
        self.revoked_keys.retain(|d| config.keys.contains_key(d));
        out.log(
            LogEvent::ConfigAdopted,
            format!("configuration revision {}", config.revision),
        );
        self.config = config;
        true
    }

    /// Revokes a key before the store has the revocation; returns whether it is new.
    pub fn revoke(&mut self, digest: Arc<str>, out: &mut EffectBuffer) -> bool {
        let new = self.revoked_keys.insert(digest);
        if new {
            out.log(
                LogEvent::KeyRevoked,
                "key revoked before the store has the revocation",
            );
        }
        new
    }

    /// Returns true if [`Self::run_periodic`] is due.
    pub fn poll_due(&self, now: Millis) -> bool {
        now >= self.next_poll_at
    }

    /// Polls the store, renews the lease and sends heartbeats; call it when [`Self::poll_due`].
    pub fn run_periodic(
        &mut self,
        now: Millis,
        free_capacity: &[ShardFreeCapacity],
        queue_length: u32,
        out: &mut EffectBuffer,
    ) {
        self.next_poll_at = now + POLL_INTERVAL_MS;
        self.log_store_transition(now, out);
        self.poll_store(now, out);
        self.remove_lost_members(now, out);
        self.send_heartbeats(now, free_capacity, queue_length, out);
    }

    fn log_store_transition(&mut self, now: Millis, out: &mut EffectBuffer) {
        let reachable = self.store_ok(now);
        if reachable != self.logged_store_up {
            let event = if reachable {
                LogEvent::StoreBack
            } else {
                LogEvent::StoreUnreachable
            };
            out.log(event, "");
            self.logged_store_up = reachable;
        }
    }

    fn poll_store(&mut self, now: Millis, out: &mut EffectBuffer) {
        match self.lease {
            None => self.call_store(
                StoreCall::CreateLease,
                StoreOp::CreateLease {
                    ttl_ms: NODE_LEASE_TTL_MS,
                },
                now,
                out,
            ),
            Some(lease) => self.call_store(
                StoreCall::RenewLease,
                StoreOp::RenewLease { lease },
                now,
                out,
            ),
        }
        let known_version = self.table.revision;
        let key = TABLE_KEY.to_owned();
        self.call_store(
            StoreCall::ReadTable,
            StoreOp::Get { key, known_version },
            now,
            out,
        );
        let known_version = self.config.revision;
        let key = CONFIG_KEY.to_owned();
        self.call_store(
            StoreCall::ReadConfig,
            StoreOp::Get { key, known_version },
            now,
            out,
        );
        let prefix = NODES_PREFIX.to_owned();
        self.call_store(StoreCall::ReadNodes, StoreOp::Range { prefix }, now, out);
        self.write_own_record(now, out);
    }

    /// Writes the own record under the lease if it changed; without a lease, does nothing.
    pub fn write_own_record(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.written_record.as_ref() == Some(&self.own_record) {
            return;
        }
        let Some(lease) = self.lease else {
            return;
        };
        let op = StoreOp::CompareAndSwap {
            key: format!("{NODES_PREFIX}{}", self.own_record.id),
            expected_version: self.record_version,
            value: Arc::from(serde_json::to_string(&self.own_record).unwrap_or_default()),
            lease: Some(lease),
        };
        self.call_store(StoreCall::WriteNodeRecord, op, now, out);
    }

    fn call_store(&mut self, kind: StoreCall, op: StoreOp, now: Millis, out: &mut EffectBuffer) {
        if self.calls.values().any(|c| *c == kind) {
            return;
        }
        let id = out.store(op);
        self.calls.insert(id, kind);
        self.sent_at.insert(id, now);
    }

    fn send_heartbeats(
        &mut self,
        now: Millis,
        free_capacity: &[ShardFreeCapacity],
        queue_length: u32,
        out: &mut EffectBuffer,
    ) {
        self.heartbeats_sent += 1;
        let full =
            self.heartbeats_sent.is_multiple_of(5) || self.last_sent_capacity != free_capacity;
        let heartbeat = Heartbeat {
            table_revision: self.table.revision,
            config_revision: self.config.revision,
            store_ok: self.store_ok(now),
            leaving: self.own_record.leaving,
            revoked_count: u32::try_from(self.revoked_keys.len()).unwrap_or(u32::MAX),
            queue_length,
            free_capacity: full.then(|| free_capacity.to_vec()),
        };
        self.last_sent_capacity = free_capacity.to_vec();
        for id in self.other_members() {
            out.send(id, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Records a heartbeat and sends its sender the newer table, configuration and revocations.
    pub fn handle_heartbeat(
        &mut self,
        from: &NodeId,
        heartbeat: Heartbeat,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if heartbeat.table_revision < self.table.revision {
            out.send(from, Message::Table(self.table.clone()));
        }
        if heartbeat.config_revision < self.config.revision {
            out.send(from, Message::Config(self.config.clone()));
        }
        if (heartbeat.revoked_count as usize) < self.revoked_keys.len() {
            out.send(
                from,
                Message::Revoked(self.revoked_keys.iter().cloned().collect()),
            );
        }
        let view = self.peers.entry(from.clone()).or_default();
        view.last_heartbeat_at = Some(now);
        if let Some(free) = &heartbeat.free_capacity {
            view.free_capacity.clone_from(free);
        }
        view.heartbeat = heartbeat;
    }

    fn remove_lost_members(&mut self, now: Millis, out: &mut EffectBuffer) {
        let read = self.nodes_read_at;
        let in_contact: BTreeSet<NodeId> = self
            .peers
            .iter()
            .filter(|(_, v)| {
                v.last_heartbeat_at
                    .is_some_and(|t| now < t + MEMBER_GRACE_MS + POLL_INTERVAL_MS)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let me = &self.own_record.id;
        self.members.retain(|id, member| {
            let missing = member.missing_since.is_some_and(|since| {
                read.is_some_and(|r| r >= since + MEMBER_GRACE_MS && now < r + 2 * POLL_INTERVAL_MS)
            });
            let keep = !missing || in_contact.contains(id) || id == me;
            if !keep {
                out.log(LogEvent::MemberLost, id.to_string());
            }
            keep
        });
        let members = &self.members;
        self.peers.retain(|id, v| {
            members.contains_key(id) || v.last_heartbeat_at.is_some_and(|t| now < t + 60_000)
        });
    }

    /// Proposes a table in which only members that are not leaving own shards.
    ///
    /// `weights` is indexed by shard and grows with the shard's workers. The first member by id
    /// proposes at once, the others later, so that they seldom race; in a race, compare-and-swap
    /// lets one proposal succeed. A leaving member does not wait.
    pub fn propose_table(
        &mut self,
        weights: &[u32],
        write_id: u64,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let stale = self
            .nodes_read_at
            .is_none_or(|r| now >= r + 2 * POLL_INTERVAL_MS);
        if stale || self.calls.values().any(|c| *c == StoreCall::ProposeTable) {
            return;
        }
        let members: Vec<NodeId> = self.remaining_members().cloned().collect();
        let Some(mut next) = self.table.rebalanced(&members, weights) else {
            self.unbalanced_since = None;
            return;
        };
        let since = *self.unbalanced_since.get_or_insert(now);
        let rank = members
            .iter()
            .position(|m| *m == self.own_record.id)
            .unwrap_or(0);
        let delay = if self.own_record.leaving {
            0
        } else {
            rank as u64 * PROPOSAL_DELAY_MS
        };
        if now < since + delay {
            return;
        }
        next.write_id = write_id;
        next.revision = 0;
        let op = StoreOp::CompareAndSwap {
            key: TABLE_KEY.to_owned(),
            expected_version: self.table.revision,
            value: Arc::from(serde_json::to_string(&next).unwrap_or_default()),
            lease: None,
        };
        out.log(
            LogEvent::TableProposed,
            format!("shard table for {} members", members.len()),
        );
        self.call_store(StoreCall::ProposeTable, op, now, out);
        self.proposal = Some(next);
    }

    fn remaining_members(&self) -> impl Iterator<Item = &NodeId> {
        self.members
            .iter()
            .filter(|(id, m)| {
                let me = **id == self.own_record.id && self.own_record.leaving;
                let heartbeat = self.peers.get(*id).is_some_and(|v| v.heartbeat.leaving);
                !m.record.leaving && !heartbeat && !me
            })
            .map(|(id, _)| id)
    }

    /// Processes the reply to a store call; returns false if the call is not this view's.
    ///
    /// A call without a reply is repeated by the next poll.
    pub fn handle_store_reply(
        &mut self,
        call: CallId,
        result: &Result<StoreReply, StoreUnavailable>,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> bool {
        let Some(kind) = self.calls.remove(&call) else {
            return false;
        };
        let sent_at = self.sent_at.remove(&call).unwrap_or(now);
        let Ok(reply) = result else {
            return true;
        };
        self.store_reply_sent_at = self.store_reply_sent_at.max(Some(sent_at));
        match (kind, reply) {
            (StoreCall::CreateLease, StoreReply::Lease { lease }) => {
                self.lease = Some(*lease);
                self.written_record = None;
                self.write_own_record(now, out);
            }
            (StoreCall::RenewLease, StoreReply::Lapsed) => {
                self.lease = None;
                self.written_record = None;
                self.record_version = 0;
            }
            (StoreCall::WriteNodeRecord, StoreReply::Written { version }) => {
                self.record_version = *version;
                self.written_record = Some(self.own_record.clone());
            }
            (StoreCall::WriteNodeRecord, StoreReply::Conflict { version }) => {
                self.record_version = *version;
            }
            (StoreCall::ReadTable, StoreReply::Value { version, value }) => {
                self.process_table(*version, value, out);
            }
            (StoreCall::ReadConfig, StoreReply::Value { version, value }) => {
                self.process_config(*version, value, out);
            }
            (StoreCall::ReadNodes, StoreReply::Entries { entries }) => {
                self.process_nodes(entries, now, out);
            }
            (StoreCall::ProposeTable, StoreReply::Written { version }) => {
                if let Some(mut table) = self.proposal.take() {
                    table.revision = *version;
                    self.adopt_table(table, out);
                    self.broadcast_table(out);
                }
            }
            _ => {}
        }
        true
    }

    fn broadcast_table(&self, out: &mut EffectBuffer) {
        for id in self.other_members() {
            out.send(id, Message::Table(self.table.clone()));
        }
    }

    fn process_table(&mut self, version: u64, text: &str, out: &mut EffectBuffer) {
        if let Ok(mut table) = serde_json::from_str::<ShardTable>(text) {
            table.revision = version;
            self.adopt_table(table, out);
        }
    }

    fn process_config(&mut self, version: u64, text: &str, out: &mut EffectBuffer) {
        if let Ok(mut config) = serde_json::from_str::<Config>(text) {
            config.revision = version;
            self.adopt_config(Arc::new(config), out);
        }
    }

    fn process_nodes(
        &mut self,
        entries: &[(String, u64, Arc<str>)],
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        self.nodes_read_at = Some(now);
        let listed: BTreeMap<NodeId, NodeRecord> = entries
            .iter()
            .filter_map(|(_, _, text)| serde_json::from_str::<NodeRecord>(text).ok())
            .map(|r| (r.id.clone(), r))
            .collect();
        for (id, member) in &mut self.members {
            if listed.contains_key(id) {
                member.missing_since = None;
            } else {
                member.missing_since.get_or_insert(now);
            }
        }
        for (id, record) in listed {
            if !self.members.contains_key(&id) {
                out.log(LogEvent::MemberJoined, id.to_string());
            }
            let member = Member {
                record,
                missing_since: None,
            };
            self.members.insert(id, member);
        }
    }

    /// Writes a changed configuration if the store still has the revision it was made from.
    pub fn write_config(config: &Config, expected_version: u64, out: &mut EffectBuffer) -> CallId {
        out.store(StoreOp::CompareAndSwap {
            key: CONFIG_KEY.to_owned(),
            expected_version,
            value: Arc::from(serde_json::to_string(config).unwrap_or_default()),
            lease: None,
        })
    }

    /// Reads the stored configuration, whatever its version.
    pub fn fetch_config(out: &mut EffectBuffer) -> CallId {
        out.store(StoreOp::Get {
            key: CONFIG_KEY.to_owned(),
            known_version: 0,
        })
    }
}
