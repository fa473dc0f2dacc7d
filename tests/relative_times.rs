//! Tests of times that are relative when they are written or sent and are counted later, by another
//! process or after a delay: each guards against an error to the harmful side.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        entry::{EventLog, Shared},
        fleet::{
            Cell, CellEffect, CellEvent, ClockReading, EarlierLeases, Executor, ExecutorId,
            ExecutorInfo, FleetConfig, Job, JobEnd, JobId, JobRecord, LeaseWaits, Now,
            RecoveredState, Schedule, StoreWrite, Submission, TenantRule,
            policy::{OwnershipProof, RateBucket, RateBurst, RateLimit, earlier_runs_end_after},
        },
        platform::{NodeSettings, executor_from_entry},
    },
    proptest::prelude::*,
    rustix::time::{ClockId, clock_gettime},
    serde_json::{Value, json},
    slog::{Discard, Logger, o},
    standins::{
        cell_sample::{config, job, step, world},
        cell_world::{BOUNDS, CellWorld},
    },
    std::{
        path::Path,
        sync::{Arc, atomic::AtomicU64},
    },
};

/// Time of day at which the simulation starts.
const UNIX_START_MS: Millis = 1_700_000_000_000;

/// Time at which the owner takes over.
const NOW: Now = Now {
    mono: 500_000,
    unix: UNIX_START_MS,
};

fn later(ms: Millis) -> Now {
    Now {
        mono: NOW.mono + ms,
        unix: NOW.unix + ms,
    }
}

fn entry(cold_left_ms: &Value) -> ExecutorInfo {
    let entry = json!({
        "service": "pool", "address": "10.0.0.1:80", "zone": "z0", "version": "1", "slots": 8,
        "state": "ready", "coldLeftMs": cold_left_ms, "sequence": 1, "born": 1_000,
        "capacity": {"cpu": 1_000, "memMb": 1_000, "gpu": 0}, "labels": [],
    });
    executor_from_entry("servers/e0", entry.to_string().as_bytes()).expect("an executor")
}

/// Guards against a use of `coldLeftMs`, of which nobody knows when it was written.
#[test]
fn the_rest_of_a_cold_start_is_not_counted() {
    assert_eq!(entry(&json!(0)), entry(&json!(60_000)));
}

proptest! {
    /// Guards against a lease end ahead of the executor's clock, and against leases that are held to
    /// have expired too early: the reading is old when it arrives, and the clock may be slow.
    #[test]
    fn a_clock_reading_that_arrives_late_is_never_ahead_of_the_clock(
        start in 0u64..1_000_000,
        lag_milli in prop_oneof![Just(20), 0u64..=20],
        delay in prop_oneof![Just(0), 0u64..10_000],
        elapsed in 0u64..20_000,
        lease in 0u64..10_000,
    ) {
        // In thousandths of a ms, from the moment of the reading on.
        let clock_micro = |ms: Millis| start * 1_000 + ms * (1_000 - lag_milli);
        let mut executor = Executor::new(entry(&json!(0)), true, 0);
        executor.clock = Some(ClockReading {
            clock_ms: start,
            at: delay,
        });
        let now = delay + elapsed;
        let estimate = executor.estimate_clock(now).expect("a reading");
        prop_assert!(estimate * 1_000 <= clock_micro(now), "{estimate} at {now}");
        executor.max_lease_end_ms = start + lease;
        if executor.leases_expired(now, BOUNDS.kill_grace_ms) {
            prop_assert!(clock_micro(now) > (start + lease + BOUNDS.kill_grace_ms) * 1_000);
        }
    }

    /// Guards against a wait that ends before the lease, as its record was read long after it was written.
    #[test]
    fn a_recorded_wait_that_is_read_late_is_too_long_and_never_too_short(
        waited in 0u64..10_000,
        lag in 0u64..10_000,
        writer_clock in 0u64..100_000,
        reader_clock in 0u64..100_000,
    ) {
        let full = earlier_runs_end_after(BOUNDS.max_lease_ms, BOUNDS.kill_grace_ms);
        let roster: [ExecutorId; 1] = [Arc::from("e0")];
        let mut writer = EarlierLeases::new(&roster, None, full, writer_clock);
        writer.require_write();
        let waits = writer.write(1, |_| None, writer_clock + waited);
        let stored = waits.encode().expect("record");
        let read = LeaseWaits::decode(&stored).expect("record");
        let next = EarlierLeases::new(&roster, Some(read), full, reader_clock);
        let rest = next.expired_at(&roster[0]).saturating_sub(reader_clock);
        prop_assert!(rest >= full.saturating_sub(waited + lag));
        prop_assert!(rest <= full.saturating_sub(waited));
    }

    /// Guards against an owner that sends commands after its store lease has ended: the store counts from
    /// the arrival of the renewal, the owner from when it was sent.
    #[test]
    fn a_proof_of_ownership_ends_before_the_lease_whatever_the_delays(
        transit in 0u64..2_000,
        ttl_ms in 0u64..5_000,
        age in 0u64..10_000,
    ) {
        let sent_at = 1_000;
        let proof = OwnershipProof { sent_at, ttl_ms };
        let lease_ends_at = sent_at + transit + ttl_ms;
        let now = sent_at + age;
        prop_assert!(!proof.is_sole_owner(now) || now < lease_ends_at);
    }
}

