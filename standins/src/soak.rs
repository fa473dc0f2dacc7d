//! Runs real nodes against the simulated platform under a seeded series of overlapping faults, and
//! judges what the executors saw.
//!
//! Used by `tests/soak.rs` and `examples/soak.rs`. The schedule of faults depends on the seed;
//! what happens under it also depends on the machine.

use {
    crate::{
        platform_executor::MAX_LEASE_MS,
        platform_faults::{Fate, FaultRule, Party},
        platform_host::PlatformHost,
        run_journal::{Gap, Violation},
        soak_clients::{HOST, QUEUES, SoakClient},
        soak_nodes::{SoakNodes, TERMINATION_GRACE_S},
    },
    dragonflyferry::core::Millis,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    rustix::process::Signal,
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Write},
        fs, io,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex, Notify},
        task::JoinSet,
    },
};

/// Pools of executors: two thirds are in the first.
const POOLS: [&str; 3] = ["a", "a", "b"];

/// Zones of executors, in turn within a pool.
const ZONES: [&str; 3] = ["z0", "z1", "z2"];

/// Part of the clients that leave before the answer to a submission and cancel, in percent.
const IMPATIENT_PERCENT: u32 = 5;

/// Kinds of faults with their weights.
pub const FAULTS: [(&str, u32); 24] = [
    ("compact", 2),
    ("cut-executors", 7),
    ("drain-executor", 4),
    ("freeze", 6),
    ("freeze-at-renewal", 6),
    ("hang-up", 2),
    ("isolate-executors", 18),
    ("kill", 6),
    ("kill-all", 2),
    ("kill-series", 3),
    ("lose-writes", 6),
    ("move-queue", 4),
    ("reject-nodes", 8),
    ("release-freeze-owner", 2),
    ("release-kill-all", 2),
    ("release-kill-owner", 2),
    ("restart-executors", 5),
    ("silence-old", 3),
    ("slow-store", 3),
    ("split-nodes", 4),
    ("store-outage", 6),
    ("terminate", 1),
    ("terminate-all", 2),
    ("terminate-owner", 2),
];

/// Series of faults that run side by side.
const LANES: u64 = 3;

/// Time for the first owner to open its executors before the faults begin, in ms.
const WARM_UP_MS: Millis = 2_500;

/// Shortest and longest delay of a call that is carried out late, in ms.
const LATE_MS: std::ops::Range<Millis> = 2_000..12_000;

/// Time after the last effect of a fault in which all accepted jobs must complete, in ms.
const FINISH_MS: Millis = 30_000;

/// Shortest time between the announcement of an executor's exit and the exit, in ms.
const DRAIN_MS: Millis = 2_000;

/// Time before an announced exit from which on an owner must not change, so that it can stop the runs there, in ms.
const STOP_BEFORE_MS: Millis = 1_500;

/// Time within which the next owner claims after a loss of the owner, in ms.
const CLAIM_MS: Millis = 3_000;

/// Pauses after a loss of the owner until the next one, in ms; tasks have to start in them.
const LOSS_PAUSE_MS: std::ops::Range<Millis> = 4_000..5_000;

/// Time after the end of a fault that is not judged in which tasks may wait for its effects, in ms: calls that are
/// carried out late, and then a lease.
const SETTLE_MS: Millis = LATE_MS.end + 2 * MAX_LEASE_MS;

/// Time before a broken rule whose faults are reported, in ms.
const CAUSE_MS: Millis = 15_000;

/// Time for runs that should not start after all jobs have ended, in ms.
const QUIET_MS: Millis = 2_000;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct Soak {
    seed: u64,
    daemon: PathBuf,
    folder: PathBuf,
    nodes: usize,
    executors: usize,
    fault_ms: Millis,
    faults: Vec<(&'static str, u32)>,
    /// Program of an earlier version with which all nodes start; they are replaced one by one.
    upgrade_from: Option<PathBuf>,
    /// Part of the jobs that are large, in percent.
    large_percent: u32,
    /// Part of the other jobs whose tasks last, in percent.
    persistent_percent: u32,
}

/// What a soak did and which rules were broken.
#[derive(Clone, Debug)]
pub struct SoakReport {
    pub seed: u64,
    pub jobs: usize,
    pub accepted: usize,
    pub cancelled: usize,
    pub completed: usize,
    pub runs: usize,
    pub owners: usize,
    pub faults: usize,
    /// Longest time that a persistent task did not run after its first run, in ms.
    pub longest_gap_ms: Millis,
    pub violations: Vec<Violation>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.rule).or_default() += 1;
        }
        write!(
            f,
            "seed={} jobs={} accepted={} cancelled={} completed={} runs={} owners={} faults={} \
             longest_gap_ms={} broken={counts:?}",
            self.seed,
            self.jobs,
            self.accepted,
            self.cancelled,
            self.completed,
            self.runs,
            self.owners,
            self.faults,
            self.longest_gap_ms,
        )
    }
}

