//! The scheduler of a fleet: jobs of steps on fenced executors, one owner for a cell.
//!
//! [`Cell::step`] takes an event and the time, [`Cell::plan`] decides, and
//! [`Cell::take_effects`] returns what must be done. Nothing here opens a socket or reads a
//! clock.

mod advice_slots;
mod cell;
mod cell_advice;
mod cell_capacity;
mod cell_executors;
mod cell_explain;
mod cell_health;
mod cell_jobs;
mod cell_plan;
mod cell_preempt;
mod cell_run_ends;
mod cell_runs;
mod cell_summary;
mod commit_queue;
mod event;
mod executor;
mod fleet_config;
mod ids;
mod job;
mod job_spec;
pub mod policy;
mod records;

pub use {
    advice_slots::AdviceSlots,
    cell::{Cell, CellBounds, JobStatus, Now, OWNER_STEP_DOWN_MS},
    cell_explain::{BlockReason, JobExplanation, StepExplanation},
    cell_summary::{FleetView, QueueView, TenantView},
    commit_queue::CommitQueue,
    event::{
        AdvisedExecutor, CellEffect, CellEvent, CommandError, CommandReply, EndedRow,
        ExecutorCommand, ExecutorInfo, FleetEvent, RecoveredState, RenewCommand, RenewReply,
        RunEnd, RunningRow, StartCommand, StoreWrite,
    },
    executor::{Executor, Run, RunStage, Session},
    fleet_config::{AdviceRule, FleetConfig, QueueRule, TenantRule},
    ids::{
        ExecutorId, FencingToken, INCARNATIONS_PER_OWNER, JobId, ParseIdError, RunNumber, StepId,
        TaskId,
    },
    job::{Job, Step, Task},
    job_spec::{JobSpec, Schedule, StepSpec},
    records::{
        EpochRecord, JobEnd, JobProgress, JobRecord, NodeRecord, OwnerRecord, Roster, RosterEntry,
        StepProgress, Submission, TaskProgress,
    },
};
