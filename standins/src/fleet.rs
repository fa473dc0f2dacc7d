//! Simulates several core nodes, a store and workers in one thread, in simulated time.
//!
//! A seeded generator delays, drops, duplicates and reorders messages, and fails store and worker
//! calls before or after they took effect. The scheduler's guarantees are checked at every step
//! against the workers' own records. Used by `chaos`, the tests of core and the measurements; it
//! must not read the wall clock for any decision.

use {
    crate::{StoreModel, WorkerModel},
    dragonflyferry::core::{
        CallId, CallerRequest, Config, Effect, EffectBuffer, Event, FencingToken, JobCall, JobId,
        JobReply, LogEvent, Message, Millis, Node, NodeId, NodeRecord, OrganisationName, ReplyId,
        RequestOutcome, RequestReply, StoreOp, StoreUnavailable, TaskId, TaskSpec, Tuning,
        VmRecord, WorkerId, WorkerOp, ZoneName,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time until an unanswered store call fails, in ms.
const STORE_TIMEOUT_MS: Millis = 1_000;

/// Time until an unanswered worker call fails, in ms.
const WORKER_TIMEOUT_MS: Millis = 2_000;

/// Probabilities of failures, out of 1,000, and the network delay.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Messages between nodes that are lost.
    pub loss_permille: u64,
    /// Messages between nodes that arrive twice.
    pub duplicate_permille: u64,
    /// Maximum delay of each message, call and reply, in ms.
    pub max_delay_ms: Millis,
    /// Store calls that fail, half of them after they took effect.
    pub store_failure_permille: u64,
    /// Worker calls that fail, half of them after they took effect.
    pub worker_failure_permille: u64,
}

impl Faults {
    /// No faults; every message, call and reply takes 1 ms.
    pub const NONE: Self = Self {
        loss_permille: 0,
        duplicate_permille: 0,
        max_delay_ms: 1,
        store_failure_permille: 0,
        worker_failure_permille: 0,
    };
}

/// A node with the simulated state of its process and network.
#[allow(clippy::struct_excessive_bools)]
pub struct SimNode {
    pub node: Node,
    out: EffectBuffer,
    /// False after a crash.
    pub up: bool,
    /// While true, events wait in the backlog.
    pub paused: bool,
    /// While true, no store call reaches the store.
    pub store_unreachable: bool,
    /// While true, no message to or from other nodes arrives.
    pub peers_unreachable: bool,
    backlog: Vec<Event>,
    next_tick: Millis,
    /// Wall-clock time spent in the core.
    pub core_time: Duration,
    /// Messages sent to other nodes, lost ones included.
    pub sent_messages: u64,
    /// Encoded size of the sent messages; 0 unless `Fleet::count_bytes` is set.
    pub sent_bytes: u64,
}

/// An action scheduled for a later time.
enum Action {
    Deliver {
        to: NodeId,
        event: Event,
    },
    Store {
        from: NodeId,
        call: CallId,
        op: StoreOp,
    },
    Worker {
        from: NodeId,
        call: CallId,
        worker: WorkerId,
        op: WorkerOp,
    },
    Dispatch {
        from: NodeId,
        reply: ReplyId,
        worker: WorkerId,
        fence: FencingToken,
        spec: TaskSpec,
    },
    Finish {
        from: NodeId,
        reply: ReplyId,
        worker: WorkerId,
        task: TaskId,
    },
}

/// Final reply to a caller's request or job call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    Request(RequestReply),
    Ran,
    Job(JobReply),
}

/// Nodes, store, workers and network in simulated time, with the invariant checks.
pub struct Fleet {
    /// Simulated time, in ms.
    pub now: Millis,
    pub nodes: BTreeMap<NodeId, SimNode>,
    pub store: StoreModel,
    /// While true, no store call reaches the store.
    pub store_down: bool,
    pub workers: BTreeMap<WorkerId, WorkerModel>,
    /// Workers that no call reaches, including those whose VM is lost.
    pub unreachable_workers: BTreeSet<WorkerId>,
    /// The VM list that the nodes receive every second.
    pub vm_list: Vec<VmRecord>,
    pub faults: Faults,
    /// Average run time of a request on a worker, in ms.
    pub request_ms: Millis,
    /// Whether the invariants are checked after every simulated ms.
    pub checks_enabled: bool,
    /// Tuning of the nodes started after it is set.
    pub tuning: Tuning,
    /// Final replies to requests and job calls.
    pub replies: BTreeMap<ReplyId, CallerReply>,
    /// Log events of all nodes, counted.
    pub logs: BTreeMap<LogEvent, u64>,
    /// Messages between nodes, lost ones included.
    pub messages: u64,
    /// Encoded size of the messages; 0 unless `count_bytes` is set.
    pub message_bytes: u64,
    /// Whether messages are encoded to count their bytes.
    pub count_bytes: bool,
    /// Calls to the workers, starts and stops included.
    pub worker_calls: u64,
    tasks_of_reply: BTreeMap<ReplyId, Vec<TaskId>>,
    pending_actions: BTreeMap<(Millis, u64), Action>,
    /// Renewals held open: node, call, worker, last event the node knows, and deadline in ms.
    pending_renewals: Vec<(NodeId, CallId, WorkerId, u64, Millis)>,
    /// Last reply id or sequence number of an action; both come from one counter.
    last_id: u64,
    rng: SmallRng,
    /// Nodes started so far; gives each a new id.
    boot_count: u64,
    next_vm_list_at: Millis,
    /// Violated guarantees; a run stops at the first.
    pub violations: Vec<String>,
    /// Jobs that are not idempotent: each of their tasks may start only once.
    non_idempotent_jobs: BTreeSet<JobId>,
}

