//! The durable value of one shard: its workers' roster, its jobs and its idempotency records.
//!
//! The shard's owner changes the value in memory; [`Ledger::poll`] writes it by group commit, one
//! compare-and-swap at a time. [`Ledger::is_durable`] tells whether a change is in the store.
//! A new owner first writes its epoch into the value, which makes every later write of an earlier
//! owner fail.

use {
    crate::core::{
        CallId, EffectBuffer, Epoch, JobId, JobRecord, LogEvent, Millis, ShardId, StoreOp,
        StoreReply, StoreUnavailable, TaskId, VmRecord, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Delay before the next store call after one without a reply, in ms.
const RETRY_DELAY_MS: Millis = 250;

/// Size of the value above which no records are added, in bytes; the store accepts at most 1 MB.
const MAX_VALUE_BYTES: usize = 900_000;

/// How far the request with a used idempotency key got.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyState {
    /// The request may have run.
    #[serde(rename = "marked")]
    Claimed,
    /// The request ran and the caller received this HTTP status.
    #[serde(rename = "ran")]
    Completed(u16),
}

/// What the ledger stores of a used idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct Intent")]
pub struct IdempotencyRecord {
    /// Identifies the claiming request of the entry node, which may repeat its call.
    pub claim: u64,
    pub state: IdempotencyState,
    /// Order of creation within the shard; the lowest are removed first.
    #[serde(rename = "number")]
    pub seq: u64,
}

/// The value as it is stored, in JSON.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LedgerValue {
    /// Epoch of the owner that wrote the value; never decreases.
    pub epoch: Epoch,
    /// Sequence number of the write within the epoch; tells whether a write without a reply took
    /// effect.
    #[serde(rename = "write")]
    pub write_seq: u64,
    /// Every worker whose lease this or an earlier owner of the shard may hold.
    pub roster: BTreeMap<WorkerId, VmRecord>,
    /// Jobs that this shard coordinates.
    pub jobs: BTreeMap<JobId, JobRecord>,
    #[serde(rename = "intents")]
    pub idempotency_records: BTreeMap<TaskId, IdempotencyRecord>,
}

/// Progress of the takeover and of the write in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Reading the value of the earlier owner.
    Reading,
    /// Writing this owner's epoch.
    Claiming,
    /// Claimed: a write by an earlier owner would fail.
    Ready,
    /// Reading the value to find out whether a write without a reply took effect.
    Verifying,
    /// Final: a later owner has written its epoch.
    Superseded,
}

/// The ledger of one owned shard, with at most one store call in flight.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub shard: ShardId,
    /// Change it only while [`Self::is_ready`], and call [`Self::record_change`] afterwards.
    pub value: LedgerValue,
    phase: Phase,
    epoch: Epoch,
    /// Store version of the value, as far as known; expected by the next write.
    version: u64,
    call: Option<CallId>,
    /// Number of the last change made in memory.
    last_recorded: u64,
    /// Number of the last change known to be durable; never above `last_recorded`.
    last_durable: u64,
    /// Number of the last change contained in the last write sent.
    last_sent: u64,
    /// No store call is sent before this time.
    retry_at: Millis,
    /// This owner's epoch is in the stored value. Never turns false again.
    claimed: bool,
    /// Size of the last written value, in bytes.
    value_bytes: usize,
    /// The last store call got no reply.
    pub failing: bool,
}

impl Ledger {
    /// Creates a ledger whose value is read from the store by the next [`Self::poll`].
    pub fn new(shard: ShardId, epoch: Epoch) -> Self {
        Self {
            shard,
            value: LedgerValue::default(),
            phase: Phase::Reading,
            epoch,
            version: 0,
            call: None,
            last_recorded: 0,
            last_durable: 0,
            last_sent: 0,
            retry_at: 0,
            claimed: false,
            value_bytes: 0,
            failing: false,
        }
    }

    /// Returns true if the value is claimed by this owner and can be changed.
    pub fn is_ready(&self) -> bool {
        self.claimed && self.phase != Phase::Superseded
    }

    /// Returns true if a later owner has claimed the value; the shard is lost.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Returns true if every change is durable and no store call is in flight.
    pub fn is_flushed(&self) -> bool {
        self.call.is_none() && self.last_durable == self.last_recorded
    }

