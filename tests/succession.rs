//! Tests of what an owner concludes from late replies, restarts and leases around a change of owner.

use {
    dragonflyferry::{
        core::{CallId, Millis, Resources},
        fleet::{
            Cell, CellEffect, CellEvent, CommandError, CommandReply, EndedRow, ExecutorCommand,
            ExecutorId, ExecutorInfo, FleetConfig, JobId, JobRecord, Now, RecoveredState,
            RenewCommand, RenewReply, RosterEntry, RunEnd, RunningRow, Schedule, SkippedRows,
            StartCommand, StepId, Submission, TaskId, TenantRule,
        },
    },
    standins::{
        CellWorld,
        cell_sample::{capacity, config, job, need, step, world, world_with_config},
        cell_world::BOUNDS,
    },
    std::{collections::HashMap, sync::Arc},
};

const UNIX: Millis = 1_700_000_000_000;

/// A cell without a simulated platform: the test gives each reply.
struct Bare {
    cell: Cell,
    now: Now,
    effects: Vec<CellEffect>,
}

impl Bare {
    fn new(token: u64, recovered: RecoveredState, now: Now) -> Self {
        Self {
            cell: Cell::new(token, BOUNDS, Arc::new(config()), recovered, now),
            now,
            effects: Vec::new(),
        }
    }

    fn step(&mut self, event: CellEvent) {
        self.cell.step(event, self.now);
        self.cell.plan(self.now);
        self.effects.extend(self.cell.take_effects());
    }

    fn advance(&mut self, ms: Millis) {
        for _ in 0..ms {
            self.now.mono += 1;
            self.now.unix += 1;
            self.cell.plan(self.now);
            if self.now.mono.is_multiple_of(100) {
                self.cell.step(CellEvent::Tick, self.now);
                self.cell.plan(self.now);
            }
            self.effects.extend(self.cell.take_effects());
        }
    }

    /// Confirms all commits sent so far.
    fn commit(&mut self) {
        let calls: Vec<CallId> = self
            .effects
            .extract_if(.., |e| matches!(e, CellEffect::Commit { .. }))
            .filter_map(|e| match e {
                CellEffect::Commit { call, .. } => Some(call),
                _ => None,
            })
            .collect();
        for call in calls {
            self.step(CellEvent::CommitResult { call, ok: true });
        }
    }

    /// Takes the latest command of a kind to an executor.
    fn take<T>(
        &mut self,
        id: &str,
        pick: impl Fn(&ExecutorCommand) -> Option<T>,
    ) -> Option<(CallId, Arc<str>, T)> {
        let found = self.effects.iter().rposition(|e| {
            matches!(e, CellEffect::Command { executor, command, .. }
                if **executor == *id && pick(command).is_some())
        })?;
        match self.effects.remove(found) {
            CellEffect::Command {
                call,
                address,
                command,
                ..
            } => Some((call, address, pick(&command)?)),
            _ => None,
        }
    }

    fn take_renewal(&mut self, id: &str) -> Option<(CallId, Arc<str>, RenewCommand)> {
        self.take(id, |c| match c {
            ExecutorCommand::Renew(r) => Some(r.clone()),
            _ => None,
        })
    }

    fn take_start(&mut self, id: &str) -> Option<(CallId, Arc<str>, StartCommand)> {
        self.take(id, |c| match c {
            ExecutorCommand::Start(s) => Some(s.clone()),
            _ => None,
        })
    }

    fn reply(&mut self, id: &str, call: CallId, result: Result<CommandReply, CommandError>) {
        self.step(CellEvent::CommandResult {
            call,
            executor: Arc::from(id),
            result,
        });
    }

    fn renewed(&mut self, id: &str, call: CallId, reply: RenewReply) {
        self.reply(id, call, Ok(CommandReply::Renewed(reply)));
    }

    /// Opens an executor and lets it into the roster.
    fn open(&mut self, id: &str, address: &str) {
        self.step(listed(info(id, address, 1)));
        let (call, ..) = self.take_renewal(id).expect("first renewal");
        self.renewed(id, call, lists(1, 1_000, vec![], vec![]));
        self.advance(60);
        self.commit();
    }

    fn log(&self) -> Vec<String> {
        let lines = self.effects.iter().filter_map(|e| match e {
            CellEffect::Log { event, detail } => Some(format!("{event:?} {detail}")),
            _ => None,
        });
        lines.collect()
    }
}

