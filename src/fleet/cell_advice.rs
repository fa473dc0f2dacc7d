//! Advice of the platform's placement service: which executors may run a step.
//!
//! Called at the end of a round. Calls go through the advice slots of all nodes, one in flight
//! for each node; a step has at most one call pending.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            AdvisedExecutor, Cell, CellEffect, ExecutorId, FleetEvent, Now, StepId,
            cell_capacity::CapacitySnapshot,
            cell_plan::{Candidate, eligible},
            job::Ticket,
        },
    },
    std::collections::HashSet,
};

/// Bounds the executors named in one call; the platform accepts 100.
const MAX_ADVICE_EXECUTORS: usize = 100;

/// Bounds the executors named in a call that only renews tickets.
const MAX_RENEWED_EXECUTORS: usize = 8;

/// Time before a ticket's expiry from which it is not used, in ms: covers the transit of the
/// reply and of the start command.
const TICKET_MARGIN_MS: Millis = 150;

/// Backoff of a step after a call that failed or was refused, in ms.
const ADVICE_RETRY_MS: Millis = 300;

/// Timeout of a call beyond the time that the service works on it, in ms.
const ADVICE_TIMEOUT_MARGIN_MS: Millis = 2_500;

impl Cell {
    /// Requests advice for the steps that need it, in the order of `candidates`, while a slot is
    /// free.
    pub(super) fn request_advice(
        &mut self,
        candidates: &[Candidate],
        snapshot: &CapacitySnapshot,
        now: Now,
    ) {
        for candidate in candidates {
            if !self.advice_slots.has_free() {
                return;
            }
            self.request_step_advice(candidate.step, snapshot, now);
        }
    }

    /// Requests advice for one step, unless a valid ticket with free capacity exists. A step whose
    /// tickets have expired gets those renewed, others get advice on more executors.
    fn request_step_advice(&mut self, id: StepId, snapshot: &CapacitySnapshot, now: Now) {
        let Some((job, spec, step)) = self.lookup_step(&id) else {
            return;
        };
        let rule = self.queue_rule(job);
        let Some(advice) = rule.advice else { return };
        if step.advice.call_pending || now.mono < step.advice.not_before || !step.has_waiting() {
            return;
        }
        let need = spec.allocation();
        let mut expired: Vec<ExecutorId> = Vec::new();
        for entry in snapshot.with_free(&rule.pool, &need) {
            let name = &entry.info.id;
            if !eligible(&entry.info, &rule.pool, spec) {
                continue;
            }
            match step.advice.advised.get(name) {
                Some(ticket) if ticket.expires_at > now.mono => return,
                Some(_) => expired.push(name.clone()),
                None => {}
            }
        }
        let none_advised = step.advice.advised.is_empty();
        let executors: Vec<ExecutorId> = if none_advised || expired.is_empty() {
            self.unadvised_executors(&id, now)
        } else {
            expired.into_iter().take(MAX_RENEWED_EXECUTORS).collect()
        };
        if executors.is_empty() {
            return;
        }
        let cost_ms = advice.call_cost_ms(executors.len());
        let Some(node) = self.advice_slots.find_free(cost_ms) else {
            return;
        };
        let call = self.next_call();
        self.advice_slots.acquire(&node, call);
        let times_out_at = now.mono + cost_ms + ADVICE_TIMEOUT_MARGIN_MS;
        self.advice_calls
            .insert(call, (id, executors.clone(), times_out_at));
        self.set_call_pending(&id, true, 0);
        self.effects.push(CellEffect::RequestAdvice {
            call,
            node,
            step: id,
            executors,
        });
    }

    /// Lists eligible executors on which there is no advice for this step yet.
    fn unadvised_executors(&self, id: &StepId, now: Now) -> Vec<ExecutorId> {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return Vec::new();
        };
        let pool = &self.queue_rule(job).pool;
        let advice = &step.advice;
        let unadvised = self.executors.iter().filter(|(name, e)| {
            e.info.pool == *pool
                && !advice.rejected.contains(*name)
                && !advice.advised.contains_key(*name)
                && e.is_schedulable(now.mono)
                && eligible(&e.info, pool, spec)
        });
        let names = unadvised.map(|(name, _)| name.clone());
        names.take(MAX_ADVICE_EXECUTORS).collect()
    }

    fn set_call_pending(&mut self, id: &StepId, pending: bool, not_before: Millis) {
        let job = self.jobs.get_mut(&id.job);
        if let Some(step) = job.and_then(|j| j.steps.get_mut(&(id.occurrence, id.step))) {
            step.advice.call_pending = pending;
            step.advice.not_before = not_before;
        }
    }

    /// Handles the result of a call; `None` if it failed. Executors that the call named and the
    /// reply does not advise are rejected for the step.
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
        let Some(advised) = advised else {
            self.set_call_pending(&id, false, now.mono + ADVICE_RETRY_MS);
            self.log(FleetEvent::AdviceFailed, format!("step={id}; tried again"));
            return;
        };
        self.set_call_pending(&id, false, 0);
        let job = self.jobs.get_mut(&id.job);
        let Some(step) = job.and_then(|j| j.steps.get_mut(&(id.occurrence, id.step))) else {
            return;
        };
        let named: HashSet<&ExecutorId> = advised.iter().map(|a| &a.executor).collect();
        for executor in requested.iter().filter(|e| !named.contains(e)) {
            step.advice.advised.remove(executor);
            step.advice.rejected.insert(executor.clone());
        }
        let expires_at = now.mono + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        for entry in advised {
            let ticket = Ticket {
                value: entry.ticket,
                expires_at,
            };
            step.advice.advised.insert(entry.executor, ticket);
        }
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
