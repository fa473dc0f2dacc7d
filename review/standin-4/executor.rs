//! Executors: lives, leases, runs and ends as PROTOCOL.md has them, on the real clock.
//!
//! The `spec` of a job tells how long its tasks work: `work=MS`, or `lasts` for tasks that last.

use crate::{
    http::{self, Reply, Request},
    json::{Json, object},
    record::Record,
    store::Store,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT_MS: u64 = 1_500;
pub const HOLD_MAX_MS: u64 = 6_000;
const TICK: Duration = Duration::from_millis(5);

/// What one life of an executor is.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Thousandths of a core.
    pub cpu: u64,
    pub labels: Vec<String>,
}

/// What the tasks of each job need, by job id.
#[derive(Default)]
pub struct Needs(Mutex<HashMap<String, (u64, Option<String>)>>);

impl Needs {
    /// Sets the CPU of a job's tasks, in thousandths of a core, and the label that they require.
    pub fn set(&self, job: &str, cpu: u64, label: Option<&str>) {
        let mut needs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        needs.insert(job.to_owned(), (cpu, label.map(str::to_owned)));
    }

    fn of_task(&self, task: &str) -> (u64, Option<String>) {
        let job = task.split('.').next().unwrap_or("");
        let needs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        needs.get(job).cloned().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct Run {
    since: Instant,
    /// `None`: it lasts.
    work: Option<Duration>,
}

struct State {
    up: bool,
    /// Rises with each crash.
    life: u64,
    kind: Kind,
    born: u64,
    started: Instant,
    token: u64,
    deadline: u64,
    runs: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    sequence: u64,
    next_report: Instant,
    last_report: Option<Instant>,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
    needs: Arc<Needs>,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl State {
    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) {
        if self.runs.remove(key).is_none() {
            return;
        }
        self.last_end += 1;
        self.ended.push((self.last_end, key.0.clone(), key.1, how));
        let closed = self.closed.entry(key.0.clone()).or_default();
        *closed = key.1.max(*closed);
    }
}

impl Executor {
    pub fn start(
        id: &str,
        kind: Kind,
        store: Arc<Store>,
        record: Arc<Record>,
        needs: Arc<Needs>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let now = Instant::now();
        let state = State {
            up: true,
            life: 1,
            kind,
            born: unix_ms(),
            started: now,
            token: 0,
            deadline: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            sequence: 0,
            next_report: now,
            last_report: None,
        };
        let executor = Arc::new(Self {
            id: id.to_owned(),
            address,
            state: Mutex::new(state),
            store,
            record,
            needs,
        });
        let (accepting, serving, ticking) = (executor.clone(), executor.clone(), executor.clone());
        http::serve(
            listener,
            move || {
                let state = accepting.lock();
                state.up.then_some(state.life)
            },
            move |req, life| serving.handle(&req, life),
        );
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        executor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, what: &str) {
        self.record.line(&format!("{} {what}", self.id));
    }

    /// Lists the runs here.
    pub fn runs(&self) -> Vec<(String, u64)> {
        self.lock().runs.keys().cloned().collect()
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.up {
            if state.clock() > state.deadline && !state.runs.is_empty() {
                let keys: Vec<_> = state.runs.keys().cloned().collect();
                for key in keys {
                    state.end(&key, "lapsed");
                    self.note(&format!("lapsed {}/{}", key.0, key.1));
                }
            }
            let done = state.runs.iter();
            let done = done.filter(|(_, r)| r.work.is_some_and(|w| r.since + w <= now));
            let done: Vec<_> = done.map(|(key, _)| key.clone()).collect();
            for key in done {
                state.end(&key, "done");
                self.note(&format!("done {}/{}", key.0, key.1));
            }
        }
        let key = format!("servers/{}", self.id);
        if state.up && state.next_report <= now {
            state.next_report = now + Duration::from_millis(HEARTBEAT_MS);
            state.last_report = Some(now);
            state.sequence += 1;
            let labels = state.kind.labels.iter().map(|l| Json::text(l.clone()));
            let capacity = object([
                ("cpu", state.kind.cpu.into()),
                ("memMb", 64_000.into()),
                ("gpu", 0.into()),
            ]);
            let entry = object([
                ("service", "svc".into()),
                ("address", Json::text(self.address.to_string())),
                ("zone", "a".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("coldLeftMs", 0.into()),
                ("capacity", capacity),
                ("labels", Json::List(labels.collect())),
                ("clockMs", state.clock().into()),
                ("born", state.born.into()),
                ("sequence", state.sequence.into()),
            ]);
            self.store.put(&key, &entry);
        }
        // The platform removes an entry after three intervals of silence.
        let silence = Duration::from_millis(3 * HEARTBEAT_MS);
        if state.last_report.is_some_and(|at| at + silence <= now) {
            state.last_report = None;
            self.store.delete(&key);
            self.note("entry removed after its silence");
        }
    }

    fn handle(&self, req: &Request, life: u64) -> Reply {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let mut state = self.lock();
        if !state.up || state.life != life {
            return None;
        }
        let meant = req.headers.get("expect-instance");
        if meant.is_some_and(|id| *id != self.id) {
            return Some((421, object([("clockMs", state.clock().into())]).to_string()));
        }
        let token = body.get("fencingToken").u64().unwrap_or(0);
        if token < state.token {
            return refuse(&state, "fence");
        }
        state.token = token;
        let deadline = body.get("deadlineMs").u64();
        if let Some(deadline) = deadline {
            let latest = state.clock() + HOLD_MAX_MS;
            state.deadline = state.deadline.max(deadline.min(latest));
        }
        match req.path.as_str() {
            "/-/run-start" => self.start_run(&mut state, &body, deadline.unwrap_or(0)),
            "/-/run-stop" => {
                let key = run_key(&body);
                state.end(&key, "stopped");
                let closed = state.closed.entry(key.0.clone()).or_default();
                *closed = key.1.max(*closed);
                self.note(&format!("told to stop {}/{}", key.0, key.1));
                accept(&state)
            }
            "/-/pace" => accept(&state),
            "/-/hold" => {
                let cursor = body.get("ackCursor").u64().unwrap_or(0);
                state.ended.retain(|(n, ..)| *n > cursor);
                let wait_ms = body.get("waitMs").u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                while state.ended.is_empty() && Instant::now() < until {
                    drop(state);
                    thread::sleep(TICK);
                    state = self.lock();
                    if !state.up || state.life != life {
                        return None;
                    }
                }
                Some((200, lists(&state).to_string()))
            }
            _ => Some((400, object([]).to_string())),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json, deadline: u64) -> Reply {
        let key = run_key(body);
        if state.runs.contains_key(&key) {
            return accept(state);
        }
        if deadline <= state.clock() {
            return refuse(state, "late");
        }
        if state.closed.get(&key.0).is_some_and(|run| key.1 <= *run) {
            return refuse(state, "old");
        }
        let spec = body.get("spec").str().unwrap_or("");
        let work = spec.strip_prefix("work=").and_then(|ms| ms.parse().ok());
        let run = Run {
            since: Instant::now(),
            work: work.map(Duration::from_millis),
        };
        state.runs.insert(key.clone(), run);
        let used: u64 = state
            .runs
            .keys()
            .map(|(t, _)| self.needs.of_task(t).0)
            .sum();
        let cpu = state.kind.cpu;
        self.note(&format!(
            "starts {}/{}; cpu in use {used} of {cpu}",
            key.0, key.1
        ));
        if used > cpu {
            self.record.broken(&format!(
                "LIMIT: the start of {}/{} brings {} to {used} of {cpu} cpu",
                key.0, key.1, self.id
            ));
        }
        let (_, label) = self.needs.of_task(&key.0);
        if let Some(label) = label.filter(|l| !state.kind.labels.contains(l)) {
            self.record.broken(&format!(
                "ROUTE: {}/{} requires the label {label}, which {} does not have",
                key.0, key.1, self.id
            ));
        }
        accept(state)
    }
}

fn run_key(body: &Json) -> (String, u64) {
    let task = body.get("task").str().unwrap_or("").to_owned();
    (task, body.get("run").u64().unwrap_or(0))
}

fn accept(state: &State) -> Reply {
    Some((200, object([("clockMs", state.clock().into())]).to_string()))
}

fn refuse(state: &State, reason: &str) -> Reply {
    let body = object([("clockMs", state.clock().into()), ("reason", reason.into())]);
    Some((409, body.to_string()))
}

fn lists(state: &State) -> Json {
    let running = state.runs.iter().map(|((task, run), r)| {
        let percent = match r.work {
            None => 100,
            Some(work) => {
                let done = r.since.elapsed().as_millis() * 100 / work.as_millis().max(1);
                done.min(99) as u64
            }
        };
        let row = [
            Json::text(task.clone()),
            (*run).into(),
            "".into(),
            percent.into(),
            0.into(),
        ];
        Json::List(row.to_vec())
    });
    let ended = state.ended.iter().take(500).map(|(n, task, run, how)| {
        let row = [
            (*n).into(),
            Json::text(task.clone()),
            (*run).into(),
            (*how).into(),
            "".into(),
        ];
        Json::List(row.to_vec())
    });
    object([
        ("clockMs", state.clock().into()),
        ("born", state.born.into()),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}