impl Fleet {
    /// Creates a fleet without nodes; `config` is already in the store.
    pub fn new(seed: u64, workers: Vec<VmRecord>, config: &Config) -> Self {
        let mut store = StoreModel::default();
        let text = serde_json::to_string(config).unwrap_or_default();
        let op = StoreOp::CompareAndSwap {
            key: "cluster/config".to_owned(),
            expected_version: 0,
            value: Arc::from(text),
            lease: None,
        };
        store.apply(&op, 0);
        let models = workers.iter().cloned().map(WorkerModel::new);
        Self {
            now: 0,
            nodes: BTreeMap::new(),
            store,
            store_down: false,
            workers: models.map(|w| (w.record.id.clone(), w)).collect(),
            unreachable_workers: BTreeSet::new(),
            vm_list: workers,
            faults: Faults::NONE,
            request_ms: 50,
            checks_enabled: true,
            tuning: Tuning {
                worker_ttl_ms: 6_000,
                renew_long_poll_ms: 1_500,
                ..Tuning::default()
            },
            replies: BTreeMap::new(),
            logs: BTreeMap::new(),
            messages: 0,
            message_bytes: 0,
            count_bytes: false,
            worker_calls: 0,
            tasks_of_reply: BTreeMap::new(),
            pending_actions: BTreeMap::new(),
            pending_renewals: Vec::new(),
            last_id: 0,
            rng: SmallRng::seed_from_u64(seed),
            boot_count: 0,
            next_vm_list_at: 0,
            violations: Vec::new(),
            non_idempotent_jobs: BTreeSet::new(),
        }
    }

