//! Calls to the platform's services: key-value store, VM list and workers' control interface. The
//! core task makes them and passes the replies to the core. A call is never repeated here.

use {
    crate::{
        core::{Millis, StoreOp, StoreReply, StoreUnavailable, VmRecord, WorkerOp, WorkerReply},
        net::{HttpClient, NetError, Pooling},
    },
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
};

/// Time until a store call without a reply fails.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until a worker call without a reply fails, beyond the duration of a long poll.
const WORKER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time until a read of the VM list without a reply fails.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the platform's services; clones share its connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    store_address: SocketAddr,
    vm_list_address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client; nothing is sent yet.
    pub fn new(store_address: SocketAddr, vm_list_address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(Pooling::Reuse),
            store_address,
            vm_list_address,
        }
    }

    /// Calls the key-value store. After [`StoreUnavailable`] a write may have taken effect.
    pub async fn call_store(&self, op: &StoreOp) -> Result<StoreReply, StoreUnavailable> {
        let url = format!("http://{}/kv", self.store_address);
        let call = self
            .http
            .json(Method::POST, &url, "", Some(op), STORE_TIMEOUT);
        call.await.map_err(|_: NetError| StoreUnavailable)
    }

    /// Reads the platform's list of the VMs that run workers.
    pub async fn list_vms(&self) -> Result<Vec<VmRecord>, NetError> {
        let url = format!("http://{}/vms", self.vm_list_address);
        self.http
            .json(Method::GET, &url, "", None::<&()>, VM_LIST_TIMEOUT)
            .await
    }

    /// Calls a worker's control interface at `address`, as `HOST:PORT`. `None` if no valid reply
    /// came; the call may have taken effect.
    pub async fn call_worker(&self, address: &str, op: &WorkerOp) -> Option<WorkerReply> {
        let long_poll: Millis = match op {
            WorkerOp::Renew { long_poll_ms, .. } => *long_poll_ms,
            _ => 0,
        };
        let url = format!("http://{address}/control");
        let timeout = WORKER_TIMEOUT + Duration::from_millis(long_poll);
        let call = self.http.json(Method::POST, &url, "", Some(op), timeout);
        call.await.ok()
    }
}
