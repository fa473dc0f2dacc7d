//! A node on the platform: callers' interface, membership, and the cell while it is owner.

mod advice;
mod clock;
mod committer;
mod config_watch;
mod daemon;
mod errors;
mod event_log;
mod front;
mod log_drain;
mod membership;
mod operator;
mod owner;
mod owner_link;
mod owner_watch;
mod peer_message;
mod peer_server;
mod question;
mod shared;
mod store_calls;
mod store_keys;
mod succession;
mod takeover;

pub use {
    committer::Commit,
    daemon::{check_settings, run},
    errors::EntryError,
    event_log::{EventLog, LINES_PER_SECOND},
    log_drain::logger,
    operator::{NodeView, router as operator_router},
    owner::{Claim, OwnerInput},
    owner_link::{OwnerLink, reconnect_pause},
    peer_message::PeerMessage,
    question::{NoReply, Question},
    shared::Shared,
    store_calls::{StoreCall, StoreOutcome},
    succession::{place_in_succession, should_cede},
};
