//! The pure decision core of a node.
//!
//! [`Node::step`] takes an event and the monotonic time and returns effects. No module
//! in this folder opens a socket, reads a clock or draws randomness from the system.

mod allowance;
mod cluster;
mod config;
mod effect;
mod event;
mod health;
mod ids;
mod job;
mod job_book;
mod ledger;
mod message;
mod node;
mod node_calls;
mod node_config;
mod node_gangs;
mod node_homes;
mod node_jobs;
mod node_marks;
mod node_placement;
mod node_reports;
mod node_requests;
mod node_tokens;
mod node_workers;
mod request_book;
mod resources;
mod shard_table;
mod store;
mod task;
mod token_home;
mod wait_queue;
mod worker;
mod worker_book;

pub use {
    allowance::{Allowance, TokenKey, TokenStand},
    cluster::{Cluster, NodeRecord, PeerView},
    config::{AdminCall, AdminReply, ChangeNote, Config, ConfigChange, KeyGrant, TeamLimits},
    effect::{Effect, LogEvent, Out},
    event::{Event, RequestAsk, RequestOutcome, RequestReply},
    health::WorkerHealth,
    ids::{
        CallId, Epoch, Fence, JobId, Millis, NodeId, PoolName, QueueName, RackName, ReplyId,
        SHARD_COUNT, ShardId, TaskId, TeamName, WorkerId, ZoneName,
    },
    job::{JobKind, JobRecord, JobSpec, JobState, TaskRecord, TaskRun, TaskStage},
    job_book::{JobBook, JobCall, JobReply, JobSummary},
    ledger::{Intent, IntentState, Ledger, LedgerValue},
    message::{Beat, Message, PlaceAsk, Report, ShardFree},
    node::{Node, NodeView, Tuning},
    node_calls::summary,
    request_book::RequestBook,
    resources::Resources,
    shard_table::{ShardOwner, ShardTable},
    store::{StoreAnswer, StoreFault, StoreOp},
    task::{EndedTask, Outcome, Priority, RefuseReason, TaskKind, TaskSpec},
    token_home::{HomeState, PassedLend, TokenHome},
    wait_queue::WaitQueue,
    worker::{Hosted, HostedStage, VmRecord, Worker, WorkerAnswer, WorkerOp, WorkerState},
    worker_book::WorkerBook,
};
