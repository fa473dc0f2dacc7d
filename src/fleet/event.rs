//! What the cell reacts to, and what it asks its surroundings to do.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            ExecutorId, FencingToken, FleetConfig, JobId, JobProgress, JobRecord, Roster,
            RosterEntry, RunNumber, StepId, Submission, TaskId,
        },
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What the platform's list says of an executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorInfo {
    pub id: ExecutorId,
    pub pool: Arc<str>,
    pub address: Arc<str>,
    pub zone: Arc<str>,
    /// Rack and kind.
    pub labels: Vec<Arc<str>>,
    pub capacity: Resources,
    pub draining: bool,
    /// Unix ms of its start, if the entry tells.
    pub started_unix_ms: Option<u64>,
}

impl ExecutorInfo {
    /// Returns the rack, which is the label that is not the kind.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// A row of the list of what runs on an executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningRow {
    pub task: TaskId,
    pub run: RunNumber,
    pub checkpoint: Arc<str>,
    /// Progress in percent; for a persistent task 100 means that it serves.
    pub percent: u32,
    /// Tail of response times in ms for a task with a target, else processor use.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// Another member of the gang ended.
    Broken,
    Done,
    Failed,
    /// The lease expired.
    Lapsed,
    /// The gang's other members did not arrive in time.
    Orphaned,
    Stopped,
}

/// A row of the list of ended runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRow {
    /// Position in the executor's list, from 1 in each life.
    pub seq: u64,
    pub task: TaskId,
    pub run: RunNumber,
    pub end: RunEnd,
    pub checkpoint: Arc<str>,
}

/// An executor's answer to a renewal of its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewReply {
    pub clock_ms: Millis,
    pub started_unix_ms: Option<u64>,
    pub running: Vec<RunningRow>,
    pub ended: Vec<EndedRow>,
}

/// Why a call to an executor brought no success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandError {
    /// The executor has seen a higher fencing token.
    Fenced,
    /// Another life answers at the address.
    OtherLife,
    /// The run is not higher than one that ended or was stopped.
    OldRun,
    /// The order's deadline has passed on the executor's clock.
    Late,
    NoRoom,
    /// The ticket is missing, expired or of another executor.
    BadTicket,
    /// The executor did nothing, as it is unwell or does not understand.
    Refused,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

/// An order to renew the lease of all that runs on an executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewCommand {
    pub token: FencingToken,
    /// End of the lease on the executor's clock; none before its clock is known.
    pub deadline_ms: Option<Millis>,
    /// Ends up to this number are durable here and can be forgotten.
    pub ack_cursor: u64,
    /// How long the answer may wait for an end.
    pub wait_ms: Millis,
}

/// An order to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartCommand {
    pub task: TaskId,
    pub run: RunNumber,
    pub payload: Arc<str>,
    pub deadline_ms: Millis,
    pub token: FencingToken,
    pub checkpoint: Arc<str>,
    pub ticket: Option<Arc<str>>,
}

/// An order to one executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExecutorCommand {
    Renew(RenewCommand),
    Throttle {
        task: TaskId,
        run: RunNumber,
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

/// An executor's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandReply {
    Renewed(RenewReply),
    /// Start, stop or pace was accepted.
    Accepted,
}

/// An executor that may run a step, and the ticket that proves it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvisedExecutor {
    pub executor: ExecutorId,
    pub ticket: Arc<str>,
}

/// One change to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreWrite {
    Progress { job: JobId, progress: JobProgress },
    Ended { job: JobId, record: Box<JobRecord> },
    Delete { job: JobId },
    Roster(Roster),
}

/// One input of the cell.
#[derive(Clone, Debug)]
pub enum CellEvent {
    /// Time has passed.
    Tick,
    Config(Arc<FleetConfig>),
    /// Executor listed or changed.
    Listed(ExecutorInfo),
    /// The entry was removed from the list.
    Unlisted(ExecutorId),
    /// The whole list, read after a gap in which removals may have been missed.
    Relisted(Vec<ExecutorInfo>),
    Submitted(Box<Submission>),
    Cancelled(JobId),
    /// Entry nodes that can ask for advice, this one included.
    AdviceNodes(Vec<Arc<str>>),
    CommandResult {
        call: CallId,
        executor: ExecutorId,
        result: Result<CommandReply, CommandError>,
    },
    AdviceResult {
        call: CallId,
        /// None: refused or no answer.
        advised: Option<Vec<AdvisedExecutor>>,
        valid_ms: Millis,
    },
    CommitResult {
        call: CallId,
        ok: bool,
    },
}

/// One output of the cell.
#[derive(Clone, Debug)]
pub enum CellEffect {
    Command {
        call: CallId,
        executor: ExecutorId,
        address: Arc<str>,
        command: ExecutorCommand,
        /// Whether to open a new connection: an open one may have gone silent.
        new_connection: bool,
    },
    RequestAdvice {
        call: CallId,
        node: Arc<str>,
        step: StepId,
        executors: Vec<ExecutorId>,
    },
    Commit {
        call: CallId,
        writes: Vec<StoreWrite>,
    },
    /// The first task of a job was ordered, this long after the job arrived.
    FirstStart {
        wait_ms: Millis,
    },
    Log {
        event: FleetEvent,
        detail: String,
    },
    /// A newer owner exists.
    StepDown,
}

/// What the owner takes over from the store.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    pub jobs: Vec<(JobId, JobRecord, Option<JobProgress>)>,
    pub cancelled: Vec<JobId>,
    pub roster: Vec<RosterEntry>,
}

/// A numbered event for the log; the catalogue is docs/EVENTS.md.
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
}

impl FleetEvent {
    /// All events, in the order of their numbers.
    pub const ALL: [Self; 26] = [
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
    ];

    /// Returns the event with a number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|e| e.number() == number)
    }

    /// Returns the number under which the event is catalogued.
    pub fn number(self) -> u16 {
        200 + self as u16
    }
}
