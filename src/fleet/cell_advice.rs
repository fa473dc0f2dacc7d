//! Advice of the platform's placement service: which executors may run a step.
//!
//! Called at the end of a round. Calls go through the advice slots of all nodes, one in flight
//! for each node. Which executors a call names is decided by [`policy::choose_named`].

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            AdvisedExecutor, Cell, CellEffect, Executor, ExecutorId, FleetEvent, Now, StepId,
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
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return Vec::new();
        };
        let rule = self.queue_rule(job);
        let Some(advice) = rule.advice else {
            return Vec::new();
        };
        let need = spec.allocation();
        let waiting = step.count_waiting();
        let fits = |executor: &Executor, free: &Resources| {
            let fits = free.times_covered(&need).min(waiting);
            match spec.max_per_executor {
                0 => fits,
                limit => fits.min(limit.saturating_sub(executor.count_step_tasks(id))),
            }
        };
        let mut valid_fits = 0;
        let mut asked: Vec<(&ExecutorCapacity, &Executor)> = Vec::new();
        for entry in snapshot.in_pool(&rule.pool) {
            let name = &entry.info.id;
            let open = entry.is_open_to(id) && eligible(&entry.info, &rule.pool, spec);
            let Some(executor) = self.executors.get(name).filter(|_| open) else {
                continue;
            };
            match step.advice.advised.get(name) {
                Some(t) if t.expires_at > now.mono => valid_fits += fits(executor, &entry.free),
                _ if step.advice.rejected.contains(name) => {}
                _ => asked.push((entry, executor)),
            }
        }
        let may_preempt = rule.priority == 0;
        let in_a_hurry = job.needs_speed(id.step, now.mono);
        let choose = |free: &dyn Fn(&ExecutorCapacity, &Executor) -> Resources| -> AdviceChoice {
            let options: Vec<AdviceOption> = asked
                .iter()
                .map(|(entry, executor)| AdviceOption {
                    fits: fits(executor, &free(entry, executor)),
                    permitted: step.advice.advised.contains_key(&entry.info.id),
                    run_time_percent: if in_a_hurry {
                        entry.run_time_percent
                    } else {
                        100
                    },
                    spread_key: spread_key(id, &entry.info.id),
                })
                .collect();
            let need = AdviceNeed {
                tasks: waiting.saturating_sub(valid_fits),
                gang: spec.gang,
                yield_percent: self.advice_yield(&rule.name).percent(),
                min_named: minor_executors(advice.call_cost_us, advice.executor_cost_us),
                max_named: MAX_CALL_EXECUTORS * MAX_STEP_CALLS,
            };
            policy::choose_named(&need, &options)
        };
        if valid_fits >= waiting {
            return Vec::new();
        }
        let mut choice = if spec.gang {
            choose(&|_, executor| executor.free_after_stops())
        } else {
            choose(&|entry, _| entry.free)
        };
        if may_preempt && !choice.sufficient {
            choice = choose(&|_, executor| executor.free_after_preemption());
        }
        if spec.gang && !choice.sufficient {
            // No call now lets the gang start; one is of use only to learn which executors it
            // may wait for.
            let known = asked
                .iter()
                .filter(|(entry, _)| step.advice.advised.contains_key(&entry.info.id));
            let known_fits: u32 = known.map(|(e, x)| fits(x, &e.info.capacity)).sum();
            if known_fits + valid_fits >= waiting {
                return Vec::new();
            }
            choice = choose(&|entry, _| entry.info.capacity);
        }
        let names = choice.named.iter().map(|i| asked[*i].0.info.id.clone());
        names.collect()
    }

    fn advice_yield(&self, queue: &str) -> policy::AdviceYield {
        self.advice_yields.get(queue).copied().unwrap_or_default()
    }

    fn step_state_mut(&mut self, id: &StepId) -> Option<&mut crate::fleet::Step> {
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
        let permitted = requested.len() - rejected.len();
        for executor in rejected {
            step.advice.advised.remove(&executor);
            step.advice.rejected.insert(executor);
        }
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let new = (
            count(requested.len() - known),
            count(permitted.saturating_sub(known)),
        );
        self.advice_yields
            .entry(queue)
            .or_default()
            .record(new.0, new.1);
        let named = requested.len();
        self.log(
            FleetEvent::StepAdvised,
            format!("step={id} named={named} renewed={known} permitted={permitted}"),
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
