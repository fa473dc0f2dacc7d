//! Inputs and outputs of the cell: events, effects, and the messages that they carry.
//!
//! The entry layer builds the events and carries out the effects; the platform's translation turns
//! commands into its messages. Plain data: nothing here decides or does I/O.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            Evacuations, ExecutorId, FencingToken, FleetConfig, JobId, JobProgress, JobRecord,
            LeaseWaits, Roster, RosterEntry, RunNumber, StepId, Submission, TaskId, UpkeepPlan,
        },
    },
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// An executor as the platform's list describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorInfo {
    pub id: ExecutorId,
    pub pool: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// Availability zone; empty if not stated.
    pub zone: Arc<str>,
    /// Kind and rack; the rack comes last.
    pub labels: Vec<Arc<str>>,
    pub capacity: Resources,
    /// It stops gracefully and gets no new work.
    pub draining: bool,
    /// Minimum time until it exits, in ms when the entry was written; `None` if not stated.
    pub min_remaining_ms: Option<Millis>,
    /// Start of the incarnation in Unix ms, if the entry states it.
    pub started_unix_ms: Option<u64>,
}

impl ExecutorInfo {
    /// Returns the rack, which is the last label; the other one is the kind.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// A row of the list of running tasks in a renewal reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRow {
    pub task: TaskId,
    pub run: RunNumber,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress in percent; for a persistent task 100 means that it serves.
    pub percent: u32,
    /// Tail latency in ms for a task with a latency target, else CPU use.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// Another member of the gang ended.
    Broken,
    /// The task is done.
    Done,
    /// The task failed; counts as an attempt.
    Failed,
    /// The lease expired.
    Lapsed,
    /// The gang's other members did not start in time.
    Orphaned,
    /// A stop command ended it.
    Stopped,
}

/// Why a run counts as ended although its end was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunLoss {
    /// Another incarnation replied at the executor's address.
    IncarnationEnded,
    /// Every lease sent to the executor has expired.
    LeaseExpired,
    /// The executor had confirmed the run and lists it no more, neither as running nor as ended.
    NotListed,
    /// The executor refused the only start command that was sent.
    StartRefused,
}

/// A row of the list of ended runs in a renewal reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedRow {
    /// Position in the executor's list, from 1 in each incarnation.
    pub seq: u64,
    pub task: TaskId,
    pub run: RunNumber,
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// An executor's reply to a renewal of its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewReply {
    /// Time on the executor's clock.
    pub clock_ms: Millis,
    /// Start of the incarnation in Unix ms, if stated.
    pub started_unix_ms: Option<u64>,
    pub running: Vec<RunningRow>,
    /// Ends not yet acknowledged, in the order of `seq`.
    pub ended: Vec<EndedRow>,
    /// Sequence numbers of ends that were not understood.
    #[serde(skip)]
    pub skipped_ends: Vec<u64>,
    /// Rows that were not understood, or not in full; known only to the node that got the reply.
    #[serde(skip)]
    pub skipped: SkippedRows,
}

/// Rows of a list that were left out, as they were not understood.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SkippedRows {
    pub count: usize,
    /// Why the first of them was not understood.
    pub first_reason: Arc<str>,
}

impl SkippedRows {
    /// Counts a row that was left out.
    pub fn add(&mut self, reason: impl fmt::Display) {
        if self.count == 0 {
            self.first_reason = Arc::from(reason.to_string());
        }
        self.count += 1;
    }
}

impl fmt::Display for SkippedRows {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "skipped={} first={}", self.count, self.first_reason)
    }
}

/// Why a command to an executor failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandError {
    /// The executor has seen a higher fencing token.
    Fenced,
    /// Another incarnation replied at the address.
    OtherLife,
    /// The run number is not higher than one that ended or was stopped.
    OldRun,
    /// The command's deadline has passed on the executor's clock.
    Late,
    /// The executor lacks free capacity for the task.
    NoRoom,
    /// The ticket is missing, expired or for another executor.
    BadTicket,
    /// The executor did nothing, as it is unhealthy or does not understand the command.
    Refused,
    /// No usable reply: the command may have been carried out, or may still be.
    Unknown,
    /// The command was not sent, since the executor's zone is being evacuated.
    Evacuated,
    /// A node did not send the command for the owner, since its time had passed there.
    Expired,
}

/// A command to renew the lease of all runs on an executor and to list them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewCommand {
    pub token: FencingToken,
    /// End of the lease on the executor's clock; `None` before that clock is known, or before the
    /// stored roster names the executor.
    pub deadline_ms: Option<Millis>,
    /// Ends up to this sequence number are durable here; the executor may drop them.
    pub ack_cursor: u64,
    /// How long the executor may delay its reply until a run ends.
    pub wait_ms: Millis,
}

