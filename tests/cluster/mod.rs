//! Test helper: a cluster of separate processes, stand-ins and daemons, on ports that the operating
//! system assigns.

use {
    axum::body::Body,
    dragonflyferry::{
        conf::{Settings, SettingsBuilder},
        core::TaskSpec,
        net::{HttpClient, Pooling, TlsCredentials, generate_test_certificates},
    },
    http_body_util::BodyExt,
    hyper::{Method, Request, Response},
    serde_json::Value,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Output, Stdio},
        time::Duration,
    },
};

pub const ADMIN_TOKEN: &str = "process-test-token";
pub const API_KEY: &str = "key-laurentide";
const NODE_COUNT: usize = 3;
const WORKER_COUNT: usize = 10;

/// Checks of a condition before a test fails, 100 ms apart.
const MAX_TRIES: usize = 1_200;

/// A child process that is killed when the value is dropped.
pub struct Process {
    child: Child,
    /// The first line of its standard output, which lists its addresses.
    pub first_line: String,
}

impl Process {
    fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("process starts");
        let stdout = child.stdout.take().expect("standard output");
        let mut first_line = String::new();
        BufReader::new(stdout)
            .read_line(&mut first_line)
            .expect("a line");
        Self { child, first_line }
    }

    /// Returns the process id.
    #[allow(dead_code, reason = "not every test reads it")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.is_ok_and(|s| s.success()));
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A daemon process and its addresses.
pub struct Node {
    pub process: Process,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
}

/// Running stand-ins and daemons, with the addresses of the platform and the workers.
pub struct Cluster {
    pub platform: SocketAddr,
    pub workers: Vec<SocketAddr>,
    pub nodes: Vec<Node>,
    _standin: Process,
    certificates: Vec<TlsCredentials>,
    folder: PathBuf,
    nodes_started: usize,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the path of another binary of this build.
fn binary_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_dragonflyferryd")).with_file_name(name)
}

impl Cluster {
    /// Starts all processes and waits until the nodes own all shards and have opened all workers.
    pub async fn start(name: &str) -> Self {
        let mut command = Command::new(binary_path("standin"));
        command.args(["--workers", &WORKER_COUNT.to_string()]);
        let standin = Process::start(&mut command);
        let addresses: Value = serde_json::from_str(&standin.first_line).expect("addresses");
        let address = |v: &Value| v.as_str().and_then(|s| s.parse().ok()).expect("address");
        let workers = addresses["workers"].as_array().expect("workers");
        let folder = std::env::temp_dir().join(format!("dff-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder");
        let mut cluster = Self {
            platform: address(&addresses["platform"]),
            workers: workers.iter().map(address).collect(),
            nodes: Vec::new(),
            _standin: standin,
            certificates: generate_test_certificates(16).expect("certificates"),
            folder,
            nodes_started: 0,
        };
        for _ in 0..NODE_COUNT {
            cluster.start_node();
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts another daemon.
    pub fn start_node(&mut self) {
        let tls = &self.certificates[self.nodes_started];
        let name = format!("entry-{}", self.nodes_started);
        let settings: Settings =
            SettingsBuilder::new(&name, &format!("zone-{}", self.nodes_started % 3))
                .platform(self.platform, self.platform)
                .admin_token(ADMIN_TOKEN)
                .certificate(&tls.authority, &tls.certificate, &tls.key)
                .build();
        self.nodes_started += 1;
        let path = self.folder.join(format!("{name}.yaml"));
        let text = serde_json::to_string(&settings).expect("settings");
        std::fs::write(&path, text).expect("settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
        let process = Process::start(command.arg("--settings").arg(&path));
        let address = |name: &str| {
            let mut words = process.first_line.split_whitespace();
            let word = words.find_map(|w| w.strip_prefix(name)).expect("address");
            word.parse().expect("address")
        };
        self.nodes.push(Node {
            caller_address: address("callers="),
            admin_address: address("admin="),
            process,
        });
    }

    /// Waits until the running nodes own all shards and have opened all workers.
    pub async fn wait_until_ready(&self) {
        let admin_addresses: Vec<SocketAddr> = self.nodes.iter().map(|n| n.admin_address).collect();
        wait_until("all shards are owned and all workers open", async || {
            let (mut fenced, mut open) = (0, 0);
            for admin_address in &admin_addresses {
                let status = admin_get(*admin_address, "/admin/status").await;
                fenced += status["view"]["fenced_shards"].as_u64().unwrap_or(0);
                open += status["view"]["open_workers"].as_u64().unwrap_or(0);
            }
            fenced == 64 && open == WORKER_COUNT as u64
        })
        .await;
        tokio::time::sleep(Duration::from_millis(1_200)).await;
    }

    /// Runs the operators' client against the nodes.
    pub fn client(&self, args: &[&str]) -> Output {
        let nodes: Vec<String> = self
            .nodes
            .iter()
            .map(|n| n.admin_address.to_string())
            .collect();
        Command::new(env!("CARGO_BIN_EXE_dragonflyferry"))
            .args(["--nodes", &nodes.join(",")])
            .args(args)
            .env("DRAGONFLYFERRY_TOKEN", ADMIN_TOKEN)
            .output()
            .expect("client runs")
    }

    /// Lists every task that the workers started, as they recorded it.
    pub async fn started_tasks(&self) -> Vec<TaskSpec> {
        let mut all = Vec::new();
        for worker in &self.workers {
            let (_, text) = get(&format!("http://{worker}/started")).await;
            all.extend(serde_json::from_str::<Vec<TaskSpec>>(&text).expect("tasks"));
        }
        all
    }

    /// Takes the store down, or brings it back up.
    pub async fn store_down(&self, down: bool) {
        let state = if down { "on" } else { "off" };
        let url = format!("http://{}/down/{state}", self.platform);
        let req = Request::post(url).body(Body::empty()).expect("request");
        send(req).await.expect("the platform replies");
    }
}

/// Waits until a condition holds; fails the test after [`MAX_TRIES`] checks.
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_TRIES {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("timed out waiting until {description}");
}

/// Sends a request and returns the response, whose body is not read yet.
pub async fn send(req: Request<Body>) -> Result<Response<Body>, String> {
    let client = HttpClient::new(Pooling::PerRequest);
    client.send(req).await.map_err(|e| e.message)
}

/// Reads a whole response and returns its status and body.
pub async fn read_response(resp: Response<Body>) -> (u16, String) {
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await;
    let bytes = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    (status, String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends a GET; returns status and body, or status 0 and the error message.
pub async fn get(url: &str) -> (u16, String) {
    let req = Request::get(url).body(Body::empty()).expect("request");
    match send(req).await {
        Ok(resp) => read_response(resp).await,
        Err(e) => (0, e),
    }
}

/// Sends a GET to the admin API; returns null if there is no JSON reply within 2 s.
pub async fn admin_get(admin_address: SocketAddr, path: &str) -> Value {
    let req = Request::get(format!("http://{admin_address}{path}"))
        .header("authorization", format!("Bearer {ADMIN_TOKEN}"))
        .body(Body::empty())
        .expect("request");
    let call = async {
        match send(req).await {
            Ok(resp) => serde_json::from_str(&read_response(resp).await.1).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    };
    let limit = Duration::from_secs(2);
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(Value::Null)
}

/// Builds a caller's request with the API key and further headers.
pub fn request(
    method: Method,
    caller_address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Body> {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{caller_address}{path}"))
        .header("authorization", format!("Bearer {API_KEY}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Body::from(body.to_owned())).expect("request")
}
