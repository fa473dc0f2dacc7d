//! Several cores, a store and workers in one thread, under a seeded schedule.
//!
//! Messages are delayed, lost, repeated and reordered; store and worker calls fail
//! before or after they took effect. The promises of the project are checked against
//! the workers' own records at every step.

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

/// Probabilities and delays of the network, out of 1,000.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lose: u64,
    pub repeat: u64,
    pub most_delay_ms: Millis,
    /// Store calls that fail, half of them after they took effect.
    pub store_fail: u64,
    pub worker_fail: u64,
}

impl Faults {
    /// No faults; every message takes 1 ms.
    pub const NONE: Self = Self {
        lose: 0,
        repeat: 0,
        most_delay_ms: 1,
        store_fail: 0,
        worker_fail: 0,
    };
}

/// A node and what surrounds it.
#[allow(clippy::struct_excessive_bools)]
pub struct Seat {
    pub node: Node,
    out: EffectBuffer,
    pub up: bool,
    pub paused: bool,
    pub cut_store: bool,
    pub cut_peers: bool,
    backlog: Vec<Event>,
    next_tick: Millis,
    /// Processor time spent in the core.
    pub busy: Duration,
    /// Messages sent to other nodes, and their bytes if counted.
    pub sent: u64,
    pub sent_bytes: u64,
}

enum Act {
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

/// What became of a caller's request or job call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Request(RequestReply),
    Ran,
    Job(JobReply),
}

/// The whole: nodes, store, workers, network and checks.
pub struct Fleet {
    pub now: Millis,
    pub seats: BTreeMap<NodeId, Seat>,
    pub store: StoreModel,
    pub store_down: bool,
    pub workers: BTreeMap<WorkerId, WorkerModel>,
    /// Workers that are unreachable, and gone ones.
    pub cut_workers: BTreeSet<WorkerId>,
    pub vm_list: Vec<VmRecord>,
    pub faults: Faults,
    /// Run time of a request on a worker, in ms.
    pub request_ms: Millis,
    /// Checks the promises after every act.
    pub checking: bool,
    pub tuning: Tuning,
    pub answers: BTreeMap<ReplyId, Answer>,
    pub logs: BTreeMap<LogEvent, u64>,
    pub messages: u64,
    pub message_bytes: u64,
    pub count_bytes: bool,
    /// Calls to the workers, and those that carried a start or stop.
    pub worker_calls: u64,
    tasks_of_reply: BTreeMap<ReplyId, Vec<TaskId>>,
    acts: BTreeMap<(Millis, u64), Act>,
    held: Vec<(NodeId, CallId, WorkerId, u64, Millis)>,
    last: u64,
    rng: SmallRng,
    boots: u64,
    next_vm_list: Millis,
    pub violations: Vec<String>,
    /// Jobs whose parts may be started once.
    once: BTreeSet<JobId>,
}

