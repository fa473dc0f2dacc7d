//! State of one maintenance wave: what operators request, how far each machine is, and which calls
//! are in doubt.
//!
//! Used by the owner's upkeep task, which stores [`WaveRecord`] before it sends a call, and by
//! `policy::upkeep`, which chooses machines. Nothing here sends a call, reads a clock or decides
//! which machine is next.

use {
    crate::{
        core::Millis,
        fleet::{ExecutorId, Now},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Id of a machine in the platform's machine service.
pub type MachineId = Arc<str>;

/// First pause after a call that failed, in ms; doubles with each further failure.
const MIN_BACKOFF_MS: Millis = 250;

/// Maximum of that pause, in ms.
const MAX_BACKOFF_MS: Millis = 8_000;

/// Time after a call without a reply from which it is no longer carried out, in ms: twice the timeout
/// of a call.
const CALL_SETTLED_MS: Millis = 4_000;

/// Age of the list of machines beyond which no call is based on it, in ms.
const MAX_LIST_AGE_MS: Millis = 3_000;

/// Complete lists that must lack a machine before a call asks whether it exists.
const MIN_ABSENT_LISTS: u32 = 2;

/// Time after a repeated call from which a list that shows the machine as up is believed, in ms. The
/// maintenance may have been over before the call, so waiting for its duration again is not needed.
const REPEATED_CALL_DOWN_MS: Millis = 3_000;

/// Time that a machine takes beyond its maintenance until the next one can begin, in ms: the interval
/// of the lists, a slow reply and the write of the record.
const CYCLE_OVERHEAD_MS: Millis = 2_000;

/// State of a machine as the machine service lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Out of service for another reason than maintenance.
    Down,
    /// Changing its pool.
    Moving,
    /// A state that this version does not know.
    Unknown,
    /// In service.
    Up,
    /// In maintenance.
    Upkeep,
}

/// A machine as the machine service lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineInfo {
    pub id: MachineId,
    pub state: MachineState,
    /// The executor on it, if there is one.
    pub executor: Option<ExecutorId>,
}

/// Reply of the machine service to a call that begins a maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineReply {
    /// The maintenance has begun, now or by an earlier call.
    Begun,
    /// There is no such machine.
    NoSuchMachine,
    /// The call was refused and changed nothing.
    Refused(MachineRefusal),
    /// No usable reply: the maintenance may have begun, or may still begin.
    NoReply,
    /// The call was not sent.
    NotSent,
}

/// Why the machine service refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineRefusal {
    /// The machine is not up, or is leaving.
    Busy,
    /// A holder with a higher fencing token has acted on the machine.
    Fence,
    /// The service does not understand the call, or does not know a machine that it lists.
    NotUnderstood,
    /// Too many calls.
    Rate,
    /// The machine is not part of the wave.
    Wave,
}

/// A wave as operators request it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRequest {
    pub wave: u64,
    pub machines: BTreeSet<MachineId>,
    /// Time after the request in which each machine must have its maintenance, in ms.
    pub within_ms: Millis,
    /// Maximum machines of the wave that are down for their maintenance at a time; at least 1.
    pub cap: u32,
}

/// How far one machine of a wave is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MachinePhase {
    /// No call was sent, or all were refused.
    Waiting,
    /// A call was recorded; whether the maintenance has begun is not known. Counts as down.
    Called { executor: Option<ExecutorId> },
    /// The service confirmed the maintenance. Counts as down.
    Begun {
        /// Executor before the call; one with another id joins after the maintenance.
        executor: Option<ExecutorId>,
        /// When the confirmation arrived, in Unix ms.
        at_unix_ms: Millis,
        /// An earlier call may have begun the maintenance.
        repeated: bool,
    },
    /// It is in service again after its maintenance.
    Done,
    /// It has left the platform.
    Gone,
    /// The service holds that it is not part of the wave.
    Excluded,
}

impl MachinePhase {
    /// Returns whether the machine is or may be down for its maintenance.
    pub fn is_down(&self) -> bool {
        matches!(self, Self::Called { .. } | Self::Begun { .. })
    }

    /// Returns whether the machine needs no further call.
    pub fn has_begun(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Called { .. })
    }

    /// Returns the value of the metric's `state` label.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Called { .. } => "called",
            Self::Begun { .. } => "begun",
            Self::Done => "done",
            Self::Gone => "gone",
            Self::Excluded => "excluded",
        }
    }

    /// All labels, in the order in which the metrics list them.
    pub const LABELS: [&'static str; 6] =
        ["waiting", "called", "begun", "done", "gone", "excluded"];
}

