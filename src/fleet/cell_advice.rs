//! Advice of the cell: which executors may run a step, asked through the lanes of all nodes.

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

/// Most executors named in one call; the platform takes 100.
const ADVICE_EXECUTORS: usize = 100;

/// Executors named when only tickets must be renewed.
const RENEWED_EXECUTORS: usize = 8;

/// Time before a ticket's end from which it is not used, in ms: answer and order are on
/// their way meanwhile.
const TICKET_MARGIN_MS: Millis = 150;

/// Time until a refused call is tried again, in ms.
const ADVICE_RETRY_MS: Millis = 300;

/// Time beyond the service's own until a call counts as lost, in ms.
const ADVICE_LOST_MS: Millis = 2_500;

impl Cell {
    /// Asks for advice where it is needed, the most urgent first.
    pub(super) fn request_advice(
        &mut self,
        candidates: &[Candidate],
        rooms: &CapacitySnapshot,
        now: Now,
    ) {
        for candidate in candidates {
            if !self.advice_slots.has_free() {
                return;
            }
            self.ask_for(candidate.step, rooms, now);
        }
    }

    fn ask_for(&mut self, id: StepId, rooms: &CapacitySnapshot, now: Now) {
        let Some((job, spec, step)) = self.lookup_step(&id) else {
            return;
        };
        let rule = self.queue_rule(job);
        let Some(advice) = rule.advice else { return };
        if step.advice.call_pending || now.mono < step.advice.not_before || !step.has_waiting() {
            return;
        }
        let need = spec.allocation();
        let mut stale: Vec<ExecutorId> = Vec::new();
        for room in rooms.with_free(&rule.pool, &need) {
            let name = &room.info.id;
            if !eligible(&room.info, &rule.pool, spec) {
                continue;
            }
            match step.advice.advised.get(name) {
                Some(ticket) if ticket.expires_at > now.mono => return,
                Some(_) => stale.push(name.clone()),
                None => {}
            }
        }
        let first = step.advice.advised.is_empty();
        let executors: Vec<ExecutorId> = if first || stale.is_empty() {
            self.unknown_executors(&id, now)
        } else {
            stale.into_iter().take(RENEWED_EXECUTORS).collect()
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
        let lost_at = now.mono + cost_ms + ADVICE_LOST_MS;
        self.advice_calls
            .insert(call, (id, executors.clone(), lost_at));
        self.set_asking(&id, true, 0);
        self.effects.push(CellEffect::RequestAdvice {
            call,
            node,
            step: id,
            executors,
        });
    }

    /// Lists executors of which the advice service has not been asked for this step.
    fn unknown_executors(&self, id: &StepId, now: Now) -> Vec<ExecutorId> {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return Vec::new();
        };
        let pool = &self.queue_rule(job).pool;
        let advice = &step.advice;
        let unknown = self.executors.iter().filter(|(name, e)| {
            e.info.pool == *pool
                && !advice.rejected.contains(*name)
                && !advice.advised.contains_key(*name)
                && e.is_schedulable(now.mono)
                && eligible(&e.info, pool, spec)
        });
        let names = unknown.map(|(name, _)| name.clone());
        names.take(ADVICE_EXECUTORS).collect()
    }

    fn set_asking(&mut self, id: &StepId, asking: bool, not_before: Millis) {
        let job = self.jobs.get_mut(&id.job);
        if let Some(step) = job.and_then(|j| j.steps.get_mut(&(id.occurrence, id.step))) {
            step.advice.call_pending = asking;
            step.advice.not_before = not_before;
        }
    }

    /// Takes in the advice service's answer.
    pub(super) fn on_advice_result(
        &mut self,
        call: CallId,
        good: Option<Vec<AdvisedExecutor>>,
        valid_ms: Millis,
        now: Now,
    ) {
        self.advice_slots.release(call);
        let Some((id, asked, _)) = self.advice_calls.remove(&call) else {
            return;
        };
        let Some(good) = good else {
            self.set_asking(&id, false, now.mono + ADVICE_RETRY_MS);
            self.log(FleetEvent::AdviceFailed, format!("step={id}; tried again"));
            return;
        };
        self.set_asking(&id, false, 0);
        let job = self.jobs.get_mut(&id.job);
        let Some(step) = job.and_then(|j| j.steps.get_mut(&(id.occurrence, id.step))) else {
            return;
        };
        let named: HashSet<&ExecutorId> = good.iter().map(|a| &a.executor).collect();
        for executor in asked.iter().filter(|e| !named.contains(e)) {
            step.advice.advised.remove(executor);
            step.advice.rejected.insert(executor.clone());
        }
        let expires_at = now.mono + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        for advised in good {
            let ticket = Ticket {
                value: advised.ticket,
                expires_at,
            };
            step.advice.advised.insert(advised.executor, ticket);
        }
    }

    /// Gives up calls that got no answer.
    pub(super) fn expire_advice_calls(&mut self, now: Now) {
        let lost = |(call, (_, _, at)): (&CallId, &(StepId, Vec<ExecutorId>, Millis))| {
            (*at <= now.mono).then_some(*call)
        };
        let lost: Vec<CallId> = self.advice_calls.iter().filter_map(lost).collect();
        for call in lost {
            self.on_advice_result(call, None, 0, now);
        }
    }
}