fn info(id: &str, address: &str, born: u64) -> ExecutorInfo {
    ExecutorInfo {
        id: Arc::from(id),
        pool: Arc::from("pool"),
        address: Arc::from(address),
        zone: Arc::from("a"),
        labels: vec![Arc::from("k"), Arc::from("r0")],
        capacity: capacity(),
        draining: false,
        min_remaining_ms: None,
        started_unix_ms: Some(born),
    }
}

fn listed(info: ExecutorInfo) -> CellEvent {
    CellEvent::Listed {
        info,
        written_after: 0,
    }
}

fn lists(
    born: u64,
    clock_ms: Millis,
    running: Vec<RunningRow>,
    ended: Vec<EndedRow>,
) -> RenewReply {
    RenewReply {
        clock_ms,
        started_unix_ms: Some(born),
        running,
        ended,
        skipped_ends: Vec::new(),
        skipped: SkippedRows::default(),
    }
}

fn task(job: u64) -> TaskId {
    TaskId {
        step: StepId {
            job: JobId(job),
            occurrence: 0,
            step: 0,
        },
        index: 0,
    }
}

fn entry(id: &str, address: &str) -> RosterEntry {
    RosterEntry {
        id: Arc::from(id),
        address: Arc::from(address),
        pool: Arc::from("pool"),
        max_capacity: capacity(),
    }
}

fn host(world: &CellWorld, id: u64) -> ExecutorId {
    let runs_job = |t: &TaskId| t.step.job == JobId(id);
    let mut executors = world.executors.values();
    let host = executors.find(|e| e.running.keys().any(runs_job));
    host.map(|e| e.info.id.clone()).expect("a run of the job")
}

fn assert_sound(world: &CellWorld) {
    let from = world.log.len().saturating_sub(40);
    assert_eq!(
        world.violations,
        Vec::<String>::new(),
        "{:#?}",
        &world.log[from..]
    );
}

/// Guards against dropping an end that an earlier owner, whose clock was ahead, had caused.
#[test]
fn an_end_of_an_occurrence_that_is_not_due_here_is_not_lost() {
    let mut submission = job(1, "urgent", vec![step(1, 1_000, 100)]);
    submission.spec.schedule = Some(Schedule {
        start_unix_ms: UNIX + 2_000,
        interval_ms: 60_000,
        count: 1,
    });
    let recovered = RecoveredState {
        jobs: vec![(JobId(1), JobRecord::Open(submission), None)],
        cancelled: vec![],
        roster: vec![entry("e0", "a:1")],
        lease_waits: None,
        roster_unreadable: false,
        ..RecoveredState::default()
    };
    let now = Now {
        mono: 50_000,
        unix: UNIX,
    };
    let mut owner = Bare::new(2, recovered, now);
    owner.step(listed(info("e0", "a:1", 1)));
    let (call, ..) = owner.take_renewal("e0").expect("renewal");
    let end = EndedRow {
        seq: 1,
        task: task(1),
        run: 7,
        end: RunEnd::Done,
        checkpoint: Arc::from(""),
    };
    owner.renewed("e0", call, lists(1, 9_000, vec![], vec![end]));
    owner.advance(300);
    owner.commit();
    let (call, _, renewal) = owner.take_renewal("e0").expect("renewal");
    let acknowledged = renewal.ack_cursor;
    owner.renewed("e0", call, lists(1, 9_300, vec![], vec![]));
    owner.advance(2_000);
    let again = owner.take_start("e0");
    assert!(
        again.is_none(),
        "end 1 acknowledged up to {acknowledged}, started again: {again:?}\n{:#?}",
        owner.log()
    );
}

/// Guards against taking a late refusal from an executor's earlier address for its end.
#[test]
fn a_late_reply_from_an_earlier_address_ends_no_run() {
    let now = Now {
        mono: 1_000,
        unix: UNIX,
    };
    let mut owner = Bare::new(1, RecoveredState::default(), now);
    owner.open("e0", "a:1");
    // The renewal to the old address stays without a reply.
    let (late, address, _) = owner.take_renewal("e0").expect("renewal");
    assert_eq!(&*address, "a:1");
    owner.step(listed(info("e0", "b:1", 2)));
    owner.advance(60);
    owner.commit();
    let submission = job(1, "urgent", vec![step(1, 1_000, 60_000)]);
    owner.step(CellEvent::Submitted(Box::new(submission)));
    owner.advance(60);
    let (call, address, start) = owner.take_start("e0").expect("start");
    assert_eq!(&*address, "b:1");
    owner.reply("e0", call, Ok(CommandReply::Accepted));
    owner.open("e1", "c:1");
    // Another executor has the old address now.
    owner.reply("e0", late, Err(CommandError::OtherLife));
    owner.advance(200);
    let again = owner.take_start("e1");
    assert!(
        again.is_none(),
        "run {} goes on at b:1, started again: {again:?}\n{:#?}",
        start.run,
        owner.log()
    );
}

