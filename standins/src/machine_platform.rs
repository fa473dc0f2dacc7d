//! Serves the platform's store and its machine service on one address, and checks the calls that begin
//! maintenance: each is recorded before, and one machine of wave 1 is down at a time.
//!
//! Used by the tests of maintenance waves. A maintenance takes `UPKEEP`.

use {
    crate::platform_store::PlatformStore,
    axum::{
        Json, Router,
        extract::{Query, State},
        http::{HeaderMap, StatusCode, Uri},
        response::{IntoResponse, Response},
        routing::{any, get, post},
    },
    dragonflyferry::fleet::{MachinePhase, WaveRecord},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// Duration of a maintenance.
const UPKEEP: Duration = Duration::from_millis(400);

/// A machine of the service.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    /// End of its maintenance, if it has begun.
    pub until: Option<Instant>,
    /// Highest fencing token that acted on it.
    pub token: u64,
    /// Calls that are carried out without a reply.
    pub lost_replies: u32,
}

/// State of the store and the machines.
#[derive(Debug, Default)]
pub struct MachinePlatformState {
    pub store: PlatformStore,
    /// The store takes nothing more once the wave is recorded.
    pub rejects_when_recorded: bool,
    pub machines: BTreeMap<String, Machine>,
    /// Machine, holder and fencing token of each call that arrived.
    pub calls: Vec<(String, String, u64)>,
    pub lists: u32,
    pub violations: Vec<String>,
}

/// Store and machine service on one address.
#[derive(Clone, Debug, Default)]
pub struct MachinePlatform(Arc<Mutex<MachinePlatformState>>);

impl MachinePlatform {
    /// Returns the state.
    pub fn lock(&self) -> MutexGuard<'_, MachinePlatformState> {
        crate::lock(&self.0)
    }

    /// Creates a platform of some machines, all in service.
    pub fn new(machines: &[&str]) -> Self {
        let platform = Self::default();
        let machines = machines
            .iter()
            .map(|n| ((*n).to_owned(), Machine::default()));
        platform.lock().machines.extend(machines);
        platform
    }

    /// Serves both on a port of their own.
    pub async fn serve(&self) -> SocketAddr {
        let router = Router::new()
            .route("/-/machines", get(list_machines))
            .route("/-/machine-upkeep", post(begin_upkeep))
            .route("/-/kv-watch", get(watch_store))
            .fallback(any(call_store))
            .with_state(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        address
    }

    /// Returns the stored record of wave 1.
    pub fn record(&self) -> Option<WaveRecord> {
        let value = self.lock().store.value("c/wave/1")?;
        postcard::from_bytes(&value).ok()
    }

    /// Returns the status of wave 1 that operators see.
    pub fn status(&self) -> String {
        let value = self.lock().store.value("status/wave/1");
        String::from_utf8(value.unwrap_or_default()).expect("text")
    }

    /// Requests wave 1 with one machine at a time.
    pub fn request_wave(&self, machines: &[&str]) {
        let value = json!({"wave": 1, "machines": machines, "withinS": 20, "cap": 1});
        let mut inner = self.lock();
        inner.store.put("op/wave/1", value.to_string().as_bytes());
    }
}

type Params = Query<HashMap<String, String>>;

fn reply((status, body): (u16, Value)) -> Response {
    let status = StatusCode::from_u16(status).expect("status");
    (status, Json(body)).into_response()
}

async fn call_store(
    State(platform): State<MachinePlatform>,
    uri: Uri,
    Query(query): Params,
    body: String,
) -> Response {
    let mut inner = platform.lock();
    if inner.rejects_when_recorded && inner.store.value("c/wave/1").is_some() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let body = serde_json::from_str(&body).unwrap_or_default();
    reply(inner.store.call(uri.path(), &query, &body, 0))
}

async fn watch_store(State(platform): State<MachinePlatform>, Query(query): Params) -> Response {
    let after = query["after"].parse().expect("revision");
    loop {
        if let Some(found) = platform.lock().store.watch(&query["prefix"], after, 0) {
            return reply(found);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Lists two machines a page.
async fn list_machines(
    State(platform): State<MachinePlatform>,
    Query(query): Params,
) -> Json<Value> {
    let mut inner = platform.lock();
    inner.lists += 1;
    let first: usize = query
        .get("pageToken")
        .map_or(0, |t| t[2..].parse().expect("token"));
    let now = Instant::now();
    let row = |(name, machine): (&String, &Machine)| {
        let down = machine.until.is_some_and(|at| now < at);
        let state = if down { "upkeep" } else { "up" };
        json!({"machineId": name, "state": state, "id": format!("i-{name}"), "zone": "a"})
    };
    let rows: Vec<Value> = inner.machines.iter().skip(first).take(2).map(row).collect();
    let next = (first + 2 < inner.machines.len()).then(|| format!("p&{}", first + 2));
    Json(json!({"machines": rows, "nextToken": next}))
}

async fn begin_upkeep(
    State(platform): State<MachinePlatform>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let name = body["machineId"].as_str().expect("machine").to_owned();
    let text = |header: &str| headers[header].to_str().expect("text").to_owned();
    let token: u64 = text("fencing-token").parse().expect("token");
    let record = platform.record();
    let mut inner = platform.lock();
    inner.calls.push((name.clone(), text("duty-holder"), token));
    let phase = record.and_then(|r| r.machines.get(&*name).cloned());
    if !matches!(phase, Some(MachinePhase::Called { .. })) {
        inner.violations.push(format!("not recorded: {name}"));
    }
    let now = Instant::now();
    let down = inner.machines.values();
    let down = down.filter(|m| m.until.is_some_and(|at| now < at)).count();
    let Some(machine) = inner.machines.get_mut(&name) else {
        return reply((400, json!({})));
    };
    if token < machine.token {
        return reply((409, json!({"reason": "fence"})));
    }
    machine.token = token;
    let begins = machine.until.is_none();
    machine.until.get_or_insert(now + UPKEEP);
    let lost = machine.lost_replies > 0;
    machine.lost_replies = machine.lost_replies.saturating_sub(1);
    if begins && down > 0 {
        inner.violations.push(format!("beyond the cap: {name}"));
    }
    if lost {
        return StatusCode::BAD_GATEWAY.into_response();
    }
    reply((200, json!({})))
}
