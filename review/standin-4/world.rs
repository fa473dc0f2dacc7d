//! A small deployment: store, executors of one service, and nodes.

use crate::{
    executor::{Executor, Kind, Needs},
    http,
    json::{Json, object},
    nodes::{HOST, Nodes},
    record::Record,
    store::Store,
};
use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

pub const PREFIX: &str = "/jobs/";
pub const OPEN_PREFIX: &str = "/open/";
pub const KEY: &str = "key-of-the-tenant";

pub struct World {
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub nodes: Nodes,
    needs: Arc<Needs>,
    folder: PathBuf,
}

impl World {
    /// Starts it and waits until every node answers.
    pub fn start(kinds: Vec<Kind>, record: &Arc<Record>) -> Result<Self, String> {
        let folder = env::temp_dir().join(format!("ferry-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store = Arc::new(Store::new());
        store.put("op/config", &config(1, &[KEY]));
        let needs = Arc::new(Needs::default());
        let start = |(i, kind): (usize, Kind)| {
            let id = format!("i-{i}");
            Executor::start(&id, kind, store.clone(), record.clone(), needs.clone())
        };
        let executors: Vec<_> = kinds.into_iter().enumerate().map(start).collect();
        let address = serve_platform(&store);
        let nodes = Nodes::new(3, &folder, address, address, record.clone());
        let mut world = Self {
            store,
            executors,
            nodes,
            needs,
            folder,
        };
        for node in 0..world.nodes.count() {
            world.nodes.start(node);
        }
        if !world
            .nodes
            .wait_until_ready(PREFIX, KEY, Duration::from_secs(20))
        {
            return Err("a node does not answer".to_owned());
        }
        Ok(world)
    }

    /// Tells the executors what a task of a job needs, in thousandths of a core, and its label.
    pub fn set_need(&self, job: &str, cpu: u64, label: Option<&str>) {
        self.needs.set(job, cpu, label);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.end();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Serves the store, and a machine service without machines, on one address.
fn serve_platform(store: &Arc<Store>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let store = store.clone();
    http::serve(
        listener,
        || Some(0),
        move |req, _| match req.path.as_str() {
            "/-/machines" => {
                let body = object([
                    ("machines", Json::List(Vec::new())),
                    ("nextToken", Json::Null),
                ]);
                Some((200, body.to_string()))
            }
            _ => store.handle(&req),
        },
    );
    address
}

/// A configuration with a queue for the tenant's keys and one that is open to all.
pub fn config(version: u64, keys: &[&str]) -> Json {
    let route = |name: &str, prefix: &str, public: bool| {
        object([
            ("name", name.into()),
            ("host", HOST.into()),
            ("prefix", prefix.into()),
            ("kind", "non_idempotent".into()),
            ("timeoutMs", 3_000.into()),
            ("sloMs", 2_500.into()),
            ("priority", 1.into()),
            ("service", "svc".into()),
            ("maxAttempts", 2.into()),
            ("stretch", 2.into()),
            ("public", public.into()),
        ])
    };
    let service = object([
        ("name", "svc".into()),
        ("healthPath", "/healthz".into()),
        ("admissionCheck", false.into()),
        ("spare", false.into()),
    ]);
    let limits = object([("bodyBytes", 262_144.into())]);
    let keys = keys.iter().map(|k| Json::text(*k)).collect();
    let cap = object([("cpu", 0.into()), ("memMb", 0.into()), ("gpu", 0.into())]);
    let tenant = object([
        ("name", "t-1".into()),
        ("apiKeys", Json::List(keys)),
        ("weight", 100.into()),
        ("cap", cap),
    ]);
    let routes = vec![
        route("r-work", PREFIX, false),
        route("r-open", OPEN_PREFIX, true),
    ];
    object([
        ("version", version.into()),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
}
