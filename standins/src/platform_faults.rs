//! Faults of a soak: what happens to calls between nodes, executors and the store.
//!
//! `platform_host` asks for the fate of each call, and `soak` adds and removes the rules. Keeps
//! the spans of all faults, so that a report can name those that were active at a time.

use {
    crate::lock,
    dragonflyferry::core::Millis,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        fmt,
        sync::{Arc, Mutex},
    },
    tokio::sync::Notify,
};

/// One end of a call; nodes and executors are numbered from 0.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Party {
    Executor(usize),
    Node(usize),
    Store,
}

/// What happens to a call that a rule applies to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// Carried out at once, replied after this time in ms.
    HoldReply(Millis),
    /// Carried out after this time in ms, without a reply; a read is only lost.
    Late(Millis),
    /// Carried out, without a reply.
    LoseReply,
    /// Refused with this status.
    Refuse(u16),
    /// Not carried out; the connection is closed.
    Reset,
    /// Carried out; the connection is closed instead of a reply.
    ResetReply,
    /// Not carried out, without a reply.
    Silent,
    /// Carried out and replied after this time in ms.
    Slow(Millis),
}

type Applies = Box<dyn Fn(Party, Party) -> bool + Send + Sync>;

/// Selects calls by caller and callee, and decides their fate.
pub struct FaultRule {
    name: String,
    fate: Fate,
    applies: Applies,
    percent: u32,
    path: &'static str,
    stale_only: bool,
    hit: Option<Arc<Notify>>,
}

impl FaultRule {
    /// Creates a rule for all calls whose caller and callee satisfy `applies`.
    pub fn new(
        name: impl Into<String>,
        fate: Fate,
        applies: impl Fn(Party, Party) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.into(),
            fate,
            applies: Box::new(applies),
            percent: 100,
            path: "",
            stale_only: false,
            hit: None,
        }
    }

    /// Applies to this part of the calls only, in percent.
    #[must_use]
    pub fn percent(mut self, percent: u32) -> Self {
        self.percent = percent;
        self
    }

    /// Applies only to calls whose path starts with `path`.
    #[must_use]
    pub fn path(mut self, path: &'static str) -> Self {
        self.path = path;
        self
    }

    /// Applies only to connections opened before the rule was added.
    #[must_use]
    pub fn stale_only(mut self) -> Self {
        self.stale_only = true;
        self
    }

    /// Notifies `hit` of each call that it applies to.
    #[must_use]
    pub fn on_hit(mut self, hit: Arc<Notify>) -> Self {
        self.hit = Some(hit);
        self
    }
}

/// A fault and when it was active, in ms.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    pub name: String,
    /// Whether persistent tasks must run on in time during it: work that operators announce, such as a
    /// SIGTERM, and single losses of the owner.
    pub judged: bool,
    pub since: Millis,
    /// `None` while it is active.
    pub until: Option<Millis>,
}

impl fmt::Display for FaultSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let until = self.until.map_or("...".to_owned(), |at| at.to_string());
        write!(f, "{}..{until} {}", self.since, self.name)
    }
}

/// The active rules and the spans of all faults.
pub struct PlatformFaults {
    inner: Mutex<Inner>,
}

struct Inner {
    rng: SmallRng,
    /// Rules with the index of their span.
    rules: Vec<(usize, FaultRule)>,
    spans: Vec<FaultSpan>,
}

impl PlatformFaults {
    /// Creates it without rules; `seed` decides which calls a rule with a percentage hits.
    pub fn new(seed: u64) -> Self {
        let inner = Inner {
            rng: SmallRng::seed_from_u64(seed),
            rules: Vec::new(),
            spans: Vec::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Adds a rule; returns its id.
    pub fn add(&self, rule: FaultRule, now: Millis) -> usize {
        let id = self.begin(rule.name.clone(), false, now);
        lock(&self.inner).rules.push((id, rule));
        id
    }

    /// Records a fault that is no rule, such as a kill; returns its id.
    pub fn begin(&self, name: impl Into<String>, judged: bool, now: Millis) -> usize {
        let mut inner = lock(&self.inner);
        inner.spans.push(FaultSpan {
            name: name.into(),
            judged,
            since: now,
            until: None,
        });
        inner.spans.len() - 1
    }

    /// Ends a fault and removes its rule, if it has one.
    pub fn end(&self, id: usize, now: Millis) {
        let mut inner = lock(&self.inner);
        inner.rules.retain(|(rule, _)| *rule != id);
        inner.spans[id].until.get_or_insert(now);
    }

    /// Ends all faults.
    pub fn end_all(&self, now: Millis) {
        let mut inner = lock(&self.inner);
        inner.rules.clear();
        for span in &mut inner.spans {
            span.until.get_or_insert(now);
        }
    }

    /// Returns the fate of a call, or `None` if no rule applies. `opened_at` is when its connection
    /// was opened.
    pub fn decide(&self, from: Party, to: Party, path: &str, opened_at: Millis) -> Option<Fate> {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        for (id, rule) in &inner.rules {
            let applies = path.starts_with(rule.path)
                && (!rule.stale_only || opened_at < inner.spans[*id].since)
                && (rule.applies)(from, to)
                && inner.rng.random_range(0..100) < rule.percent;
            if applies {
                if let Some(hit) = &rule.hit {
                    hit.notify_one();
                }
                return Some(rule.fate);
            }
        }
        None
    }

    /// Returns the faults that were active between two times.
    pub fn spans_between(&self, since: Millis, until: Millis) -> Vec<FaultSpan> {
        let inner = lock(&self.inner);
        let active = |s: &&FaultSpan| s.since <= until && s.until.is_none_or(|at| at >= since);
        inner.spans.iter().filter(active).cloned().collect()
    }

    /// Returns the number of faults so far.
    pub fn count(&self) -> usize {
        lock(&self.inner).spans.len()
    }
}
