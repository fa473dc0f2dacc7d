//! dragonflyferry: a cluster scheduler for requests, batch jobs, services and gangs.
//!
//! It has two schedulers, both state machines without input or output of their own (state, event
//! and time in, effects out):
//! - `core` divides the workers into 64 shards among all nodes and serves callers by the project's
//!   own interface. `app` is its daemon, `net` connects it to other nodes, the store, the VM list
//!   and workers, and `conf` reads its settings and the operators' documents.
//! - `fleet` schedules one cell, all executors under one elected owner, on the users' platform.
//!   `entry` is its daemon and `platform` translates between the platform's names and the
//!   project's.
//!
//! `server` serves HTTP on all listeners of both daemons, within limits. `chart` interprets the state charts of `core`, `cli` is the operators' client, and `report`
//! computes service-level burn and prints one job's timeline from the logs.

pub mod app;
pub mod chart;
pub mod cli;
pub mod conf;
pub mod core;
pub mod entry;
pub mod fleet;
pub mod net;
pub mod platform;
pub mod report;
pub mod server;
