//! Operators' changes of the configuration.

use {
    crate::core::{
        AdminCall, AdminReply, Cluster, Config, ConfigChange, EffectBuffer, Message, Millis, Node,
        NodeId, ReplyId, StoreReply, StoreUnavailable,
    },
    rand::Rng,
    std::sync::Arc,
};

/// Why a store call about the configuration was made.
#[derive(Debug)]
pub(super) enum ConfigCall {
    Write {
        reply: ReplyId,
        config: Config,
        /// The change to make again if another one came first.
        again: Option<AdminCall>,
    },
    /// Reads back after a write whose answer was lost.
    VerifyWrite {
        reply: ReplyId,
        config: Config,
        tries: u32,
    },
    /// Reads the author of a racing change.
    ReadConflicting {
        reply: ReplyId,
        again: Option<AdminCall>,
    },
}

impl Node {
    pub(super) fn handle_admin_call(
        &mut self,
        reply: ReplyId,
        call: AdminCall,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let again = call.clone();
        let AdminCall::Change {
            base_revision,
            author,
            change,
        } = call;
        let current = self.cluster.config.clone();
        if let ConfigChange::RevokeKey { digest } = &change
            && current.keys.contains_key(digest)
        {
            self.revoke(digest, out);
        }
        if base_revision.is_some_and(|b| b != current.revision) {
            let body = AdminReply::Conflict {
                revision: current.revision,
                author: current.author.clone(),
            };
            out.admin_reply(reply, body);
            return;
        }
        if !self.cluster.store_ok(now) {
            out.admin_reply(
                reply,
                AdminReply::StoreDown {
                    maybe_written: false,
                },
            );
            return;
        }
        let mut config = current.with_change(&change, &author);
        config.write_id = self.rng.random();
        let call = Cluster::write_config(&config, current.revision, out);
        self.config_calls.insert(
            call,
            ConfigCall::Write {
                reply,
                config,
                again: base_revision.is_none().then_some(again),
            },
        );
    }

    pub(super) fn handle_config_store_reply(
        &mut self,
        call: ConfigCall,
        result: Result<StoreReply, StoreUnavailable>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        match (call, result) {
            (
                ConfigCall::Write {
                    reply, mut config, ..
                },
                Ok(StoreReply::Written { version }),
            ) => {
                config.revision = version;
                self.accept_config(reply, config, now, out);
            }
            (ConfigCall::Write { reply, again, .. }, Ok(StoreReply::Conflict { .. })) => {
                let call = Cluster::fetch_config(out);
                self.config_calls
                    .insert(call, ConfigCall::ReadConflicting { reply, again });
            }
            (ConfigCall::Write { reply, config, .. }, _) => {
                self.verify_config_write(reply, config, 0, out);
            }
            (
                ConfigCall::VerifyWrite { reply, config, .. },
                Ok(StoreReply::Value { version, value }),
            ) => {
                let stored: Config = serde_json::from_str(&value).unwrap_or_default();
                if stored.write_id == config.write_id {
                    self.accept_config(
                        reply,
                        Config {
                            revision: version,
                            ..stored
                        },
                        now,
                        out,
                    );
                } else {
                    out.admin_reply(
                        reply,
                        AdminReply::StoreDown {
                            maybe_written: true,
                        },
                    );
                }
            }
            (
                ConfigCall::VerifyWrite {
                    reply,
                    config,
                    tries,
                },
                _,
            ) => {
                self.verify_config_write(reply, config, tries + 1, out);
            }
            (
                ConfigCall::ReadConflicting { reply, again },
                Ok(StoreReply::Value { version, value }),
            ) => {
                let stored: Config = serde_json::from_str(&value).unwrap_or_default();
                let author = stored.author.clone();
                self.adopt_config(
                    Arc::new(Config {
                        revision: version,
                        ..stored
                    }),
                    out,
                );
                match again {
                    Some(call) => self.handle_admin_call(reply, call, now, out),
                    None => out.admin_reply(
                        reply,
                        AdminReply::Conflict {
                            revision: version,
                            author,
                        },
                    ),
                }
            }
            (ConfigCall::ReadConflicting { reply, .. }, _) => {
                let body = AdminReply::Conflict {
                    revision: self.cluster.config.revision,
                    author: self.cluster.config.author.clone(),
                };
                out.admin_reply(reply, body);
            }
        }
    }

    /// Reads back a write whose answer was lost, a few times.
    pub(super) fn verify_config_write(
        &mut self,
        reply: ReplyId,
        config: Config,
        tries: u32,
        out: &mut EffectBuffer,
    ) {
        const MAX_TRIES: u32 = 3;
        if tries >= MAX_TRIES {
            out.admin_reply(
                reply,
                AdminReply::StoreDown {
                    maybe_written: true,
                },
            );
            return;
        }
        let call = Cluster::fetch_config(out);
        let settle = ConfigCall::VerifyWrite {
            reply,
            config,
            tries,
        };
        self.config_calls.insert(call, settle);
    }

    pub(super) fn accept_config(
        &mut self,
        reply: ReplyId,
        config: Config,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        const WAIT_IN_FORCE_MS: Millis = 2_000;
        let revision = config.revision;
        let config = Arc::new(config);
        self.adopt_config(config.clone(), out);
        let others: Vec<NodeId> = self.cluster.other_members().cloned().collect();
        for id in others {
            out.send(&id, Message::Config(config.clone()));
        }
        self.config_waiters
            .push((now + WAIT_IN_FORCE_MS, reply, revision));
    }

    pub(super) fn answer_config_waiters(&mut self, now: Millis, out: &mut EffectBuffer) {
        let cluster = &self.cluster;
        let all = cluster.member_records().len();
        self.config_waiters.retain(|(until, reply, revision)| {
            let in_force = cluster.nodes_at_revision(*revision);
            let done = in_force.len() >= all || now >= *until;
            if done {
                let body = AdminReply::Accepted {
                    revision: *revision,
                    in_force,
                };
                out.admin_reply(*reply, body);
            }
            !done
        });
    }
}
