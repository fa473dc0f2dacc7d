//! HTTP/1.1 server of all listeners of both daemons. It bounds what clients can make a node hold:
//! heads, bodies, connections and requests in work. `app` and `entry` give it their routes.
//!
//! While there is room, a client only meets the size of a head and the times in which something has to
//! arrive. When room is short, requests that are incomplete give way, the one that has made no progress
//! for the longest time first; a complete request is never broken off.

mod connection_table;
mod connections;
mod http_server;
mod limits;
mod rejection;
mod request_body;
mod response_body;

pub use {
    connections::{Connections, RequestHandle},
    http_server::{HttpServer, listen},
    limits::ServerLimits,
    rejection::{Rejection, RejectionCounts},
    request_body::{BodyError, HeldBody, read_body},
};