fn now_ms() -> Millis {
    let t = clock_gettime(ClockId::Boottime);
    u64::try_from(t.tv_sec).expect("time") * 1_000
        + u64::try_from(t.tv_nsec).expect("time") / 1_000_000
}

fn node() -> Shared {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
    let settings = NodeSettings::read(Path::new(sample)).expect("settings");
    let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
    let node = Shared::new(settings, Arc::from("n"), log);
    node.config.send_replace(Some(Arc::new(config())));
    node
}

/// Guards against a revoked key that is accepted for as long as a read of the configuration took.
#[test]
fn the_age_of_a_configuration_counts_from_when_its_read_was_sent() {
    let node = node();
    let now = now_ms();
    let grace_ms = node.settings.bounds.revocation_grace_ms;
    node.record_config_confirmed(now.saturating_sub(grace_ms));
    assert!(node.fresh_config().is_none());
    node.record_config_confirmed(now);
    assert!(node.fresh_config().is_some());
    node.record_config_confirmed(now.saturating_sub(grace_ms));
    assert!(node.fresh_config().is_some());
}

/// Guards against an old success of another node that is taken for one after this node's failure.
#[test]
fn a_success_at_the_store_counts_from_when_it_was_and_not_from_its_report() {
    let node = node();
    node.record_store_failure();
    node.record_peer_health(500);
    assert!(!node.another_node_serves());
}

fn scheduled() -> Submission {
    let mut submission = job(1, "urgent", vec![step(1, 1_000, 100)]);
    submission.spec.schedule = Some(Schedule {
        count: 10,
        start_unix_ms: NOW.unix,
        interval_ms: 1_000,
    });
    submission
}

/// Guards against a second run of an occurrence on an owner whose time of day goes back.
#[test]
fn a_time_of_day_that_goes_back_adds_no_occurrence_again() {
    let mut job = Job::new(scheduled(), None, NOW.unix - 1);
    assert!(!job.add_due_occurrences(NOW.unix - 1));
    assert!(job.add_due_occurrences(NOW.unix + 2_500));
    assert_eq!(job.occurrences, 3);
    assert!(!job.add_due_occurrences(NOW.unix - 60_000));
    assert!(!job.add_due_occurrences(NOW.unix + 2_999));
    assert!(job.add_due_occurrences(NOW.unix + 3_000));
    assert_eq!(job.occurrences, 4);
}

fn recover(config: FleetConfig, jobs: Vec<(JobId, JobRecord)>) -> Cell {
    let jobs = jobs.into_iter().map(|(id, record)| (id, record, None));
    let recovered = RecoveredState {
        jobs: jobs.collect(),
        ..RecoveredState::default()
    };
    Cell::new(2, BOUNDS, Arc::new(config), recovered, NOW)
}

/// Guards against a caller that is told that its job does not exist, as the owners changed.
#[test]
fn an_end_is_kept_for_its_retention_whatever_the_clock_of_the_node_that_wrote_it() {
    for ended_unix_ms in [0, NOW.unix, NOW.unix + 3_600_000] {
        let record = JobRecord::Ended {
            end: JobEnd::Completed,
            queue: Arc::from("urgent"),
            tenant: None,
            ended_unix_ms,
        };
        let mut cell = recover(config(), vec![(JobId(1), record)]);
        cell.step(CellEvent::Tick, later(BOUNDS.ended_retention_ms));
        assert!(cell.job_status(JobId(1)).is_some());
        cell.step(CellEvent::Tick, later(BOUNDS.ended_retention_ms + 1));
        cell.plan(later(BOUNDS.ended_retention_ms + 1));
        assert!(cell.job_status(JobId(1)).is_none());
        let deletes = |e: &CellEffect| {
            matches!(e, CellEffect::Commit { writes, .. }
                if writes.contains(&StoreWrite::Delete { job: JobId(1) }))
        };
        assert!(cell.take_effects().iter().any(deletes));
    }
}

