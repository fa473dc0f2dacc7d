//! A node on the platform: the callers' HTTP interface, membership in the store, and the cell
//! while this node is its owner. `dragonflyferryd --platform` starts it. It connects the cell to
//! the store, the executors and the other nodes; placement is decided only in [`crate::fleet`].

mod admission;
mod advice;
mod caller_api;
mod cell_query;
mod clock;
mod committer;
mod config_watch;
mod daemon;
mod dispatch;
mod dispatcher;
mod election;
mod errors;
mod event_log;
mod load_publisher;
mod log_drain;
mod membership;
mod operator_api;
mod owner;
mod owner_link;
mod owner_watch;
mod pause_guard;
mod peer_message;
mod peer_server;
mod refusal;
mod shared;
mod store_calls;
mod store_keys;
mod store_relay;
mod takeover;
mod upkeep;

pub use {
    admission::{AdmissionOutcome, OverloadRefusal},
    caller_api::router as caller_router,
    cell_query::{CellQuery, QueryError},
    committer::{Commit, run as run_committer},
    config_watch::{run as run_config_watch, watch_wait},
    daemon::{check_settings, run},
    dispatch::{Dispatch, RemoteCall, RemoteCommand},
    election::{claim_rank, should_step_down},
    errors::EntryError,
    event_log::{EventLog, MAX_LINES_PER_SECOND},
    load_publisher::LoadPublisher,
    log_drain::logger,
    membership::{keep_lease, watch_members},
    operator_api::{NodeStatus, router as operator_router},
    owner::{OwnerInput, OwnershipClaim},
    owner_link::{OwnerLink, reconnect_backoff, run as run_owner_link},
    owner_watch::{ListPosition, watch_executors, watch_work},
    pause_guard::PauseGuard,
    peer_message::PeerMessage,
    peer_server::run as run_peer_server,
    refusal::{another_node_serves, retry_after_s},
    shared::{Shared, StoreLease},
    store_calls::{StoreCall, StoreOutcome},
    store_relay::{RelayedCall, RelayedOutcome},
    upkeep::run as run_upkeep,
};
