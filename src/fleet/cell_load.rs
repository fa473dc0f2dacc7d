//! Estimate of the time that a new job waits before its first start, by queue, from the work
//! outstanding in the cell.
//!
//! Answers an overload; the owner's node sends the estimates to the entry nodes, which decide with
//! [`policy::decide_admission`](crate::fleet::policy::decide_admission). Where a quantity is not
//! known, the estimate is the shorter one: packing losses, preemption and calls for advice of later
//! steps are left out. One call goes over all jobs once.

use {
    crate::{
        core::{Millis, Resources},
        fleet::{
            Cell, Job, Now, QueueRule, Step,
            policy::{self, EXPIRED_TIMES, LoadSummary, QueueLoad},
        },
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Part of its objective, as a divisor, that a job must have waited for its first start before
/// there counts as a backlog: a shorter wait, as for advice, leaves the job in time.
const BACKLOG_DIVISOR: Millis = 4;

/// Time for which the last job of a tenant tells whether it sends more than its permitted rate, in
/// ms. A tenant whose jobs are refused must be able to use its rate again.
const OVER_RATE_MS: i64 = 1_000;

/// Bounds the tenants that one queue's load names, those with the longest waits; bounds the size of
/// the message, which goes to each node every 500 ms.
const MAX_BLOCKED_TENANTS: usize = 16;

/// Bounds the executors that calls for advice of one step are assumed to name: the platform accepts
/// 100 in a call.
const MAX_NAMED: u32 = 100;

/// Tasks of a step that are assumed to share an executor, as many as the choice of executors to
/// name counts for one.
const TASKS_PER_EXECUTOR: u32 = 3;

/// Bounds the rounds in which the time for the work of tenants at their caps is approximated from
/// above.
const MAX_CAP_ROUNDS: usize = 16;

/// Number of quantities in an [`Amount`]: the resources, and whole executors.
const QUANTITIES: usize = 5;

/// Position of whole executors in an [`Amount`].
const WHOLE_EXECUTORS: usize = 4;

/// Capacity, or work as the product of capacity and ms.
#[derive(Clone, Copy, Debug, Default)]
struct Amount([u64; QUANTITIES]);

impl Amount {
    fn of(resources: &Resources) -> Self {
        let Resources {
            cpu_milli,
            memory_mib,
            accelerators,
            slots,
        } = *resources;
        Self([cpu_milli, memory_mib, accelerators, slots, 0].map(u64::from))
    }

    fn add(&mut self, other: &Self) {
        let sums = self.0.iter_mut().zip(other.0);
        sums.for_each(|(sum, part)| *sum = sum.saturating_add(part));
    }

    fn subtract(&mut self, other: &Self) {
        let parts = self.0.iter_mut().zip(other.0);
        parts.for_each(|(rest, part)| *rest = rest.saturating_sub(part));
    }

    /// Returns the part of this work that is done in `ms` if the whole takes `whole_ms`; all of it if
    /// that is 0.
    fn done_in(self, ms: Millis, whole_ms: Millis) -> Self {
        if ms >= whole_ms {
            return self;
        }
        // The product of work, below 2^48, and a time of some minutes fits.
        let done = |work: u64| work.saturating_mul(ms) / whole_ms;
        Self(self.0.map(done))
    }

    fn times(self, factor: u64) -> Self {
        Self(self.0.map(|amount| amount.saturating_mul(factor)))
    }

    /// Returns how long a capacity takes for this work, in ms, by its scarcest quantity. One that
    /// the capacity has none of does not count: it is not limited, or not known.
    fn duration_on(&self, capacity: &Self) -> Millis {
        let durations = self.0.iter().zip(capacity.0);
        let durations = durations.filter_map(|(work, capacity)| work.checked_div(capacity));
        durations.max().unwrap_or(0)
    }
}

/// Work of one effective priority that has not expired, by its place in the order.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityWork {
    /// In time and within the tenant's rate.
    in_time: Amount,
    /// Late and within it.
    late: Amount,
    /// In time and beyond it.
    over_rate: Amount,
    /// Late and beyond it.
    over_rate_late: Amount,
}

/// Work by its effective priority.
#[derive(Clone, Debug, Default)]
struct Backlog(BTreeMap<u32, PriorityWork>);

impl Backlog {
    fn add(&mut self, priority: u32, over_rate: bool, late: bool, work: &Amount) {
        let priority = policy::effective_priority(priority, over_rate);
        let of_priority = self.0.entry(priority).or_default();
        let part = match (over_rate, late) {
            (false, false) => &mut of_priority.in_time,
            (false, true) => &mut of_priority.late,
            (true, false) => &mut of_priority.over_rate,
            (true, true) => &mut of_priority.over_rate_late,
        };
        part.add(work);
    }

    /// Returns the work ahead of a new job of a priority: while it is in time, and once it is late.
    fn ahead(&self, priority: u32, over_rate: bool) -> (Amount, Amount) {
        let priority = policy::effective_priority(priority, over_rate);
        let mut in_time = Amount::default();
        for work in self.0.range(..priority).map(|(_, work)| work) {
            for part in [
                &work.in_time,
                &work.late,
                &work.over_rate,
                &work.over_rate_late,
            ] {
                in_time.add(part);
            }
        }
        let equal = self.0.get(&priority).copied().unwrap_or_default();
        in_time.add(&equal.in_time);
        let mut late = in_time;
        late.add(&equal.late);
        if over_rate {
            in_time = late;
            in_time.add(&equal.over_rate);
            late = in_time;
            late.add(&equal.over_rate_late);
        }
        (in_time, late)
    }
}

/// Work ahead of a new job, while it is in time and once it is late, in ms at a tenant's cap; 0 if
/// its cap does not limit it.
type CapTimes<'a> = HashMap<&'a str, (Millis, Millis)>;

/// Work by tenant; that without a tenant has an empty name.
#[derive(Debug, Default)]
struct TenantBacklogs<'a>(HashMap<&'a str, Backlog>);