impl Fleet {
    /// Creates a fleet without nodes.
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
            seats: BTreeMap::new(),
            store,
            store_down: false,
            workers: models.map(|w| (w.record.id.clone(), w)).collect(),
            cut_workers: BTreeSet::new(),
            vm_list: workers,
            faults: Faults::NONE,
            request_ms: 50,
            checking: true,
            tuning: Tuning {
                worker_ttl_ms: 6_000,
                renew_long_poll_ms: 1_500,
                ..Tuning::default()
            },
            answers: BTreeMap::new(),
            logs: BTreeMap::new(),
            messages: 0,
            message_bytes: 0,
            count_bytes: false,
            worker_calls: 0,
            tasks_of_reply: BTreeMap::new(),
            acts: BTreeMap::new(),
            held: Vec::new(),
            last: 0,
            rng: SmallRng::seed_from_u64(seed),
            boots: 0,
            next_vm_list: 0,
            violations: Vec::new(),
            once: BTreeSet::new(),
        }
    }

    /// Draws a number below `n`.
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

    fn delay(&mut self) -> Millis {
        1 + self.draw(self.faults.most_delay_ms)
    }

    fn schedule(&mut self, at: Millis, act: Act) {
        self.last += 1;
        self.acts.insert((at, self.last), act);
    }

    /// Boots a node and returns its id.
    pub fn boot(&mut self, zone: &str) -> NodeId {
        self.boots += 1;
        let id = NodeId::from(format!("node{}", self.boots));
        let record = NodeRecord {
            id: id.clone(),
            zone: ZoneName::from(zone),
            peer_address: Arc::from(""),
            admin_address: Arc::from(""),
            leaving: false,
        };
        let seed = self.draw(u64::MAX);
        let seat = Seat {
            node: Node::new(record, self.tuning.clone(), seed),
            out: EffectBuffer::default(),
            up: true,
            paused: false,
            cut_store: false,
            cut_peers: false,
            backlog: Vec::new(),
            next_tick: self.now,
            busy: Duration::ZERO,
            sent: 0,
            sent_bytes: 0,
        };
        self.seats.insert(id.clone(), seat);
        let list = self.vm_list.clone();
        self.deliver(&id, Event::VmList(list));
        id
    }

    /// Ends a node at once.
    pub fn kill(&mut self, id: &NodeId) {
        if let Some(seat) = self.seats.get_mut(id) {
            seat.up = false;
        }
    }

    /// Lets a paused node handle everything that arrived meanwhile.
    pub fn resume(&mut self, id: &NodeId) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        seat.paused = false;
        for event in std::mem::take(&mut seat.backlog) {
            self.deliver(id, event);
        }
    }

    /// Lists the nodes that run.
    pub fn up(&self) -> Vec<NodeId> {
        let up = self.seats.iter().filter(|(_, s)| s.up && !s.paused);
        up.map(|(id, _)| id.clone()).collect()
    }

    /// Ends a worker VM; its tasks end with it.
    pub fn lose_worker(&mut self, id: &WorkerId) {
        self.cut_workers.insert(id.clone());
        self.vm_list.retain(|vm| vm.id != *id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.running.clear();
        }
    }

    /// Sends a request to a node.
    pub fn request(&mut self, at: &NodeId, request: CallerRequest) -> ReplyId {
        self.last += 1;
        let reply = self.last;
        self.deliver(at, Event::Request { reply, request });
        reply
    }

    /// Sends a job call to a node.
    pub fn job(&mut self, at: &NodeId, call: JobCall) -> ReplyId {
        if let JobCall::Submit { id, spec, .. } = &call
            && !spec.idempotent
        {
            self.once.insert(id.clone());
        }
        self.last += 1;
        let reply = self.last;
        self.deliver(at, Event::Job { reply, call });
        reply
    }

    /// Hands an event to a node now.
    pub fn deliver(&mut self, to: &NodeId, event: Event) {
        let now = self.now;
        let Some(seat) = self.seats.get_mut(to).filter(|s| s.up) else {
            return;
        };
        if seat.paused {
            seat.backlog.push(event);
            return;
        }
        let start = Instant::now();
        let effects = seat.node.step(event, now, &mut seat.out);
        seat.busy += start.elapsed();
        for effect in effects {
            self.act_on(to, effect);
        }
    }

    fn act_on(&mut self, from: &NodeId, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(from, &to, &message),
            Effect::Store { call, op } => {
                let at = self.now + self.delay();
                self.schedule(
                    at,
                    Act::Store {
                        from: from.clone(),
                        call,
                        op,
                    },
                );
            }
            Effect::Worker {
                call, worker, op, ..
            } => {
                let at = self.now + self.delay();
                self.schedule(
                    at,
                    Act::Worker {
                        from: from.clone(),
                        call,
                        worker,
                        op,
                    },
                );
            }
            Effect::RequestReply { reply, body } => self.request_reply(from, reply, body),
            Effect::JobReply { reply, body } => {
                self.answers.insert(reply, Answer::Job(body));
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

    fn request_reply(&mut self, from: &NodeId, reply: ReplyId, body: RequestReply) {
        if let RequestReply::Dispatch {
            spec,
            worker,
            fence,
            ..
        } = body
        {
            let tasks = self.tasks_of_reply.entry(reply).or_default();
            tasks.push(spec.id.clone());
            let at = self.now + self.delay();
            let from = from.clone();
            self.schedule(
                at,
                Act::Dispatch {
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
        self.answers.insert(reply, Answer::Request(body));
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
            postcard_len(message)
        } else {
            0
        };
        self.message_bytes += bytes;
        if let Some(seat) = self.seats.get_mut(from) {
            seat.sent += 1;
            seat.sent_bytes += bytes;
        }
        let cut = |f: &Self, id: &NodeId| f.seats.get(id).is_none_or(|s| s.cut_peers);
        if cut(self, from) || cut(self, to) || self.chance(self.faults.lose) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.repeat));
        for _ in 0..copies {
            let at = self.now + self.delay();
            let event = Event::Message {
                from: from.clone(),
                message: message.clone(),
            };
            self.schedule(
                at,
                Act::Deliver {
                    to: to.clone(),
                    event,
                },
            );
        }
    }

    /// Lets the fleet run for some time.
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end && self.violations.is_empty() {
            self.now += 1;
            self.advance();
        }
    }

    fn advance(&mut self) {
        while let Some(entry) = self.acts.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let act = entry.remove();
            self.perform(act);
        }
        self.tick_workers();
        self.tick_nodes();
        if self.checking {
            self.check();
        }
    }

    fn tick_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.tick(now);
        }
        let (ready, waiting) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(_, _, w, after, until)| now >= *until || self.workers[w].has_news(*after));
        self.held = waiting;
        let ready: Vec<(NodeId, CallId, WorkerId, u64, Millis)> = ready;
        for (from, call, worker, after, _) in ready {
            let answer = self.workers[&worker].renewed(after, now);
            self.answer_worker(from, call, &worker, Some(answer));
        }
    }

    fn tick_nodes(&mut self) {
        let now = self.now;
        let tick = self.tuning.tick_ms;
        let due: Vec<NodeId> = self
            .seats
            .iter()
            .filter(|(_, s)| s.up && !s.paused && now >= s.next_tick)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            if let Some(seat) = self.seats.get_mut(&id) {
                seat.next_tick = now + tick;
            }
            self.deliver(&id, Event::Tick);
        }
        if now >= self.next_vm_list {
            self.next_vm_list = now + 1_000;
            let list = self.vm_list.clone();
            for id in self.up() {
                self.deliver(&id, Event::VmList(list.clone()));
            }
        }
    }

    fn perform(&mut self, act: Act) {
        match act {
            Act::Deliver { to, event } => self.deliver(&to, event),
            Act::Store { from, call, op } => self.call_store(from, call, &op),
            Act::Worker {
                from,
                call,
                worker,
                op,
            } => self.call_worker(from, call, worker, &op),
            Act::Dispatch {
                from,
                reply,
                worker,
                fence,
                spec,
            } => {
                self.dispatch(from, reply, worker, fence, &spec);
            }
            Act::Finish {
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
                    self.answers.insert(reply, Answer::Ran);
                    RequestOutcome::Answered(200)
                } else {
                    RequestOutcome::Unknown
                };
                self.deliver(&from, Event::RequestEnded { reply, outcome });
            }
        }
    }

    fn call_store(&mut self, from: NodeId, call: CallId, op: &StoreOp) {
        let cut = self.seats.get(&from).is_none_or(|s| s.cut_store);
        let failing = self.store_down || cut;
        let fail = failing || self.chance(self.faults.store_fail);
        let applied = !failing && (!fail || self.chance(500));
        let answer = applied.then(|| self.store.apply(op, self.now));
        let (at, result) = match answer {
            Some(answer) if !fail => (self.now + self.delay(), Ok(answer)),
            _ => (self.now + STORE_TIMEOUT_MS, Err(StoreUnavailable)),
        };
        let event = Event::Store { call, result };
        self.schedule(at, Act::Deliver { to: from, event });
    }

    fn call_worker(&mut self, from: NodeId, call: CallId, id: WorkerId, op: &WorkerOp) {
        self.worker_calls += 1;
        let fail = self.cut_workers.contains(&id) || self.chance(self.faults.worker_fail);
        let applied = !self.cut_workers.contains(&id) && (!fail || self.chance(500));
        let now = self.now;
        let answer = self
            .workers
            .get_mut(&id)
            .filter(|_| applied)
            .map(|w| w.apply(op, now));
        if let WorkerOp::Start { task, .. } = op {
            self.note_start(&id, task);
        }
        match (answer, op) {
            (
                Some(None),
                WorkerOp::Renew {
                    last_event,
                    long_poll_ms,
                    ..
                },
            ) if !fail => {
                self.held
                    .push((from, call, id, *last_event, now + long_poll_ms));
            }
            (Some(Some(answer)), _) if !fail => {
                self.answer_worker(from, call, &id, Some(answer));
            }
            _ => {
                let event = Event::Worker { call, answer: None };
                let at = now + WORKER_TIMEOUT_MS;
                self.schedule(at, Act::Deliver { to: from, event });
            }
        }
    }

    fn note_start(&mut self, id: &WorkerId, task: &TaskSpec) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(job) = task.job.clone().filter(|j| self.once.contains(j)) else {
            return;
        };
        let all = self.workers.values().flat_map(|w| &w.started);
        let of = all.filter(|t| t.job.as_ref() == Some(&job) && t.task_index == task.task_index);
        let count = u32::try_from(of.count()).unwrap_or(u32::MAX);
        let name = worker.record.id.clone();
        if count > 1 {
            self.violations.push(format!(
                "{job} part {} ran {count} times, last on {name}",
                task.task_index
            ));
        }
    }

    fn answer_worker(
        &mut self,
        from: NodeId,
        call: CallId,
        id: &WorkerId,
        answer: Option<dragonflyferry::core::WorkerReply>,
    ) {
        let lost = self.cut_workers.contains(id);
        let answer = answer.filter(|_| !lost);
        let at = self.now
            + if lost {
                WORKER_TIMEOUT_MS
            } else {
                self.delay()
            };
        let event = Event::Worker { call, answer };
        self.schedule(at, Act::Deliver { to: from, event });
    }

    fn dispatch(
        &mut self,
        from: NodeId,
        reply: ReplyId,
        id: WorkerId,
        fence: FencingToken,
        spec: &TaskSpec,
    ) {
        let gone = !self.seats.get(&from).is_some_and(|s| s.up && !s.paused);
        if gone {
            return;
        }
        let now = self.now;
        let reachable = !self.cut_workers.contains(&id);
        let worker = self.workers.get_mut(&id).filter(|_| reachable);
        if worker.is_some_and(|w| w.start_request(fence, spec, now)) {
            let task = spec.id.clone();
            let at = now + 1 + self.draw(2 * self.request_ms);
            self.schedule(
                at,
                Act::Finish {
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

    fn check(&mut self) {
        let mut running: BTreeMap<&OrganisationName, u32> = BTreeMap::new();
        let mut parts: BTreeSet<(&JobId, u32)> = BTreeSet::new();
        let mut found = Vec::new();
        for worker in self.workers.values() {
            let mut free = worker.record.capacity;
            for run in worker.running.values() {
                *running.entry(&run.spec.organisation).or_default() += 1;
                if !free.covers(&run.spec.need) {
                    found.push(format!("{} is over capacity", worker.record.id));
                }
                free = free.saturating_sub(&run.spec.need);
                if let Some(job) = &run.spec.job
                    && !parts.insert((job, run.spec.task_index))
                {
                    found.push(format!("{job} part {} runs twice", run.spec.task_index));
                }
            }
        }
        let config = self.config();
        for (organisation, count) in running {
            let limit = config.limit(organisation);
            if count > limit {
                found.push(format!("team {organisation} runs {count} of {limit}"));
            }
        }
        if !found.is_empty() {
            found.push(format!("at {} ms", self.now));
        }
        self.violations.append(&mut found);
    }

    /// Returns the newest configuration that any node has taken in.
    pub fn config(&self) -> Arc<Config> {
        let all = self.seats.values().map(|s| s.node.cluster.config.clone());
        all.max_by_key(|c| c.revision).unwrap_or_default()
    }

    /// Counts the tasks of a team that run on the workers.
    pub fn running(&self, organisation: &OrganisationName) -> usize {
        let runs = self.workers.values().flat_map(|w| w.running.values());
        runs.filter(|r| r.spec.organisation == *organisation)
            .count()
    }
}

fn postcard_len(message: &Message) -> u64 {
    postcard::to_stdvec(message).map_or(0, |v| v.len() as u64)
}