/// Stored record of a wave (postcard: the order of fields and variants stays).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    pub request: WaveRequest,
    /// When the request was made as far as the owner that read it knows, in Unix ms.
    pub requested_unix_ms: Millis,
    pub machines: BTreeMap<MachineId, MachinePhase>,
    /// Every machine that stays has begun its maintenance.
    pub completed: bool,
}

/// Durations that the platform's settings state for maintenance, in ms.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpkeepTiming {
    /// Time from the beginning of a maintenance until the new executor joins.
    pub upkeep_ms: Millis,
    /// Time after which a persistent task that does not work counts as unavailable.
    pub notice_ms: Millis,
    /// Minimum time between two calls that change a machine.
    pub call_interval_ms: Millis,
}

/// What this owner knows of the calls for one machine and of its entry in the list. Times are in ms
/// on the owner's monotonic clock.
#[derive(Clone, Debug, Default)]
struct MachineContact {
    /// A call may have been carried out, or may still be, although no reply said so.
    in_doubt: bool,
    /// Calls in a row that failed.
    failures: u32,
    /// Earliest next call.
    not_before: Millis,
    /// When the last call ended that may be carried out late.
    unanswered_at: Millis,
    /// The last call was refused, which says that an earlier one did not begin the maintenance, or
    /// that the machine is down.
    refused: bool,
    /// Last entry in the list.
    info: Option<MachineInfo>,
    /// Complete lists in a row without it.
    absent_lists: u32,
}

/// State of a wave on its owner.
#[derive(Clone, Debug)]
pub struct WaveState {
    pub record: WaveRecord,
    pub timing: UpkeepTiming,
    contacts: HashMap<MachineId, MachineContact>,
    /// When the last complete list was requested, in ms on the owner's monotonic clock.
    listed_at: Option<Millis>,
}

impl WaveState {
    /// Creates the state of a new wave.
    pub fn new(request: WaveRequest, requested_unix_ms: Millis, timing: UpkeepTiming) -> Self {
        let waiting = |id: &MachineId| (id.clone(), MachinePhase::Waiting);
        let machines = request.machines.iter().map(waiting).collect();
        let record = WaveRecord {
            request,
            requested_unix_ms,
            machines,
            completed: false,
        };
        // No call was sent, so that none is in doubt and no time matters.
        Self::resume(record, timing, Now::default())
    }

    /// Continues the wave of an earlier owner: its calls without a recorded reply are in doubt.
    pub fn resume(record: WaveRecord, timing: UpkeepTiming, now: Now) -> Self {
        let mut contacts: HashMap<MachineId, MachineContact> = HashMap::new();
        for (id, phase) in &record.machines {
            let contact = contacts.entry(id.clone()).or_default();
            contact.in_doubt = matches!(phase, MachinePhase::Called { .. });
            contact.unanswered_at = now.mono;
        }
        Self {
            record,
            timing,
            contacts,
            listed_at: None,
        }
    }

    /// Takes in a changed request: machines that it no longer names are dropped unless they are or
    /// may be down, new ones are added. Its time counts from the first request, as that of machines that
    /// were named before does, unless the wave was completed. Returns whether anything changed.
    pub fn update_request(&mut self, request: WaveRequest, requested_unix_ms: Millis) -> bool {
        if self.record.request == request {
            return false;
        }
        let machines = &mut self.record.machines;
        machines.retain(|id, phase| request.machines.contains(id) || phase.is_down());
        for id in &request.machines {
            self.contacts.entry(id.clone()).or_default();
            let phase = machines.entry(id.clone()).or_insert(MachinePhase::Waiting);
            if *phase == MachinePhase::Excluded {
                *phase = MachinePhase::Waiting;
            }
        }
        if self.record.completed {
            self.record.requested_unix_ms = requested_unix_ms;
        }
        self.record.completed &= machines.values().all(MachinePhase::has_begun);
        self.record.request = request;
        true
    }

    /// Returns whether machines are left that have not begun their maintenance.
    pub fn is_active(&self) -> bool {
        !self.record.completed
    }

    /// Returns whether every machine that stays has begun its maintenance.
    pub fn all_begun(&self) -> bool {
        let machines = &self.record.machines;
        machines.values().all(MachinePhase::has_begun)
    }

    /// Counts the machines that are or may be down for their maintenance.
    pub fn down_count(&self) -> usize {
        let down = self.record.machines.values().filter(|p| p.is_down());
        down.count()
    }

