//! The revisioned configuration: organisations, keys and the document of the environment.
//!
//! It is one JSON value in the store, written by compare-and-swap; operators change it by
//! [`AdminCall`]. This module only builds values; `node_config` writes them and `cluster` adopts
//! them.

use {
    crate::{
        conf::Document,
        core::{NodeId, OrganisationName},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What an organisation may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, expecting = "struct TeamLimits")]
pub struct OrganisationLimits {
    /// Weight among organisations while there is no free capacity.
    pub share: u32,
    /// Maximum number of tasks and requests that run at once in the whole cluster.
    pub limit: u32,
}

/// Rights of a caller's key; only the digest of the key is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyGrant {
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    /// Names the key to operators.
    pub label: Arc<str>,
}

/// One revision of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Store version of the value; nodes adopt only a higher one.
    pub revision: u64,
    /// Identifies the write, so that reading tells whether a write without a reply took effect.
    pub write_id: u64,
    /// The operator who made the last change.
    pub author: Arc<str>,
    #[serde(rename = "teams")]
    pub organisations: BTreeMap<OrganisationName, OrganisationLimits>,
    /// Grants by the SHA-256 of the key, in hexadecimal.
    pub keys: BTreeMap<Arc<str>, KeyGrant>,
    pub document: Arc<Document>,
    /// The last changes, oldest first; at most [`MAX_HISTORY_LEN`].
    #[serde(default)]
    pub history: Vec<ChangeRecord>,
}

/// A change in the history that operators read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct ChangeNote")]
pub struct ChangeRecord {
    /// The revision that the change was applied to.
    #[serde(rename = "base")]
    pub base_revision: u64,
    pub author: Arc<str>,
    #[serde(rename = "what")]
    pub summary: String,
}

/// Maximum number of changes in the history.
const MAX_HISTORY_LEN: usize = 50;

/// One change by an operator, in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ConfigChange {
    /// Creates an organisation or replaces its limits.
    #[serde(rename = "set_team")]
    SetOrganisation {
        #[serde(rename = "team")]
        organisation: OrganisationName,
        limits: OrganisationLimits,
    },
    /// Also removes the organisation's keys.
    #[serde(rename = "remove_team")]
    RemoveOrganisation {
        #[serde(rename = "team")]
        organisation: OrganisationName,
    },
    /// Creates a key or replaces its grant; `digest` is its SHA-256 in hexadecimal.
    GrantKey { digest: Arc<str>, grant: KeyGrant },
    /// Nodes revoke the key before the change is in the store.
    #[serde(rename = "withdraw_key")]
    RevokeKey { digest: Arc<str> },
    /// Replaces the document.
    Apply { document: Box<Document> },
}

impl ConfigChange {
    /// Returns the one-line summary that the history stores.
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
    /// Returns this configuration with a change applied and added to the history.
    ///
    /// `revision` and `write_id` stay as they are; the caller sets them.
    #[must_use]
    pub fn with_change(&self, change: &ConfigChange, author: &Arc<str>) -> Self {
        let mut next = self.clone();
        next.author = author.clone();
        next.history.push(ChangeRecord {
            base_revision: self.revision,
            author: author.clone(),
            summary: change.describe(),
        });
        if next.history.len() > MAX_HISTORY_LEN {
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

    /// Returns an organisation's upper limit; 0 if it does not exist, so that nothing runs.
    pub fn limit(&self, organisation: &OrganisationName) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(0, |limits| limits.limit)
    }

    /// Returns an organisation's share, at least 1; 1 if it does not exist.
    pub fn share(&self, organisation: &OrganisationName) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(1, |limits| limits.share.max(1))
    }
}

/// A call by an operator to the core, in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum AdminCall {
    /// Changes the configuration if it is at `base_revision`; `None` means the latest.
    Change {
        #[serde(rename = "base")]
        base_revision: Option<u64>,
        author: Arc<str>,
        change: ConfigChange,
    },
}

/// The reply to an [`AdminCall`], in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum AdminReply {
    /// The change is durable; `in_force` are the nodes that have adopted it so far.
    Accepted {
        revision: u64,
        in_force: Vec<NodeId>,
    },
    /// Another change, by `author`, came first; nothing was changed.
    Conflict { revision: u64, author: Arc<str> },
    /// The store did not reply; nothing was written unless `maybe_written`.
    StoreDown { maybe_written: bool },
}
