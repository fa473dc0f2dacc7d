//! The revisioned configuration: teams, keys and the document of the environment.

use {
    crate::{
        conf::Document,
        core::{NodeId, OrganisationName},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What a team may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Weight that applies when everything is full.
    pub share: u32,
    /// Most tasks and requests that run at once over the whole fleet.
    pub limit: u32,
}

/// A key that callers present; only its digest is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyGrant {
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
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
    #[serde(rename = "teams")]
    pub organisations: BTreeMap<OrganisationName, OrganisationLimits>,
    /// Grants by the SHA-256 of the key, in hexadecimal.
    pub keys: BTreeMap<Arc<str>, KeyGrant>,
    pub document: Arc<Document>,
    /// The last changes, oldest first; at most [`HISTORY_KEPT`].
    #[serde(default)]
    pub history: Vec<ChangeRecord>,
}

/// A change that was made, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The revision that it was made from.
    #[serde(rename = "base")]
    pub base_revision: u64,
    pub author: Arc<str>,
    #[serde(rename = "what")]
    pub summary: String,
}

/// Changes that a configuration remembers.
const HISTORY_KEPT: usize = 50;

/// One change by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ConfigChange {
    #[serde(rename = "set_team")]
    SetOrganisation {
        #[serde(rename = "team")]
        organisation: OrganisationName,
        limits: OrganisationLimits,
    },
    #[serde(rename = "remove_team")]
    RemoveOrganisation {
        #[serde(rename = "team")]
        organisation: OrganisationName,
    },
    GrantKey {
        digest: Arc<str>,
        grant: KeyGrant,
    },
    #[serde(rename = "withdraw_key")]
    RevokeKey {
        digest: Arc<str>,
    },
    Apply {
        document: Box<Document>,
    },
}

impl ConfigChange {
    /// Describes the change in one line.
    pub fn describe(&self) -> String {
        match self {
            Self::SetOrganisation {
                organisation,
                limits,
            } => {
                format!(
                    "team {organisation}: share {}, limit {}",
                    limits.share, limits.limit
                )
            }
            Self::RemoveOrganisation { organisation } => format!("team {organisation} removed"),
            Self::GrantKey { grant, .. } => {
                format!("key {} granted to {}", grant.label, grant.organisation)
            }
            Self::RevokeKey { digest } => {
                format!("key {} withdrawn", &digest[..8.min(digest.len())])
            }
            Self::Apply { document } => format!("document of {} applied", document.environment),
        }
    }
}

impl Config {
    /// Returns this configuration with a change applied.
    #[must_use]
    pub fn with_change(&self, change: &ConfigChange, author: &Arc<str>) -> Self {
        let mut next = self.clone();
        next.author = author.clone();
        next.history.push(ChangeRecord {
            base_revision: self.revision,
            author: author.clone(),
            summary: change.describe(),
        });
        if next.history.len() > HISTORY_KEPT {
            next.history.remove(0);
        }
        match change {
            ConfigChange::SetOrganisation {
                organisation,
                limits,
            } => {
                next.organisations.insert(organisation.clone(), *limits);
            }
            ConfigChange::RemoveOrganisation { organisation } => {
                next.organisations.remove(organisation);
                next.keys
                    .retain(|_, grant| grant.organisation != *organisation);
            }
            ConfigChange::GrantKey { digest, grant } => {
                next.keys.insert(digest.clone(), grant.clone());
            }
            ConfigChange::RevokeKey { digest } => {
                next.keys.remove(digest);
            }
            ConfigChange::Apply { document } => next.document = Arc::new((**document).clone()),
        }
        next
    }

    /// Returns a team's upper limit; a team that does not exist may run nothing.
    pub fn limit(&self, organisation: &OrganisationName) -> u32 {
        self.organisations.get(organisation).map_or(0, |t| t.limit)
    }

    /// Returns a team's share, at least 1.
    pub fn share(&self, organisation: &OrganisationName) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(1, |t| t.share.max(1))
    }
}

/// A call by an operator to the core.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum AdminCall {
    /// Changes the configuration at a base revision; `None` takes the latest.
    Change {
        #[serde(rename = "base")]
        base_revision: Option<u64>,
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
