//! The revisioned configuration: teams, keys and the document of the environment.

use {
    crate::{
        conf::Document,
        core::{NodeId, TeamName},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What a team may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLimits {
    /// Weight that applies when everything is full.
    pub share: u32,
    /// Most tasks and requests that run at once over the whole fleet.
    pub limit: u32,
}

/// A key that callers present; only its digest is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyGrant {
    pub team: TeamName,
    pub label: Arc<str>,
}

/// One revision of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Store version of the value; nodes move only to a higher one.
    pub revision: u64,
    /// Identifies the write, so that a lost answer can be settled by reading.
    pub write_id: u64,
    /// The operator who made the change.
    pub author: Arc<str>,
    pub teams: BTreeMap<TeamName, TeamLimits>,
    /// Grants by the SHA-256 of the key, in hexadecimal.
    pub keys: BTreeMap<Arc<str>, KeyGrant>,
    pub document: Arc<Document>,
}

/// One change by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ConfigChange {
    SetTeam { team: TeamName, limits: TeamLimits },
    RemoveTeam { team: TeamName },
    GrantKey { digest: Arc<str>, grant: KeyGrant },
    WithdrawKey { digest: Arc<str> },
    Apply { document: Box<Document> },
}

impl Config {
    /// Returns this configuration with a change applied.
    #[must_use]
    pub fn with(&self, change: &ConfigChange) -> Self {
        let mut next = self.clone();
        match change {
            ConfigChange::SetTeam { team, limits } => {
                next.teams.insert(team.clone(), *limits);
            }
            ConfigChange::RemoveTeam { team } => {
                next.teams.remove(team);
                next.keys.retain(|_, grant| grant.team != *team);
            }
            ConfigChange::GrantKey { digest, grant } => {
                next.keys.insert(digest.clone(), grant.clone());
            }
            ConfigChange::WithdrawKey { digest } => {
                next.keys.remove(digest);
            }
            ConfigChange::Apply { document } => next.document = Arc::new((**document).clone()),
        }
        next
    }

    /// Returns a team's upper limit; a team that does not exist may run nothing.
    pub fn limit(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |t| t.limit)
    }

    /// Returns a team's share, at least 1.
    pub fn share(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(1, |t| t.share.max(1))
    }
}

/// A call by an operator to the core.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum AdminCall {
    /// Changes the configuration at a base revision; `None` takes the latest.
    Change {
        base: Option<u64>,
        author: Arc<str>,
        change: ConfigChange,
    },
}

/// The answer to an [`AdminCall`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum AdminReply {
    /// The change is durable; the nodes that have taken it in so far.
    Accepted {
        revision: u64,
        in_force: Vec<NodeId>,
    },
    /// Another change came first; nothing was changed.
    Conflict { revision: u64, author: Arc<str> },
    /// The store did not answer; nothing was written, or that is not known.
    StoreDown { maybe_written: bool },
}