/// A command to start a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartCommand {
    pub task: TaskId,
    pub run: RunNumber,
    /// Text of the job, passed to the task.
    pub payload: Arc<str>,
    /// End of the lease on the executor's clock.
    pub deadline_ms: Millis,
    pub token: FencingToken,
    /// Checkpoint to resume from; empty: start from the beginning.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service, if the queue needs advice.
    pub ticket: Option<Arc<str>>,
}

/// A command to one executor, fenced by the token of the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ExecutorCommand {
    Renew(RenewCommand),
    /// Sets the share of a best-effort run.
    Throttle {
        task: TaskId,
        run: RunNumber,
        /// Part of full speed that the run is allowed; 0 pauses it.
        percent: u32,
        token: FencingToken,
    },
    Start(StartCommand),
    Stop {
        task: TaskId,
        run: RunNumber,
        token: FencingToken,
    },
}

impl ExecutorCommand {
    /// Returns whether the command extends the lease of runs, so that only an owner whose ownership
    /// is proved may send it.
    pub fn grants_lease(&self) -> bool {
        match self {
            Self::Renew(renewal) => renewal.deadline_ms.is_some(),
            Self::Start(_) => true,
            Self::Stop { .. } | Self::Throttle { .. } => false,
        }
    }
}

/// An executor's reply to a command that it carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandReply {
    /// Reply to a renewal.
    Renewed(RenewReply),
    /// A start, stop or throttle command was accepted.
    Accepted,
}

/// An executor that may run a step, and the ticket that proves it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvisedExecutor {
    pub executor: ExecutorId,
    pub ticket: Arc<str>,
}

/// One change to the store, written by the committer under the token of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreWrite {
    /// Replaces the progress of a job.
    Progress {
        job: JobId,
        /// Encoded in the format that belongs to the job's record.
        value: Vec<u8>,
        /// Replaces the job's record, if its format changes.
        record: Option<Box<JobRecord>>,
    },
    /// Replaces the submission of a job by its outcome.
    Ended {
        job: JobId,
        record: Box<JobRecord>,
        /// Whether the progress of the job may be in the store and must be removed.
        remove_progress: bool,
    },
    /// Deletes the record of an ended job and its cancellation.
    Delete { job: JobId },
    /// Replaces the roster.
    Roster(Roster),
    /// Replaces what this owner leaves to the next one.
    LeaseWaits(LeaseWaits),
}

/// An input of the cell.
#[derive(Clone, Debug)]
pub enum CellEvent {
    /// Time has passed.
    Tick,
    /// A new configuration is in force.
    Config(Arc<FleetConfig>),
    /// The zones that operators request to evacuate.
    Evacuations(Arc<Evacuations>),
    /// Executors that get no new tasks, because of maintenance, in place of earlier ones.
    Upkeep(UpkeepPlan),
    /// An executor's entry in the platform's list was added or changed.
    Listed {
        info: ExecutorInfo,
        /// Earliest time at which the entry may have been written, in ms on the owner's monotonic clock.
        written_after: Millis,
    },
    /// An executor's entry was removed from the platform's list.
    Unlisted(ExecutorId),
    /// The full list, read after a gap in which removals may have been missed.
    Relisted {
        infos: Vec<ExecutorInfo>,
        /// Earliest time at which any of its entries may have been written, as above.
        written_after: Millis,
    },
    /// A job was accepted and stored.
    Submitted(Box<Submission>),
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// The store has the record of a cancelled job; this owner or an entry node wrote it.
    CancelledRecord { job: JobId, record: Box<JobRecord> },
    /// The record of a job that executors named and that was not known.
    JobRead {
        job: JobId,
        /// `None`: there is no such job.
        record: Option<Box<JobRecord>>,
    },
    /// Live nodes that can call the advice service, this one included.
    AdviceNodes(Vec<Arc<str>>),
    /// This owner stops as planned, and leaves what it knows to the next one.
    HandOver,
    /// A command got its reply or failed.
    CommandResult {
        call: CallId,
        executor: ExecutorId,
        result: Result<CommandReply, CommandError>,
    },
    /// A call to the advice service ended.
    AdviceResult {
        call: CallId,
        /// `None`: the call was refused or got no reply.
        advised: Option<Vec<AdvisedExecutor>>,
        /// How long the tickets are valid, in ms.
        valid_ms: Millis,
    },
    /// The store refused a commit for good and wrote nothing.
    CommitRefused { call: CallId },
    /// A commit ended.
    CommitResult {
        call: CallId,
        /// Whether all its writes are durable.
        ok: bool,
    },
}

