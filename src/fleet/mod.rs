//! Scheduler of the users' platform: places the tasks of submitted jobs on executors.
//!
//! The owner loop in `entry` drives it: [`Cell::step`] takes an event and the time,
//! [`Cell::plan`] decides, and [`Cell::take_effects`] returns what the caller must carry out.
//! Nothing here opens a socket or reads a clock.
//!
//! - cell: all pools of executors and all jobs, scheduled as one unit.
//! - owner: the one node that schedules the cell; elected through the store. Its fencing token
//!   makes executors refuse the commands of earlier owners.
//! - executor: a process registered with the platform that runs tasks; one start of it is an
//!   incarnation.
//! - job: what a caller submits; steps that may depend on each other, once or on a schedule.
//! - step: a number of equal tasks, placed singly or, as a gang, all at the same time.
//! - task: the unit that is placed; it takes part of one executor's capacity.
//! - run: one start of a task on an executor, under a run number that rises with each start.
//!
//! `core` is another scheduler: its workers speak the project's own protocol and are divided
//! among 64 shards, each with an owner. Only basic types are shared with it.

mod advice_slots;
mod cell;
mod cell_advice;
mod cell_capacity;
mod cell_crashes;
mod cell_departures;
mod cell_evacuation;
mod cell_executors;
mod cell_explain;
mod cell_hand_over;
mod cell_health;
mod cell_jobs;
mod cell_load;
mod cell_plan;
mod cell_preempt;
mod cell_run_ends;
mod cell_runs;
mod cell_summary;
mod cell_takeover;
mod cell_upkeep;
mod commit_queue;
mod crash_watch;
mod earlier_leases;
mod evacuations;
mod event;
mod executor;
mod fleet_config;
mod ids;
mod index_set;
mod job;
mod job_spec;
mod leaving_executors;
pub mod policy;
mod progress;
mod records;
mod run_log;
mod suspicion;
mod unread_executors;
mod wave;

pub use {
    advice_slots::AdviceSlots,
    cell::{Cell, CellBounds, JobStatus, Now},
    cell_evacuation::EvacuationSummary,
    cell_explain::{BlockReason, JobExplanation, StepExplanation},
    cell_summary::{FleetSummary, QueueSummary, TenantSummary},
    cell_upkeep::UpkeepPlan,
    commit_queue::{CommitBatch, CommitQueue, RecordChange},
    crash_watch::{CrashWatch, Hold, WatchedRun},
    earlier_leases::EarlierLeases,
    evacuations::Evacuations,
    event::{
        AdvisedExecutor, CellEffect, CellEvent, CommandError, CommandReply, EndedRow,
        ExecutorCommand, ExecutorInfo, FleetEvent, RecoveredState, RenewCommand, RenewReply,
        RunEnd, RunLoss, RunningRow, SkippedRows, StartCommand, StoreWrite,
    },
    executor::{ClockReading, Executor, Run, RunStage, Session},
    fleet_config::{AdviceRule, FleetConfig, QueueRule, TenantRule},
    ids::{
        ExecutorId, FencingToken, INCARNATIONS_PER_OWNER, JobId, ParseIdError, RunNumber, StepId,
        TaskId,
    },
    index_set::IndexSet,
    job::{Job, Step, Task},
    job_spec::{JobSpec, Schedule, StepSpec},
    leaving_executors::LeavingExecutors,
    progress::{CrashedTask, JobProgress, ProgressFormat, StepProgress, TaskProgress},
    records::{
        EpochRecord, JobEnd, JobRecord, LeaseWaits, NODE_PROTOCOL, NodeRecord, OwnerRecord, Roster,
        RosterEntry, Submission,
    },
    suspicion::Suspicion,
    unread_executors::UnreadExecutors,
    wave::{
        MachineId, MachineInfo, MachinePhase, MachineRefusal, MachineReply, MachineState,
        UpkeepTiming, WaveRecord, WaveRequest, WaveState,
    },
};