/// Guards against lists that were made before the new incarnation confirmed a start.
#[test]
fn a_run_that_the_new_incarnation_confirmed_is_not_lost() {
    let now = Now {
        mono: 1_000,
        unix: UNIX,
    };
    let mut owner = Bare::new(1, RecoveredState::default(), now);
    owner.open("e0", "a:1");
    // It restarts; this renewal reaches the new incarnation, which lists nothing.
    let (renewal, ..) = owner.take_renewal("e0").expect("renewal");
    let submission = job(1, "urgent", vec![step(1, 1_000, 60_000)]);
    owner.step(CellEvent::Submitted(Box::new(submission)));
    owner.advance(60);
    let (call, _, start) = owner.take_start("e0").expect("start");
    owner.reply("e0", call, Ok(CommandReply::Accepted));
    owner.open("e1", "c:1");
    owner.renewed("e0", renewal, lists(2, 5, vec![], vec![]));
    owner.advance(200);
    let again = owner.take_start("e1").or_else(|| owner.take_start("e0"));
    assert!(
        again.is_none(),
        "run {} goes on at e0, started again: {again:?}\n{:#?}",
        start.run,
        owner.log()
    );
}

/// Guards against counting an executor with unread ends as read while its lease is renewed.
#[test]
fn unread_ends_of_a_renewed_executor_are_waited_for() {
    let mut world = world(1, 2);
    world.store_up = false;
    let mut small = step(600, 10, 500);
    small.need = Resources {
        memory_mib: 1,
        ..need(10)
    };
    world.submit(job(1, "urgent", vec![small]));
    world.run(300);
    let executors: Vec<ExecutorId> = world.executors.keys().cloned().collect();
    for executor in &executors {
        world.cut.insert((1, executor.clone()));
    }
    world.run(500);
    world.replace_owner();
    world.run(9_000);
    world.store_up = true;
    world.run(2_000);
    let gave_up = world
        .log
        .iter()
        .find(|l| l.contains("leases of earlier owners"));
    let again = world
        .log
        .iter()
        .filter(|l| l.contains("began") && l.contains("run 1048577"));
    assert_eq!(again.count(), 0, "tasks started again after {gave_up:?}");
    assert_sound(&world);
}

/// Guards against counting an executor's runs as nothing because its capacity is not known.
#[test]
fn runs_on_an_unlisted_executor_count_towards_the_cap() {
    let tenant: Arc<str> = Arc::from("t");
    let rule = TenantRule {
        weight: 100,
        cap: Resources {
            cpu_milli: 8_000,
            ..Resources::default()
        },
    };
    let config = FleetConfig {
        tenants: HashMap::from([(tenant.clone(), rule)]),
        ..config()
    };
    let of_tenant = |id: u64| -> Submission {
        let mut submission = job(id, "urgent", vec![step(8, 1_000, 60_000)]);
        submission.tenant = Some(tenant.clone());
        submission
    };
    let mut world = world_with_config(1, 3, config);
    world.submit(of_tenant(1));
    world.run(200);
    let host = host(&world, 1);
    // It has left the list; the earlier owner still renews its lease.
    world.set_listed(&host, false);
    world.run(500);
    world.cut.insert((2, host));
    world.replace_owner();
    world.run(2_500);
    world.submit(of_tenant(2));
    world.run(8_000);
    assert_sound(&world);
}

/// Guards against a wait that begins again with each change of owner.
#[test]
fn work_starts_although_owners_change_every_five_seconds() {
    let mut world = world(1, 4);
    world.submit(job(1, "urgent", vec![step(1, 1_000, 60_000)]));
    world.run(200);
    let host = host(&world, 1);
    let executor = world.executors.get_mut(&host).expect("executor");
    executor.restart(200);
    executor.unreachable = true;
    executor.listed = false;
    let crashed_at = world.now;
    for _ in 0..12 {
        world.replace_owner();
        world.run(5_000);
    }
    let runs = world.executors.values().flat_map(|e| e.running.keys());
    assert_eq!(
        runs.count(),
        1,
        "no start in the {} ms since the crash of {host}",
        world.now - crashed_at
    );
}