    /// Returns how many machines may be down at a time.
    pub fn cap(&self) -> usize {
        usize::try_from(self.record.request.cap).unwrap_or(usize::MAX)
    }

    /// Counts the machines whose maintenance should be over by `unix_ms`, in Unix ms.
    pub fn returning_by(&self, unix_ms: Millis) -> usize {
        let returning = |phase: &&MachinePhase| match phase {
            MachinePhase::Begun { at_unix_ms, .. } => at_unix_ms + self.timing.upkeep_ms <= unix_ms,
            _ => false,
        };
        self.record.machines.values().filter(returning).count()
    }

    /// Returns when the next machine must begin at the latest so that all of them can have had their
    /// maintenance in time with `cap` machines at a time, in Unix ms.
    pub fn latest_start_unix_ms(&self) -> Millis {
        let waits = |p: &&MachinePhase| **p == MachinePhase::Waiting;
        let waiting = self.record.machines.values().filter(waits).count();
        let to_ms = |count: usize| Millis::try_from(count).unwrap_or(Millis::MAX);
        let rounds = to_ms(waiting.div_ceil(self.cap().max(1)));
        let timing = &self.timing;
        let cycle_ms = timing.upkeep_ms + timing.notice_ms + CYCLE_OVERHEAD_MS;
        let needed_ms = rounds
            .saturating_mul(cycle_ms)
            .saturating_add(to_ms(waiting).saturating_mul(timing.call_interval_ms));
        let request = &self.record.request;
        let deadline = self
            .record
            .requested_unix_ms
            .saturating_add(request.within_ms);
        deadline.saturating_sub(needed_ms)
    }

    /// Returns whether the list of machines is recent enough to act on it.
    pub fn has_recent_list(&self, now: Now) -> bool {
        let age = |at: Millis| now.mono.saturating_sub(at);
        self.listed_at.is_some_and(|at| age(at) <= MAX_LIST_AGE_MS)
    }

    /// Returns the executor that the last list with the machine named.
    pub fn executor(&self, id: &MachineId) -> Option<&ExecutorId> {
        self.contacts.get(id)?.info.as_ref()?.executor.as_ref()
    }

    /// Returns the executors of machines that are or may be down. The list is not read for a completed
    /// wave, whose machines count as down for the duration of a maintenance.
    pub fn down_executors(&self, now: Now) -> impl Iterator<Item = &ExecutorId> {
        let phases = self.record.machines.values();
        phases.filter_map(move |phase| match phase {
            MachinePhase::Called { executor } => executor.as_ref(),
            MachinePhase::Begun {
                executor,
                at_unix_ms,
                ..
            } => {
                let over = now.unix >= at_unix_ms + self.timing.upkeep_ms;
                executor.as_ref().filter(|_| self.is_active() || !over)
            }
            _ => None,
        })
    }

    /// Returns whether the machine waits for its first call and is in service.
    pub fn may_be_drained(&self, id: &MachineId) -> bool {
        self.record.machines.get(id) == Some(&MachinePhase::Waiting)
            && self.listed_state(id) == Some(MachineState::Up)
    }

    /// Returns whether a call for the machine may be sent, apart from the cap and from what runs there.
    pub fn may_be_called(&self, id: &MachineId, now: Now) -> bool {
        let Some(contact) = self.contacts.get(id) else {
            return false;
        };
        if contact.not_before > now.mono || !self.has_recent_list(now) {
            return false;
        }
        match self.record.machines.get(id) {
            Some(MachinePhase::Waiting) => match self.listed_state(id) {
                Some(state) => state == MachineState::Up,
                None => contact.absent_lists >= MIN_ABSENT_LISTS,
            },
            Some(MachinePhase::Called { .. }) => contact.in_doubt,
            _ => false,
        }
    }

    /// Returns whether a call was sent whose outcome is not known, so that the machine counts as down.
    pub fn is_in_doubt(&self, id: &MachineId) -> bool {
        matches!(
            self.record.machines.get(id),
            Some(MachinePhase::Called { .. })
        )
    }

    /// Returns the state in the last list; `None` if that list does not name the machine.
    pub fn listed_state(&self, id: &MachineId) -> Option<MachineState> {
        let contact = self.contacts.get(id)?;
        let info = contact.info.as_ref()?;
        (contact.absent_lists == 0).then_some(info.state)
    }

    /// Records that a call is about to be sent.
    pub fn mark_called(&mut self, id: &MachineId) {
        let executor = self.executor(id).cloned();
        if let Some(phase) = self.record.machines.get_mut(id) {
            *phase = MachinePhase::Called { executor };
        }
    }