impl Soak {
    /// Prepares a soak of 6 nodes and 24 executors with faults for 20 s. `daemon` is the program of
    /// the nodes; settings, logs and the report go into `folder`.
    pub fn new(seed: u64, daemon: &Path, folder: &Path) -> Self {
        Self {
            seed,
            daemon: daemon.to_owned(),
            folder: folder.to_owned(),
            nodes: 6,
            executors: 24,
            fault_ms: 20_000,
            faults: FAULTS.to_vec(),
            upgrade_from: None,
            large_percent: 0,
            persistent_percent: 5,
        }
    }

    /// Starts all nodes with this program, of an earlier version, and replaces one after the other during
    /// the time with faults.
    #[must_use]
    pub fn upgrade_from(mut self, daemon: &Path) -> Self {
        self.upgrade_from = Some(daemon.to_owned());
        self
    }

    /// Sets the part of the jobs that are large, in percent.
    #[must_use]
    pub fn large_percent(mut self, percent: u32) -> Self {
        self.large_percent = percent;
        self
    }

    /// Sets the part of the other jobs whose tasks last until they are cancelled, in percent.
    #[must_use]
    pub fn persistent_percent(mut self, percent: u32) -> Self {
        self.persistent_percent = percent;
        self
    }

    /// Sets the number of nodes, at most 250.
    #[must_use]
    pub fn nodes(mut self, nodes: usize) -> Self {
        self.nodes = nodes;
        self
    }

    /// Sets the number of executors.
    #[must_use]
    pub fn executors(mut self, executors: usize) -> Self {
        self.executors = executors;
        self
    }

    /// Sets the time with faults.
    #[must_use]
    pub fn fault_time(mut self, time: Duration) -> Self {
        self.fault_ms = to_ms(time);
        self
    }

    /// Draws only these kinds of [`FAULTS`].
    #[must_use]
    pub fn only(mut self, kinds: &[&str]) -> Self {
        self.faults.retain(|(kind, _)| kinds.contains(kind));
        self
    }

    /// Runs the soak; writes `report.txt` into the folder.
    pub async fn run(self) -> io::Result<SoakReport> {
        let first_daemon = self.upgrade_from.as_ref().unwrap_or(&self.daemon);
        let nodes = SoakNodes::new(first_daemon, &self.folder, self.nodes)?;
        let peers = (0..self.nodes).map(|n| nodes.addresses(n).peer).collect();
        let place = |i: usize| (pool_of(i), ZONES[i / 3 % 3]);
        let places: Vec<_> = (0..self.executors).map(place).collect();
        let host = PlatformHost::start(self.seed, peers, &places);
        let stage = Arc::new(Stage {
            faults_until: host.now() + WARM_UP_MS + self.fault_ms,
            host,
            nodes,
            last_owner: AtomicUsize::new(0),
            config_version: AtomicU64::new(0),
            loss_turn: Mutex::new(()),
            faults: self.faults.clone(),
        });
        stage.configure(POOLS[0]);
        for node in 0..self.nodes {
            let store = stage.host.store_address(node)?;
            stage.nodes.configure(node, store)?;
            stage.nodes.start(node)?;
        }
        let client = stage.client().large_percent(self.large_percent);
        let client = client.persistent_percent(self.persistent_percent);
        // Earlier versions start a job whose cancellation they have answered before it was stored.
        let impatient_percent = if self.upgrade_from.is_none() {
            IMPATIENT_PERCENT
        } else {
            0
        };
        let client = client.impatient_percent(impatient_percent);
        let stop = Arc::new(AtomicBool::new(false));
        // Half of the executors' capacity at the mean size of jobs.
        let per_second = f64::from(u32::try_from(self.executors).unwrap_or(24)) / 8.0;
        tokio::spawn(client.clone().run(self.seed, per_second, stop.clone()));
        tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
        let mut lanes = JoinSet::new();
        for lane in 0..LANES {
            lanes.spawn(stage.clone().run_lane(self.seed * LANES + lane));
        }
        if self.upgrade_from.is_some() {
            lanes.spawn(stage.clone().upgrade(self.daemon.clone(), self.fault_ms));
        }
        lanes.join_all().await;
        stage.lift_faults()?;
        stop.store(true, Ordering::Relaxed);
        let finish_by = stage.host.now() + LATE_MS.end + FINISH_MS;
        stage.finish(&client, finish_by).await;
        let report = stage.report(self.seed);
        self.write_report(&stage, &report)?;
        Ok(report)
    }

