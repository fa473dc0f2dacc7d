//! Operators' changes of the configuration: written to the store by compare-and-swap, then sent to
//! all nodes. Called by `Node` for admin calls and for the store's replies. No configuration may be
//! adopted before the store holds it; only a key's revocation takes effect at once.

use {
    crate::core::{
        AdminCall, AdminReply, Cluster, Config, ConfigChange, EffectBuffer, Message, Millis, Node,
        NodeId, ReplyId, StoreReply, StoreUnavailable,
    },
    rand::Rng,
    std::sync::Arc,
};

/// A store call about a configuration change, with what its reply is needed for.
#[derive(Debug)]
pub(super) enum ConfigCall {
    /// Writes the changed configuration.
    Write {
        reply: ReplyId,
        config: Config,
        /// The call to repeat if another change was written first. `None` if the operator named a
        /// base revision: the reply is then a conflict.
        retry: Option<AdminCall>,
    },
    /// Reads the configuration back after a write whose reply was lost.
    VerifyWrite {
        reply: ReplyId,
        config: Config,
        tries: u32,
    },
    /// Reads the configuration that a concurrent change wrote, with its author.
    ReadConflicting {
        reply: ReplyId,
        retry: Option<AdminCall>,
    },
}

impl Node {
    /// Starts a configuration change. Replies with a conflict if `base_revision` is not the current
    /// one. A key that the configuration holds is revoked on all nodes first, whatever becomes of
    /// the write.
    pub(super) fn handle_admin_call(
        &mut self,
        reply: ReplyId,
        call: AdminCall,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let retry = call.clone();
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
                retry: base_revision.is_none().then_some(retry),
            },
        );
    }

    /// Continues a configuration change with the store's reply to one of its calls.
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
                self.publish_config(reply, config, now, out);
            }
            (ConfigCall::Write { reply, retry, .. }, Ok(StoreReply::Conflict { .. })) => {
                let call = Cluster::fetch_config(out);
                self.config_calls
                    .insert(call, ConfigCall::ReadConflicting { reply, retry });
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
                    self.publish_config(
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
                ConfigCall::ReadConflicting { reply, retry },
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
                match retry {
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

    /// Reads the configuration back after a write whose reply was lost, `MAX_TRIES` times at most;
    /// after that the operator learns that it may have been written.
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
        let verification = ConfigCall::VerifyWrite {
            reply,
            config,
            tries,
        };
        self.config_calls.insert(call, verification);
    }

    /// Adopts a stored configuration and sends it to the other members; the operator gets the reply
    /// from [`Self::answer_config_waiters`].
    pub(super) fn publish_config(
        &mut self,
        reply: ReplyId,
        config: Config,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        // Max wait for the other members before the operator gets the reply, in ms.
        const IN_FORCE_TIMEOUT_MS: Millis = 2_000;
        let revision = config.revision;
        let config = Arc::new(config);
        self.adopt_config(config.clone(), out);
        let other_ids: Vec<NodeId> = self.cluster.other_members().cloned().collect();
        for id in other_ids {
            out.send(&id, Message::Config(config.clone()));
        }
        self.config_waiters
            .push((now + IN_FORCE_TIMEOUT_MS, reply, revision));
    }

    /// Replies to the operators whose revision is in force on all members or whose deadline has
    /// passed, and lists the nodes where it is in force.
    pub(super) fn answer_config_waiters(&mut self, now: Millis, out: &mut EffectBuffer) {
        let cluster = &self.cluster;
        let member_count = cluster.member_records().len();
        self.config_waiters.retain(|(deadline, reply, revision)| {
            let in_force = cluster.nodes_at_revision(*revision);
            let done = in_force.len() >= member_count || now >= *deadline;
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
