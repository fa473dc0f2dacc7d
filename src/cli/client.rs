//! Calls to the operators' interface of the nodes.

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

/// Longest wait for a node's answer.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Results of the nodes that answered, and the addresses of those that did not.
pub struct NodeReplies<T> {
    pub answers: Vec<(String, T)>,
    pub unreachable: Vec<String>,
}

/// Client of one environment.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    environment: Environment,
}

impl Client {
    /// Creates a client; the environment must name a node.
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

    /// Calls the first node that answers; a refusal is final.
    pub async fn call_any_node<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, CliError> {
        let mut last = None;
        for node in &self.environment.nodes {
            match self.call(node, method.clone(), path, body).await {
                Ok(answer) => return Ok(answer),
                Err(e @ NetError::BadAnswer { .. }) => return Err(e.into()),
                Err(e) => last = Some(e),
            }
        }
        let message = last.map_or_else(String::new, |e| e.to_string());
        Err(CliError::Unreachable { message })
    }

    /// Reads from the first node that answers.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CliError> {
        self.call_any_node(Method::GET, path, None::<&()>).await
    }

    /// Reads from every node that was named.
    pub async fn get_from_named_nodes<A: DeserializeOwned>(&self, path: &str) -> NodeReplies<A> {
        let nodes = self.environment.nodes.iter();
        self.gather(nodes.map(|n| (n.clone(), n.clone())).collect(), path)
            .await
    }

    /// Reads from every member that any given node knows of.
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

    async fn gather<A: DeserializeOwned>(
        &self,
        nodes: Vec<(String, String)>,
        path: &str,
    ) -> NodeReplies<A> {
        let calls = nodes.iter().map(|(id, address)| async move {
            let answer = self.call::<(), A>(address, Method::GET, path, None).await;
            (id.clone(), answer)
        });
        let mut all = NodeReplies {
            answers: Vec::new(),
            unreachable: Vec::new(),
        };
        for (id, answer) in futures_util::future::join_all(calls).await {
            match answer {
                Ok(answer) => all.answers.push((id, answer)),
                Err(_) => all.unreachable.push(id),
            }
        }
        all
    }

    /// Reads the configuration.
    pub async fn config(&self) -> Result<Config, CliError> {
        self.get("/admin/config").await
    }

    /// Changes the configuration.
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
