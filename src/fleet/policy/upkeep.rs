//! Choice of the machines of a maintenance wave that are drained, and of those that begin.
//!
//! Answers the load of planned maintenance under traffic: each machine that begins takes its capacity
//! away and ends what runs there, and a persistent step permits only some of its tasks to be missing.

use {
    crate::{
        core::Millis,
        fleet::{MachineId, MachineState, Now, StepId, WaveState},
    },
    std::{cmp::Reverse, collections::HashMap},
};

/// Time before a machine can begin from which it is drained, in ms: about the longest usual task.
const DRAIN_LEAD_MS: Millis = 4_000;

/// Time before the latest start from which remaining work is stopped, in ms, so that it ends, and saves
/// its progress, before the machine does.
const STOP_LEAD_MS: Millis = 1_500;

/// Time for which a machine is drained before it begins with work left, in ms: a stop and its end
/// take two exchanges with the executor.
const MIN_DRAIN_MS: Millis = 700;

/// Tasks of one persistent step on one executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PersistentTasks {
    pub step: StepId,
    /// Its tasks on this executor that work.
    pub working_here: u32,
    /// Its tasks that do not work, on this executor or elsewhere.
    pub not_working: u32,
    /// Tasks that may be unavailable; 0: not stated.
    pub max_unavailable: u32,
}

/// What runs on one executor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExecutorWork {
    /// Whether runs may be there that this owner has not read or does not know.
    pub is_unread: bool,
    /// Runs that end by themselves.
    pub runs: u32,
    /// Their estimated remaining work, in CPU ms.
    pub work_ms: u64,
    pub persistent: Vec<PersistentTasks>,
}

impl ExecutorWork {
    fn is_empty(&self) -> bool {
        !self.is_unread && self.runs == 0 && self.persistent.is_empty()
    }
}

/// A machine of a wave, with what runs on its executor.
#[derive(Clone, Debug)]
pub struct MachineView {
    pub id: MachineId,
    pub work: ExecutorWork,
    /// Since when its executor gets no new tasks, in ms on the owner's monotonic clock.
    pub drained_since: Option<Millis>,
}

/// Returns how many tasks of a persistent step may be unavailable. Where the step does not state it,
/// one at a time, and any number when time is short: it has no bound that could be exceeded.
pub fn allowed_unavailable(max_unavailable: u32, time_is_short: bool) -> u32 {
    match max_unavailable {
        0 if time_is_short => u32::MAX,
        0 => 1,
        max => max,
    }
}

/// Returns whether work on the machines that are drained is stopped: the next one must begin soon, and
/// the cap permits it soon.
pub fn should_stop_work(wave: &WaveState, now: Now) -> bool {
    let soon = now.unix + STOP_LEAD_MS;
    let has_room = wave.down_count() < wave.cap() || wave.returning_by(soon) > 0;
    has_room && soon >= wave.latest_start_unix_ms()
}

/// Chooses the machines of a wave whose executors get no new tasks: as many as can begin now or within
/// `DRAIN_LEAD_MS`. Machines that can begin without a persistent step in the way go first, then those
/// that are drained already, then those with the least work.
pub fn machines_to_drain(wave: &WaveState, machines: &[MachineView], now: Now) -> Vec<MachineId> {
    let returning = wave.returning_by(now.unix + DRAIN_LEAD_MS);
    let room = wave.cap() + returning.min(wave.down_count());
    let room = room.saturating_sub(wave.down_count()).min(wave.cap());
    let candidates = machines.iter().filter(|m| wave.may_be_drained(&m.id));
    let mut candidates: Vec<&MachineView> = candidates.collect();
    let stuck = |m: &MachineView| {
        let full =
            |p: &PersistentTasks| p.not_working >= allowed_unavailable(p.max_unavailable, false);
        m.work.is_unread || m.work.persistent.iter().any(full)
    };
    candidates.sort_by_key(|m| {
        let drained = m.drained_since.is_some();
        (stuck(m), Reverse(drained), m.work.work_ms, m.id.clone())
    });
    candidates.iter().take(room).map(|m| m.id.clone()).collect()
}

/// Chooses the machines of a wave that begin their maintenance now.
///
/// Never more than the cap of the wave are down; machines whose last call is in doubt count as down and
/// are called again first. The others have been drained and begin when nothing runs there any more, or
/// with the work left when the wave would otherwise not end in time. No persistent step gets more tasks
/// unavailable than it allows, whatever the time.
pub fn next_machines(wave: &WaveState, machines: &[MachineView], now: Now) -> Vec<MachineId> {
    let time_is_short = now.unix >= wave.latest_start_unix_ms();
    let mut free = wave.cap().saturating_sub(wave.down_count());
    let callable = machines.iter().filter(|m| wave.may_be_called(&m.id, now));
    let mut callable: Vec<&MachineView> = callable.collect();
    callable.sort_by_key(|m| (!wave.is_in_doubt(&m.id), m.work.work_ms, m.id.clone()));
    let mut stopped: HashMap<StepId, u32> = HashMap::new();
    let mut chosen = Vec::new();
    for machine in callable {
        let in_doubt = wave.is_in_doubt(&machine.id);
        if !in_doubt && free == 0 {
            continue;
        }
        let drained_for = machine.drained_since.map(|at| now.mono.saturating_sub(at));
        let ready = match wave.listed_state(&machine.id) {
            // Nothing runs there: the call only learns whether the maintenance has begun.
            Some(MachineState::Upkeep) => in_doubt,
            _ if machine.work.is_unread => false,
            _ if in_doubt => true,
            Some(_) if machine.work.is_empty() => drained_for.is_some(),
            Some(_) => time_is_short && drained_for.is_some_and(|ms| ms >= MIN_DRAIN_MS),
            // It has left the list, and the call learns whether it exists.
            None => true,
        };
        let in_upkeep = wave.listed_state(&machine.id) == Some(MachineState::Upkeep);
        if !ready || !(in_upkeep || permits(machine, &stopped, time_is_short)) {
            continue;
        }
        for tasks in &machine.work.persistent {
            *stopped.entry(tasks.step).or_default() += tasks.working_here;
        }
        free -= usize::from(!in_doubt);
        chosen.push(machine.id.clone());
    }
    chosen
}

/// Returns whether a machine that [`next_machines`] chose may still begin, by what runs there now that
/// its call is recorded. `wave` is the state before that.
pub fn may_begin(wave: &WaveState, machine: &MachineView, now: Now) -> bool {
    let time_is_short = now.unix >= wave.latest_start_unix_ms();
    let in_upkeep = wave.listed_state(&machine.id) == Some(MachineState::Upkeep);
    let permitted = permits(machine, &HashMap::new(), time_is_short);
    in_upkeep || (!machine.work.is_unread && permitted)
}

/// Returns whether every persistent step permits that its tasks on a machine stop, besides `stopped`
/// ones that do so on other machines.
fn permits(machine: &MachineView, stopped: &HashMap<StepId, u32>, time_is_short: bool) -> bool {
    machine.work.persistent.iter().all(|tasks| {
        let others = stopped.get(&tasks.step).copied().unwrap_or(0);
        let unavailable = tasks.not_working + tasks.working_here + others;
        unavailable <= allowed_unavailable(tasks.max_unavailable, time_is_short)
    })
}