    fn write_report(&self, stage: &Stage, report: &SoakReport) -> io::Result<()> {
        let mut text = format!("{report}\n\nfaults, in ms:\n");
        for span in stage.host.faults.spans_between(0, Millis::MAX) {
            let _ = writeln!(text, "{span}");
        }
        text += "\nclaims, in ms:\n";
        for (at, number, node) in stage.host.claims() {
            let node = node.map_or("gone".to_owned(), |n| n.to_string());
            let _ = writeln!(text, "{at} owner={number} node={node}");
        }
        for violation in &report.violations {
            let _ = writeln!(text, "\n{violation}");
        }
        fs::write(self.folder.join("report.txt"), text)
    }
}

/// Returns a configuration in which the first queue has this pool.
pub fn sample_config(version: u64, pool: &str) -> Vec<u8> {
    let route = |name: &str, pool: &str| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "service": pool,
            "sloMs": 500, "priority": 1, "maxAttempts": 30, "stretch": 2.0, "public": true,
        })
    };
    let config = json!({
        "version": version,
        "routes": [route(QUEUES[0], pool), route(QUEUES[1], POOLS[2])],
        "services": [],
        "tenants": [],
        "limits": {"bodyBytes": 100_000},
    });
    config.to_string().into_bytes()
}

/// Ends a fault when it is dropped.
struct FaultGuard<'a>(&'a PlatformHost, usize);

impl Drop for FaultGuard<'_> {
    fn drop(&mut self) {
        self.0.faults.end(self.1, self.0.now());
    }
}

/// A running soak.
struct Stage {
    host: Arc<PlatformHost>,
    nodes: SoakNodes,
    /// The latest node that the store named as the owner.
    last_owner: AtomicUsize,
    config_version: AtomicU64,
    /// Held during a judged loss of the owner and the pause after it.
    loss_turn: Mutex<()>,
    faults_until: Millis,
    /// Kinds to draw from, with their weights.
    faults: Vec<(&'static str, u32)>,
}

impl Stage {
    fn client(&self) -> SoakClient {
        let callers = (0..self.nodes.count()).map(|n| self.nodes.addresses(n).caller);
        let host = &self.host;
        SoakClient::new(callers.collect(), host.journal.clone(), host.started_at)
    }

    /// Writes a configuration in which the first queue has this pool.
    fn configure(&self, pool: &str) {
        let version = self.config_version.fetch_add(3, Ordering::Relaxed) + 1;
        self.host.put("op/config", &sample_config(version, pool));
    }

    /// Returns the owner, or the latest one while there is none.
    fn owner(&self) -> usize {
        if let Some(owner) = self.host.owner() {
            self.last_owner.store(owner, Ordering::Relaxed);
        }
        self.last_owner.load(Ordering::Relaxed)
    }

    /// Waits, but not beyond the time with faults.
    async fn pause(&self, ms: Millis) {
        let left = self.faults_until.saturating_sub(self.host.now());
        tokio::time::sleep(Duration::from_millis(ms.min(left))).await;
    }

    /// Adds a rule until the guard is dropped.
    fn add(&self, rule: FaultRule) -> FaultGuard<'_> {
        let id = self.host.faults.add(rule, self.host.now());
        FaultGuard(&self.host, id)
    }

