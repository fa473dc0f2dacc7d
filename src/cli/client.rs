//! HTTP calls to the nodes, at their operators' or metrics addresses.
//!
//! Used by every command that contacts a node. A call is not repeated on the same node.

use {
    crate::{
        app::StatusView,
        cli::{CliError, args::Environment},
        core::{AdminCall, AdminReply, Config, ConfigChange},
        net::{HttpClient, NetError, Pooling},
    },
    hyper::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::{sync::Arc, time::Duration},
};

/// Maximum wait for a node's reply.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Replies of the nodes that succeeded, and the names of those that did not.
///
/// A node is named by its id or by its address, as the call says.
pub struct NodeReplies<T> {
    /// Replies by node.
    pub received: Vec<(String, T)>,
    /// Nodes that did not reply in time or replied with an error.
    pub unreachable: Vec<String>,
}

/// Client of one environment; sends its token with every call.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    environment: Environment,
}

impl Client {
    /// Creates a client; a usage error if the environment names no node.
    pub fn new(environment: &Environment) -> Result<Self, CliError> {
        if environment.nodes.is_empty() {
            return Err(CliError::usage(
                "name a node with --nodes HOST:PORT or DRAGONFLYFERRY_NODES",
            ));
        }
        Ok(Self {
            http: HttpClient::new(Pooling::PerRequest),
            environment: environment.clone(),
        })
    }

    async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        node: &str,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, NetError> {
        let url = format!("http://{node}{path}");
        let token = &self.environment.token;
        self.http.json(method, &url, token, body, TIMEOUT).await
    }

    /// Calls the nodes in order until one replies; a refusal is final and is not retried elsewhere.
    ///
    /// Fails with `Unreachable` and the last node's error if none replies. A reply that cannot be
    /// parsed counts as a refusal.
    pub async fn call_any_node<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, CliError> {
        let mut last_error = None;
        for node in &self.environment.nodes {
            match self.call(node, method.clone(), path, body).await {
                Ok(reply) => return Ok(reply),
                Err(e @ NetError::InvalidReply { .. }) => return Err(e.into()),
                Err(e) => last_error = Some(e),
            }
        }
        let message = last_error.map_or_else(String::new, |e| e.to_string());
        Err(CliError::Unreachable { message })
    }

    /// Sends a GET to the nodes in order until one replies.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CliError> {
        self.call_any_node(Method::GET, path, None::<&()>).await
    }

    /// Sends a GET to every node that the environment names; replies are named by address.
    pub async fn get_from_named_nodes<A: DeserializeOwned>(&self, path: &str) -> NodeReplies<A> {
        let nodes = self.environment.nodes.iter();
        self.gather(nodes.map(|n| (n.clone(), n.clone())).collect(), path)
            .await
    }

    /// Sends a GET to every member of the cluster, as listed by the first node that replies.
    ///
    /// Replies are named by node id and sorted by it.
    pub async fn get_from_members<A: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<NodeReplies<A>, CliError> {
        let status: StatusView = self.get("/admin/status").await?;
        let mut nodes: Vec<(String, String)> = status
            .members
            .iter()
            .map(|m| (m.id.to_string(), m.admin_address.to_string()))
            .collect();
        nodes.sort();
        Ok(self.gather(nodes, path).await)
    }

    /// Calls all nodes, given by name and address, concurrently.
    async fn gather<A: DeserializeOwned>(
        &self,
        nodes: Vec<(String, String)>,
        path: &str,
    ) -> NodeReplies<A> {
        let calls = nodes.iter().map(|(id, address)| async move {
            let reply = self.call::<(), A>(address, Method::GET, path, None).await;
            (id.clone(), reply)
        });
        let mut replies = NodeReplies {
            received: Vec::new(),
            unreachable: Vec::new(),
        };
        for (id, reply) in futures_util::future::join_all(calls).await {
            match reply {
                Ok(reply) => replies.received.push((id, reply)),
                Err(_) => replies.unreachable.push(id),
            }
        }
        replies
    }

    /// Fetches the configuration in force on the first node that replies.
    pub async fn config(&self) -> Result<Config, CliError> {
        self.get("/admin/config").await
    }

    /// Changes the configuration on behalf of `author`.
    ///
    /// With a base revision the change is refused as `Conflict` if another one came first; `None`
    /// applies it to the latest revision.
    pub async fn change(
        &self,
        base_revision: Option<u64>,
        author: &str,
        change: ConfigChange,
    ) -> Result<AdminReply, CliError> {
        let call = AdminCall::Change {
            base_revision,
            author: Arc::from(author),
            change,
        };
        self.call_any_node(Method::POST, "/admin/change", Some(&call))
            .await
    }
}