impl TenantBacklogs<'_> {
    /// Returns the wait of a new job on `capacity`; the job is in time if it waits at most
    /// `slack_ms`.
    ///
    /// The work of a tenant at its cap takes up only as much capacity as the cap allows.
    fn wait(
        &self,
        (priority, over_rate): (u32, bool),
        slack_ms: Millis,
        capacity: &Amount,
        cap_times: &CapTimes<'_>,
    ) -> Millis {
        let ahead: Vec<_> = self
            .0
            .iter()
            .map(|(tenant, backlog)| {
                let cap_times = cap_times.get(tenant).copied().unwrap_or_default();
                (backlog.ahead(priority, over_rate), cap_times)
            })
            .collect();
        let in_time = ahead.iter().map(|(work, cap)| (work.0, cap.0));
        let wait_ms = shared_duration(&in_time, capacity);
        if wait_ms <= slack_ms {
            return wait_ms;
        }
        let late = ahead.iter().map(|(work, cap)| (work.1, cap.1));
        shared_duration(&late, capacity)
    }
}

/// Returns how long `capacity` takes for the works of several tenants, each with the least time
/// that it takes at the tenant's cap.
fn shared_duration(
    works: &(impl Iterator<Item = (Amount, Millis)> + Clone),
    capacity: &Amount,
) -> Millis {
    let mut duration_ms = Millis::MAX;
    for _ in 0..MAX_CAP_ROUNDS {
        let mut total = Amount::default();
        for (work, cap_ms) in works.clone() {
            total.add(&work.done_in(duration_ms, cap_ms));
        }
        let next_ms = total.duration_on(capacity);
        if next_ms >= duration_ms {
            break;
        }
        duration_ms = next_ms;
    }
    duration_ms
}

/// Capacity and work of one pool.
#[derive(Debug, Default)]
struct PoolLoad<'a> {
    /// Capacity of the usable executors without what persistent tasks take.
    capacity: Amount,
    /// The largest executor, in each resource.
    largest: Resources,
    executors: u64,
    /// Sum of the speeds of the executors: 100 for one whose runs take as long as estimated.
    speeds: u64,
    work: TenantBacklogs<'a>,
}