    /// Takes in the reply to a call. A refusal returns the machine to its waiting state, unless an
    /// earlier call is in doubt.
    pub fn on_reply(&mut self, id: &MachineId, reply: MachineReply, now: Now) {
        let after_deadline = now.unix
            >= self
                .record
                .requested_unix_ms
                .saturating_add(self.record.request.within_ms);
        let listed = self.listed_state(id).is_some();
        let (Some(phase), Some(contact)) =
            (self.record.machines.get_mut(id), self.contacts.get_mut(id))
        else {
            return;
        };
        let MachinePhase::Called { executor } = phase else {
            return;
        };
        let reply = match reply {
            // The list of machines names it: the call itself may be at fault.
            MachineReply::NoSuchMachine if listed => {
                MachineReply::Refused(MachineRefusal::NotUnderstood)
            }
            reply => reply,
        };
        match reply {
            MachineReply::Begun => {
                *phase = MachinePhase::Begun {
                    executor: executor.take(),
                    at_unix_ms: now.unix,
                    repeated: contact.in_doubt,
                };
                contact.in_doubt = false;
            }
            MachineReply::NoSuchMachine => *phase = MachinePhase::Gone,
            MachineReply::Refused(refusal) => {
                contact.back_off(now);
                contact.refused = true;
                if !contact.in_doubt {
                    // The service may learn of a wave later than this owner, so that its word is
                    // taken only when the wave's time has passed.
                    *phase = match refusal {
                        MachineRefusal::Wave if after_deadline => MachinePhase::Excluded,
                        _ => MachinePhase::Waiting,
                    };
                }
            }
            MachineReply::NoReply => {
                contact.back_off(now);
                contact.refused = false;
                contact.in_doubt = true;
                contact.unanswered_at = now.mono;
            }
            MachineReply::NotSent if contact.in_doubt => {}
            MachineReply::NotSent => *phase = MachinePhase::Waiting,
        }
    }

    /// Takes in a complete list that was requested at `sent`: which machines are in service again, and
    /// which calls without a reply were not carried out. Returns whether the record changed.
    pub fn on_listed(&mut self, machines: &HashMap<MachineId, MachineInfo>, sent: Now) -> bool {
        self.listed_at = Some(sent.mono);
        let mut changed = false;
        for (id, phase) in &mut self.record.machines {
            let contact = self.contacts.entry(id.clone()).or_default();
            let info = machines.get(id);
            match info {
                Some(info) => {
                    contact.info = Some(info.clone());
                    contact.absent_lists = 0;
                }
                None => contact.absent_lists += 1,
            }
            let next = match phase {
                MachinePhase::Begun {
                    executor,
                    at_unix_ms,
                    repeated,
                } => {
                    let down_ms = match repeated {
                        true => self.timing.upkeep_ms.min(REPEATED_CALL_DOWN_MS),
                        false => self.timing.upkeep_ms,
                    };
                    let over = sent.unix >= *at_unix_ms + down_ms;
                    let is_back = match info {
                        Some(info) if info.state == MachineState::Up => {
                            let new = info.executor.is_some() && info.executor != *executor;
                            over || (new && executor.is_some() && sent.unix >= *at_unix_ms)
                        }
                        Some(info) => over && info.state != MachineState::Upkeep,
                        None => over,
                    };
                    is_back.then_some(MachinePhase::Done)
                }
                MachinePhase::Called { .. } => {
                    let settled = sent.mono >= contact.unanswered_at + CALL_SETTLED_MS;
                    let up = info.is_some_and(|i| i.state == MachineState::Up);
                    (contact.refused && settled && up).then_some(MachinePhase::Waiting)
                }
                _ => None,
            };
            if let Some(next) = next {
                if next == MachinePhase::Waiting {
                    contact.in_doubt = false;
                }
                *phase = next;
                changed = true;
            }
        }
        changed
    }

    /// Counts the machines by [`MachinePhase::label`], in the order of [`MachinePhase::LABELS`].
    pub fn counts(&self) -> [u64; MachinePhase::LABELS.len()] {
        let phases = self.record.machines.values();
        MachinePhase::LABELS.map(|label| {
            let count = phases.clone().filter(|p| p.label() == label).count();
            count as u64
        })
    }
}

impl MachineContact {
    fn back_off(&mut self, now: Now) {
        let pause_ms = (MIN_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.not_before = now.mono + pause_ms;
    }
}
