//! dragonflyferry: a cluster scheduler for requests, batch jobs, services and gangs.
//!
//! `core` holds every decision as a pure state machine (state, event and time in,
//! effects out). `net` and `app` connect it to sockets, `conf` reads settings and
//! documents, `cli` is the operators' client and `report` computes service-level burn.

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