fn accepted(id: u64, age_ms: Millis) -> (JobId, JobRecord) {
    let submission = Submission {
        tenant: Some(Arc::from("t")),
        accepted_unix_ms: NOW.unix - age_ms,
        ..job(id, "urgent", vec![step(1, 1_000, 10_000)])
    };
    (JobId(id), JobRecord::Open(submission))
}

/// Guards against a tenant within its rate whose work counts as beyond it since the owners changed, and
/// against an excess that no longer does.
#[test]
fn a_change_of_owner_changes_nothing_of_a_tenants_rate() {
    let mut config = config();
    let rule = TenantRule {
        weight: 1,
        cap: Resources::default(),
    };
    config.tenants.insert(Arc::from("t"), rule);
    // Accepted at intervals of 1 s and of 100 ms, at a rate of one a second and two at once.
    for (interval_ms, over_rate) in [(1_000, 0), (100, 17)] {
        let jobs = (0..20).map(|i| accepted(i, (20 - i) * interval_ms));
        let cell = recover(config.clone(), jobs.collect());
        let found = cell.jobs.values().filter(|j| j.over_rate).count();
        assert_eq!(found, over_rate, "at intervals of {interval_ms} ms");
    }
}

/// Runs one executor full until `until`, in ms of the simulation.
fn occupy(world: &mut CellWorld, until: Millis) {
    let left_ms = until - world.now;
    world.submit(job(1, "urgent", vec![step(1, 8_000, left_ms)]));
    world.run(100);
}

fn started_at(world: &CellWorld, id: u64) -> Option<Millis> {
    let started = format!("RunStarted step={}.", JobId(id));
    let line = world.log.iter().find(|l| l.contains(&started))?;
    line.split(' ').next()?.parse().ok()
}

/// Guards against work that can no longer be in time and takes the place of work that can, as the owner
/// changed since it was accepted.
#[test]
fn a_job_is_as_old_after_a_change_of_owner_as_before() {
    let mut world = world(1, 1);
    occupy(&mut world, 12_000);
    world.submit(job(2, "urgent", vec![step(1, 8_000, 1_000)]));
    world.run(9_000);
    world.replace_owner();
    world.run(1_900);
    world.submit(job(3, "urgent", vec![step(1, 8_000, 1_000)]));
    world.run(4_000);
    let (hopeless, in_time) = (started_at(&world, 2), started_at(&world, 3));
    assert!(in_time.is_some(), "{:#?}", world.log);
    assert!(
        hopeless.is_none_or(|at| Some(at) > in_time),
        "{hopeless:?} {in_time:?}"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an occurrence that ranks behind patient work, as its job was accepted long before.
#[test]
fn an_occurrence_is_as_old_as_the_time_since_it_fell_due() {
    let mut world = world(1, 1);
    let mut repeated = job(2, "urgent", vec![step(1, 8_000, 500)]);
    repeated.spec.schedule = Some(Schedule {
        count: 2,
        start_unix_ms: UNIX_START_MS + world.now,
        interval_ms: 30_000,
    });
    world.submit(repeated);
    world.run(20_000);
    occupy(&mut world, 30_700);
    world.run(10_000);
    world.submit(job(3, "patient", vec![step(1, 8_000, 2_000)]));
    world.run(15_000);
    let occurrence = format!("RunStarted step={}.1.", JobId(2));
    let patient = format!("RunStarted step={}.", JobId(3));
    let started = |l: &&String| l.contains(&occurrence) || l.contains(&patient);
    let first = world.log.iter().find(started).expect("a start");
    assert!(first.contains(&occurrence), "{first}");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an age below 0 where the time of day of the new owner is behind: the job counts as new.
#[test]
fn a_job_from_the_future_counts_as_new() {
    let record = JobRecord::Open(Submission {
        accepted_unix_ms: NOW.unix + 5_000,
        ..job(1, "urgent", vec![step(1, 1_000, 10_000)])
    });
    let cell = recover(config(), vec![(JobId(1), record)]);
    let waited = cell
        .explain_job(JobId(1), later(300))
        .expect("known")
        .waited_ms;
    assert_eq!(waited, 300);
}

/// Guards against a bucket that is refilled by jobs which are read out of order.
#[test]
fn a_job_read_late_refills_nothing() {
    let limit = RateLimit {
        per_s: 1,
        burst: RateBurst {
            window_ms: 2_000,
            jobs: 0,
        },
    };
    let mut bucket = RateBucket::new(&limit, -10_000);
    let taken = [-9_000, -9_000, -9_000, -20_000, -8_000, -8_000].map(|at| bucket.take(&limit, at));
    assert_eq!(taken, [true, true, false, false, true, false]);
}
