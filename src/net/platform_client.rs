//! Calls to the platform: key-value service, VM list and workers.

use {
    crate::{
        core::{Millis, StoreOp, StoreReply, StoreUnavailable, VmRecord, WorkerOp, WorkerReply},
        net::{HttpClient, NetError, Pooling},
    },
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
};

/// Time until an unanswered store call fails.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until an unanswered worker call fails, beyond the time it may be held.
const WORKER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time until an unanswered read of the VM list fails.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    store: SocketAddr,
    vm_list: SocketAddr,
}

impl PlatformClient {
    /// Creates a client; nothing is sent yet.
    pub fn new(store: SocketAddr, vm_list: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(Pooling::Reuse),
            store,
            vm_list,
        }
    }

    /// Calls the key-value service.
    pub async fn call_store(&self, op: &StoreOp) -> Result<StoreReply, StoreUnavailable> {
        let url = format!("http://{}/kv", self.store);
        let call = self
            .http
            .json(Method::POST, &url, "", Some(op), STORE_TIMEOUT);
        call.await.map_err(|_: NetError| StoreUnavailable)
    }

    /// Reads the list of workers.
    pub async fn list_vms(&self) -> Result<Vec<VmRecord>, NetError> {
        let url = format!("http://{}/vms", self.vm_list);
        self.http
            .json(Method::GET, &url, "", None::<&()>, VM_LIST_TIMEOUT)
            .await
    }

    /// Calls a worker; `None` if no answer came.
    pub async fn call_worker(&self, address: &str, op: &WorkerOp) -> Option<WorkerReply> {
        let held: Millis = match op {
            WorkerOp::Renew { long_poll_ms, .. } => *long_poll_ms,
            _ => 0,
        };
        let url = format!("http://{address}/control");
        let timeout = WORKER_TIMEOUT + Duration::from_millis(held);
        let call = self.http.json(Method::POST, &url, "", Some(op), timeout);
        call.await.ok()
    }
}