impl PoolLoad<'_> {
    /// Returns how long work takes here that is estimated to take `ms`.
    fn run_time_ms(&self, ms: Millis) -> Millis {
        let time = ms.saturating_mul(self.executors * 100);
        time.checked_div(self.speeds).unwrap_or(ms)
    }
}

/// Work of one tenant in all pools.
#[derive(Debug, Default)]
struct TenantLoad {
    backlog: Backlog,
    /// When its last job was accepted, in ms on the owner's monotonic clock, and whether that was beyond
    /// its rate.
    last_job: Option<(i64, bool)>,
}

/// What the open jobs of one queue need.
#[derive(Clone, Copy, Debug)]
struct QueueTimes {
    min_objective_ms: Millis,
    /// Longest time that one of them may wait and be in time.
    max_slack_ms: Millis,
}

/// The outstanding work of the cell.
#[derive(Debug, Default)]
struct Outstanding<'a> {
    pools: HashMap<&'a str, PoolLoad<'a>>,
    tenants: HashMap<&'a str, TenantLoad>,
    queues: HashMap<&'a str, QueueTimes>,
    /// Time in advice slots of the calls that waiting steps need, as the first quantity.
    advice: TenantBacklogs<'a>,
}

impl Cell {
    /// Estimates the waits of new jobs. The summary names no queue while all waits are below the
    /// objectives, or while the runs of an earlier owner are not known.
    pub fn load_summary(&self, version: u64, now: Now) -> LoadSummary {
        let mut summary = LoadSummary {
            version,
            ..LoadSummary::default()
        };
        if self.unread.has_unknown() || !self.has_backlog(now) {
            return summary;
        }
        let outstanding = self.outstanding(now);
        let queues = self.config.queues.iter();
        summary.queues = queues
            .filter_map(|rule| self.queue_load(rule, &outstanding))
            .collect();
        let rate_counts = |q: &QueueLoad| q.over_rate_wait_ms > q.wait_ms;
        if summary.queues.iter().any(rate_counts) {
            let exceeding = outstanding.tenants.iter().filter(|(_, load)| {
                let recent = |at| now.mono.cast_signed() < at + OVER_RATE_MS;
                load.last_job
                    .is_some_and(|(at, over_rate)| over_rate && recent(at))
            });
            let names = exceeding.map(|(name, _)| Arc::from(*name));
            summary.over_rate_tenants = names.collect();
            summary.over_rate_tenants.sort();
        }
        summary
    }

    /// Returns whether a job has waited for its first start for a noticeable part of its
    /// objective.
    fn has_backlog(&self, now: Now) -> bool {
        self.jobs.values().any(|job| {
            job.oldest_age_ms(now) * BACKLOG_DIVISOR > job.objective_ms
                && !job.started
                && job.end.is_none()
                && !job.submission.spec.is_persistent()
        })
    }

