//! The decisions of one node as a deterministic state machine: 64 shards, workers under leases.
//!
//! `app` calls [`Node::step`] with an event and the monotonic time and carries out the returned
//! effects. No module in this folder opens a socket, reads a clock or draws randomness from the
//! system.
//!
//! A node has four roles, all at the same time:
//! - entry: finds a worker for the requests that callers send to this node;
//! - shard owner: holds the leases of the workers in its shards and places tasks on them;
//! - quota coordinator: divides an organisation's limit among the shards;
//! - job coordinator: keeps the durable records of jobs and idempotency keys and assigns tasks
//!   to shards.
//!
//! Both coordinator roles belong to the owner of the shard that the organisation's name, the
//! job id or the idempotency key hashes to.

mod cluster;
mod config;
mod effect;
mod event;
mod health;
mod ids;
mod job;
mod job_coordinator;
mod ledger;
mod message;
mod node;
mod node_assignments;
mod node_config;
mod node_coordinator;
mod node_coordinator_calls;
mod node_gangs;
mod node_jobs;
mod node_placement;
mod node_quota;
mod node_reports;
mod node_requests;
mod node_workers;
mod quota_coordinator;
mod request_registry;
mod resources;
mod shard_quota;
mod shard_table;
mod store;
mod task;
mod wait_queue;
mod worker;
mod worker_registry;

pub use {
    cluster::{Cluster, NodeRecord, PeerView},
    config::{
        AdminCall, AdminReply, ChangeRecord, Config, ConfigChange, KeyGrant, OrganisationLimits,
    },
    effect::{Effect, EffectBuffer, LogEvent},
    event::{CallerRequest, Event, RequestOutcome, RequestReply},
    health::WorkerHealth,
    ids::{
        CallId, Epoch, FencingToken, JobId, Millis, NodeId, OrganisationName, PoolName, QueueName,
        RackName, ReplyId, SHARD_COUNT, ShardId, TaskId, WorkerId, ZoneName,
    },
    job::{JobKind, JobRecord, JobSpec, JobState, TaskRecord, TaskRun, TaskStage},
    job_coordinator::{JobCall, JobCoordinator, JobReply, JobSummary},
    ledger::{IdempotencyRecord, IdempotencyState, Ledger, LedgerValue},
    message::{Heartbeat, Message, OwnerReport, PlacementRequest, ShardFreeCapacity},
    node::{Node, NodeView, Tuning},
    node_coordinator_calls::job_summary,
    quota_coordinator::{HandoverGrant, QuotaCoordinator, QuotaHandover},
    request_registry::RequestRegistry,
    resources::Resources,
    shard_quota::{QuotaKey, QuotaStatus, ShardQuota},
    shard_table::{ShardEntry, ShardTable},
    store::{StoreOp, StoreReply, StoreUnavailable},
    task::{EndedTask, Priority, RefuseReason, TaskKind, TaskOutcome, TaskSpec},
    wait_queue::WaitQueue,
    worker::{HostedStage, HostedTask, VmRecord, Worker, WorkerOp, WorkerReply, WorkerState},
    worker_registry::WorkerRegistry,
};