/// Guards against counting a wait that ended with a lease of the owner which recorded it.
#[test]
fn a_recorded_wait_ends_when_the_executor_is_opened() {
    for opened_after in [1_200, 2_000, 3_500, 5_900] {
        let mut world = world(1, 3);
        world.submit(job(1, "urgent", vec![step(1, 1_000, 60_000)]));
        world.run(200);
        let host = host(&world, 1);
        world.cut.insert((2, host.clone()));
        world.replace_owner();
        world.run(opened_after);
        let waits = world.records.lease_waits.clone().expect("waits");
        assert_eq!(*waits.waited[0].0, *host);
        world.cut.remove(&(2, host.clone()));
        world.run(1_500);
        world.cut.insert((3, host));
        world.replace_owner();
        world.run(9_000);
        assert_sound(&world);
    }
}

/// Guards against granting a lease while a record that names the executor may be in the store.
#[test]
fn an_executor_is_not_used_while_the_store_names_it_as_unopened() {
    let mut world = world(1, 3);
    world.submit(job(1, "urgent", vec![step(1, 1_000, 60_000)]));
    world.run(200);
    let host = host(&world, 1);
    world.cut.insert((2, host.clone()));
    world.replace_owner();
    world.run(3_000);
    world.store_up = false;
    world.cut.remove(&(2, host.clone()));
    world.run(1_000);
    world.cut.insert((3, host));
    world.replace_owner();
    world.store_up = true;
    world.run(9_000);
    assert_sound(&world);
}

/// Guards against a wait that is recorded by an owner before the last one.
#[test]
fn a_wait_of_an_owner_that_was_not_the_last_one_does_not_count() {
    let mut world = world(1, 3);
    world.submit(job(1, "urgent", vec![step(1, 1_000, 60_000)]));
    world.run(200);
    let host = host(&world, 1);
    world.cut.insert((2, host.clone()));
    world.replace_owner();
    world.run(5_000);
    let waits = world.records.lease_waits.clone();
    world.replace_owner();
    world.run(1_500);
    world.records.lease_waits = waits;
    world.cut.insert((4, host));
    world.replace_owner();
    world.run(9_000);
    assert_sound(&world);
}

/// Guards against tokens that fall when an executor that had restarted is forgotten and comes back.
#[test]
fn an_executor_that_was_forgotten_does_not_depose_the_owner() {
    let mut world = world(1, 2);
    let now = world.now;
    world
        .executors
        .get_mut("e0")
        .expect("executor")
        .restart(now);
    world.run(2_000);
    world.executors.get_mut("e0").expect("executor").unreachable = true;
    world.set_listed("e0", false);
    world.run(9_000);
    assert!(!world.cell.executors.contains_key("e0"));
    world.executors.get_mut("e0").expect("executor").unreachable = false;
    world.set_listed("e0", true);
    world.run(2_000);
    assert_sound(&world);
}

/// Guards against keeping an executor for ever that left for good while its list of ends was cut.
#[test]
fn an_executor_that_left_with_unread_ends_is_forgotten() {
    let mut world = world(1, 2);
    world.store_up = false;
    let mut small = step(600, 10, 500);
    small.need = Resources {
        memory_mib: 1,
        ..need(10)
    };
    world.submit(job(1, "urgent", vec![small]));
    world.run(200);
    let host = host(&world, 1);
    world.run(1_000);
    world
        .executors
        .get_mut(&host)
        .expect("executor")
        .unreachable = true;
    world.set_listed(&host, false);
    world.store_up = true;
    world.run(60_000);
    assert!(
        !world.cell.executors.contains_key(&host),
        "{host} is still in the roster, has_unread_ends={}",
        world.cell.executors[&host].has_unread_ends
    );
}

/// Guards against an earlier owner that counts only its own leases while the new one renews.
#[test]
fn an_earlier_owner_does_not_restart_a_run_that_the_new_one_renews() {
    let mut world = world(1, 3);
    world.submit(job(1, "urgent", vec![step(1, 1_000, 60_000)]));
    world.run(2_800);
    let host = host(&world, 1);
    // Renewals reach the host, but their replies are lost.
    world.faults.lost_replies = 1_000;
    world.run(1_500);
    world.faults.lost_replies = 0;
    world.cut.insert((1, host.clone()));
    world.run(4_900);
    // The new owner reaches only the host, the earlier one all but the host.
    for other in world.executors.keys().filter(|e| **e != host) {
        world.cut.insert((2, other.clone()));
    }
    world.add_owner();
    world.run(1_800);
    world.stop_former_owners();
    world.run(8_000);
    assert_sound(&world);
}

