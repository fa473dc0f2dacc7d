//! The scheduler of a fleet: jobs of steps on fenced executors, one owner for a cell.
//!
//! [`Cell::step`] takes an event and the time, [`Cell::plan`] decides, and
//! [`Cell::take_effects`] returns what must be done. Nothing here opens a socket or reads a
//! clock.

mod cell;
mod cell_advice;
mod cell_ends;
mod cell_executors;
mod cell_health;
mod cell_jobs;
mod cell_plan;
mod cell_preempt;
mod cell_rooms;
mod cell_runs;
mod cell_summary;
mod cell_why;
mod commit_queue;
mod event;
mod executor;
mod fleet_config;
mod ids;
mod job;
mod job_spec;
mod lanes;
pub mod policy;
mod records;

pub use {
    cell::{Cell, CellBounds, JobView, Now, OLD_OWNER_MS},
    cell_summary::{FleetView, QueueView, TenantView},
    cell_why::{Blocked, JobWhy, StepWhy},
    commit_queue::CommitQueue,
    event::{
        Advised, CallFault, CellEffect, CellEvent, EndedRow, ExecutorInfo, FleetEvent, HoldAnswer,
        HoldOrder, Inheritance, Order, OrderAnswer, RunEnd, RunningRow, StartOrder, Write,
    },
    executor::{Contact, Executor, Run, RunStage},
    fleet_config::{AdviceRule, FleetConfig, QueueRule, TenantRule},
    ids::{BadName, ExecutorId, FencingToken, JobId, LIVES_PER_OWNER, RunNumber, StepId, TaskId},
    job::{Job, Step, Task},
    job_spec::{JobSpec, Schedule, StepSpec},
    lanes::Lanes,
    records::{
        EpochRecord, JobEnd, JobProgress, JobRecord, NodeRecord, OwnerRecord, Roster, RosterEntry,
        StepProgress, Submission, TaskProgress,
    },
};
