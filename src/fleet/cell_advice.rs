//! Advice of the platform's placement service: which executors may run a step.
//!
//! Called at the end of a round. Calls go through the advice slots of all nodes, one in flight
//! for each node. Which executors a call names is decided by [`policy::choose_named`].

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            AdviceRule, AdvisedExecutor, Cell, CellEffect, Executor, ExecutorId, FleetEvent, Now,
            QueueRule, Step, StepId, StepSpec,
            cell_capacity::{CapacitySnapshot, ExecutorCapacity},
            cell_plan::eligible,
            job::Ticket,
            policy::{self, AdviceChoice, AdviceNeed, AdviceOption},
        },
    },
    std::{
        collections::HashSet,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Bounds the executors named in one call; the platform accepts 100.
const MAX_CALL_EXECUTORS: usize = 100;

/// Bounds the calls in flight for one step.
const MAX_STEP_CALLS: usize = 3;

/// Time before a ticket's expiry from which it is not used, in ms: covers the transit of the
/// reply and of the start command.
const TICKET_MARGIN_MS: Millis = 150;

/// Backoff of a step after a call that failed or was refused, in ms.
const ADVICE_RETRY_MS: Millis = 300;

/// Time until a step is considered again that has no use for a call, in ms.
const ADVICE_RECHECK_MS: Millis = 50;

/// Timeout of a call beyond the time that the service works on it, in ms.
const ADVICE_TIMEOUT_MARGIN_MS: Millis = 2_500;

/// Cost of the executors named at no noticeable cost, in percent of a call's fixed part.
const MINOR_COST_PERCENT: u64 = 40;

impl Cell {
    /// Requests advice for steps that did not fit, in the order of `steps`, while a slot is free.
    pub(super) fn request_advice(
        &mut self,
        steps: &[StepId],
        snapshot: &CapacitySnapshot,
        now: Now,
    ) {
        for step in steps {
            if !self.advice_slots.has_free() {
                return;
            }
            self.request_step_advice(*step, snapshot, now);
        }
    }

    /// Requests advice once for steps whose dependencies will be done soon, while a slot is free.
    pub(super) fn request_advice_ahead(&mut self, snapshot: &CapacitySnapshot, now: Now) {
        if !self.advice_slots.has_free() {
            return;
        }
        for step in self.upcoming_steps(now) {
            self.request_step_advice(step, snapshot, now);
            if let Some(state) = self.step_state_mut(&step) {
                state.advice.requested_ahead = state.advice.calls_pending > 0;
            }
        }
    }

    /// Lists the steps that need advice and whose dependencies are not done but will be soon, the
    /// most urgent first. Gangs are left out: they need tickets of one moment.
    fn upcoming_steps(&self, now: Now) -> Vec<StepId> {
        let mut upcoming = Vec::new();
        let open_jobs = self.jobs.values().filter(|j| j.end.is_none());
        for job in open_jobs.filter(|j| j.start_sent && j.submission.spec.steps.len() > 1) {
            let rule = self.queue_rule(job);
            if rule.advice.is_none() {
                continue;
            }
            for (key, step) in &job.steps {
                let alone = job.spec(key.1).is_some_and(|s| !s.gang && !s.persistent);
                let wanted = alone && !step.advice.requested_ahead && step.has_waiting();
                if wanted
                    && !job.dependencies_done(key.0, key.1)
                    && job.dependencies_end_soon(key.0, key.1, now.mono)
                {
                    let due_in_ms = job.due_in_ms(key.0, now);
                    upcoming.push((rule.priority, due_in_ms, job.step_id(*key)));
                }
            }
        }
        upcoming.sort_unstable();
        upcoming.into_iter().map(|(_, _, step)| step).collect()
    }

    /// Estimates how long the runs on an executor still take, in ms, the longest of them. Persistent
    /// ones do not end.
    pub(super) fn busy_ms(&self, id: &ExecutorId, now: Now) -> Millis {
        let Some(executor) = self.executors.get(id) else {
            return Millis::MAX;
        };
        let runs = executor.runs.iter();
        let remaining = runs.filter_map(|(task, run)| self.remaining_run_ms(task, run, now));
        remaining.max().unwrap_or(0)
    }

    /// Requests advice for one step unless it is in flight or of no use now.
    fn request_step_advice(&mut self, id: StepId, snapshot: &CapacitySnapshot, now: Now) {
        let Some((job, _, step)) = self.lookup_step(&id) else {
            return;
        };
        let Some(advice) = self.queue_rule(job).advice else {
            return;
        };
        let blocked = step.advice.calls_pending > 0 || now.mono < step.advice.not_before;
        if blocked || !self.advice_slots.is_free_for(advice.call_cost_ms(1)) {
            return;
        }
        let named = self.executors_to_name(&id, snapshot, now);
        if named.is_empty() {
            self.delay_advice(&id, now.mono + ADVICE_RECHECK_MS);
            return;
        }
        let calls = named.len().div_ceil(MAX_CALL_EXECUTORS).min(MAX_STEP_CALLS);
        let size = named.len().div_ceil(calls).min(MAX_CALL_EXECUTORS);
        for executors in named.chunks(size).take(calls) {
            let cost_ms = advice.call_cost_ms(executors.len());
            let Some(node) = self.advice_slots.find_free(cost_ms) else {
                return;
            };
            let call = self.next_call();
            self.advice_slots.acquire(&node, call);
            let times_out_at = now.mono + cost_ms + ADVICE_TIMEOUT_MARGIN_MS;
            self.advice_calls
                .insert(call, (id, executors.to_vec(), times_out_at));
            if let Some(step) = self.step_state_mut(&id) {
                step.advice.calls_pending += 1;
            }
            self.effects.push(CellEffect::RequestAdvice {
                call,
                node,
                step: id,
                executors: executors.to_vec(),
            });
        }
    }

    /// Lists the executors that the next calls for a step should name; empty if none would let a
    /// task start soon.
    fn executors_to_name(
        &self,
        id: &StepId,
        snapshot: &CapacitySnapshot,
        now: Now,
    ) -> Vec<ExecutorId> {
        let Some(search) = self.search_executors(id, snapshot, now) else {
            return Vec::new();
        };
        if search.valid_fits >= search.waiting {
            return Vec::new();
        }
        let choice = if search.spec.gang {
            search.choose_for_gang()
        } else {
            search.choose_for_tasks()
        };
        let names = choice.named.iter().map(|i| search.executor_id(*i).clone());
        names.collect()
    }

    /// Collects what a step lacks and the executors that a call may name for it; `None` if its
    /// queue needs no advice.
    fn search_executors<'a>(
        &'a self,
        id: &'a StepId,
        snapshot: &'a CapacitySnapshot,
        now: Now,
    ) -> Option<ExecutorSearch<'a>> {
        let (job, spec, step) = self.lookup_step(id)?;
        let rule = self.queue_rule(job);
        let departing = if spec.persistent {
            self.count_departing(id, step)
        } else {
            0
        };
        let waiting = step.count_waiting() + departing;
        let mut search = ExecutorSearch {
            id,
            spec,
            step,
            rule,
            advice: rule.advice?,
            yield_percent: self.advice_yield(&rule.name).percent(),
            needs_speed: job.needs_speed((id.occurrence, id.step), now),
            waiting,
            valid_fits: 0,
            candidates: Vec::new(),
        };
        for entry in snapshot.in_pool(&rule.pool) {
            let name = &entry.info.id;
            let open = entry.is_open_to(id) && eligible(&entry.info, &rule.pool, spec);
            let Some(executor) = self.executors.get(name).filter(|_| open) else {
                continue;
            };
            match step.advice.advised.get(name) {
                Some(ticket) if ticket.expires_at > now.mono => {
                    search.valid_fits += search.fits(executor, &entry.free);
                }
                _ if step.advice.rejected.contains(name) => {}
                _ => search.candidates.push((entry, executor)),
            }
        }
        Some(search)
    }

    fn advice_yield(&self, queue: &str) -> policy::AdviceYield {
        self.advice_yields.get(queue).copied().unwrap_or_default()
    }

    pub(super) fn step_state_mut(&mut self, id: &StepId) -> Option<&mut Step> {
        let job = self.jobs.get_mut(&id.job)?;
        job.steps.get_mut(&(id.occurrence, id.step))
    }

    fn delay_advice(&mut self, id: &StepId, not_before: Millis) {
        if let Some(step) = self.step_state_mut(id) {
            step.advice.not_before = not_before;
        }
    }

    /// Handles the result of a call; `None` if it failed. Executors that the call named and the
    /// reply does not advise are rejected for the step. Rows for other executors are ignored.
    pub(super) fn on_advice_result(
        &mut self,
        call: CallId,
        advised: Option<Vec<AdvisedExecutor>>,
        valid_ms: Millis,
        now: Now,
    ) {
        self.advice_slots.release(call);
        let Some((id, requested, _)) = self.advice_calls.remove(&call) else {
            return;
        };
        let Some((job, _, _)) = self.lookup_step(&id) else {
            return;
        };
        let rule = self.queue_rule(job);
        let queue = rule.name.clone();
        let stated_ms = rule.advice.map_or(0, |a| a.valid_ms);
        if let Some(step) = self.step_state_mut(&id) {
            step.advice.calls_pending = step.advice.calls_pending.saturating_sub(1);
        }
        let Some(advised) = advised else {
            self.delay_advice(&id, now.mono + ADVICE_RETRY_MS);
            self.log(FleetEvent::AdviceFailed, format!("step={id}; tried again"));
            return;
        };
        let valid_ms = if valid_ms == 0 { stated_ms } else { valid_ms };
        if valid_ms <= TICKET_MARGIN_MS {
            self.delay_advice(&id, now.mono + ADVICE_RETRY_MS);
            self.log(
                FleetEvent::AdviceFailed,
                format!("step={id} valid_ms={valid_ms}; tickets too short-lived"),
            );
        }
        let expires_at = now.mono + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        let requested: HashSet<ExecutorId> = requested.into_iter().collect();
        let Some(step) = self.step_state_mut(&id) else {
            return;
        };
        let known = requested
            .iter()
            .filter(|e| step.advice.advised.contains_key(*e))
            .count();
        let mut rejected = requested.clone();
        for entry in advised {
            if !requested.contains(&entry.executor) {
                continue;
            }
            rejected.remove(&entry.executor);
            let ticket = Ticket {
                value: entry.ticket,
                expires_at,
            };
            step.advice.advised.insert(entry.executor, ticket);
        }
        let advised_count = requested.len() - rejected.len();
        for executor in rejected {
            step.advice.advised.remove(&executor);
            step.advice.rejected.insert(executor);
        }
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let new = (
            count(requested.len() - known),
            count(advised_count.saturating_sub(known)),
        );
        self.advice_yields
            .entry(queue)
            .or_default()
            .record(new.0, new.1);
        let named = requested.len();
        self.log(
            FleetEvent::StepAdvised,
            format!("step={id} named={named} renewed={known} advised={advised_count}"),
        );
    }

    /// Handles calls without a reply as failed once their timeout has passed.
    pub(super) fn expire_advice_calls(&mut self, now: Now) {
        let timed_out = |(call, (_, _, at)): (&CallId, &(StepId, Vec<ExecutorId>, Millis))| {
            (*at <= now.mono).then_some(*call)
        };
        let timed_out: Vec<CallId> = self.advice_calls.iter().filter_map(timed_out).collect();
        for call in timed_out {
            self.on_advice_result(call, None, 0, now);
        }
    }
}