    fn outstanding(&self, now: Now) -> Outstanding<'_> {
        let mut outstanding = Outstanding::default();
        self.add_capacities(&mut outstanding);
        for job in self.jobs.values().filter(|j| j.end.is_none()) {
            if job.submission.spec.is_persistent() {
                self.subtract_persistent(job, &mut outstanding);
            } else {
                self.add_work(job, &mut outstanding, now);
            }
        }
        outstanding
    }

    /// Adds the executors that may be used. Those that are silent or suspected count too, as most
    /// return within seconds.
    fn add_capacities<'a>(&'a self, outstanding: &mut Outstanding<'a>) {
        for executor in self.executors.values() {
            let info = &executor.info;
            if !executor.listed || info.draining || self.is_evacuated(info) {
                continue;
            }
            let pool = outstanding.pools.entry(&*info.pool).or_default();
            let mut capacity = Amount::of(&info.capacity);
            capacity.0[WHOLE_EXECUTORS] = 1;
            pool.capacity.add(&capacity);
            pool.largest.max_assign(&info.capacity);
            pool.executors += 1;
            pool.speeds += 10_000 / u64::from(executor.run_time.percent().max(1));
        }
    }

    /// Subtracts the room of persistent tasks, which do not end by themselves.
    fn subtract_persistent<'a>(&'a self, job: &'a Job, outstanding: &mut Outstanding<'a>) {
        let pool = &self.queue_rule(job).pool;
        let Some(pool) = outstanding.pools.get_mut(&**pool) else {
            return;
        };
        for ((_, index), step) in &job.steps {
            if let Some(spec) = job.spec(*index) {
                let (_, active) = count_tasks(job, step);
                let taken = Amount::of(&spec.allocation()).times(u64::from(active));
                pool.capacity.subtract(&taken);
            }
        }
    }

    fn add_work<'a>(&'a self, job: &'a Job, outstanding: &mut Outstanding<'a>, now: Now) {
        let rule = self.queue_rule(job);
        let objective_ms = job.objective_ms;
        let pool = outstanding.pools.entry(&*rule.pool).or_default();
        let mut work = Amount::default();
        let mut calls_ms = 0;
        let mut remaining_ms = 0;
        for ((occurrence, index), step) in &job.steps {
            let Some(spec) = job.spec(*index).filter(|_| !step.is_complete()) else {
                continue;
            };
            remaining_ms = remaining_ms.max(job.remaining_ms(*index));
            let (waiting, active) = count_tasks(job, step);
            let need = spec.allocation();
            let mut allocation = Amount::of(&need);
            match pool.largest.times_covered(&need) {
                // It takes up no capacity, as it fits nowhere.
                0 => continue,
                1 => allocation.0[WHOLE_EXECUTORS] = 1,
                _ => {}
            }
            // Of a task that runs, half is left on average.
            let half_tasks = 2 * u64::from(waiting) + u64::from(active);
            work.add(&allocation.times(spec.estimate_ms.saturating_mul(half_tasks) / 2));
            if let Some(advice) = rule.advice {
                let needs_call = waiting > 0 && step.advice.advised.is_empty();
                if needs_call && job.dependencies_done(*occurrence, *index) {
                    calls_ms += advice.call_cost_ms(self.named_executors(rule, waiting));
                }
            }
        }
        let age_ms = job.oldest_age_ms(now);
        let end = age_ms + remaining_ms;
        if end > objective_ms * EXPIRED_TIMES {
            // It is placed after all other work.
            return;
        }
        let late = end > objective_ms;
        let (priority, over_rate) = (rule.priority, job.over_rate);
        let tenant = job.submission.tenant.as_deref().unwrap_or("");
        let backlog = pool.work.0.entry(tenant).or_default();
        backlog.add(priority, over_rate, late, &work);
        let calls = Amount([calls_ms, 0, 0, 0, 0]);
        let backlog = outstanding.advice.0.entry(tenant).or_default();
        backlog.add(priority, over_rate, late, &calls);
        let load = outstanding.tenants.entry(tenant).or_default();
        let accepted_at = now.mono.cast_signed() - age_ms.cast_signed();
        // The cap holds back its jobs whether or not they are beyond its rate.
        load.backlog.add(priority, false, late, &work);
        load.last_job = load.last_job.max(Some((accepted_at, over_rate)));
        let slack_ms = objective_ms.saturating_sub(job.critical_path_ms());
        let times = outstanding.queues.entry(&*rule.name).or_insert(QueueTimes {
            min_objective_ms: objective_ms,
            max_slack_ms: slack_ms,
        });
        times.min_objective_ms = times.min_objective_ms.min(objective_ms);
        times.max_slack_ms = times.max_slack_ms.max(slack_ms);
    }

    /// Returns how many executors the calls for a step with so many waiting tasks name at least.
    fn named_executors(&self, rule: &QueueRule, waiting: u32) -> usize {
        let advised = self.advice_yields.get(&rule.name);
        let percent = advised.copied().unwrap_or_default().percent().max(1);
        let named = waiting.div_ceil(TASKS_PER_EXECUTOR).min(MAX_NAMED) * 100 / percent;
        usize::try_from(named.min(MAX_NAMED)).unwrap_or(0)
    }

    /// Returns the load of a queue; `None` while each of its waits is below its objective.
    fn queue_load(&self, rule: &QueueRule, outstanding: &Outstanding<'_>) -> Option<QueueLoad> {
        let pool = outstanding.pools.get(&*rule.pool)?;
        let times = outstanding.queues.get(&*rule.name);
        let times = times.copied().unwrap_or(QueueTimes {
            min_objective_ms: rule.objective_ms,
            max_slack_ms: rule.objective_ms,
        });
        let cap_times = self.cap_times(rule, outstanding);
        let slots = u64::try_from(self.advice_slots.count()).unwrap_or(u64::MAX);
        let slots = Amount([slots, 0, 0, 0, 0]);
        let wait = |over_rate: bool| {
            let (class, slack_ms) = ((rule.priority, over_rate), times.max_slack_ms);
            let work = &pool.work;
            let room_ms = work.wait(class, slack_ms, &pool.capacity, &cap_times);
            let room_ms = pool.run_time_ms(room_ms);
            if rule.advice.is_none() {
                return room_ms;
            }
            // Calls go on while tasks run, so the two times overlap.
            let calls = &outstanding.advice;
            room_ms.max(calls.wait(class, slack_ms, &slots, &cap_times))
        };
        let load = QueueLoad {
            queue: rule.name.clone(),
            wait_ms: wait(false),
            over_rate_wait_ms: wait(true),
            blocked_tenants: blocked_tenants(pool, &times, &cap_times),
        };
        let longest = load.wait_ms.max(load.over_rate_wait_ms);
        let backlogged = longest >= times.min_objective_ms && longest > 0;
        (backlogged || !load.blocked_tenants.is_empty()).then_some(load)
    }

    /// Returns how long the work of each tenant ahead of a new job of a queue takes at its cap.
    fn cap_times<'a>(&self, rule: &QueueRule, outstanding: &Outstanding<'a>) -> CapTimes<'a> {
        let times = |(name, load): (&&'a str, &TenantLoad)| {
            let cap = Amount::of(&self.config.tenants.get(*name)?.cap);
            let (in_time, late) = load.backlog.ahead(rule.priority, false);
            Some((*name, (in_time.duration_on(&cap), late.duration_on(&cap))))
        };
        outstanding.tenants.iter().filter_map(times).collect()
    }
}

