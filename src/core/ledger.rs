//! The durable value of one shard: its workers' roster, its jobs and its intents.
//!
//! Changes are made in memory and written by group commit, one compare-and-swap at a
//! time. A new owner first writes its epoch into the value, which makes every later
//! write of an earlier owner fail.

use {
    crate::core::{
        CallId, EffectBuffer, Epoch, JobId, JobRecord, LogEvent, Millis, ShardId, StoreOp,
        StoreReply, StoreUnavailable, TaskId, VmRecord, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Pause after a call without an answer, in ms.
const RETRY_MS: Millis = 250;

/// Largest value written, in bytes; the store takes at most 1 MB.
const MAX_VALUE_BYTES: usize = 900_000;

/// What is known of a used idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyState {
    /// The request may have run.
    #[serde(rename = "marked")]
    Claimed,
    /// The request ran and was answered with this status.
    #[serde(rename = "ran")]
    Completed(u16),
}

/// A used idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdempotencyRecord {
    /// The entry node's claim; the same claim may ask again.
    pub claim: u64,
    pub state: IdempotencyState,
    /// Order of creation within the shard; the oldest are dropped first.
    #[serde(rename = "number")]
    pub seq: u64,
}

/// The stored value.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LedgerValue {
    /// Epoch of the owner that wrote it; never falls.
    pub epoch: Epoch,
    /// Number of the write within the epoch.
    #[serde(rename = "write")]
    pub write_seq: u64,
    /// Every worker whose lease an owner of the shard may hold.
    pub roster: BTreeMap<WorkerId, VmRecord>,
    pub jobs: BTreeMap<JobId, JobRecord>,
    #[serde(rename = "intents")]
    pub idempotency_records: BTreeMap<TaskId, IdempotencyRecord>,
}

/// What the ledger waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Reading the value of the earlier owner.
    Reading,
    /// Writing the own epoch.
    Claiming,
    /// The value in memory is the only one that can be written.
    Ready,
    /// Finding out whether a write without an answer took effect.
    Verifying,
    /// A later owner has written its epoch.
    Lost,
}

/// The ledger of one owned shard.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub shard: ShardId,
    pub value: LedgerValue,
    phase: Phase,
    epoch: Epoch,
    /// Store version of the value, as far as known.
    version: u64,
    call: Option<CallId>,
    /// Number of the last change made in memory.
    changed: u64,
    /// Number of the last change known to be durable; never above `changed`.
    durable: u64,
    /// Number of the last change contained in the write in flight.
    in_flight: u64,
    retry_at: Millis,
    claimed: bool,
    bytes: usize,
    /// The last call got no answer.
    pub failing: bool,
}

impl Ledger {
    /// Creates a ledger that has yet to be read.
    pub fn new(shard: ShardId, epoch: Epoch) -> Self {
        Self {
            shard,
            value: LedgerValue::default(),
            phase: Phase::Reading,
            epoch,
            version: 0,
            call: None,
            changed: 0,
            durable: 0,
            in_flight: 0,
            retry_at: 0,
            claimed: false,
            bytes: 0,
            failing: false,
        }
    }

    /// Tells whether the value has been taken over and can be changed.
    pub fn is_ready(&self) -> bool {
        self.claimed && self.phase != Phase::Lost
    }

    /// Tells whether a later owner has taken the value.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Lost
    }

    /// Tells whether every change is durable.
    pub fn is_flushed(&self) -> bool {
        self.call.is_none() && self.durable == self.changed
    }

    /// Tells whether more records may be added.
    pub fn accepts_records(&self) -> bool {
        self.bytes < MAX_VALUE_BYTES
    }

    /// Notes that `value` was changed; returns the number to wait for.
    pub fn record_change(&mut self) -> u64 {
        self.changed += 1;
        self.changed
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changed
    }

    /// Tells whether a numbered change is durable.
    pub fn is_durable(&self, change: u64) -> bool {
        change <= self.durable
    }

    /// Returns the store key of a shard's ledger.
    pub fn key(shard: ShardId) -> String {
        format!("shards/{}", shard.0)
    }

    /// Sends the next call if one is due.
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
            Phase::Ready if self.changed > self.durable && may_write => {
                self.write(out);
                true
            }
            Phase::Claiming if may_write => {
                self.write(out);
                true
            }
            Phase::Claiming | Phase::Ready | Phase::Lost => false,
        }
    }

    fn write(&mut self, out: &mut EffectBuffer) {
        self.value.epoch = self.epoch;
        self.value.write_seq += 1;
        self.in_flight = self.changed;
        let text = serde_json::to_string(&self.value).unwrap_or_default();
        self.bytes = text.len();
        self.call = Some(out.store(StoreOp::CompareAndSwap {
            key: Self::key(self.shard),
            expected_version: self.version,
            value: Arc::from(text),
            lease: None,
        }));
    }

    /// Takes the answer to a call; returns false if the call is not this ledger's.
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
                self.retry_at = now + RETRY_MS;
                if matches!(self.phase, Phase::Claiming | Phase::Ready) {
                    self.phase = Phase::Verifying;
                }
            }
            Ok(StoreReply::Written { version }) => self.written(*version, out),
            Ok(StoreReply::Value { version, value }) => self.read(*version, value, out),
            Ok(StoreReply::Absent) => self.read(0, "", out),
            Ok(_) => self.phase = Phase::Verifying,
        }
        true
    }

    fn written(&mut self, version: u64, out: &mut EffectBuffer) {
        self.version = version;
        self.durable = self.in_flight;
        self.phase = Phase::Ready;
        if !self.claimed {
            self.claimed = true;
            out.log(LogEvent::ShardTaken, format!("shard {}", self.shard));
        }
    }

    fn read(&mut self, version: u64, text: &str, out: &mut EffectBuffer) {
        let stored: LedgerValue = serde_json::from_str(text).unwrap_or_default();
        if stored.epoch > self.epoch {
            self.phase = Phase::Lost;
            return;
        }
        self.version = version;
        if self.claimed || stored.epoch == self.epoch {
            self.settle(version, &stored, out);
            return;
        }
        self.value = stored;
        self.value.write_seq = 0;
        self.phase = Phase::Claiming;
    }

    /// Compares the stored value, which only this owner can have written, with the last write.
    fn settle(&mut self, version: u64, stored: &LedgerValue, out: &mut EffectBuffer) {
        if stored.epoch == self.epoch && stored.write_seq == self.value.write_seq {
            self.written(version, out);
        } else if self.claimed {
            self.phase = Phase::Ready;
        } else {
            self.phase = Phase::Claiming;
        }
    }
}
