//! Executors of the roster whose lists a new owner has not read, and what may run there.
//!
//! Bounds what one of them holds up: a recovered task waits only for executors that may run it. Used by
//! the cell. Nothing here sends a command or reads a clock.

use {
    crate::fleet::{ExecutorId, StepId, TaskId},
    std::collections::{BTreeMap, BTreeSet},
};

/// The unread executors of one owner.
#[derive(Debug, Default)]
pub struct UnreadExecutors {
    /// The tasks that may run on each; `None`: not known, so any recovered task may.
    executors: BTreeMap<ExecutorId, Option<Vec<TaskId>>>,
    /// Number of executors for which they are not known.
    unknown_count: usize,
    /// For each task that is named, the number of executors that may run it.
    tasks: BTreeMap<TaskId, u32>,
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
        self.executors.insert(id, tasks);
    }

    /// Removes an executor that was read or on which nothing of earlier owners is left.
    pub fn remove(&mut self, id: &str) {
        let Some(tasks) = self.executors.remove(id) else {
            return;
        };
        let Some(tasks) = tasks else {
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

    /// Lists the executors with the tasks that may run there, if they are known.
    pub fn iter(&self) -> impl Iterator<Item = (&ExecutorId, Option<&[TaskId]>)> {
        let executors = self.executors.iter();
        executors.map(|(id, tasks)| (id, tasks.as_deref()))
    }

    /// Returns the tasks that may run on an executor; `None` if they are not known or it was read.
    pub fn tasks_on(&self, id: &str) -> Option<&[TaskId]> {
        self.executors.get(id)?.as_deref()
    }

    /// Returns whether any recovered task may run on one of them.
    pub fn may_run_any(&self) -> bool {
        self.unknown_count > 0
    }

    /// Returns whether a recovered task may run on one of them.
    pub fn may_run(&self, task: &TaskId) -> bool {
        self.may_run_any() || self.tasks.contains_key(task)
    }

    /// Lists the tasks of a step that are named for one of them, by index.
    pub fn named_of_step(&self, step: &StepId) -> BTreeSet<u32> {
        let task = |index| TaskId { step: *step, index };
        let named = self.tasks.range(task(0)..=task(u32::MAX));
        named.map(|(t, _)| t.index).collect()
    }
}