/// Guards against taking a restart for the loss of a run whose end was read elsewhere.
#[test]
fn an_earlier_owner_does_not_restart_a_run_whose_end_the_new_one_read() {
    let mut world = world(1, 3);
    world.submit(job(1, "urgent", vec![step(1, 1_000, 400)]));
    world.run(200);
    let host = host(&world, 1);
    for other in world.executors.keys().filter(|e| **e != host) {
        world.cut.insert((2, other.clone()));
    }
    world.cut.insert((1, host.clone()));
    world.add_owner();
    world.run(220);
    // The new owner has read and acknowledged the end.
    let now = world.now;
    world
        .executors
        .get_mut(&host)
        .expect("executor")
        .restart(now);
    world.cut.remove(&(1, host.clone()));
    world.cut.insert((2, host.clone()));
    world.run(1_580);
    world.stop_former_owners();
    world.run(8_000);
    assert_sound(&world);
}

/// Guards against repeating a start at an address that the stored roster does not name yet.
#[test]
fn a_start_is_not_repeated_at_an_address_that_no_roster_names() {
    let now = Now {
        mono: 1_000,
        unix: UNIX,
    };
    let mut owner = Bare::new(1, RecoveredState::default(), now);
    owner.open("e0", "a:1");
    let submission = job(1, "urgent", vec![step(1, 1_000, 60_000)]);
    owner.step(CellEvent::Submitted(Box::new(submission)));
    owner.advance(60);
    let (call, address, _) = owner.take_start("e0").expect("start");
    assert_eq!(&*address, "a:1");
    let (renewal, ..) = owner.take_renewal("e0").expect("renewal");
    owner.reply("e0", renewal, Err(CommandError::Unknown));
    owner.reply("e0", call, Err(CommandError::Unknown));
    // It restarts at another address; no commit succeeds from now on.
    owner.step(listed(info("e0", "b:1", 2)));
    // The renewal that followed the first at once went to the earlier address.
    let (renewal, address, _) = owner.take_renewal("e0").expect("renewal");
    assert_eq!(&*address, "a:1");
    owner.reply("e0", renewal, Err(CommandError::Unknown));
    owner.advance(400);
    let (renewal, address, _) = owner.take_renewal("e0").expect("renewal");
    assert_eq!(&*address, "b:1");
    owner.renewed("e0", renewal, lists(2, 5, vec![], vec![]));
    owner.advance(400);
    let repeated = owner.take_start("e0");
    assert!(
        repeated.is_none(),
        "the store names e0 at a:1 only: {repeated:?}"
    );
}

/// Guards against leases that a renewal sent after a lost one extends on an executor that has gone.
#[test]
fn a_renewal_after_one_without_a_reply_extends_no_lease() {
    let now = Now {
        mono: 1_000,
        unix: UNIX,
    };
    let mut owner = Bare::new(1, RecoveredState::default(), now);
    owner.open("e0", "a:1");
    let (call, ..) = owner.take_renewal("e0").expect("renewal");
    owner.renewed("e0", call, lists(1, 1_100, vec![], vec![]));
    let (call, _, renewal) = owner.take_renewal("e0").expect("renewal");
    assert!(renewal.deadline_ms.is_some(), "{renewal:?}");
    owner.reply("e0", call, Err(CommandError::Unknown));
    let (call, _, renewal) = owner.take_renewal("e0").expect("renewal");
    assert_eq!(renewal.deadline_ms, None);
    owner.renewed("e0", call, lists(1, 1_500, vec![], vec![]));
    let (.., renewal) = owner.take_renewal("e0").expect("renewal");
    assert!(renewal.deadline_ms.is_some(), "{renewal:?}");
}

/// Guards against a start on an executor that began to drain while the first try had no reply.
#[test]
fn an_unanswered_start_is_not_sent_again_to_an_executor_that_drains() {
    let now = Now {
        mono: 1_000,
        unix: UNIX,
    };
    let mut owner = Bare::new(1, RecoveredState::default(), now);
    owner.open("e0", "a:1");
    owner.step(CellEvent::Submitted(Box::new(job(
        1,
        "urgent",
        vec![step(1, 1_000, 100)],
    ))));
    let (call, ..) = owner.take_start("e0").expect("start");
    let mut draining = info("e0", "a:1", 1);
    draining.draining = true;
    owner.step(listed(draining));
    owner.reply("e0", call, Err(CommandError::Unknown));
    owner.advance(1_000);
    assert!(owner.take_start("e0").is_none(), "{:#?}", owner.log());
}