/// The executors that a call may name for a step, and what the step lacks.
struct ExecutorSearch<'a> {
    id: &'a StepId,
    spec: &'a StepSpec,
    step: &'a Step,
    rule: &'a QueueRule,
    advice: AdviceRule,
    /// Share of executors that the service advises for the queue, in percent.
    yield_percent: u32,
    needs_speed: bool,
    /// Tasks that wait, or that must move from executors which drain.
    waiting: u32,
    /// Of these, tasks that fit on executors with a valid ticket.
    valid_fits: u32,
    /// Executors without a valid ticket that are not known to be rejected.
    candidates: Vec<(&'a ExecutorCapacity, &'a Executor)>,
}

impl ExecutorSearch<'_> {
    fn executor_id(&self, index: usize) -> &ExecutorId {
        &self.candidates[index].0.info.id
    }

    /// Returns how many tasks of the step fit into `free` of an executor.
    fn fits(&self, executor: &Executor, free: &Resources) -> u32 {
        let fits = free
            .times_covered(&self.spec.allocation())
            .min(self.waiting);
        match self.spec.max_per_executor {
            0 => fits,
            limit => fits.min(limit.saturating_sub(executor.count_step_tasks(self.id))),
        }
    }

    fn choose(&self, free: impl Fn(&ExecutorCapacity, &Executor) -> Resources) -> AdviceChoice {
        let option = |(entry, executor): &(&ExecutorCapacity, &Executor)| AdviceOption {
            fits: self.fits(executor, &free(entry, executor)),
            advised: self.is_advised(&entry.info.id),
            splits_idle: self.splits_idle(entry),
            run_time_percent: if self.needs_speed {
                entry.run_time_percent
            } else {
                100
            },
            spread_key: spread_key(self.id, &entry.info.id),
        };
        let options: Vec<AdviceOption> = self.candidates.iter().map(option).collect();
        let need = AdviceNeed {
            tasks: self.waiting.saturating_sub(self.valid_fits),
            gang: self.spec.gang,
            yield_percent: self.yield_percent,
            min_named: minor_executors(self.advice.call_cost_us, self.advice.executor_cost_us),
            max_named: MAX_CALL_EXECUTORS * MAX_STEP_CALLS,
        };
        policy::choose_named(&need, &options)
    }

    /// Chooses executors with free capacity; if they do not suffice and the queue may preempt
    /// others, those where it could.
    fn choose_for_tasks(&self) -> AdviceChoice {
        let choice = self.choose(|entry, _| entry.free);
        if choice.sufficient || self.rule.priority > 0 {
            return choice;
        }
        self.choose(|_, executor| executor.free_after_preemption())
    }

    /// Chooses executors for all members at once. While they do not fit, a call is of use only to
    /// learn which executors the gang may wait for.
    fn choose_for_gang(&self) -> AdviceChoice {
        let choice = self.choose(|_, executor| executor.free_after_stops());
        if choice.sufficient {
            return choice;
        }
        if self.rule.priority == 0 {
            let choice = self.choose(|_, executor| executor.free_after_preemption());
            if choice.sufficient {
                return choice;
            }
        }
        let advised = self
            .candidates
            .iter()
            .filter(|(entry, _)| self.is_advised(&entry.info.id));
        let advised_fits: u32 = advised
            .map(|(entry, executor)| self.fits(executor, &entry.info.capacity))
            .sum();
        if advised_fits + self.valid_fits >= self.waiting {
            return AdviceChoice::default();
        }
        self.choose(|entry, _| entry.info.capacity)
    }

    /// Returns whether the step's tasks need at most half of the accelerators of an executor on
    /// which none is in use.
    fn splits_idle(&self, entry: &ExecutorCapacity) -> bool {
        let need = self.spec.need.accelerators;
        let whole = entry.info.capacity.accelerators;
        !self.spec.gang && need > 0 && need * 2 <= whole && entry.free.accelerators == whole
    }

    fn is_advised(&self, executor: &ExecutorId) -> bool {
        self.step.advice.advised.contains_key(executor)
    }
}

/// Returns how many executors a call can name for a minor part of its fixed cost.
fn minor_executors(call_cost_us: u64, executor_cost_us: u64) -> usize {
    let minor_us = call_cost_us * MINOR_COST_PERCENT / 100;
    let count = minor_us.checked_div(executor_cost_us).unwrap_or(0);
    usize::try_from(count).unwrap_or(0).min(MAX_CALL_EXECUTORS)
}

/// Orders equal executors differently for each step, so that steps spread over the pool.
fn spread_key(step: &StepId, executor: &ExecutorId) -> u64 {
    let mut hasher = DefaultHasher::new();
    step.hash(&mut hasher);
    executor.hash(&mut hasher);
    hasher.finish()
}
