//! Runs a [`Fleet`] under a seeded schedule of load and failures, then checks that it recovers.
//!
//! Used by the long seeded tests of core. All randomness comes from the fleet's generator, so
//! that a seed and a plan reproduce a run.

use {
    crate::{
        fleet::{CallerReply, Faults, Fleet},
        sample,
    },
    dragonflyferry::core::{
        CallerRequest, Config, JobCall, JobId, JobReply, JobState, Millis, NodeId,
        OrganisationName, QueueName, ReplyId, RequestReply, TaskId, WorkerId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Nodes started at the beginning; each killed node is replaced by a new one.
const NODES: usize = 6;

/// Which failures a run may include.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub faults: Faults,
    /// Duration of the phase with failures, in ms of simulated time.
    pub length_ms: Millis,
    /// Nodes crash and are replaced.
    pub kills: bool,
    /// Nodes stop handling events for a time.
    pub pauses: bool,
    /// Nodes lose the connection to the store or to the other nodes.
    pub cuts: bool,
    /// The store is unavailable to all nodes.
    pub outages: bool,
    /// Workers become unreachable, or their VM is lost.
    pub worker_losses: bool,
    /// Jobs are cancelled as part of the load.
    pub cancels: bool,
}

impl Plan {
    /// All kinds of failure at once, for 60 s.
    pub const ALL: Self = Self {
        faults: Faults {
            loss_permille: 20,
            duplicate_permille: 20,
            max_delay_ms: 40,
            store_failure_permille: 20,
            worker_failure_permille: 20,
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

/// A fleet under load with the state of the failure schedule.
pub struct Chaos {
    pub fleet: Fleet,
    config: Config,
    plan: Plan,
    jobs: BTreeMap<JobId, ReplyId>,
    cancelled: BTreeSet<JobId>,
    /// Replies to the requests with each idempotency key.
    keyed_replies: BTreeMap<TaskId, Vec<ReplyId>>,
    /// Times at which injected failures end, in ms.
    scheduled_repairs: Vec<(Millis, Repair)>,
    next_job: u64,
    /// Counts of injected failures by name; after the run also of jobs and requests.
    pub event_counts: BTreeMap<&'static str, u64>,
}

/// How an injected failure ends.
enum Repair {
    Resume(NodeId),
    Reconnect(NodeId),
    StoreUp,
    ReconnectWorker(WorkerId),
}

impl Chaos {
    /// Starts six nodes on the league's workers and runs 8 s without load.
    pub fn new(seed: u64, plan: Plan) -> Self {
        let organisations = [("laurentide", 3, 40), ("bromont", 1, 12), ("public", 1, 6)];
        let config = sample::config(sample::league_document(), &organisations);
        let mut fleet = Fleet::new(seed, sample::league_workers(), &config);
        for n in 0..NODES {
            fleet.start_node(&format!("zone-{}", n % 3));
        }
        fleet.run(8_000);
        Self {
            fleet,
            config,
            plan,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            keyed_replies: BTreeMap::new(),
            scheduled_repairs: Vec::new(),
            next_job: 0,
            event_counts: BTreeMap::new(),
        }
    }

    /// Runs the plan, ends all failures, and checks the jobs after 120 s of recovery.
    pub fn run(&mut self) {
        self.fleet.faults = self.plan.faults;
        let end = self.fleet.now + self.plan.length_ms;
        while self.fleet.now < end && self.fleet.violations.is_empty() {
            self.run_due_repairs(false);
            for _ in 0..4 {
                self.send_load();
            }
            if self.fleet.draw(8) == 0 {
                self.inject_failure();
            }
            self.fleet.run(100);
        }
        self.run_due_repairs(true);
        self.fleet.faults = Faults::NONE;
        self.fleet.run(120_000);
        self.check_jobs();
    }

    fn random_node(&mut self) -> Option<NodeId> {
        let up = self.fleet.running_nodes();
        let n = self.fleet.draw(up.len() as u64);
        up.get(usize::try_from(n).unwrap_or(0)).cloned()
    }

    fn random_organisation(&mut self) -> OrganisationName {
        OrganisationName::from(self.fleet.pick(&["laurentide", "laurentide", "bromont"]))
    }

    fn send_load(&mut self) {
        let Some(node) = self.random_node() else {
            return;
        };
        match self.fleet.draw(20) {
            0 => self.submit(&node),
            1 if self.plan.cancels => self.cancel(&node),
            2..=3 => self.keyed_request(&node),
            _ => {
                let request = self.caller_request("score-check", None);
                self.fleet.request(&node, request);
            }
        }
    }

    fn caller_request(&mut self, queue: &str, idempotency_key: Option<TaskId>) -> CallerRequest {
        CallerRequest {
            queue: QueueName::from(queue),
            organisation: self.random_organisation(),
            timeout_ms: 1_300,
            idempotency_key,
        }
    }

    /// Sends a request with an idempotency key that other nodes may receive as well in the same
    /// second.
    fn keyed_request(&mut self, node: &NodeId) {
        let n = self.fleet.now / 1_000;
        let key = TaskId::from(format!("key-{n}"));
        let request = self.caller_request("score-entry", Some(key.clone()));
        let reply = self.fleet.request(node, request);
        self.keyed_replies.entry(key).or_default().push(reply);
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

    fn count_event(&mut self, event: &'static str) {
        *self.event_counts.entry(event).or_default() += 1;
    }

    fn schedule_repair(&mut self, max_extra_ms: Millis, repair: Repair) {
        let at = self.fleet.now + 500 + self.fleet.draw(max_extra_ms);
        self.scheduled_repairs.push((at, repair));
    }

    fn inject_failure(&mut self) {
        let Some(node) = self.random_node() else {
            return;
        };
        let can_lose_node = self.fleet.running_nodes().len() > 3;
        match self.fleet.draw(7) {
            0 if self.plan.kills && can_lose_node => {
                self.count_event("kill");
                self.fleet.kill(&node);
                self.fleet.start_node("zone-0");
            }
            1 if self.plan.pauses && can_lose_node => {
                self.count_event("pause");
                if let Some(sim_node) = self.fleet.nodes.get_mut(&node) {
                    sim_node.paused = true;
                }
                self.schedule_repair(15_000, Repair::Resume(node));
            }
            2 if self.plan.cuts => {
                self.count_event("cut from store");
                if let Some(sim_node) = self.fleet.nodes.get_mut(&node) {
                    sim_node.store_unreachable = true;
                }
                self.schedule_repair(15_000, Repair::Reconnect(node));
            }
            3 if self.plan.cuts => {
                self.count_event("cut from peers");
                if let Some(sim_node) = self.fleet.nodes.get_mut(&node) {
                    sim_node.peers_unreachable = true;
                }
                self.schedule_repair(15_000, Repair::Reconnect(node));
            }
            4 if self.plan.outages && !self.fleet.store_down => {
                self.count_event("store outage");
                self.fleet.store_down = true;
                self.schedule_repair(12_000, Repair::StoreUp);
            }
            5 if self.plan.worker_losses => {
                self.count_event("worker cut");
                let id = self.random_worker();
                self.fleet.unreachable_workers.insert(id.clone());
                self.schedule_repair(20_000, Repair::ReconnectWorker(id));
            }
            6 if self.plan.worker_losses && self.fleet.vm_list.len() > 40 => {
                self.count_event("worker lost");
                let id = self.random_worker();
                self.fleet.remove_worker_vm(&id);
            }
            _ => {}
        }
    }

    fn random_worker(&mut self) -> WorkerId {
        let n = self.fleet.draw(self.fleet.vm_list.len() as u64);
        let n = usize::try_from(n).unwrap_or(0);
        self.fleet.vm_list[n].id.clone()
    }

    fn run_due_repairs(&mut self, all: bool) {
        let now = self.fleet.now;
        let (due, later) = std::mem::take(&mut self.scheduled_repairs)
            .into_iter()
            .partition(|(at, _)| all || *at <= now);
        self.scheduled_repairs = later;
        let due: Vec<(Millis, Repair)> = due;
        for (_, repair) in due {
            match repair {
                Repair::Resume(id) => self.fleet.resume(&id),
                Repair::StoreUp => self.fleet.store_down = false,
                Repair::Reconnect(id) => {
                    if let Some(sim_node) = self.fleet.nodes.get_mut(&id) {
                        sim_node.store_unreachable = false;
                        sim_node.peers_unreachable = false;
                    }
                }
                Repair::ReconnectWorker(id) => {
                    if self.fleet.vm_list.iter().any(|vm| vm.id == id) {
                        self.fleet.unreachable_workers.remove(&id);
                    }
                }
            }
        }
    }

    /// Checks after recovery that every accepted job ended and no idempotency key ran twice.
    fn check_jobs(&mut self) {
        let accepted: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, reply)| {
                let reply = self.fleet.replies.get(reply);
                matches!(reply, Some(CallerReply::Job(JobReply::Accepted { .. })))
            })
            .map(|(id, _)| id.clone())
            .collect();
        self.event_counts
            .insert("jobs accepted", accepted.len() as u64);
        for id in accepted {
            let state = self.job_state(&id);
            let ended = state.is_some_and(JobState::is_terminal);
            if !ended && self.fleet.violations.is_empty() {
                self.fleet
                    .violations
                    .push(format!("accepted {id} is {state:?}"));
            }
        }
        for (key, replies) in &self.keyed_replies {
            let ran = replies
                .iter()
                .filter(|r| self.fleet.replies.get(r) == Some(&CallerReply::Ran))
                .count();
            if ran > 1 {
                self.fleet
                    .violations
                    .push(format!("{key} was answered {ran} times"));
            }
        }
        let refused = self.fleet.replies.values();
        let refused = refused
            .filter(|a| matches!(a, CallerReply::Request(RequestReply::Refused { .. })))
            .count();
        self.event_counts.insert("requests refused", refused as u64);
        let ran = self
            .fleet
            .replies
            .values()
            .filter(|a| **a == CallerReply::Ran);
        let ran = ran.count() as u64;
        self.event_counts.insert("requests answered", ran);
    }

    fn job_state(&self, id: &JobId) -> Option<JobState> {
        let nodes = self.fleet.nodes.values().filter(|s| s.up);
        nodes
            .flat_map(|s| s.node.jobs())
            .find(|j| j.id == *id)
            .map(|j| j.state)
    }
}
