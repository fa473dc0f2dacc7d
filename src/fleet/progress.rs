//! Durable progress of a job, and its two encodings (postcard).
//!
//! Written by the owner under the job's key of progress, read at a takeover. Versions before the
//! sparse encoding read the dense one only, so jobs that those can schedule keep it.

use {
    crate::fleet::{IndexSet, StepSpec},
    serde::{
        Deserialize, Deserializer, Serialize,
        de::{SeqAccess, Visitor},
    },
    std::{fmt, sync::Arc},
};

/// First byte of the sparse encoding.
const SPARSE_VERSION: u8 = 1;

/// Durable progress of one task that is not done.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskProgress {
    pub index: u32,
    /// Runs that ended as failed. Executors may list their ends again, in any order, to the next
    /// owner, which must not count them twice.
    pub failed_runs: Vec<u64>,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Durable progress of one step of one occurrence; steps without a record have none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    pub occurrence: u32,
    pub step: u16,
    /// Tasks that are done.
    pub done: IndexSet,
    /// Tasks that are not done but have progress, in order.
    pub tasks: Vec<TaskProgress>,
}

/// Executors that crashed soon after a task had started there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashedTask {
    pub occurrence: u32,
    pub step: u16,
    pub index: u32,
    /// Runs under which an executor crashed, and whether no task of another job could have
    /// caused it.
    pub runs: Vec<(u64, bool)>,
}

/// Durable progress of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    /// Occurrences of which all steps are done; `steps` does not list these. Always empty when read
    /// from the dense encoding.
    pub completed: IndexSet,
    pub steps: Vec<StepProgress>,
    pub crashed_tasks: Vec<CrashedTask>,
}

/// Encoding of a progress record; that of a job's own record tells which one is in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgressFormat {
    /// A state for each task of a step that has progress. The list of crashed tasks follows; records
    /// of earlier versions end before it.
    Dense,
    /// Ranges of tasks that are done, and those others that have progress.
    Sparse,
}

/// One task of the dense encoding.
#[derive(Default, Deserialize, Serialize)]
struct DenseTask {
    done: bool,
    failed_runs: Vec<u64>,
    checkpoint: Arc<str>,
}

#[derive(Serialize)]
struct DenseStep {
    occurrence: u32,
    step: u16,
    /// One for each task of the step, in order.
    tasks: Vec<DenseTask>,
}

#[derive(Deserialize)]
struct ReadStep {
    occurrence: u32,
    step: u16,
    tasks: ReadTasks,
}

/// The tasks of a dense step, read one by one: a list of all would take many times the record's size.
struct ReadTasks {
    done: IndexSet,
    tasks: Vec<TaskProgress>,
}

impl JobProgress {
    /// Encodes a record; `specs` are the steps of the job.
    pub fn encode(&self, format: ProgressFormat, specs: &[StepSpec]) -> postcard::Result<Vec<u8>> {
        match format {
            ProgressFormat::Dense => {
                let mut record = postcard::to_stdvec(&self.dense_steps(specs))?;
                record.extend(postcard::to_stdvec(&self.crashed_tasks)?);
                Ok(record)
            }
            ProgressFormat::Sparse => postcard::to_stdvec(&(SPARSE_VERSION, self)),
        }
    }

    /// Decodes a record, also a dense one of an earlier version.
    pub fn decode(record: &[u8], format: ProgressFormat) -> postcard::Result<Self> {
        if format == ProgressFormat::Sparse {
            let (version, rest) = postcard::take_from_bytes::<u8>(record)?;
            if version != SPARSE_VERSION {
                return Err(postcard::Error::DeserializeBadEncoding);
            }
            return postcard::from_bytes(rest);
        }
        let (steps, rest): (Vec<ReadStep>, _) = postcard::take_from_bytes(record)?;
        let crashed_tasks = if rest.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(rest)?
        };
        let steps = steps.into_iter().map(|s| StepProgress {
            occurrence: s.occurrence,
            step: s.step,
            done: s.tasks.done,
            tasks: s.tasks.tasks,
        });
        Ok(Self {
            completed: IndexSet::default(),
            steps: steps.collect(),
            crashed_tasks,
        })
    }

    /// Bounds the size of the sparse encoding from above, in bytes, without encoding it.
    pub fn max_sparse_bytes(&self) -> usize {
        let set = |s: &IndexSet| 10 + 10 * s.ranges().count();
        let task = |t: &TaskProgress| 25 + 10 * t.failed_runs.len() + t.checkpoint.len();
        let step = |s: &StepProgress| 20 + set(&s.done) + s.tasks.iter().map(task).sum::<usize>();
        let crashed = |c: &CrashedTask| 25 + 11 * c.runs.len();
        20 + set(&self.completed)
            + self.steps.iter().map(step).sum::<usize>()
            + self.crashed_tasks.iter().map(crashed).sum::<usize>()
    }

    fn dense_steps(&self, specs: &[StepSpec]) -> Vec<DenseStep> {
        let mut steps = Vec::new();
        for occurrence in self.completed.ranges().flatten() {
            for (step, spec) in (0u16..).zip(specs) {
                let done = StepProgress {
                    occurrence,
                    step,
                    done: IndexSet::up_to(spec.count),
                    tasks: Vec::new(),
                };
                steps.push(done.to_dense(spec.count));
            }
        }
        let with_count = self.steps.iter().filter_map(|s| {
            let spec = specs.get(usize::from(s.step))?;
            Some(s.to_dense(spec.count))
        });
        steps.extend(with_count);
        steps.sort_by_key(|s| (s.occurrence, s.step));
        steps
    }
}

impl StepProgress {
    fn to_dense(&self, count: u32) -> DenseStep {
        let len = usize::try_from(count).unwrap_or(0);
        let mut tasks: Vec<DenseTask> = Vec::with_capacity(len);
        tasks.resize_with(len, DenseTask::default);
        let position = |index: u32| usize::try_from(index).unwrap_or(usize::MAX);
        for index in self.done.ranges().flatten() {
            if let Some(task) = tasks.get_mut(position(index)) {
                task.done = true;
            }
        }
        for saved in &self.tasks {
            if let Some(task) = tasks.get_mut(position(saved.index)) {
                task.failed_runs.clone_from(&saved.failed_runs);
                task.checkpoint = saved.checkpoint.clone();
            }
        }
        DenseStep {
            occurrence: self.occurrence,
            step: self.step,
            tasks,
        }
    }
}

impl<'de> Deserialize<'de> for ReadTasks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ReadTasksVisitor)
    }
}

struct ReadTasksVisitor;

impl<'de> Visitor<'de> for ReadTasksVisitor {
    type Value = ReadTasks;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the states of a step's tasks")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ReadTasks, A::Error> {
        let mut read = ReadTasks {
            done: IndexSet::default(),
            tasks: Vec::new(),
        };
        let mut index = 0;
        while let Some(task) = seq.next_element::<DenseTask>()? {
            if task.done {
                read.done.insert(index);
            } else if !task.failed_runs.is_empty() || !task.checkpoint.is_empty() {
                read.tasks.push(TaskProgress {
                    index,
                    failed_runs: task.failed_runs,
                    checkpoint: task.checkpoint,
                });
            }
            index += 1;
        }
        Ok(read)
    }
}