/// Counts the tasks of a step that wait and those that are or may be running.
fn count_tasks(job: &Job, step: &Step) -> (u32, u32) {
    let open = step.count.saturating_sub(step.done_count());
    let waiting = if job.start_sent || job.recovered {
        step.count_waiting()
    } else {
        open
    };
    (waiting, open.saturating_sub(waiting))
}

/// Lists the tenants whose own work at their cap makes a new job of a queue wait longer than its
/// objective, the longest waits first.
fn blocked_tenants(
    pool: &PoolLoad<'_>,
    times: &QueueTimes,
    cap_times: &CapTimes<'_>,
) -> Vec<(Arc<str>, Millis)> {
    let mut blocked = Vec::new();
    for (name, (in_time_ms, late_ms)) in cap_times {
        let in_time_ms = pool.run_time_ms(*in_time_ms);
        let wait_ms = if in_time_ms <= times.max_slack_ms {
            in_time_ms
        } else {
            pool.run_time_ms(*late_ms)
        };
        if wait_ms >= times.min_objective_ms && wait_ms > 0 {
            blocked.push((Arc::from(*name), wait_ms));
        }
    }
    blocked.sort_by_key(|(name, wait_ms): &(Arc<str>, _)| (Reverse(*wait_ms), name.clone()));
    blocked.truncate(MAX_BLOCKED_TENANTS);
    blocked
}
