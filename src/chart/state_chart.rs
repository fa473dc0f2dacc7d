//! A chart of states, events and transitions.

use {
    crate::chart::ChartError,
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Debug,
    },
};

/// One line of a chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<S, E> {
    from: Vec<S>,
    on: E,
    to: S,
}

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
    pub initial: S,
    /// At most one target for a state and an event.
    transitions: BTreeMap<(S, E), S>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Debug + DeserializeOwned + Ord,
    E: Copy + Debug + DeserializeOwned + Ord,
{
    /// Reads a chart and checks that every state is reached and no transition is ambiguous.
    pub fn from_yaml(text: &str) -> Result<Self, ChartError> {
        let file: File<S, E> = serde_saphyr::from_str(text).map_err(|e| ChartError::Yaml {
            name: String::new(),
            message: e.to_string(),
        })?;
        let mut transitions = BTreeMap::new();
        for line in &file.transitions {
            for from in &line.from {
                if transitions.insert((*from, line.on), line.to).is_some() {
                    return Err(ChartError::Ambiguous {
                        name: file.chart,
                        state: format!("{from:?}"),
                        event: format!("{:?}", line.on),
                    });
                }
            }
        }
        let chart = Self {
            initial: file.initial,
            transitions,
        };
        let reached = chart.reached();
        match file.states.iter().find(|s| !reached.contains(s)) {
            None => Ok(chart),
            Some(state) => Err(ChartError::Unreachable {
                name: file.chart,
                state: format!("{state:?}"),
            }),
        }
    }

    /// Returns the state that follows; `None` if the chart has no such transition.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Moves `state` along a transition; returns false and leaves it if there is none.
    pub fn apply(&self, state: &mut S, event: E) -> bool {
        let next = self.next(*state, event);
        *state = next.unwrap_or(*state);
        next.is_some()
    }

    fn reached(&self) -> BTreeSet<S> {
        let mut reached = BTreeSet::from([self.initial]);
        loop {
            let before = reached.len();
            for ((from, _), to) in &self.transitions {
                if reached.contains(from) {
                    reached.insert(*to);
                }
            }
            if reached.len() == before {
                return reached;
            }
        }
    }
}
