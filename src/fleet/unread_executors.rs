//! Executors of the roster whose lists a new owner has not read, and what may run there.
//!
//! Bounds what one of them holds up: a recovered task waits only for executors that may run it. Used by
//! the cell. Nothing here sends a command or reads a clock.

use {
    crate::{
        core::Resources,
        fleet::{ExecutorId, StepId, TaskId},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// What the possible runs on an executor need, by tenant.
pub type TenantNeeds = Vec<(Arc<str>, Resources)>;

/// What is known of an executor that was not read.
#[derive(Debug, Default)]
struct Unread {
    /// The tasks that may run there; `None`: not known, so any recovered task may.
    tasks: Option<Vec<TaskId>>,
    /// What they need; `None`: not known.
    needs: Option<TenantNeeds>,
}

/// The unread executors of one owner.
#[derive(Debug, Default)]
pub struct UnreadExecutors {
    executors: BTreeMap<ExecutorId, Unread>,
    /// Number of executors for which they are not known.
    unknown_count: usize,
    /// For each task that is named, the number of executors that may run it.
    tasks: BTreeMap<TaskId, u32>,
    /// Sum of the needs that are known, by tenant.
    needs: HashMap<Arc<str>, Resources>,
}

impl UnreadExecutors {
    /// Adds an executor and the tasks that may run there, if they are known.
    pub fn insert(&mut self, id: ExecutorId, tasks: Option<Vec<TaskId>>) {
        self.remove(&id);
        match &tasks {
            Some(tasks) => {
                for task in tasks {
                    *self.tasks.entry(*task).or_default() += 1;
                }
            }
            None => self.unknown_count += 1,
        }
        let unread = Unread { tasks, needs: None };
        self.executors.insert(id, unread);
    }

    /// Sets what the possible runs on each executor need, by their tasks; `needs_of` returns `None` where
    /// a task is not known.
    pub fn set_needs(&mut self, needs_of: impl Fn(&[TaskId]) -> Option<TenantNeeds>) {
        self.needs.clear();
        for unread in self.executors.values_mut() {
            unread.needs = unread.tasks.as_deref().and_then(&needs_of);
            for (tenant, need) in unread.needs.iter().flatten() {
                self.needs.entry(tenant.clone()).or_default().add(need);
            }
        }
    }

    /// Returns what the possible runs of a tenant need on the executors for which that is known.
    pub fn needs(&self, tenant: &str) -> Resources {
        self.needs.get(tenant).copied().unwrap_or_default()
    }

    /// Lists the executors for which it is not known what the possible runs need.
    pub fn without_needs(&self) -> impl Iterator<Item = &ExecutorId> {
        let unknown = self.executors.iter().filter(|(_, u)| u.needs.is_none());
        unknown.map(|(id, _)| id)
    }

    /// Removes an executor that was read or on which nothing of earlier owners is left.
    pub fn remove(&mut self, id: &str) {
        let Some(unread) = self.executors.remove(id) else {
            return;
        };
        for (tenant, need) in unread.needs.iter().flatten() {
            if let Some(sum) = self.needs.get_mut(tenant) {
                *sum = sum.saturating_sub(need);
            }
        }
        let Some(tasks) = unread.tasks else {
            self.unknown_count -= 1;
            return;
        };
        for task in tasks {
            if let Some(count) = self.tasks.get_mut(&task) {
                *count -= 1;
                if *count == 0 {
                    self.tasks.remove(&task);
                }
            }
        }
    }

    /// Removes the executors for which `is_removed` holds, and returns them.
    pub fn remove_if(&mut self, is_removed: impl Fn(&ExecutorId) -> bool) -> Vec<ExecutorId> {
        let ids = self.executors.keys().filter(|id| is_removed(id));
        let removed: Vec<ExecutorId> = ids.cloned().collect();
        for id in &removed {
            self.remove(id);
        }
        removed
    }

    pub fn contains(&self, id: &str) -> bool {
        self.executors.contains_key(id)
    }

    pub fn is_empty(&self) -> bool {
        self.executors.is_empty()
    }

    pub fn len(&self) -> usize {
        self.executors.len()
    }

    pub fn ids(&self) -> impl Iterator<Item = &ExecutorId> {
        self.executors.keys()
    }

    /// Counts the executors of which it is known what may run there.
    pub fn known_count(&self) -> usize {
        self.executors.len() - self.unknown_count
    }

    /// Returns the tasks that may run on an executor; `None` if they are not known or it was read.
    pub fn tasks_on(&self, id: &str) -> Option<&[TaskId]> {
        self.executors.get(id)?.tasks.as_deref()
    }

    /// Returns whether it is not known of one of them what may run there, so that any recovered task may.
    pub fn has_unknown(&self) -> bool {
        self.unknown_count > 0
    }

    /// Lists the tasks of a step that are named for one of them, by index.
    pub fn named_of_step(&self, step: &StepId) -> BTreeSet<u32> {
        let task = |index| TaskId { step: *step, index };
        let named = self.tasks.range(task(0)..=task(u32::MAX));
        named.map(|(t, _)| t.index).collect()
    }
}
