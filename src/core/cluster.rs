//! The node's view of the cluster: members, shard table and configuration.

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

/// Period of beats, store polls and lease renewals, in ms.
const POLL_MS: Millis = 1_000;

/// Life of a node's store lease without renewal, in ms.
const NODE_LEASE_MS: Millis = 4_000;

/// How long a member may be missing from the store and silent before it is dropped, in ms.
const MEMBER_GRACE_MS: Millis = 2_000;

/// How long contact with the store or a majority of members vouches for the configuration, in ms.
const FRESH_MS: Millis = 5_000;

/// Extra wait of each further member before it proposes a table, in ms.
const PROPOSE_STEP_MS: Millis = 700;

const TABLE_KEY: &str = "cluster/table";
const CONFIG_KEY: &str = "cluster/config";
const NODES_PREFIX: &str = "nodes/";

/// What a node tells the others about itself through the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    pub id: NodeId,
    pub zone: ZoneName,
    /// UDP address for other nodes.
    pub peer_address: Arc<str>,
    /// TCP address for operators.
    pub admin_address: Arc<str>,
    pub leaving: bool,
}

/// What is known of another node from its beats.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// When the last beat arrived; `None` before the first.
    pub last_heartbeat_at: Option<Millis>,
    pub heartbeat: Heartbeat,
    pub free_capacity: Vec<ShardFreeCapacity>,
}

#[derive(Clone, Debug)]
struct Member {
    record: NodeRecord,
    missing_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Grant,
    Keep,
    Register,
    Table,
    Config,
    Nodes,
    Propose,
}

/// Members, table and configuration as this node knows them.
#[derive(Debug)]
pub struct Cluster {
    pub me: NodeRecord,
    /// Only ever replaced by a table of a higher revision.
    pub table: ShardTable,
    /// Only ever replaced by a configuration of a higher revision.
    pub config: Arc<Config>,
    pub peers: BTreeMap<NodeId, PeerView>,
    /// Digests of keys whose withdrawal was asked for and may not be in the store yet.
    pub revoked_keys: BTreeSet<Arc<str>>,
    members: BTreeMap<NodeId, Member>,
    calls: BTreeMap<CallId, Call>,
    lease: Option<u64>,
    registered: Option<NodeRecord>,
    register_version: u64,
    /// When the last answered store call was sent.
    store_ok_at: Option<Millis>,
    store_up: bool,
    nodes_read_at: Option<Millis>,
    sent_at: BTreeMap<CallId, Millis>,
    poll_at: Millis,
    unbalanced_since: Option<Millis>,
    proposal: Option<ShardTable>,
    last_summary: Vec<ShardFreeCapacity>,
    heartbeats: u64,
}

impl Cluster {
    /// Creates the view of a node that knows only itself.
    pub fn new(me: NodeRecord) -> Self {
        Self {
            me,
            table: ShardTable::default(),
            config: Arc::default(),
            peers: BTreeMap::new(),
            revoked_keys: BTreeSet::new(),
            members: BTreeMap::new(),
            calls: BTreeMap::new(),
            lease: None,
            registered: None,
            register_version: 0,
            store_ok_at: None,
            store_up: true,
            nodes_read_at: None,
            sent_at: BTreeMap::new(),
            poll_at: 0,
            unbalanced_since: None,
            proposal: None,
            last_summary: Vec::new(),
            heartbeats: 0,
        }
    }

    /// Tells whether the store answered a call sent lately.
    pub fn store_ok(&self, now: Millis) -> bool {
        self.store_ok_at.is_some_and(|t| now < t + FRESH_MS)
    }

    /// Tells whether keys and configuration may be trusted.
    ///
    /// Either the store answered lately, or more than half of all members, this one
    /// included, are in contact: an operator's withdrawal reaches one of them.
    pub fn config_trusted(&self, now: Millis) -> bool {
        if self.config.revision == 0 {
            return false;
        }
        let heard = self
            .members
            .keys()
            .filter(|id| self.heard_recently(id, now))
            .count();
        self.store_ok(now) || 2 * (heard + 1) > self.members.len().max(1)
    }

    /// Tells whether a beat of the node arrived lately.
    pub fn heard_recently(&self, id: &NodeId, now: Millis) -> bool {
        let view = self.peers.get(id);
        view.and_then(|v| v.last_heartbeat_at)
            .is_some_and(|t| now < t + FRESH_MS)
    }

    /// Tells whether a node is a member or still sends beats.
    pub fn is_alive(&self, id: &NodeId, now: Millis) -> bool {
        *id == self.me.id || self.members.contains_key(id) || self.heard_recently(id, now)
    }

    /// Lists the records of all members, this node included.
    pub fn member_records(&self) -> Vec<NodeRecord> {
        let mut records: BTreeMap<&NodeId, &NodeRecord> =
            self.members.iter().map(|(id, m)| (id, &m.record)).collect();
        records.insert(&self.me.id, &self.me);
        records.into_values().cloned().collect()
    }

