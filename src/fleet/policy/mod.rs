//! Scheduling policy: order of waiting steps, choice of executors, advice, crashes, departures,
//! preemption, throttling, rates, admission, maintenance, and how long ownership holds.
//!
//! Pure functions on plain data, called by the cell in every round and by the nodes. Nothing here
//! keeps state, reads a clock or sends a command.

mod admission;
mod advice;
mod crash;
mod departure;
mod dispatch;
mod order;
mod ownership;
mod pace;
mod placement;
mod preemption;
mod rate;
mod renewal;
mod reservation;
mod speed;
mod throttle;
mod upkeep;

pub use {
    admission::{
        Admission, AdmissionRequest, LoadSummary, QueueLoad, SUMMARIES_PER_OWNER,
        decide as decide_admission,
    },
    advice::{AdviceChoice, AdviceNeed, AdviceOption, AdviceYield, choose_named, ends_soon},
    crash::{
        CrashVerdict, MAX_HOLD_MS, START_WATCH_MS, SuspectPlace, choose_suspect_place,
        judge_crashes, max_held,
    },
    departure::{earliest_exit, exit_lead_ms},
    dispatch::{Dispatcher, choose_dispatcher},
    order::{
        EXPIRED_TIMES, Rank, Timeliness, WaitingJob, assumed_remaining_ms, effective_priority,
    },
    ownership::{MAX_CLOCK_LAG_MILLI, OwnershipProof, earlier_runs_end_after},
    pace::round_pause_ms,
    placement::{PlacementOption, choose_best_fit, choose_spread},
    preemption::{Victim, choose_gang_victims, choose_victims},
    rate::{RateBucket, RateBurst, RateLimit},
    renewal::{is_short_run, unacked_interval_ms},
    reservation::{Room, reserve_for_gang, reserve_for_large},
    speed::{FollowedProgress, MIN_PROGRESS_MS, RunTimeFactor, needs_speed},
    throttle::best_effort_share,
    upkeep::{
        ExecutorWork, MachineView, PersistentTasks, allowed_unavailable, machines_to_drain,
        may_begin, next_machines, should_stop_work,
    },
};