    /// Returns true if the value is small enough to add records.
    pub fn accepts_records(&self) -> bool {
        self.value_bytes < MAX_VALUE_BYTES
    }

    /// Schedules a write of the changed `value`; returns the number to pass to
    /// [`Self::is_durable`].
    pub fn record_change(&mut self) -> u64 {
        self.last_recorded += 1;
        self.last_recorded
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_recorded
    }

    /// Returns true if the change with this number is in the store.
    pub fn is_durable(&self, change: u64) -> bool {
        change <= self.last_durable
    }

    /// Returns the store key of a shard's ledger.
    pub fn key(shard: ShardId) -> String {
        format!("shards/{}", shard.0)
    }

    /// Sends the next store call if one is due; returns true if it is a write.
    ///
    /// Without `may_write`, only reads are sent; the node limits the rate of writes.
    pub fn poll(&mut self, now: Millis, may_write: bool, out: &mut EffectBuffer) -> bool {
        if self.call.is_some() || now < self.retry_at {
            return false;
        }
        match self.phase {
            Phase::Reading | Phase::Verifying => {
                let key = Self::key(self.shard);
                self.call = Some(out.store(StoreOp::Get {
                    key,
                    known_version: 0,
                }));
                false
            }
            Phase::Ready if self.last_recorded > self.last_durable && may_write => {
                self.write_value(out);
                true
            }
            Phase::Claiming if may_write => {
                self.write_value(out);
                true
            }
            Phase::Claiming | Phase::Ready | Phase::Superseded => false,
        }
    }

    fn write_value(&mut self, out: &mut EffectBuffer) {
        self.value.epoch = self.epoch;
        self.value.write_seq += 1;
        self.last_sent = self.last_recorded;
        let json = serde_json::to_string(&self.value).unwrap_or_default();
        self.value_bytes = json.len();
        self.call = Some(out.store(StoreOp::CompareAndSwap {
            key: Self::key(self.shard),
            expected_version: self.version,
            value: Arc::from(json),
            lease: None,
        }));
    }

    /// Processes the reply to a store call; returns false if the call is not this ledger's.
    ///
    /// After a lost reply or a conflict, the value is read before anything is written again.
    pub fn handle_store_reply(
        &mut self,
        call: CallId,
        result: &Result<StoreReply, StoreUnavailable>,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> bool {
        if self.call != Some(call) {
            return false;
        }
        self.call = None;
        self.failing = result.is_err();
        match result {
            Err(StoreUnavailable) => {
                self.retry_at = now + RETRY_DELAY_MS;
                if matches!(self.phase, Phase::Claiming | Phase::Ready) {
                    self.phase = Phase::Verifying;
                }
            }
            Ok(StoreReply::Written { version }) => self.complete_write(*version, out),
            Ok(StoreReply::Value { version, value }) => self.process_stored(*version, value, out),
            Ok(StoreReply::Absent) => self.process_stored(0, "", out),
            Ok(_) => self.phase = Phase::Verifying,
        }
        true
    }

    fn complete_write(&mut self, version: u64, out: &mut EffectBuffer) {
        self.version = version;
        self.last_durable = self.last_sent;
        self.phase = Phase::Ready;
        if !self.claimed {
            self.claimed = true;
            out.log(LogEvent::ShardTaken, format!("shard {}", self.shard));
        }
    }

    fn process_stored(&mut self, version: u64, json: &str, out: &mut EffectBuffer) {
        let stored: LedgerValue = serde_json::from_str(json).unwrap_or_default();
        if stored.epoch > self.epoch {
            self.phase = Phase::Superseded;
            return;
        }
        self.version = version;
        if self.claimed || stored.epoch == self.epoch {
            self.verify_write(version, &stored, out);
            return;
        }
        self.value = stored;
        self.value.write_seq = 0;
        self.phase = Phase::Claiming;
    }

    /// Checks whether the last write took effect. Only this owner can have written `stored`.
    fn verify_write(&mut self, version: u64, stored: &LedgerValue, out: &mut EffectBuffer) {
        if stored.epoch == self.epoch && stored.write_seq == self.value.write_seq {
            self.complete_write(version, out);
        } else if self.claimed {
            self.phase = Phase::Ready;
        } else {
            self.phase = Phase::Claiming;
        }
    }
}