    /// Returns the address under which another node is reached.
    pub fn peer_address(&self, id: &NodeId) -> Option<Arc<str>> {
        self.members.get(id).map(|m| m.record.peer_address.clone())
    }

    /// Lists the other members.
    pub fn other_members(&self) -> impl Iterator<Item = &NodeId> {
        self.members.keys().filter(|id| **id != self.me.id)
    }

    /// Lists the nodes known to have taken in a revision of the configuration.
    pub fn nodes_at_revision(&self, revision: u64) -> Vec<NodeId> {
        let peers = self.peers.iter();
        peers
            .filter(|(_, v)| v.heartbeat.config_revision >= revision)
            .map(|(id, _)| id.clone())
            .chain((self.config.revision >= revision).then(|| self.me.id.clone()))
            .collect()
    }

    /// Adopts a table if its revision is higher; returns whether it was adopted.
    pub fn adopt_table(&mut self, table: ShardTable, out: &mut EffectBuffer) -> bool {
        if table.revision <= self.table.revision {
            return false;
        }
        out.log(
            LogEvent::TableAdopted,
            format!("revision {}", table.revision),
        );
        self.table = table;
        true
    }

    /// Adopts a configuration if its revision is higher.
    pub fn adopt_config(&mut self, config: Arc<Config>, out: &mut EffectBuffer) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }
        self.revoked_keys.retain(|d| config.keys.contains_key(d));
        out.log(
            LogEvent::ConfigAdopted,
            format!("revision {}", config.revision),
        );
        self.config = config;
        true
    }

    /// Notes a key withdrawal ahead of the store; returns whether it is new.
    pub fn revoke(&mut self, digest: Arc<str>, out: &mut EffectBuffer) -> bool {
        let new = self.revoked_keys.insert(digest);
        if new {
            out.log(LogEvent::KeyRevoked, "ahead of the store");
        }
        new
    }

    /// Tells whether [`Self::poll`] is due.
    pub fn poll_due(&self, now: Millis) -> bool {
        now >= self.poll_at
    }

    /// Sends what is due: store polls, lease renewals and beats.
    pub fn poll(
        &mut self,
        now: Millis,
        summary: &[ShardFreeCapacity],
        queued: u32,
        out: &mut EffectBuffer,
    ) {
        self.poll_at = now + POLL_MS;
        self.note_store(now, out);
        self.poll_store(now, out);
        self.drop_members(now, out);
        self.send_heartbeats(now, summary, queued, out);
    }

    fn note_store(&mut self, now: Millis, out: &mut EffectBuffer) {
        let up = self.store_ok(now);
        if up != self.store_up {
            let event = if up {
                LogEvent::StoreBack
            } else {
                LogEvent::StoreUnreachable
            };
            out.log(event, "");
            self.store_up = up;
        }
    }

    fn poll_store(&mut self, now: Millis, out: &mut EffectBuffer) {
        match self.lease {
            None => self.call(
                Call::Grant,
                StoreOp::CreateLease {
                    ttl_ms: NODE_LEASE_MS,
                },
                now,
                out,
            ),
            Some(lease) => self.call(Call::Keep, StoreOp::RenewLease { lease }, now, out),
        }
        let known_version = self.table.revision;
        let key = TABLE_KEY.to_owned();
        self.call(Call::Table, StoreOp::Get { key, known_version }, now, out);
        let known_version = self.config.revision;
        let key = CONFIG_KEY.to_owned();
        self.call(Call::Config, StoreOp::Get { key, known_version }, now, out);
        let prefix = NODES_PREFIX.to_owned();
        self.call(Call::Nodes, StoreOp::Range { prefix }, now, out);
        self.register(now, out);
    }

    /// Writes the own record under the lease when it changed.
    pub fn register(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.registered.as_ref() == Some(&self.me) {
            return;
        }
        let Some(lease) = self.lease else {
            return;
        };
        let op = StoreOp::CompareAndSwap {
            key: format!("{NODES_PREFIX}{}", self.me.id),
            expected_version: self.register_version,
            value: Arc::from(serde_json::to_string(&self.me).unwrap_or_default()),
            lease: Some(lease),
        };
        self.call(Call::Register, op, now, out);
    }

    fn call(&mut self, kind: Call, op: StoreOp, now: Millis, out: &mut EffectBuffer) {
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
        summary: &[ShardFreeCapacity],
        queue_length: u32,
        out: &mut EffectBuffer,
    ) {
        self.heartbeats += 1;
        let full = self.heartbeats.is_multiple_of(5) || self.last_summary != summary;
        let heartbeat = Heartbeat {
            table_revision: self.table.revision,
            config_revision: self.config.revision,
            store_ok: self.store_ok(now),
            leaving: self.me.leaving,
            revoked_count: u32::try_from(self.revoked_keys.len()).unwrap_or(u32::MAX),
            queue_length,
            free_capacity: full.then(|| summary.to_vec()),
        };
        self.last_summary = summary.to_vec();
        for id in self.other_members() {
            out.send(id, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Takes a beat in and sends the sender what it lacks.
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

    fn drop_members(&mut self, now: Millis, out: &mut EffectBuffer) {
        let read = self.nodes_read_at;
        let heard: BTreeSet<NodeId> = self
            .peers
            .iter()
            .filter(|(_, v)| {
                v.last_heartbeat_at
                    .is_some_and(|t| now < t + MEMBER_GRACE_MS + POLL_MS)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let me = &self.me.id;
        self.members.retain(|id, member| {
            let missing = member.missing_since.is_some_and(|since| {
                read.is_some_and(|r| r >= since + MEMBER_GRACE_MS && now < r + 2 * POLL_MS)
            });
            let keep = !missing || heard.contains(id) || id == me;
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

    /// Proposes a table in which only living members that stay own shards.
    ///
    /// `weights` counts workers by shard. The first member acts at once, the others
    /// later, so that they seldom race; a race is settled by compare-and-swap.
    pub fn propose_table(
        &mut self,
        weights: &[u32],
        write_id: u64,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let stale = self.nodes_read_at.is_none_or(|r| now >= r + 2 * POLL_MS);
        if stale || self.calls.values().any(|c| *c == Call::Propose) {
            return;
        }
        let members: Vec<NodeId> = self.staying().cloned().collect();
        let Some(mut next) = self.table.rebalanced(&members, weights) else {
            self.unbalanced_since = None;
            return;
        };
        let since = *self.unbalanced_since.get_or_insert(now);
        let rank = members.iter().position(|m| *m == self.me.id).unwrap_or(0);
        let patience = if self.me.leaving {
            0
        } else {
            rank as u64 * PROPOSE_STEP_MS
        };
        if now < since + patience {
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
            format!("for {} members", members.len()),
        );
        self.call(Call::Propose, op, now, out);
        self.proposal = Some(next);
    }

    fn staying(&self) -> impl Iterator<Item = &NodeId> {
        self.members
            .iter()
            .filter(|(id, m)| {
                let me = **id == self.me.id && self.me.leaving;
                let heartbeat = self.peers.get(*id).is_some_and(|v| v.heartbeat.leaving);
                !m.record.leaving && !heartbeat && !me
            })
            .map(|(id, _)| id)
    }

    /// Takes the answer to a store call; returns false if the call is not this view's.
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
        let Ok(answer) = result else {
            return true;
        };
        self.store_ok_at = self.store_ok_at.max(Some(sent_at));
        match (kind, answer) {
            (Call::Grant, StoreReply::Lease { lease }) => {
                self.lease = Some(*lease);
                self.registered = None;
                self.register(now, out);
            }
            (Call::Keep, StoreReply::Lapsed) => {
                self.lease = None;
                self.registered = None;
                self.register_version = 0;
            }
            (Call::Register, StoreReply::Written { version }) => {
                self.register_version = *version;
                self.registered = Some(self.me.clone());
            }
            (Call::Register, StoreReply::Conflict { version }) => self.register_version = *version,
            (Call::Table, StoreReply::Value { version, value }) => {
                self.read_table(*version, value, out);
            }
            (Call::Config, StoreReply::Value { version, value }) => {
                self.read_config(*version, value, out);
            }
            (Call::Nodes, StoreReply::Entries { entries }) => {
                self.read_nodes(entries, now, out);
            }
            (Call::Propose, StoreReply::Written { version }) => {
                if let Some(mut table) = self.proposal.take() {
                    table.revision = *version;
                    self.adopt_table(table, out);
                    self.spread_table(out);
                }
            }
            _ => {}
        }
        true
    }

    fn spread_table(&self, out: &mut EffectBuffer) {
        for id in self.other_members() {
            out.send(id, Message::Table(self.table.clone()));
        }
    }

    fn read_table(&mut self, version: u64, text: &str, out: &mut EffectBuffer) {
        if let Ok(mut table) = serde_json::from_str::<ShardTable>(text) {
            table.revision = version;
            self.adopt_table(table, out);
        }
    }

    fn read_config(&mut self, version: u64, text: &str, out: &mut EffectBuffer) {
        if let Ok(mut config) = serde_json::from_str::<Config>(text) {
            config.revision = version;
            self.adopt_config(Arc::new(config), out);
        }
    }

    fn read_nodes(
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

    /// Writes a changed configuration over the revision it was made from.
    pub fn write_config(config: &Config, expected_version: u64, out: &mut EffectBuffer) -> CallId {
        out.store(StoreOp::CompareAndSwap {
            key: CONFIG_KEY.to_owned(),
            expected_version,
            value: Arc::from(serde_json::to_string(config).unwrap_or_default()),
            lease: None,
        })
    }

    /// Reads the stored configuration.
    pub fn fetch_config(out: &mut EffectBuffer) -> CallId {
        out.store(StoreOp::Get {
            key: CONFIG_KEY.to_owned(),
            known_version: 0,
        })
    }
}
