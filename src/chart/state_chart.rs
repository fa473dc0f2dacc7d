//! A chart of states, events and transitions, generic over both.
//!
//! `charts` builds one for each kind of record at its first use. A chart never changes afterwards.

use {
    crate::chart::ChartError,
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Debug,
    },
};

/// One entry of `transitions` in a chart file: `on` leads from each state of `from` to `to`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<S, E> {
    from: Vec<S>,
    on: E,
    to: S,
}

/// A chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File<S, E> {
    chart: String,
    initial: S,
    states: Vec<S>,
    transitions: Vec<Line<S, E>>,
}

/// Transitions between states `S` on events `E`.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    /// State of a new record.
    pub initial: S,
    /// At most one target for a state and an event.
    transitions: BTreeMap<(S, E), S>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Debug + DeserializeOwned + Ord,
    E: Copy + Debug + DeserializeOwned + Ord,
{
    /// Reads a chart from YAML.
    ///
    /// Fails if the text does not have the structure of a chart, if a state has two transitions on
    /// one event, or if a listed state cannot be reached from the initial one.
    pub fn from_yaml(text: &str) -> Result<Self, ChartError> {
        let file: File<S, E> = serde_saphyr::from_str(text).map_err(|e| ChartError::Yaml {
            name: String::new(),
            message: e.to_string(),
        })?;
        let mut transitions = BTreeMap::new();
        for entry in &file.transitions {
            for from in &entry.from {
                if transitions.insert((*from, entry.on), entry.to).is_some() {
                    return Err(ChartError::Ambiguous {
                        name: file.chart,
                        state: format!("{from:?}"),
                        event: format!("{:?}", entry.on),
                    });
                }
            }
        }
        let chart = Self {
            initial: file.initial,
            transitions,
        };
        let reachable = chart.reachable_states();
        match file.states.iter().find(|s| !reachable.contains(s)) {
            None => Ok(chart),
            Some(state) => Err(ChartError::Unreachable {
                name: file.chart,
                state: format!("{state:?}"),
            }),
        }
    }

    /// Returns the state after `event`; `None` if the chart has no such transition.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Applies `event` to `state`; without a transition, leaves it unchanged and returns false.
    pub fn apply(&self, state: &mut S, event: E) -> bool {
        let next = self.next(*state, event);
        *state = next.unwrap_or(*state);
        next.is_some()
    }

    fn reachable_states(&self) -> BTreeSet<S> {
        let mut reachable = BTreeSet::from([self.initial]);
        loop {
            let previous_count = reachable.len();
            for ((from, _), to) in &self.transitions {
                if reachable.contains(from) {
                    reachable.insert(*to);
                }
            }
            if reachable.len() == previous_count {
                return reachable;
            }
        }
    }
}
