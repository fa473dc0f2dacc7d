//! A seeded schedule of load and failures for a [`Fleet`].

use {
    crate::{
        fleet::{Answer, Faults, Fleet},
        sample,
    },
    dragonflyferry::core::{
        CallerRequest, Config, JobCall, JobId, JobReply, JobState, Millis, NodeId,
        OrganisationName, QueueName, ReplyId, RequestReply, TaskId, WorkerId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Nodes that run at a time.
const NODES: usize = 6;

/// What may happen in a run.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub faults: Faults,
    /// Length of the run with failures, in ms.
    pub length_ms: Millis,
    pub kills: bool,
    pub pauses: bool,
    pub cuts: bool,
    pub outages: bool,
    pub worker_losses: bool,
    pub cancels: bool,
}

impl Plan {
    /// Everything at once.
    pub const ALL: Self = Self {
        faults: Faults {
            lose: 20,
            repeat: 20,
            most_delay_ms: 40,
            store_fail: 20,
            worker_fail: 20,
        },
        length_ms: 60_000,
        kills: true,
        pauses: true,
        cuts: true,
        outages: true,
        worker_losses: true,
        cancels: true,
    };
}

/// A run in progress.
pub struct Chaos {
    pub fleet: Fleet,
    config: Config,
    plan: Plan,
    jobs: BTreeMap<JobId, ReplyId>,
    cancelled: BTreeSet<JobId>,
    keyed: BTreeMap<TaskId, Vec<ReplyId>>,
    until: Vec<(Millis, Undo)>,
    next_job: u64,
    /// Acts carried out, by name.
    pub acts: BTreeMap<&'static str, u64>,
}

enum Undo {
    Resume(NodeId),
    Join(NodeId),
    StoreUp,
    Reach(WorkerId),
}

impl Chaos {
    /// Starts six nodes on the league's workers and lets them settle.
    pub fn new(seed: u64, plan: Plan) -> Self {
        let organisations = [("laurentide", 3, 40), ("bromont", 1, 12), ("public", 1, 6)];
        let config = sample::config(sample::league_document(), &organisations);
        let mut fleet = Fleet::new(seed, sample::league_workers(), &config);
        for n in 0..NODES {
            fleet.boot(&format!("zone-{}", n % 3));
        }
        fleet.run(8_000);
        Self {
            fleet,
            config,
            plan,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            keyed: BTreeMap::new(),
            until: Vec::new(),
            next_job: 0,
            acts: BTreeMap::new(),
        }
    }

    /// Runs the plan, ends all failures, and lets the fleet recover.
    pub fn run(&mut self) {
        self.fleet.faults = self.plan.faults;
        let end = self.fleet.now + self.plan.length_ms;
        while self.fleet.now < end && self.fleet.violations.is_empty() {
            self.undo_due(false);
            for _ in 0..4 {
                self.load();
            }
            if self.fleet.draw(8) == 0 {
                self.fail();
            }
            self.fleet.run(100);
        }
        self.undo_due(true);
        self.fleet.faults = Faults::NONE;
        self.fleet.run(120_000);
        self.check_jobs();
    }

    fn node(&mut self) -> Option<NodeId> {
        let up = self.fleet.up();
        let n = self.fleet.draw(up.len() as u64);
        up.get(usize::try_from(n).unwrap_or(0)).cloned()
    }

    fn organisation(&mut self) -> OrganisationName {
        OrganisationName::from(self.fleet.pick(&["laurentide", "laurentide", "bromont"]))
    }

    fn load(&mut self) {
        let Some(node) = self.node() else {
            return;
        };
        match self.fleet.draw(20) {
            0 => self.submit(&node),
            1 if self.plan.cancels => self.cancel(&node),
            2..=3 => self.keyed_request(&node),
            _ => {
                let ask = self.ask("score-check", None);
                self.fleet.request(&node, ask);
            }
        }
    }

    fn ask(&mut self, queue: &str, idempotency_key: Option<TaskId>) -> CallerRequest {
        CallerRequest {
            queue: QueueName::from(queue),
            organisation: self.organisation(),
            wait_ms: 1_300,
            idempotency_key,
        }
    }

    /// Sends a request with a key that another node may get as well.
    fn keyed_request(&mut self, node: &NodeId) {
        let n = self.fleet.now / 1_000;
        let key = TaskId::from(format!("key-{n}"));
        let ask = self.ask("score-entry", Some(key.clone()));
        let reply = self.fleet.request(node, ask);
        self.keyed.entry(key).or_default().push(reply);
    }

    fn submit(&mut self, node: &NodeId) {
        let queue = self.fleet.pick(&["standings", "tilt-review", "ball-path"]);
        let tasks = 1 + u32::try_from(self.fleet.draw(6)).unwrap_or(0);
        let Some(mut spec) = sample::job_spec(&self.config, queue, tasks) else {
            return;
        };
        spec.run_ms = 1_000 + self.fleet.draw(8_000);
        spec.idempotent = self.fleet.draw(2) == 0;
        if !spec.idempotent {
            spec.retries = 0;
        }
        self.next_job += 1;
        let id = JobId::from(format!("job-{}", self.next_job));
        let organisation = OrganisationName::from("laurentide");
        let call = JobCall::Submit {
            id: id.clone(),
            organisation,
            spec,
        };
        let reply = self.fleet.job(node, call);
        self.jobs.insert(id, reply);
    }

    fn cancel(&mut self, node: &NodeId) {
        let n = self.fleet.draw(self.jobs.len() as u64);
        let Some(id) = self
            .jobs
            .keys()
            .nth(usize::try_from(n).unwrap_or(0))
            .cloned()
        else {
            return;
        };
        let organisation = OrganisationName::from("laurentide");
        self.cancelled.insert(id.clone());
        self.fleet.job(node, JobCall::Cancel { id, organisation });
    }

    fn note(&mut self, act: &'static str) {
        *self.acts.entry(act).or_default() += 1;
    }

    fn later(&mut self, most_ms: Millis, undo: Undo) {
        let at = self.fleet.now + 500 + self.fleet.draw(most_ms);
        self.until.push((at, undo));
    }

    fn fail(&mut self) {
        let Some(node) = self.node() else {
            return;
        };
        let spare = self.fleet.up().len() > 3;
        match self.fleet.draw(7) {
            0 if self.plan.kills && spare => {
                self.note("kill");
                self.fleet.kill(&node);
                self.fleet.boot("zone-0");
            }
            1 if self.plan.pauses && spare => {
                self.note("pause");
                if let Some(seat) = self.fleet.seats.get_mut(&node) {
                    seat.paused = true;
                }
                self.later(15_000, Undo::Resume(node));
            }
            2 if self.plan.cuts => {
                self.note("cut from store");
                if let Some(seat) = self.fleet.seats.get_mut(&node) {
                    seat.cut_store = true;
                }
                self.later(15_000, Undo::Join(node));
            }
            3 if self.plan.cuts => {
                self.note("cut from peers");
                if let Some(seat) = self.fleet.seats.get_mut(&node) {
                    seat.cut_peers = true;
                }
                self.later(15_000, Undo::Join(node));
            }
            4 if self.plan.outages && !self.fleet.store_down => {
                self.note("store outage");
                self.fleet.store_down = true;
                self.later(12_000, Undo::StoreUp);
            }
            5 if self.plan.worker_losses => {
                self.note("worker cut");
                let id = self.worker();
                self.fleet.cut_workers.insert(id.clone());
                self.later(20_000, Undo::Reach(id));
            }
            6 if self.plan.worker_losses && self.fleet.vm_list.len() > 40 => {
                self.note("worker lost");
                let id = self.worker();
                self.fleet.lose_worker(&id);
            }
            _ => {}
        }
    }

    fn worker(&mut self) -> WorkerId {
        let n = self.fleet.draw(self.fleet.vm_list.len() as u64);
        let n = usize::try_from(n).unwrap_or(0);
        self.fleet.vm_list[n].id.clone()
    }

    fn undo_due(&mut self, all: bool) {
        let now = self.fleet.now;
        let (due, later) = std::mem::take(&mut self.until)
            .into_iter()
            .partition(|(at, _)| all || *at <= now);
        self.until = later;
        let due: Vec<(Millis, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::Resume(id) => self.fleet.resume(&id),
                Undo::StoreUp => self.fleet.store_down = false,
                Undo::Join(id) => {
                    if let Some(seat) = self.fleet.seats.get_mut(&id) {
                        seat.cut_store = false;
                        seat.cut_peers = false;
                    }
                }
                Undo::Reach(id) => {
                    if self.fleet.vm_list.iter().any(|vm| vm.id == id) {
                        self.fleet.cut_workers.remove(&id);
                    }
                }
            }
        }
    }

    /// Checks after recovery that every accepted job ended and no key ran twice.
    fn check_jobs(&mut self) {
        let accepted: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, reply)| {
                let answer = self.fleet.answers.get(reply);
                matches!(answer, Some(Answer::Job(JobReply::Accepted { .. })))
            })
            .map(|(id, _)| id.clone())
            .collect();
        self.acts.insert("jobs accepted", accepted.len() as u64);
        for id in accepted {
            let state = self.state(&id);
            let ended = state.is_some_and(JobState::is_terminal);
            if !ended && self.fleet.violations.is_empty() {
                self.fleet
                    .violations
                    .push(format!("accepted {id} is {state:?}"));
            }
        }
        for (key, replies) in &self.keyed {
            let ran = replies
                .iter()
                .filter(|r| self.fleet.answers.get(r) == Some(&Answer::Ran))
                .count();
            if ran > 1 {
                self.fleet
                    .violations
                    .push(format!("{key} was answered {ran} times"));
            }
        }
        let refused = self.fleet.answers.values();
        let refused = refused
            .filter(|a| matches!(a, Answer::Request(RequestReply::Refused { .. })))
            .count();
        self.acts.insert("requests refused", refused as u64);
        let ran = self.fleet.answers.values().filter(|a| **a == Answer::Ran);
        let ran = ran.count() as u64;
        self.acts.insert("requests answered", ran);
    }

    fn state(&self, id: &JobId) -> Option<JobState> {
        let nodes = self.fleet.seats.values().filter(|s| s.up);
        nodes
            .flat_map(|s| s.node.jobs())
            .find(|j| j.id == *id)
            .map(|j| j.state)
    }
}