    /// Records a fault that is no rule until the guard is dropped.
    fn begin(&self, name: impl Into<String>) -> FaultGuard<'_> {
        let id = self.host.faults.begin(name, false, self.host.now());
        FaultGuard(&self.host, id)
    }

    /// Records a fault during which persistent tasks must run on in time.
    fn begin_judged(&self, name: impl Into<String>) -> FaultGuard<'_> {
        let id = self.host.faults.begin(name, true, self.host.now());
        FaultGuard(&self.host, id)
    }

    /// Keeps a rule for a time.
    async fn hold(&self, rule: FaultRule, ms: Millis) {
        let _rule = self.add(rule);
        self.pause(ms).await;
    }

    /// Replaces the program of one node after the other, evenly over the time with faults.
    async fn upgrade(self: Arc<Self>, daemon: PathBuf, fault_ms: Millis) {
        let count = self.nodes.count();
        let interval_ms = fault_ms / (count as u64 + 1);
        for node in 0..count {
            self.pause(interval_ms).await;
            self.nodes.set_daemon(node, &daemon);
            self.terminate(node, 200).await;
        }
    }

    async fn run_lane(self: Arc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while self.host.now() < self.faults_until {
            self.pause(rng.random_range(50..2_000)).await;
            if let Ok((kind, _)) = self.faults.choose_weighted(&mut rng, |(_, weight)| *weight) {
                self.run_fault(kind, &mut rng).await;
            }
        }
    }

    /// Runs one fault, or a combination that belongs together.
    async fn run_fault(&self, kind: &str, rng: &mut SmallRng) {
        let owner = self.owner();
        let node = if rng.random_bool(0.7) {
            owner
        } else {
            rng.random_range(0..self.nodes.count())
        };
        let freeze_ms = rng.random_range(1_000..9_000);
        let down_ms = rng.random_range(100..4_000);
        match kind {
            "compact" => self.host.compact(),
            "cut-executors" => self.cut_executors(owner, rng).await,
            "drain-executor" => self.drain_executor(rng).await,
            "freeze" => self.freeze(node, freeze_ms).await,
            "freeze-at-renewal" => self.freeze_at_renewal(node, freeze_ms).await,
            "hang-up" => self.nodes.signal(node, Signal::HUP),
            "isolate-executors" => self.isolate_executors(rng).await,
            "kill" => self.kill(node, down_ms).await,
            "kill-all" => {
                let _fault = self.begin("SIGKILL all nodes");
                self.restart_all(rng).await;
            }
            "kill-series" => {
                for _ in 0..3 {
                    self.kill(self.owner(), rng.random_range(100..600)).await;
                    self.pause(rng.random_range(200..2_000)).await;
                }
            }
            "lose-writes" => self.lose_writes(owner, rng).await,
            "move-queue" => self.move_queue(owner, rng).await,
            "reject-nodes" => self.reject_nodes(owner, rng).await,
            "release-freeze-owner" | "release-kill-all" | "release-kill-owner" => {
                let losses = self.lose_owners(kind, rng.random());
                tokio::join!(self.release(rng), losses);
            }
            "restart-executors" => self.restart_executors(rng).await,
            "silence-old" => {
                let rule = FaultRule::new("old connections silent", Fate::Silent, |from, to| {
                    matches!(from, Party::Node(_)) && !matches!(to, Party::Node(_))
                });
                self.hold(rule.stale_only(), rng.random_range(1_000..5_000))
                    .await;
            }
            "slow-store" => {
                let fate = Fate::Slow(rng.random_range(200..1_500));
                let rule = FaultRule::new("store slow", fate, |_, to| to == Party::Store);
                self.hold(rule, rng.random_range(1_000..5_000)).await;
            }
            "split-nodes" => self.split_nodes(owner, rng).await,
            "store-outage" => self.store_outage(rng).await,
            "terminate-all" => {
                tokio::join!(self.release(rng), self.terminate_all(down_ms));
            }
            "terminate-owner" => {
                let stops = self.terminate_owners(down_ms, rng.random());
                tokio::join!(self.release(rng), stops);
            }
            _ => self.terminate(node, down_ms).await,
        }
    }

    async fn kill(&self, node: usize, down_ms: Millis) {
        let _fault = self.begin(format!("SIGKILL node {node}"));
        self.restart(node, down_ms).await;
    }

    async fn restart(&self, node: usize, down_ms: Millis) {
        self.nodes.kill(node);
        self.pause(down_ms).await;
        let _ = self.nodes.start(node);
    }

    async fn restart_all(&self, rng: &mut SmallRng) {
        (0..self.nodes.count()).for_each(|n| self.nodes.kill(n));
        self.pause(rng.random_range(100..1_500)).await;
        for node in 0..self.nodes.count() {
            self.pause(rng.random_range(0..50)).await;
            let _ = self.nodes.start(node);
        }
    }

    async fn terminate(&self, node: usize, down_ms: Millis) {
        let _fault = self.begin_judged(format!("SIGTERM node {node}"));
        let process = self.nodes.process_id(node);
        self.nodes.signal(node, Signal::TERM);
        let deadline = self.host.now() + TERMINATION_GRACE_S * 1_000;
        // Another series of faults may have started the node again.
        let is_running = || process.is_some() && self.nodes.process_id(node) == process;
        while is_running() && self.host.now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if is_running() {
            self.nodes.kill(node);
        }
        self.pause(down_ms).await;
        let _ = self.nodes.start(node);
    }

    /// Stops all nodes one after another, each once the one before is back.
    async fn terminate_all(&self, down_ms: Millis) {
        for node in 0..self.nodes.count() {
            if self.host.now() < self.faults_until {
                self.terminate(node, down_ms / 10).await;
            }
        }
    }

    /// Stops the owner twice while some executors exit, so that often neither it nor the next owner
    /// reads them any more.
    async fn terminate_owners(&self, down_ms: Millis, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..2 {
            let notice_ms = DRAIN_MS + down_ms / 4;
            for _ in 0..4 {
                let index = rng.random_range(0..self.host.executor_count());
                let remaining_ms = notice_ms + rng.random_range(0..300);
                self.host.drain_executor(index, remaining_ms);
            }
            self.pause(notice_ms).await;
            self.terminate(self.owner(), down_ms).await;
        }
    }

    /// Takes the owner away twice, in the way that `kind` names, while some executors are about to exit.
    async fn lose_owners(&self, kind: &str, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..2 {
            let _turn = self.loss_turn.lock().await;
            if self.host.now() >= self.faults_until {
                return;
            }
            for _ in 0..4 {
                let index = rng.random_range(0..self.host.executor_count());
                let remaining_ms = rng.random_range(DRAIN_MS..DRAIN_MS + 3_000);
                self.host.drain_executor(index, remaining_ms);
            }
            self.pause(rng.random_range(200..DRAIN_MS)).await;
            let owner = self.owner();
            {
                let _fault = self.begin_judged(format!("{kind}, node {owner}"));
                match kind {
                    "release-freeze-owner" => {
                        // Long enough for its store lease to end.
                        let freeze_ms = rng.random_range(2_000..6_000);
                        self.hold_still(owner, freeze_ms).await;
                    }
                    "release-kill-all" => self.restart_all(&mut rng).await,
                    _ => self.restart(owner, rng.random_range(100..600)).await,
                }
            }
            self.pause(rng.random_range(LOSS_PAUSE_MS)).await;
        }
    }

    /// Executors announce their exit one after another and then exit, while the configuration changes.
    async fn release(&self, rng: &mut SmallRng) {
        let count = self.host.executor_count();
        let first = rng.random_range(0..count);
        let leaving = rng.random_range(4..=8);
        let _fault = self.begin_judged(format!("{leaving} executors from {first} leave"));
        for i in 0..leaving {
            let remaining_ms = rng.random_range(DRAIN_MS..5_000);
            self.host.drain_executor((first + i) % count, remaining_ms);
            self.configure(POOLS[0]);
            self.pause(rng.random_range(200..1_500)).await;
        }
    }

    async fn freeze(&self, node: usize, ms: Millis) {
        let _fault = self.begin(format!("SIGSTOP node {node}"));
        self.hold_still(node, ms).await;
    }

    async fn hold_still(&self, node: usize, ms: Millis) {
        self.nodes.signal(node, Signal::STOP);
        self.pause(ms).await;
        self.nodes.signal(node, Signal::CONT);
    }

    /// Freezes a node while the reply to a renewal of its store lease is held back.
    async fn freeze_at_renewal(&self, node: usize, ms: Millis) {
        let hit = Arc::new(Notify::new());
        let applies = move |from, to| from == Party::Node(node) && to == Party::Store;
        let rule = FaultRule::new(
            format!("renewal of node {node} held"),
            Fate::HoldReply(200),
            applies,
        )
        .path("/-/kv-keep")
        .on_hit(hit.clone());
        let _rule = self.add(rule);
        let _ = tokio::time::timeout(Duration::from_secs(1), hit.notified()).await;
        self.freeze(node, ms).await;
    }

    async fn store_outage(&self, rng: &mut SmallRng) {
        let fate = match rng.random_range(0..4) {
            0 => Fate::Refuse(503),
            1 => Fate::Reset,
            _ => Fate::Silent,
        };
        let paused = rng.random_bool(0.5);
        let name = format!("store down, leases paused: {paused}");
        let rule = FaultRule::new(name, fate, |_, to| to == Party::Store);
        if paused {
            self.host.pause_leases(true);
        }
        self.hold(rule, rng.random_range(500..6_000)).await;
        if paused {
            self.host.pause_leases(false);
        }
    }

    /// The store rejects some nodes, usually the owner among them.
    async fn reject_nodes(&self, owner: usize, rng: &mut SmallRng) {
        let mut rejected = self.random_nodes(rng);
        if rng.random_range(0..100) < 80 {
            rejected.insert(owner);
        }
        let name = format!("store rejects nodes {rejected:?}");
        let rule = FaultRule::new(name, cut_fate(rng), move |from, to| {
            to == Party::Store && matches!(from, Party::Node(n) if rejected.contains(&n))
        });
        self.hold(rule, rng.random_range(1_000..9_000)).await;
    }

    /// Replies to writes are lost, or the writes are carried out late.
    async fn lose_writes(&self, owner: usize, rng: &mut SmallRng) {
        let fate = lost_fate(rng);
        let all = rng.random_bool(0.4);
        let name = format!("writes of node {owner}, all: {all}: {fate:?}");
        let rule = FaultRule::new(name, fate, move |from, to| {
            to == Party::Store && (from == Party::Node(owner) || all)
        });
        let rule = rule.path("/-/kv-txn").percent(rng.random_range(30..=100));
        self.hold(rule, rng.random_range(500..5_000)).await;
    }

    /// Some executors are cut off from all nodes but the owner, and often from the store; then the
    /// owner is lost in one of several ways.
    async fn isolate_executors(&self, rng: &mut SmallRng) {
        let owner = self.owner();
        let cut = self.random_executors(rng);
        let mut near = BTreeSet::from([owner]);
        if rng.random_bool(0.3) {
            near.append(&mut self.random_nodes(rng));
        }
        let mut rules = vec![self.cut_off(cut.clone(), near, rng)];
        if rng.random_range(0..100) < 70 {
            let name = format!("executors {cut:?} cut off from the store");
            let rule = FaultRule::new(name, Fate::Silent, move |from, to| {
                to == Party::Store && matches!(from, Party::Executor(e) if cut.contains(&e))
            });
            rules.push(self.add(rule));
        }
        // The store removes the entries of cut-off executors after 3 to 4.5 s.
        self.pause(rng.random_range(500..4_500)).await;
        let freeze_ms = rng.random_range(2_000..9_000);
        let down_ms = rng.random_range(100..4_000);
        match rng.random_range(0..6) {
            0 => self.kill(owner, down_ms).await,
            1 => self.freeze(owner, freeze_ms).await,
            2 => self.freeze_at_renewal(owner, freeze_ms).await,
            3 => self.terminate(owner, down_ms).await,
            _ => self.split_nodes(owner, rng).await,
        }
        self.pause(rng.random_range(1_000..8_000)).await;
    }

    /// Cuts some executors off from all nodes but those in `near`.
    fn cut_off(
        &self,
        cut: BTreeSet<usize>,
        near: BTreeSet<usize>,
        rng: &mut SmallRng,
    ) -> FaultGuard<'_> {
        let name = format!("executors {cut:?} cut off from nodes but {near:?}");
        self.add(FaultRule::new(name, cut_fate(rng), move |from, to| {
            matches!((from, to), (Party::Node(n), Party::Executor(e))
                if !near.contains(&n) && cut.contains(&e))
        }))
    }

    /// The owner and some nodes lose the store; often they also lose the other nodes.
    async fn split_nodes(&self, owner: usize, rng: &mut SmallRng) {
        let mut side = self.random_nodes(rng);
        side.insert(owner);
        let mut rules = Vec::new();
        if rng.random_range(0..100) < 80 {
            let name = format!("store rejects the side {side:?}");
            let rejected = side.clone();
            let rule = FaultRule::new(name, cut_fate(rng), move |from, to| {
                to == Party::Store && matches!(from, Party::Node(n) if rejected.contains(&n))
            });
            rules.push(self.add(rule));
        }
        if rng.random_bool(0.5) {
            let fate = if rng.random_bool(0.5) {
                Fate::Reset
            } else {
                Fate::Silent
            };
            let one_way = rng.random_bool(0.3);
            let name = format!("nodes {side:?} cut off from the others, one way: {one_way}");
            let rule = FaultRule::new(name, fate, move |from, to| {
                matches!((from, to), (Party::Node(a), Party::Node(b))
                    if side.contains(&a) != side.contains(&b) && !(one_way && side.contains(&a)))
            });
            rules.push(self.add(rule));
        }
        self.pause(rng.random_range(1_500..9_000)).await;
    }

    /// Calls of the owner to some executors are lost, refused or carried out late.
    async fn cut_executors(&self, owner: usize, rng: &mut SmallRng) {
        let cut = self.random_executors(rng);
        let fate = if rng.random_bool(0.4) {
            lost_fate(rng)
        } else {
            cut_fate(rng)
        };
        let name = format!("node {owner} to executors {cut:?}: {fate:?}");
        let rule = FaultRule::new(name, fate, move |from, to| {
            from == Party::Node(owner) && matches!(to, Party::Executor(e) if cut.contains(&e))
        });
        let path = if rng.random_bool(0.4) {
            "/-/run-start"
        } else {
            ""
        };
        let rule = rule.path(path).percent(rng.random_range(30..=100));
        self.hold(rule, rng.random_range(500..8_000)).await;
    }

    async fn restart_executors(&self, rng: &mut SmallRng) {
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..self.host.executor_count());
            let renamed = rng.random_bool(0.5);
            let down_ms = rng.random_range(50..3_000);
            let name = format!("executor {index} crashes, new id: {renamed}");
            let _fault = self.begin(name);
            self.host.restart_executor(index, down_ms, renamed);
            self.pause(down_ms).await;
        }
    }

    async fn drain_executor(&self, rng: &mut SmallRng) {
        let index = rng.random_range(0..self.host.executor_count());
        let _fault = self.begin_judged(format!("executor {index} drains"));
        let remaining_ms = rng.random_range(DRAIN_MS..6_000);
        self.host.drain_executor(index, remaining_ms);
        self.pause(remaining_ms).await;
    }

    /// Moves the first queue to the other pool and back; often the owner changes meanwhile, and the
    /// next one does not reach all executors.
    async fn move_queue(&self, owner: usize, rng: &mut SmallRng) {
        let _fault = self.begin("queue moved");
        let mut cut = self.random_executors(rng);
        cut.retain(|i| pool_of(*i) == POOLS[0]);
        let _cut = rng
            .random_bool(0.7)
            .then(|| self.cut_off(cut, BTreeSet::from([owner]), rng));
        self.configure(POOLS[2]);
        self.pause(rng.random_range(200..2_000)).await;
        match rng.random_range(0..4) {
            0 => {}
            1 => self.freeze(owner, rng.random_range(2_000..6_000)).await,
            _ => self.kill(owner, rng.random_range(100..4_000)).await,
        }
        self.pause(rng.random_range(500..5_000)).await;
        self.configure(POOLS[0]);
    }

    fn random_nodes(&self, rng: &mut SmallRng) -> BTreeSet<usize> {
        let percent = rng.random_range(10..60);
        let nodes = 0..self.nodes.count();
        nodes
            .filter(|_| rng.random_range(0..100) < percent)
            .collect()
    }

    /// Returns the executors of one zone, or any of them; at least one.
    fn random_executors(&self, rng: &mut SmallRng) -> BTreeSet<usize> {
        let all = 0..self.host.executor_count();
        let zone = ZONES.choose(rng).copied().unwrap_or(ZONES[0]);
        let percent = rng.random_range(15..60);
        let mut chosen: BTreeSet<usize> = if rng.random_bool(0.5) {
            all.filter(|i| self.host.zone_of(*i) == zone).collect()
        } else {
            all.filter(|_| rng.random_range(0..100) < percent).collect()
        };
        if chosen.is_empty() {
            chosen.insert(0);
        }
        chosen
    }

    /// Ends all faults; all nodes run afterwards.
    fn lift_faults(&self) -> io::Result<()> {
        self.host.faults.end_all(self.host.now());
        self.host.pause_leases(false);
        for node in 0..self.nodes.count() {
            self.nodes.signal(node, Signal::CONT);
            self.nodes.start(node)?;
        }
        self.configure(POOLS[0]);
        Ok(())
    }

    /// Waits until all accepted jobs have completed and all persistent ones run; those that have
    /// not by `deadline` break rule LOST.
    async fn finish(&self, client: &SoakClient, deadline: Millis) {
        let mut rng = SmallRng::seed_from_u64(0);
        loop {
            let jobs = self.host.journal.jobs();
            let is_open = |id: &String| {
                let job = &jobs[id];
                let persistent = job.is_persistent() && job.accepted_at.is_some() && !job.cancelled;
                (job.is_owed() && job.completed_at.is_none())
                    || (persistent && !self.host.journal.persistent_runs(id))
            };
            let open: Vec<String> = jobs.keys().filter(|id| is_open(id)).cloned().collect();
            let now = self.host.now();
            if open.is_empty() {
                tokio::time::sleep(Duration::from_millis(QUIET_MS)).await;
                return;
            }
            let mut queries = JoinSet::new();
            for id in &open {
                let (client, id, queue) = (client.clone(), id.clone(), jobs[id].queue);
                let node = rng.random_range(0..self.nodes.count());
                queries.spawn(async move {
                    let state = client.ask(node, &id, queue).await;
                    (id, state)
                });
            }
            let states = queries.join_all().await;
            if now > deadline {
                for (id, state) in states {
                    let state = state.unwrap_or("no answer".to_owned());
                    let text = format!("{id} is not completed in time: {state}");
                    self.host.journal.violate("LOST", now, text);
                }
                return;
            }
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    }

    fn report(&self, seed: u64) -> SoakReport {
        let jobs = self.host.journal.jobs();
        let gaps = self.host.journal.persistent_gaps(self.host.now());
        let calm = |since: Millis, until| {
            let spans = self
                .host
                .faults
                .spans_between(since.saturating_sub(SETTLE_MS), until);
            spans.iter().all(|s| s.judged)
        };
        let claims = self.host.claims();
        let steady = |exit: Millis| {
            let changes = exit.saturating_sub(STOP_BEFORE_MS)..exit + CLAIM_MS;
            !claims.iter().any(|(at, ..)| changes.contains(at))
        };
        let mut violations = self.host.journal.judge();
        violations.extend(self.host.journal.judge_gaps(&gaps, calm, steady));
        for violation in &mut violations {
            let since = violation.at.saturating_sub(CAUSE_MS);
            for span in self.host.faults.spans_between(since, violation.at) {
                let _ = write!(violation.text, "\n  fault {span}");
            }
            let unix_ms = crate::unix_ms() - (self.host.now() - violation.at);
            let _ = write!(violation.text, "\n  unix_ms={unix_ms}");
        }
        let count = |f: &dyn Fn(&crate::run_journal::JobRecord) -> bool| {
            jobs.values().filter(|j| f(j)).count()
        };
        SoakReport {
            seed,
            jobs: jobs.len(),
            accepted: count(&|j| j.accepted_at.is_some()),
            cancelled: count(&|j| j.cancelled),
            completed: count(&|j| j.completed_at.is_some()),
            runs: self.host.journal.count_runs(),
            owners: self.host.claims().len(),
            faults: self.host.faults.count(),
            longest_gap_ms: gaps.iter().map(Gap::length_ms).max().unwrap_or(0),
            violations,
        }
    }
}

fn pool_of(executor: usize) -> &'static str {
    POOLS[executor % POOLS.len()]
}

/// Returns how a connection is cut so that no call is carried out.
fn cut_fate(rng: &mut SmallRng) -> Fate {
    match rng.random_range(0..9) {
        0..4 => Fate::Silent,
        4..6 => Fate::Reset,
        6 | 7 => Fate::Refuse(503),
        _ => Fate::Refuse(429),
    }
}

/// Returns how replies are lost of calls that are carried out.
fn lost_fate(rng: &mut SmallRng) -> Fate {
    match rng.random_range(0..3) {
        0 => Fate::LoseReply,
        1 => Fate::ResetReply,
        _ => Fate::Late(rng.random_range(LATE_MS)),
    }
}

fn to_ms(time: Duration) -> Millis {
    Millis::try_from(time.as_millis()).unwrap_or(Millis::MAX)
}
