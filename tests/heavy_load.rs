//! Loads that exceed a pool for seconds, played against the cell and checked by what callers get, by
//! kind of work and organisation.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{
            AdviceRule, FleetConfig, JobId, JobStatus, QueueRule, StepSpec, Submission, TenantRule,
        },
    },
    standins::{
        CellWorld,
        cell_sample::{config, job, queue, step, world_with_config},
        cell_world::CommitPlan,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A submitted job: when, its objective, and when it ended.
#[derive(Clone, Copy, Debug)]
struct Played {
    at: Millis,
    objective_ms: Millis,
    ended_at: Option<Millis>,
}

/// Plays a load and records when each job ends.
struct Load {
    world: CellWorld,
    jobs: BTreeMap<u64, Played>,
}

impl Load {
    fn submit(&mut self, submission: Submission) {
        let rule = &submission.queue;
        let chain: Millis = submission.spec.steps.iter().map(|s| s.estimate_ms).sum();
        let played = Played {
            at: self.world.now,
            objective_ms: rule.objective_ms + chain * rule.stretch_milli / 1000,
            ended_at: None,
        };
        self.jobs.insert(submission.id.0, played);
        self.world.submit(submission);
    }

    fn run(&mut self, ms: Millis) {
        for _ in 0..ms / 10 {
            self.world.run(10);
            for (id, played) in &mut self.jobs {
                let ended = self.world.job_status(JobId(*id)) == Some(JobStatus::Completed);
                if played.ended_at.is_none() && ended {
                    played.ended_at = Some(self.world.now);
                }
            }
        }
    }

    /// Returns the percentage of the selected jobs that ended within their objective.
    fn percent_in_time(&self, select: impl Fn(u64) -> bool) -> usize {
        let selected: Vec<_> = self.jobs.iter().filter(|(id, _)| select(**id)).collect();
        let in_time =
            |(_, p): &&(&u64, &Played)| p.ended_at.is_some_and(|end| end - p.at <= p.objective_ms);
        selected.iter().filter(|j| in_time(j)).count() * 100 / selected.len().max(1)
    }
}

fn load(seed: u64, executors: usize, config: FleetConfig) -> Load {
    let mut world = world_with_config(seed, executors, config);
    world.check_interval_ms = 50;
    Load {
        world,
        jobs: BTreeMap::new(),
    }
}

/// A job of two steps that follow one another, of a queue for patient work.
fn patient_job(id: u64) -> Submission {
    let mut second = step(4, 2_000, 2_000);
    second.depends_on = vec![0];
    let mut submission = job(id, "patient", vec![step(4, 2_000, 2_000), second]);
    submission.queue.stretch_milli = 3_000;
    submission
}

/// Guards against a backlog in which all patient jobs end just late: for 15 s more than twice the work
/// arrives that twelve executors can do, of which every fourth takes 1.8 times as long. Two fifths of
/// the work fit while it arrives, so at least as many jobs are in time.
#[test]
fn a_backlog_of_patient_jobs_is_served_in_time_in_part_not_late_as_a_whole() {
    for seed in 0..3 {
        let mut config = config();
        config.queues[1] = Arc::new(QueueRule {
            stretch_milli: 3_000,
            ..queue("patient", 2)
        });
        let mut load = load(seed, 12, config);
        for (i, executor) in load.world.executors.values_mut().enumerate() {
            executor.run_time_percent = if i % 4 == 0 { 180 } else { 100 };
        }
        for id in 0..100 {
            load.submit(patient_job(id));
            load.run(150);
        }
        load.run(40_000);
        let in_time = load.percent_in_time(|_| true);
        assert!(in_time >= 40, "seed {seed}: {in_time}%");
        assert_eq!(load.world.violations, Vec::<String>::new());
    }
}

/// Guards against an organisation that sends five times what it may of urgent work, and whose excess makes
/// the less urgent work of another one late, which is within its rate: nine of ten are in time.
#[test]
fn an_organisation_beyond_its_rate_waits_for_those_within_theirs() {
    for seed in 0..3 {
        let mut config = config();
        let ordinary = QueueRule {
            stretch_milli: 2_500,
            ..queue("ordinary", 1)
        };
        config.queues.push(Arc::new(ordinary.clone()));
        for name in ["flood", "calm"] {
            let rule = TenantRule {
                weight: 4,
                cap: Resources::default(),
            };
            config.tenants.insert(Arc::from(name), rule);
        }
        let mut load = load(seed, 12, config);
        for round in 0..40 {
            for i in 0..5 {
                load.submit(Submission {
                    tenant: Some(Arc::from("flood")),
                    ..job(1_000 + 5 * round + i, "urgent", vec![step(6, 2_000, 700)])
                });
            }
            load.submit(Submission {
                queue: ordinary.clone(),
                tenant: Some(Arc::from("calm")),
                ..job(round, "patient", vec![step(3, 2_000, 1_000)])
            });
            load.run(250);
        }
        load.run(5_000);
        let calm = load.percent_in_time(|id| id < 1_000);
        assert!(calm >= 90, "seed {seed}: {calm}%");
        assert_eq!(load.world.violations, Vec::<String>::new());
    }
}

/// Guards against a wait for advice between two short steps: the second one starts within 30 ms of the
/// end of the first, although a call takes 40 ms and only half of the executors are advised.
#[test]
fn a_dependent_step_has_its_advice_when_the_step_before_it_ends() {
    let advice = AdviceRule {
        call_cost_us: 30_000,
        executor_cost_us: 500,
        valid_ms: 2_000,
    };
    let rule = QueueRule {
        advice: Some(advice),
        ..queue("advised", 0)
    };
    let mut config = config();
    config.queues.push(Arc::new(rule.clone()));
    let mut load = load(1, 30, config);
    load.world.advised_percent = 50;
    load.world.nodes = 10;
    let mut second = step(3, 1_000, 500);
    second.depends_on = vec![0];
    for id in 0..20 {
        load.submit(Submission {
            queue: rule.clone(),
            ..job(id, "urgent", vec![step(3, 1_000, 500), second.clone()])
        });
        load.run(300);
    }
    load.run(2_000);
    let gaps: Vec<Millis> = (0..20).map(|id| gap(&load.world.log, id)).collect();
    let short = gaps.iter().filter(|g| **g <= 30).count();
    assert!(short >= 18, "{gaps:?}");
}

/// Returns the time between the last end of the first step of a job and the first start of the second.
fn gap(log: &[String], id: u64) -> Millis {
    let at = |line: &String| {
        line.split(' ')
            .next()
            .and_then(|t| t.parse().ok())
            .unwrap_or(0)
    };
    let of = |what: &str, step: u16| {
        let name = format!("{}.0.{step}", JobId(id));
        let named = |l: &&String| l.contains(what) && l.contains(&name);
        log.iter().filter(named).map(at).collect::<Vec<Millis>>()
    };
    let ended = of("RunEnded", 0).into_iter().max().unwrap_or(0);
    let started = of(" began ", 1).into_iter().min().unwrap_or(Millis::MAX);
    started.saturating_sub(ended)
}

/// Guards against single-GPU tasks that spread over all executors, so that gangs which need whole ones
/// wait for one to empty: beside a stream that takes a third of the accelerators, nine of ten gangs are
/// in time.
#[test]
fn gangs_of_whole_executors_start_beside_single_accelerator_work() {
    let accelerators = |count| Resources {
        cpu_milli: 500,
        memory_mib: 100,
        accelerators: count,
        slots: 0,
    };
    let advised = |name: &str, priority, cost| QueueRule {
        advice: Some(AdviceRule {
            call_cost_us: cost,
            executor_cost_us: 2_000,
            valid_ms: 2_000,
        }),
        pool: Arc::from("gpu"),
        stretch_milli: 2_200,
        objective_ms: 1_000,
        ..queue(name, priority)
    };
    let (singles, gangs) = (advised("singles", 2, 140_000), advised("gangs", 1, 300_000));
    let mut config = config();
    config
        .queues
        .extend([Arc::new(singles.clone()), Arc::new(gangs.clone())]);
    for seed in 0..3 {
        let mut load = load(seed, 0, config.clone());
        load.world.advised_percent = 40;
        load.world.nodes = 30;
        for i in 0..60 {
            let capacity = Resources {
                cpu_milli: 32_000,
                memory_mib: 100_000,
                ..accelerators(8)
            };
            let rack = format!("r{}", i / 10);
            load.world
                .add_executor(&format!("g{i:02}"), "gpu", &rack, capacity);
        }
        load.run(300);
        for round in 0..80 {
            let single = StepSpec {
                need: accelerators(1),
                ..step(10, 500, 3_000)
            };
            load.submit(Submission {
                queue: singles.clone(),
                ..job(1_000 + round, "patient", vec![single])
            });
            if round % 4 == 3 {
                let gang = StepSpec {
                    gang: true,
                    need: accelerators(8),
                    ..step(3, 500, 3_000)
                };
                load.submit(Submission {
                    queue: gangs.clone(),
                    ..job(round, "patient", vec![gang])
                });
            }
            load.run(200);
        }
        load.run(8_000);
        let in_time = load.percent_in_time(|id| id < 1_000);
        assert!(in_time >= 90, "seed {seed}: {in_time}%");
        assert_eq!(load.world.violations, Vec::<String>::new());
    }
}

/// Guards against ends that are found late while the store is slow: it takes 60 times its usual 4 ms,
/// and all executors list ends that are not durable. Jobs of two short steps have 0.8 s to spare, of
/// which their acceptance took one write and their end takes another; nine of ten are in time.
#[test]
fn ends_of_short_runs_are_found_while_the_store_is_slow() {
    const WRITE_MS: Millis = 240;
    for seed in 0..3 {
        let mut load = load(seed, 12, config());
        load.run(500);
        let slow_write = CommitPlan {
            carried_out_after: Some(WRITE_MS / 2),
            result_after: WRITE_MS,
            ok: true,
        };
        load.world.commit_plans = std::iter::repeat_n(slow_write, 100).collect();
        for id in 0..100 {
            let mut second = step(6, 500, 560);
            second.depends_on = vec![0];
            let mut submission = job(id, "urgent", vec![step(6, 500, 560), second]);
            submission.queue.stretch_milli = 1_500;
            submission.queue.objective_ms = 250 - WRITE_MS;
            load.submit(submission);
            load.run(100);
        }
        load.run(5_000);
        let in_time = load.percent_in_time(|_| true);
        assert!(in_time >= 90, "seed {seed}: {in_time}%");
        assert_eq!(load.world.violations, Vec::<String>::new());
    }
}