    /// Draws a number below `n`; 0 if `n` is 0.
    pub fn draw(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n.max(1))
    }

    /// Draws one of `names`; empty if there are none.
    pub fn pick<'a>(&mut self, names: &[&'a str]) -> &'a str {
        let n = usize::try_from(self.draw(names.len() as u64)).unwrap_or(0);
        names.get(n).copied().unwrap_or_default()
    }

    fn chance(&mut self, per_thousand: u64) -> bool {
        per_thousand > 0 && self.draw(1_000) < per_thousand
    }

    fn random_delay(&mut self) -> Millis {
        1 + self.draw(self.faults.max_delay_ms)
    }

    fn schedule(&mut self, at: Millis, action: Action) {
        self.last_id += 1;
        self.pending_actions.insert((at, self.last_id), action);
    }

    /// Starts a node under a new id, passes it the VM list and returns the id.
    pub fn start_node(&mut self, zone: &str) -> NodeId {
        self.boot_count += 1;
        let id = NodeId::from(format!("node{}", self.boot_count));
        let record = NodeRecord {
            id: id.clone(),
            zone: ZoneName::from(zone),
            peer_address: Arc::from(""),
            admin_address: Arc::from(""),
            leaving: false,
        };
        let seed = self.draw(u64::MAX);
        let sim_node = SimNode {
            node: Node::new(record, self.tuning.clone(), seed),
            out: EffectBuffer::default(),
            up: true,
            paused: false,
            store_unreachable: false,
            peers_unreachable: false,
            backlog: Vec::new(),
            next_tick: self.now,
            core_time: Duration::ZERO,
            sent_messages: 0,
            sent_bytes: 0,
        };
        self.nodes.insert(id.clone(), sim_node);
        let list = self.vm_list.clone();
        self.deliver(&id, Event::VmList(list));
        id
    }

    /// Stops a node without a drain, as a crash does.
    pub fn kill(&mut self, id: &NodeId) {
        if let Some(sim_node) = self.nodes.get_mut(id) {
            sim_node.up = false;
        }
    }

    /// Resumes a paused node; it first handles the events that arrived during the pause.
    pub fn resume(&mut self, id: &NodeId) {
        let Some(sim_node) = self.nodes.get_mut(id) else {
            return;
        };
        sim_node.paused = false;
        for event in std::mem::take(&mut sim_node.backlog) {
            self.deliver(id, event);
        }
    }

    /// Returns the nodes that are running and not paused.
    pub fn running_nodes(&self) -> Vec<NodeId> {
        let up = self.nodes.iter().filter(|(_, s)| s.up && !s.paused);
        up.map(|(id, _)| id.clone()).collect()
    }

    /// Removes a worker VM from the list for good; its tasks disappear without an end.
    pub fn remove_worker_vm(&mut self, id: &WorkerId) {
        self.unreachable_workers.insert(id.clone());
        self.vm_list.retain(|vm| vm.id != *id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.running.clear();
        }
    }

    /// Passes a request to a node now; the final reply appears in `replies` under the returned id.
    pub fn request(&mut self, at: &NodeId, request: CallerRequest) -> ReplyId {
        self.last_id += 1;
        let reply = self.last_id;
        self.deliver(at, Event::Request { reply, request });
        reply
    }

    /// Passes a job call to a node now; the reply appears in `replies` under the returned id.
    pub fn job(&mut self, at: &NodeId, call: JobCall) -> ReplyId {
        if let JobCall::Submit { id, spec, .. } = &call
            && !spec.idempotent
        {
            self.non_idempotent_jobs.insert(id.clone());
        }
        self.last_id += 1;
        let reply = self.last_id;
        self.deliver(at, Event::Job { reply, call });
        reply
    }

    /// Passes an event to a node now. A stopped node ignores it, a paused one queues it.
    pub fn deliver(&mut self, to: &NodeId, event: Event) {
        let now = self.now;
        let Some(sim_node) = self.nodes.get_mut(to).filter(|s| s.up) else {
            return;
        };
        if sim_node.paused {
            sim_node.backlog.push(event);
            return;
        }
        let start = Instant::now();
        let effects = sim_node.node.step(event, now, &mut sim_node.out);
        sim_node.core_time += start.elapsed();
        for effect in effects {
            self.apply_effect(to, effect);
        }
    }

    fn apply_effect(&mut self, from: &NodeId, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(from, &to, &message),
            Effect::Store { call, op } => {
                let at = self.now + self.random_delay();
                self.schedule(
                    at,
                    Action::Store {
                        from: from.clone(),
                        call,
                        op,
                    },
                );
            }
            Effect::Worker {
                call, worker, op, ..
            } => {
                let at = self.now + self.random_delay();
                self.schedule(
                    at,
                    Action::Worker {
                        from: from.clone(),
                        call,
                        worker,
                        op,
                    },
                );
            }
            Effect::RequestReply { reply, body } => self.handle_request_reply(from, reply, body),
            Effect::JobReply { reply, body } => {
                self.replies.insert(reply, CallerReply::Job(body));
            }
            Effect::AdminReply { .. } => {}
            Effect::Log { event, detail } => {
                *self.logs.entry(event).or_default() += 1;
                if event == LogEvent::InvariantBroken {
                    self.violations.push(format!("{from}: {detail}"));
                }
            }
        }
    }

    fn handle_request_reply(&mut self, from: &NodeId, reply: ReplyId, body: RequestReply) {
        if let RequestReply::Dispatch {
            spec,
            worker,
            fence,
            ..
        } = body
        {
            let tasks = self.tasks_of_reply.entry(reply).or_default();
            tasks.push(spec.id.clone());
            let at = self.now + self.random_delay();
            let from = from.clone();
            self.schedule(
                at,
                Action::Dispatch {
                    from,
                    reply,
                    worker,
                    fence,
                    spec,
                },
            );
            return;
        }
        if matches!(body, RequestReply::Refused { .. }) {
            self.check_not_run(reply);
        }
        self.replies.insert(reply, CallerReply::Request(body));
    }

    fn check_not_run(&mut self, reply: ReplyId) {
        let tasks = self.tasks_of_reply.get(&reply).cloned().unwrap_or_default();
        let started = self.workers.values().flat_map(|w| &w.started);
        if started.into_iter().any(|t| tasks.contains(&t.id)) {
            self.violations
                .push(format!("request {reply} was refused but ran"));
        }
    }

    fn send(&mut self, from: &NodeId, to: &NodeId, message: &Message) {
        self.messages += 1;
        let bytes = if self.count_bytes {
            encoded_len(message)
        } else {
            0
        };
        self.message_bytes += bytes;
        if let Some(sim_node) = self.nodes.get_mut(from) {
            sim_node.sent_messages += 1;
            sim_node.sent_bytes += bytes;
        }
        let cut = |f: &Self, id: &NodeId| f.nodes.get(id).is_none_or(|s| s.peers_unreachable);
        if cut(self, from) || cut(self, to) || self.chance(self.faults.loss_permille) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplicate_permille));
        for _ in 0..copies {
            let at = self.now + self.random_delay();
            let event = Event::Message {
                from: from.clone(),
                message: message.clone(),
            };
            self.schedule(
                at,
                Action::Deliver {
                    to: to.clone(),
                    event,
                },
            );
        }
    }

    /// Advances simulated time by `ms`, or up to the first violation.
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end && self.violations.is_empty() {
            self.now += 1;
            self.advance();
        }
    }

    fn advance(&mut self) {
        while let Some(entry) = self.pending_actions.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let action = entry.remove();
            self.execute(action);
        }
        self.tick_workers();
        self.tick_nodes();
        if self.checks_enabled {
            self.check_invariants();
        }
    }

    fn tick_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.tick(now);
        }
        let (ready, waiting) = std::mem::take(&mut self.pending_renewals)
            .into_iter()
            .partition(|(_, _, w, after, until)| {
                now >= *until || self.workers[w].has_events_after(*after)
            });
        self.pending_renewals = waiting;
        let ready: Vec<(NodeId, CallId, WorkerId, u64, Millis)> = ready;
        for (from, call, worker, after, _) in ready {
            let reply = self.workers[&worker].renewed_reply(after, now);
            self.schedule_worker_reply(from, call, &worker, Some(reply));
        }
    }

    fn tick_nodes(&mut self) {
        let now = self.now;
        let tick = self.tuning.tick_ms;
        let due: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|(_, s)| s.up && !s.paused && now >= s.next_tick)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            if let Some(sim_node) = self.nodes.get_mut(&id) {
                sim_node.next_tick = now + tick;
            }
            self.deliver(&id, Event::Tick);
        }
        if now >= self.next_vm_list_at {
            self.next_vm_list_at = now + 1_000;
            let list = self.vm_list.clone();
            for id in self.running_nodes() {
                self.deliver(&id, Event::VmList(list.clone()));
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Deliver { to, event } => self.deliver(&to, event),
            Action::Store { from, call, op } => self.call_store(from, call, &op),
            Action::Worker {
                from,
                call,
                worker,
                op,
            } => self.call_worker(from, call, worker, &op),
            Action::Dispatch {
                from,
                reply,
                worker,
                fence,
                spec,
            } => {
                self.dispatch(from, reply, worker, fence, &spec);
            }
            Action::Finish {
                from,
                reply,
                worker,
                task,
            } => {
                let ran = self
                    .workers
                    .get_mut(&worker)
                    .is_some_and(|w| w.end_request(&task));
                let outcome = if ran {
                    self.replies.insert(reply, CallerReply::Ran);
                    RequestOutcome::Completed(200)
                } else {
                    RequestOutcome::Unknown
                };
                self.deliver(&from, Event::RequestEnded { reply, outcome });
            }
        }
    }

    fn call_store(&mut self, from: NodeId, call: CallId, op: &StoreOp) {
        let cut = self.nodes.get(&from).is_none_or(|s| s.store_unreachable);
        let failing = self.store_down || cut;
        let fail = failing || self.chance(self.faults.store_failure_permille);
        let applied = !failing && (!fail || self.chance(500));
        let reply = applied.then(|| self.store.apply(op, self.now));
        let (at, result) = match reply {
            Some(reply) if !fail => (self.now + self.random_delay(), Ok(reply)),
            _ => (self.now + STORE_TIMEOUT_MS, Err(StoreUnavailable)),
        };
        let event = Event::Store { call, result };
        self.schedule(at, Action::Deliver { to: from, event });
    }

    fn call_worker(&mut self, from: NodeId, call: CallId, id: WorkerId, op: &WorkerOp) {
        self.worker_calls += 1;
        let fail = self.unreachable_workers.contains(&id)
            || self.chance(self.faults.worker_failure_permille);
        let applied = !self.unreachable_workers.contains(&id) && (!fail || self.chance(500));
        let now = self.now;
        let reply = self
            .workers
            .get_mut(&id)
            .filter(|_| applied)
            .map(|w| w.apply(op, now));
        if let WorkerOp::Start { task, .. } = op {
            self.check_start_count(&id, task);
        }
        match (reply, op) {
            (
                Some(None),
                WorkerOp::Renew {
                    last_event,
                    long_poll_ms,
                    ..
                },
            ) if !fail => {
                self.pending_renewals
                    .push((from, call, id, *last_event, now + long_poll_ms));
            }
            (Some(Some(reply)), _) if !fail => {
                self.schedule_worker_reply(from, call, &id, Some(reply));
            }
            _ => {
                let event = Event::Worker { call, reply: None };
                let at = now + WORKER_TIMEOUT_MS;
                self.schedule(at, Action::Deliver { to: from, event });
            }
        }
    }

    fn check_start_count(&mut self, id: &WorkerId, task: &TaskSpec) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(job) = task
            .job
            .clone()
            .filter(|j| self.non_idempotent_jobs.contains(j))
        else {
            return;
        };
        let starts = self.workers.values().flat_map(|w| &w.started);
        let same_task =
            starts.filter(|t| t.job.as_ref() == Some(&job) && t.task_index == task.task_index);
        let count = u32::try_from(same_task.count()).unwrap_or(u32::MAX);
        let name = worker.record.id.clone();
        if count > 1 {
            self.violations.push(format!(
                "{job} part {} ran {count} times, last on {name}",
                task.task_index
            ));
        }
    }

    fn schedule_worker_reply(
        &mut self,
        from: NodeId,
        call: CallId,
        id: &WorkerId,
        reply: Option<dragonflyferry::core::WorkerReply>,
    ) {
        let unreachable = self.unreachable_workers.contains(id);
        let reply = reply.filter(|_| !unreachable);
        let at = self.now
            + if unreachable {
                WORKER_TIMEOUT_MS
            } else {
                self.random_delay()
            };
        let event = Event::Worker { call, reply };
        self.schedule(at, Action::Deliver { to: from, event });
    }

    fn dispatch(
        &mut self,
        from: NodeId,
        reply: ReplyId,
        id: WorkerId,
        fence: FencingToken,
        spec: &TaskSpec,
    ) {
        let unavailable = !self.nodes.get(&from).is_some_and(|s| s.up && !s.paused);
        if unavailable {
            return;
        }
        let now = self.now;
        let reachable = !self.unreachable_workers.contains(&id);
        let worker = self.workers.get_mut(&id).filter(|_| reachable);
        if worker.is_some_and(|w| w.start_request(fence, spec, now)) {
            let task = spec.id.clone();
            let at = now + 1 + self.draw(2 * self.request_ms);
            self.schedule(
                at,
                Action::Finish {
                    from,
                    reply,
                    worker: id,
                    task,
                },
            );
        } else {
            let outcome = RequestOutcome::NotRun;
            self.deliver(&from, Event::RequestEnded { reply, outcome });
        }
    }

    fn check_invariants(&mut self) {
        let mut running: BTreeMap<&OrganisationName, u32> = BTreeMap::new();
        let mut running_tasks: BTreeSet<(&JobId, u32)> = BTreeSet::new();
        let mut violations_found = Vec::new();
        for worker in self.workers.values() {
            let mut free = worker.record.capacity;
            for run in worker.running.values() {
                *running.entry(&run.spec.organisation).or_default() += 1;
                if !free.covers(&run.spec.need) {
                    violations_found.push(format!("{} is over capacity", worker.record.id));
                }
                free = free.saturating_sub(&run.spec.need);
                if let Some(job) = &run.spec.job
                    && !running_tasks.insert((job, run.spec.task_index))
                {
                    violations_found.push(format!("{job} part {} runs twice", run.spec.task_index));
                }
            }
        }
        let config = self.config();
        for (organisation, count) in running {
            let limit = config.limit(organisation);
            if count > limit {
                violations_found.push(format!("team {organisation} runs {count} of {limit}"));
            }
        }
        if !violations_found.is_empty() {
            violations_found.push(format!("at {} ms", self.now));
        }
        self.violations.append(&mut violations_found);
    }

    /// Returns the newest configuration that any node has adopted.
    pub fn config(&self) -> Arc<Config> {
        let configs = self.nodes.values().map(|s| s.node.cluster.config.clone());
        configs.max_by_key(|c| c.revision).unwrap_or_default()
    }

    /// Counts the tasks of an organisation that run on the workers.
    pub fn running(&self, organisation: &OrganisationName) -> usize {
        let runs = self.workers.values().flat_map(|w| w.running.values());
        runs.filter(|r| r.spec.organisation == *organisation)
            .count()
    }
}

fn encoded_len(message: &Message) -> u64 {
    postcard::to_stdvec(message).map_or(0, |v| v.len() as u64)
}