/// An output of the cell, to be carried out by its owner. The result of a call returns as a
/// [`CellEvent`] with the same `call`.
#[derive(Clone, Debug)]
pub enum CellEffect {
    /// Sends a command to an executor.
    Command {
        call: CallId,
        executor: ExecutorId,
        address: Arc<str>,
        command: ExecutorCommand,
        /// Time until the call counts as lost, in ms.
        timeout_ms: Millis,
        /// Whether to open a new connection, as a pooled one may be dead unnoticed.
        new_connection: bool,
    },
    /// Asks the advice service which of `executors` may run a step, by a call from `node`.
    RequestAdvice {
        call: CallId,
        node: Arc<str>,
        step: StepId,
        executors: Vec<ExecutorId>,
    },
    /// Writes changes to the store in one transaction.
    Commit {
        call: CallId,
        writes: Vec<StoreWrite>,
    },
    /// The start of a job's first task was sent, this many ms after the job was received.
    FirstStart { wait_ms: Millis },
    /// Logs an event.
    Log { event: FleetEvent, detail: String },
    /// Reads the record of a job from the store, until it succeeds; see [`CellEvent::JobRead`].
    ReadJob(JobId),
    /// The hand-over is complete, or could not be recorded: this owner sends nothing more and must stop.
    HandedOver,
    /// A newer owner exists; this one must stop.
    StepDown,
}

/// State that a new owner reads from the store at its takeover.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Jobs with their record and stored progress.
    pub jobs: Vec<(JobId, JobRecord, Option<JobProgress>)>,
    /// Jobs that a caller has cancelled.
    pub cancelled: Vec<JobId>,
    /// Executors that earlier owners may have used.
    pub roster: Vec<RosterEntry>,
    /// What the last owner left, if anything.
    pub lease_waits: Option<LeaseWaits>,
    /// Whether the roster could not be decoded, so that any executor may have been used.
    pub roster_unreadable: bool,
    /// Zones to evacuate.
    pub evacuations: Evacuations,
}

/// A numbered event of the log; the catalogue is docs/EVENTS.md. The number follows from the
/// position, so new events go at the end, here and in [`Self::ALL`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FleetEvent {
    NodeStarted,
    NodeStopping,
    SettingsReloaded,
    ConfigInForce,
    StoreLost,
    StoreRegained,
    OwnerClaimed,
    OwnerLost,
    PeerConnected,
    PeerLost,
    JobAccepted,
    JobRefused,
    JobCancelled,
    JobEnded,
    RunStarted,
    RunEnded,
    RunRefused,
    ExecutorOpened,
    ExecutorSilent,
    ExecutorSuspected,
    ExecutorRestarted,
    BadEntry,
    AdviceFailed,
    CommitFailed,
    InvariantBroken,
    JobQueued,
    StepAdvised,
    TakeoverRead,
    RunLost,
    ExecutorRemoved,
    EndDeferred,
    OwnershipUnconfirmed,
    CommandExpired,
    DispatchChanged,
    EvacuationStarted,
    EvacuationEnded,
    WaveRequested,
    MachineBegun,
    MachineRefused,
    WaveCompleted,
    WaveWithdrawn,
    MachinesUnread,
    ExecutorDraining,
    ExecutorCrashed,
    TaskGivenUp,
    TakeoverWait,
    OwnerStopping,
    TakeoverEnded,
    ExitingRunsStopped,
    JobWithdrawn,
    CallersRejected,
}

impl FleetEvent {
    /// All events, in the order of their numbers.
    pub const ALL: [Self; 51] = [
        Self::NodeStarted,
        Self::NodeStopping,
        Self::SettingsReloaded,
        Self::ConfigInForce,
        Self::StoreLost,
        Self::StoreRegained,
        Self::OwnerClaimed,
        Self::OwnerLost,
        Self::PeerConnected,
        Self::PeerLost,
        Self::JobAccepted,
        Self::JobRefused,
        Self::JobCancelled,
        Self::JobEnded,
        Self::RunStarted,
        Self::RunEnded,
        Self::RunRefused,
        Self::ExecutorOpened,
        Self::ExecutorSilent,
        Self::ExecutorSuspected,
        Self::ExecutorRestarted,
        Self::BadEntry,
        Self::AdviceFailed,
        Self::CommitFailed,
        Self::InvariantBroken,
        Self::JobQueued,
        Self::StepAdvised,
        Self::TakeoverRead,
        Self::RunLost,
        Self::ExecutorRemoved,
        Self::EndDeferred,
        Self::OwnershipUnconfirmed,
        Self::CommandExpired,
        Self::DispatchChanged,
        Self::EvacuationStarted,
        Self::EvacuationEnded,
        Self::WaveRequested,
        Self::MachineBegun,
        Self::MachineRefused,
        Self::WaveCompleted,
        Self::WaveWithdrawn,
        Self::MachinesUnread,
        Self::ExecutorDraining,
        Self::ExecutorCrashed,
        Self::TaskGivenUp,
        Self::TakeoverWait,
        Self::OwnerStopping,
        Self::TakeoverEnded,
        Self::ExitingRunsStopped,
        Self::JobWithdrawn,
        Self::CallersRejected,
    ];

    /// Returns the event with this catalogue number; `None` if there is none.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|e| e.number() == number)
    }

    /// Returns the catalogue number: 200 plus the position of the variant.
    pub fn number(self) -> u16 {
        200 + self as u16
    }
}
