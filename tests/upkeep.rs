//! Tests of maintenance waves: which machines begin, what a wave remembers over lost replies and
//! changes of owner, and the calls that arrive at the machine service.

use {
    dragonflyferry::{
        core::Millis,
        entry::{EventLog, OwnerInput, OwnershipClaim, Shared, StoreLease, run_upkeep},
        fleet::{
            Cell, EpochRecord, MachineId, MachineInfo, MachinePhase, MachineRefusal, MachineReply,
            MachineState, Now, RecoveredState, StepId, UpkeepPlan, UpkeepTiming, WaveRecord,
            WaveRequest, WaveState,
            policy::{
                ExecutorWork, MachineView, OwnershipProof, PersistentTasks, machines_to_drain,
                may_begin, next_machines,
            },
        },
        platform::{MachineClient, NodeSettings, PlatformError, UpkeepCall, wave_from_request},
    },
    rustix::time::{ClockId, clock_gettime},
    serde_json::json,
    slog::{Discard, Logger, o},
    standins::{
        cell_sample::{config, job, step, world},
        cell_world::BOUNDS,
        machine_platform::MachinePlatform,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

const TIMING: UpkeepTiming = UpkeepTiming {
    upkeep_ms: 5_000,
    notice_ms: 500,
    call_interval_ms: 0,
};

fn at(ms: Millis) -> Now {
    Now {
        mono: 100_000 + ms,
        unix: 900_000 + ms,
    }
}

fn id(name: &str) -> MachineId {
    Arc::from(name)
}

/// Returns a wave of machines `m0`, `m1`… that was requested at 0.
fn wave(machines: usize, cap: u32, within_ms: Millis) -> WaveState {
    let request = WaveRequest {
        wave: 1,
        machines: (0..machines).map(|i| Arc::from(format!("m{i}"))).collect(),
        within_ms,
        cap,
    };
    WaveState::new(request, at(0).unix, TIMING)
}

/// Lists the wave's machines as up with executor `eN`, except for those given.
fn list(wave: &mut WaveState, sent: Millis, others: &[(&str, Option<MachineState>)]) {
    let mut machines: HashMap<MachineId, MachineInfo> = HashMap::new();
    for machine in wave.record.machines.keys() {
        let other = others.iter().find(|(name, _)| **name == **machine);
        if let Some(state) = other.map_or(Some(MachineState::Up), |(_, state)| *state) {
            let info = MachineInfo {
                id: machine.clone(),
                state,
                executor: Some(Arc::from(machine.replace('m', "e"))),
            };
            machines.insert(machine.clone(), info);
        }
    }
    wave.on_listed(&machines, at(sent));
}

/// Describes a machine that was drained long ago.
fn view(name: &str, work: ExecutorWork) -> MachineView {
    MachineView {
        id: id(name),
        work,
        drained_since: Some(0),
    }
}

fn batch(work_ms: u64) -> ExecutorWork {
    ExecutorWork {
        runs: 1,
        work_ms,
        ..ExecutorWork::default()
    }
}

fn persistent(working_here: u32, not_working: u32, max_unavailable: u32) -> ExecutorWork {
    let step = StepId {
        job: dragonflyferry::fleet::JobId(1),
        occurrence: 0,
        step: 0,
    };
    ExecutorWork {
        persistent: vec![PersistentTasks {
            step,
            working_here,
            not_working,
            max_unavailable,
        }],
        ..ExecutorWork::default()
    }
}

fn idle(names: &[&str]) -> Vec<MachineView> {
    let idle = names.iter().map(|n| view(n, ExecutorWork::default()));
    idle.collect()
}

/// Guards against more machines down than the cap, and against a slot that is not used again.
#[test]
fn no_more_machines_begin_than_the_cap_permits() {
    let mut wave = wave(4, 2, 60_000);
    list(&mut wave, 0, &[]);
    let views = idle(&["m0", "m1", "m2", "m3"]);
    assert_eq!(next_machines(&wave, &views, at(0)), [id("m0"), id("m1")]);
    for name in ["m0", "m1"] {
        wave.mark_called(&id(name));
        wave.on_reply(&id(name), MachineReply::Begun, at(10));
    }
    assert!(next_machines(&wave, &views, at(20)).is_empty());
    // The list may be older than the call as long as the maintenance lasts.
    list(&mut wave, 1_000, &[("m1", Some(MachineState::Upkeep))]);
    assert!(next_machines(&wave, &views, at(1_000)).is_empty());
    list(&mut wave, 5_100, &[("m1", Some(MachineState::Upkeep))]);
    assert_eq!(next_machines(&wave, &views, at(5_100)), [id("m2")]);
}

/// Guards against work that is stopped although there is time, and against a deadline that is missed
/// although work can be stopped.
#[test]
fn work_ends_by_itself_until_time_runs_short() {
    let mut wave = wave(2, 1, 40_000);
    list(&mut wave, 0, &[]);
    let mut views = vec![view("m0", batch(9_000)), view("m1", batch(400))];
    views[0].drained_since = None;
    views[1].drained_since = None;
    assert_eq!(machines_to_drain(&wave, &views, at(0)), [id("m1")]);
    views[1].drained_since = Some(at(0).mono);
    // A machine that is drained stays so, although the other one has less work now.
    views[0].work = batch(100);
    assert_eq!(machines_to_drain(&wave, &views, at(100)), [id("m1")]);
    let latest = wave.latest_start_unix_ms() - at(0).unix;
    assert_eq!(latest, 25_000);
    list(&mut wave, latest - 1, &[]);
    assert!(next_machines(&wave, &views, at(latest - 1)).is_empty());
    assert_eq!(next_machines(&wave, &views, at(latest)), [id("m1")]);
    // Without a recent list nothing begins.
    assert!(next_machines(&wave, &views, at(latest + 4_000)).is_empty());
}

/// Guards against tasks of a persistent step that stop beyond what the step allows: on several machines
/// at once, beside other missing ones, or since the deadline is near.
#[test]
fn persistent_steps_keep_the_tasks_that_they_need() {
    let mut wave = wave(3, 3, 20_000);
    let late = 30_000;
    list(&mut wave, late, &[]);
    let views = |work: ExecutorWork| ["m0", "m1", "m2"].map(|n| view(n, work.clone()));
    let chosen = |work| next_machines(&wave, &views(work), at(late)).len();
    assert_eq!(chosen(persistent(1, 0, 1)), 1);
    assert_eq!(chosen(persistent(1, 0, 2)), 2);
    assert_eq!(chosen(persistent(1, 1, 2)), 1);
    assert_eq!(chosen(persistent(1, 1, 1)), 0);
    assert_eq!(chosen(persistent(2, 0, 1)), 0);
    // Its own task does not work any more and counts among those that do not.
    assert!(may_begin(&wave, &view("m0", persistent(0, 1, 1)), at(late)));
    assert!(!may_begin(
        &wave,
        &view("m0", persistent(0, 2, 1)),
        at(late)
    ));
    let unread = ExecutorWork {
        is_unread: true,
        ..ExecutorWork::default()
    };
    assert_eq!(chosen(unread), 0);
}

/// Guards against a new owner that forgets a call of the earlier one whose reply was lost with it: the
/// machine counts as down, is called again first, and is no longer waited for once it is up.
#[test]
fn a_new_owner_resumes_in_the_middle() {
    let mut first = wave(3, 1, 60_000);
    list(&mut first, 0, &[]);
    first.mark_called(&id("m0"));
    first.on_reply(&id("m0"), MachineReply::Begun, at(10));
    list(&mut first, 6_000, &[]);
    first.mark_called(&id("m1"));
    let stored = postcard::to_stdvec(&first.record).expect("record");
    let record: WaveRecord = postcard::from_bytes(&stored).expect("record");
    assert_eq!(record.machines[&id("m0")], MachinePhase::Done);
    let mut wave = WaveState::resume(record, TIMING, at(7_000));
    let views = idle(&["m1", "m2"]);
    assert_eq!(wave.down_count(), 1);
    assert!(next_machines(&wave, &views, at(7_000)).is_empty());
    list(&mut wave, 7_000, &[("m1", Some(MachineState::Upkeep))]);
    assert_eq!(next_machines(&wave, &views, at(7_000)), [id("m1")]);
    wave.mark_called(&id("m1"));
    wave.on_reply(&id("m1"), MachineReply::Begun, at(7_010));
    list(&mut wave, 8_000, &[("m1", Some(MachineState::Upkeep))]);
    assert!(next_machines(&wave, &views, at(8_000)).is_empty());
    list(&mut wave, 10_100, &[]);
    assert_eq!(next_machines(&wave, &views, at(10_100)), [id("m2")]);
    assert!(!wave.all_begun());
}

/// Guards against more machines down than the cap permits under a new owner whose time of day differs,
/// and against a wave that a time of day which is behind holds up for longer than it is.
#[test]
fn a_new_owner_with_another_time_of_day_keeps_the_cap() {
    let mut first = wave(2, 1, 60_000);
    list(&mut first, 0, &[]);
    first.mark_called(&id("m0"));
    first.on_reply(&id("m0"), MachineReply::Begun, at(10));
    let shifted = |ms: Millis, shift: i64| Now {
        unix: at(ms).unix.saturating_add_signed(shift),
        ..at(ms)
    };
    for shift in [-3_000, 0, 600_000] {
        let mut wave = WaveState::resume(first.record.clone(), TIMING, shifted(20, shift));
        let mut listed = |ms, state| {
            let machines = [("m0", state, "e0"), ("m1", MachineState::Up, "e1")];
            let machines = machines.map(|(name, state, executor)| {
                let info = MachineInfo {
                    id: id(name),
                    state,
                    executor: Some(Arc::from(executor)),
                };
                (id(name), info)
            });
            wave.on_listed(&machines.into_iter().collect(), shifted(ms, shift));
            next_machines(&wave, &idle(&["m1"]), shifted(ms, shift))
        };
        for ms in [20, 1_000, 5_009] {
            assert!(listed(ms, MachineState::Upkeep).is_empty(), "{shift}");
        }
        let behind = u64::try_from(-shift.min(0)).expect("positive");
        assert_eq!(listed(5_010 + behind, MachineState::Up), [id("m1")]);
    }
}

/// Guards against machines that begin too late, as a request that was changed is taken for a new one.
#[test]
fn the_time_of_a_changed_request_counts_from_the_first() {
    let mut wave = wave(2, 1, 60_000);
    let before = wave.latest_start_unix_ms();
    let request = WaveRequest {
        within_ms: 50_000,
        ..wave.record.request.clone()
    };
    assert!(wave.update_request(request, at(30_000).unix));
    assert_eq!(wave.latest_start_unix_ms(), before - 10_000);
}

/// Guards against a call without a reply that is forgotten, repeated without a pause, or that keeps its
/// place under the cap although the machine was never touched.
#[test]
fn a_call_without_a_reply_counts_as_down_until_the_list_says_otherwise() {
    let mut wave = wave(2, 1, 60_000);
    let views = idle(&["m0", "m1"]);
    list(&mut wave, 0, &[]);
    wave.mark_called(&id("m0"));
    wave.on_reply(&id("m0"), MachineReply::NoReply, at(100));
    assert_eq!(wave.down_count(), 1);
    assert!(next_machines(&wave, &views, at(200)).is_empty());
    assert_eq!(next_machines(&wave, &views, at(400)), [id("m0")]);
    wave.mark_called(&id("m0"));
    let busy = MachineReply::Refused(MachineRefusal::Busy);
    wave.on_reply(&id("m0"), busy, at(410));
    list(&mut wave, 1_000, &[]);
    assert_eq!(wave.down_count(), 1);
    list(&mut wave, 4_200, &[]);
    assert_eq!(wave.down_count(), 0);
    assert_eq!(next_machines(&wave, &views, at(4_200)), [id("m0")]);
}

/// Guards against a refused machine that counts as begun or gone, so that the wave is shown as
/// completed while it stays.
#[test]
fn a_refused_machine_is_called_again() {
    for refusal in [
        MachineRefusal::Busy,
        MachineRefusal::Fence,
        MachineRefusal::Rate,
        MachineRefusal::Wave,
    ] {
        let mut wave = wave(1, 1, 20_000);
        let views = idle(&["m0"]);
        list(&mut wave, 0, &[]);
        wave.mark_called(&id("m0"));
        wave.on_reply(&id("m0"), MachineReply::Refused(refusal), at(0));
        assert!(next_machines(&wave, &views, at(100)).is_empty());
        assert_eq!(next_machines(&wave, &views, at(300)), [id("m0")]);
        assert!(!wave.all_begun());
        // After its time the service's word that the machine is not part of the wave is taken.
        list(&mut wave, 21_000, &[]);
        wave.mark_called(&id("m0"));
        wave.on_reply(&id("m0"), MachineReply::Refused(refusal), at(21_000));
        assert_eq!(wave.all_begun(), refusal == MachineRefusal::Wave);
    }
}

/// Guards against machines that are given up by mistake: only one that the lists no longer name and the
/// service does not know has left.
#[test]
fn only_a_machine_that_the_list_lacks_is_gone() {
    let mut wave = wave(1, 1, 20_000);
    let views = idle(&["m0"]);
    list(&mut wave, 0, &[]);
    wave.mark_called(&id("m0"));
    wave.on_reply(&id("m0"), MachineReply::NoSuchMachine, at(0));
    assert!(!wave.all_begun());
    list(&mut wave, 1_000, &[("m0", None)]);
    assert!(next_machines(&wave, &views, at(1_000)).is_empty());
    list(&mut wave, 2_000, &[("m0", None)]);
    assert_eq!(next_machines(&wave, &views, at(2_000)), [id("m0")]);
    wave.mark_called(&id("m0"));
    wave.on_reply(&id("m0"), MachineReply::NoSuchMachine, at(2_000));
    assert!(wave.all_begun());
}

/// Guards against a malformed request that is acted on, or that is refused without its number.
#[test]
fn a_malformed_request_is_refused() {
    let request = r#"{"wave":4,"machines":["m-0a3f1"],"withinS":20,"cap":1,"more":0}"#;
    let wave = wave_from_request("op/wave/4", request.as_bytes()).expect("understood");
    assert_eq!((wave.wave, wave.within_ms, wave.cap), (4, 20_000, 1));
    for (key, from, to) in [
        ("op/wave/5", "", ""),
        ("op/wave/x", "", ""),
        ("op/wave/4", "\"cap\":1", "\"cap\":0"),
        ("op/wave/4", "\"withinS\":20,", ""),
        ("op/wave/4", "\"withinS\":20", "\"withinS\":-1"),
        ("op/wave/4", "[\"m-0a3f1\"]", "7"),
    ] {
        let error = wave_from_request(key, request.replace(from, to).as_bytes());
        let error = error.expect_err(to);
        assert!(error.to_string().starts_with("E5008"), "{error}");
    }
}

const SETTINGS: &str = include_str!("samples/node.toml");

/// Returns the sample settings with maintenance waves and a short maintenance.
fn upkeep_settings(policies: &str, api: &str) -> Result<NodeSettings, PlatformError> {
    let bounds = "[bounds]\nupkeepS = 0.4\nnoticeMs = 100\nrequireFencing = true";
    let text = SETTINGS.replace("[bounds]", bounds);
    NodeSettings::from_toml(&format!("{policies}\n{text}\n[cloudApi]\n{api}"))
}

const POLICIES: &str = "policies = [\"evacuate\", \"upkeep\"]";

/// Guards against calls in deployments that have no machine service or no such policy.
#[test]
fn settings_without_the_policy_call_for_no_waves() {
    let api = "address = \"127.0.0.1:9\"\nratePerS = 40\ndutyPerS = 3";
    let settings = upkeep_settings(POLICIES, api).expect("settings");
    let upkeep = settings.upkeep.expect("upkeep");
    assert_eq!(upkeep.call_interval_ms, 25);
    assert_eq!(upkeep.timing.call_interval_ms, 334);
    assert_eq!(upkeep.timing.upkeep_ms, 400);
    for (policies, api) in [("", api), ("policies = [\"evacuate\"]", "address = 3")] {
        let settings = upkeep_settings(policies, api).expect("settings");
        assert!(settings.upkeep.is_none());
    }
    let without_api = NodeSettings::from_toml(&format!("{POLICIES}\n{SETTINGS}"));
    assert!(without_api.expect("settings").upkeep.is_none());
    assert!(upkeep_settings(POLICIES, "address = 3").is_err());
}

/// Guards against tasks that start on a drained executor, persistent tasks that do not move away, and
/// more of them missing at a time than their step allows.
#[test]
fn persistent_tasks_leave_a_drained_executor_within_their_allowance() {
    let mut world = world(1, 4);
    let mut service = step(8, 1_000, 400);
    service.persistent = true;
    service.max_unavailable = 2;
    world.submit(job(1, "patient", vec![service]));
    world.run(3_000);
    let working = |world: &standins::CellWorld| {
        let counts = world.executors.values().map(|e| e.working_count(world.now));
        counts.sum::<usize>()
    };
    assert_eq!(working(&world), 8);
    let plan = UpkeepPlan {
        drained: BTreeMap::from([(id("e0"), false), (id("e1"), false)]),
        down: BTreeSet::new(),
    };
    for i in 0..60 {
        world.set_upkeep(plan.clone());
        world.submit(job(100 + i, "urgent", vec![step(2, 1_000, 200)]));
        for _ in 0..100 {
            world.run(1);
            assert!(working(&world) >= 6);
        }
    }
    assert_eq!(working(&world), 8);
    assert!(world.executors["e0"].running.is_empty());
    assert!(world.executors["e1"].running.is_empty());
    assert_eq!(world.violations, Vec::<String>::new());
}

fn now_ms() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    u64::try_from(t.tv_sec).expect("time") * 1_000
        + u64::try_from(t.tv_nsec).expect("time") / 1_000_000
}

/// An owner whose cell has no executors.
struct Owner {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Owner {
    /// Claims the cell with a fencing token and starts the upkeep task.
    fn start(platform: &MachinePlatform, address: SocketAddr, token: u64) -> Self {
        let claim = json!({"setKeys": [{"key": "m/owner", "value": ""}]});
        let (_, reply) = platform
            .lock()
            .store
            .call("/-/kv-txn", &HashMap::new(), &claim, 0);
        let api = format!("address = \"{address}\"\nratePerS = 100\ndutyPerS = 50");
        let mut settings = upkeep_settings(POLICIES, &api).expect("settings");
        settings.store_address = address;
        let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
        let node: Arc<str> = Arc::from(format!("node-{token}"));
        let shared = Arc::new(Shared::new(settings, node.clone(), log));
        prove(&shared, 60_000);
        let (tx, mut rx) = mpsc::unbounded_channel();
        shared.set_local_owner(Some(tx.clone()));
        let config = Arc::new(config());
        let recovered = RecoveredState::default();
        let mut cell = Cell::new(token, BOUNDS, config, recovered, Now::default());
        tokio::spawn(async move {
            while let Some(input) = rx.recv().await {
                match input {
                    OwnerInput::Query(query) => query.run(&cell, Now::default()),
                    OwnerInput::Cell(event) => cell.step(event, Now::default()),
                    _ => {}
                }
            }
        });
        let claim = OwnershipClaim {
            epoch: EpochRecord { token, node },
            revision: reply["revision"].as_u64().expect("revision"),
            lease: 1,
        };
        let task = tokio::spawn(run_upkeep(shared.clone(), claim, tx));
        Self { shared, task }
    }

    /// Ends the owner; its calls in flight are lost with it.
    async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

fn prove(shared: &Shared, ttl_ms: Millis) {
    let sent_at = now_ms();
    let proof = OwnershipProof { sent_at, ttl_ms };
    let lease = StoreLease { id: 1, proof };
    shared.store_lease.send_replace(Some(lease));
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < Duration::from_secs(20), "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards, through real sockets, against calls that are not recorded or exceed the cap, a wave that a
/// new owner does not finish or begins anew, and one that is shown as completed too early.
#[tokio::test]
async fn a_wave_survives_a_lost_reply_and_a_change_of_owner() {
    let platform = MachinePlatform::new(&["m0", "m1", "m2", "other"]);
    platform
        .lock()
        .machines
        .get_mut("m1")
        .expect("m1")
        .lost_replies = 1;
    let address = platform.serve().await;
    platform.lock().store.put("op/wave/2", b"{\"wave\":2}");
    let first = Owner::start(&platform, address, 7);
    platform.request_wave(&["m0", "m1", "m2", "left"]);
    wait_until("m1 is called", || {
        platform.lock().calls.iter().any(|c| c.0 == "m1")
    })
    .await;
    assert_eq!(platform.status(), "{\"state\":\"active\"}");
    let metrics = first.shared.metrics();
    assert!(
        metrics.contains("wave_machines{state=\"called\"} "),
        "{metrics}"
    );
    first.stop().await;
    let _second = Owner::start(&platform, address, 8);
    let completed = "{\"state\":\"completed\"}";
    wait_until("the wave ends", || platform.status() == completed).await;
    let inner = platform.lock();
    assert_eq!(inner.violations, Vec::<String>::new());
    let begun = inner.machines.iter().filter(|(_, m)| m.until.is_some());
    let begun: Vec<&str> = begun.map(|(name, _)| name.as_str()).collect();
    assert_eq!(begun, ["m0", "m1", "m2"]);
    let called_by = |name: &str, token| {
        let call = (name.to_owned(), format!("node-{token}"), token);
        inner.calls.contains(&call)
    };
    assert!(called_by("m0", 7) || called_by("m0", 8));
    assert!(called_by("m1", 8), "the call without a reply is repeated");
    assert!(inner.store.value("c/wave/2").is_none());
}

/// Guards against a call that could not be recorded, against one of an owner whose proof of ownership has
/// ended, and against reads of the machines while no wave is active.
#[tokio::test]
async fn no_call_is_sent_without_a_record_or_without_proof() {
    let platform = MachinePlatform::new(&["m0"]);
    let address = platform.serve().await;
    let owner = Owner::start(&platform, address, 1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(platform.lock().lists, 0);
    platform.lock().rejects_when_recorded = true;
    platform.request_wave(&["m0"]);
    wait_until("the wave is recorded", || platform.record().is_some()).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(platform.lock().calls.is_empty());
    prove(&owner.shared, 0);
    platform.lock().rejects_when_recorded = false;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let lists = platform.lock().lists;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(platform.lock().lists, lists);
    assert!(platform.lock().calls.is_empty());
    prove(&owner.shared, 60_000);
    wait_until("m0 is called", || !platform.lock().calls.is_empty()).await;
    assert_eq!(platform.lock().violations, Vec::<String>::new());
}

/// Guards against a process that is paused between the check of its ownership and the call, and sends it
/// afterwards.
#[tokio::test]
async fn a_call_that_is_interrupted_by_a_pause_is_not_sent() {
    let platform = MachinePlatform::new(&["m0"]);
    let client = MachineClient::new(platform.serve().await);
    let call = UpkeepCall {
        machine: id("m0"),
        wave: 1,
        holder: Arc::from("node"),
        token: 1,
    };
    // The first check is before the connection, the second one before the request is written.
    for checks in 0..2 {
        let left = AtomicU32::new(checks);
        let may_act = || {
            let spent = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
            spent.is_ok()
        };
        let reply = client.begin_upkeep(&call, Duration::from_secs(1), may_act);
        let expected = [MachineReply::NotSent, MachineReply::NoReply];
        assert_eq!(
            reply.await,
            expected[usize::try_from(checks).expect("index")]
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(platform.lock().calls.is_empty());
    }
    let reply = client.begin_upkeep(&call, Duration::from_secs(1), || true);
    assert_eq!(reply.await, MachineReply::Begun);
}
