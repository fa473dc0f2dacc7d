//! An executor and the machine service of the platform as PROTOCOL.md describes them.

use {
    crate::{
        record::Record,
        store::Store,
        wire::{Reply, Request, quote, serve},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::TcpListener,
        sync::{Arc, Condvar, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// `holdMaxMs` of the settings.
const HOLD_MAX_MS: u64 = 6_000;

/// Time that a stop takes, below `killGraceMs`.
const STOP: Duration = Duration::from_millis(50);

/// Startup of a task that lasts.
const STARTUP: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Running {
    began: Instant,
    /// When it ends by itself or by a stop; `None`: it lasts.
    ends: Option<Instant>,
    how: &'static str,
}

#[derive(Debug)]
struct State {
    up: bool,
    id: String,
    /// Number of this life, and its start.
    life: u64,
    born_ms: u64,
    born: Instant,
    token: u64,
    lease_ms: u64,
    lapsed: bool,
    running: BTreeMap<(String, u64), Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    closed: HashMap<String, u64>,
    reported: bool,
}

/// One executor at a fixed address.
#[derive(Debug)]
pub struct Executor {
    pub address: String,
    pub cpu: u64,
    service: &'static str,
    state: Mutex<State>,
    changed: Condvar,
    /// Tasks that started, in all lives, and when.
    starts: Mutex<Vec<(String, u64)>>,
    record: Arc<Record>,
}

impl Executor {
    pub fn start(
        id: &str,
        service: &'static str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let executor = Arc::new(Self {
            address: listener.local_addr().unwrap().to_string(),
            cpu,
            service,
            state: Mutex::new(State {
                up: true,
                id: id.to_owned(),
                life: 1,
                born_ms: crate::record::unix_ms(),
                born: Instant::now(),
                token: 0,
                lease_ms: 0,
                lapsed: true,
                running: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                closed: HashMap::new(),
                reported: false,
            }),
            changed: Condvar::new(),
            starts: Mutex::new(Vec::new()),
            record: record.clone(),
        });
        let served = executor.clone();
        serve(listener, Arc::new(move |req| served.handle(req)));
        let (ticked, store) = (executor.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let mut state = ticked.lock();
                if state.up && !state.reported {
                    state.reported = true;
                    let (key, entry) = ticked.entry(&state);
                    drop(state);
                    store.put(&key, &entry);
                }
            }
        });
        executor
    }

    fn entry(&self, state: &State) -> (String, String) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":65536,\"gpu\":0}},\
             \"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"sequence\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.cpu,
            state.born.elapsed().as_millis(),
            state.born_ms
        );
        (format!("servers/{}", state.id), entry)
    }

    /// Returns whether a task of a job runs.
    pub fn runs_job(&self, job: &str) -> bool {
        let state = self.lock();
        state.up && state.running.keys().any(|(task, _)| task.starts_with(job))
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Returns when tasks of a job started, by the record's time.
    pub fn starts_of(&self, job: &str) -> Vec<u64> {
        let starts = self.starts.lock().unwrap();
        starts
            .iter()
            .filter(|(task, _)| task.starts_with(job))
            .map(|(_, at)| *at)
            .collect()
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Brings the state up to now: runs that are over, and the end of the lease.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let due: Vec<_> = state
            .running
            .iter()
            .filter(|(_, r)| r.ends.is_some_and(|at| at <= now))
            .map(|(k, r)| (k.clone(), r.how))
            .collect();
        for (key, how) in due {
            self.end(&mut state, key, how);
        }
        if !state.lapsed && state.born.elapsed().as_millis() as u64 > state.lease_ms {
            state.lapsed = true;
            let left: Vec<_> = state.running.keys().cloned().collect();
            for key in left {
                self.end(&mut state, key, "lapsed");
            }
        }
        state
    }

    fn end(&self, state: &mut State, key: (String, u64), how: &'static str) {
        state.running.remove(&key);
        let (task, run) = key;
        self.record.line(&format!(
            "end executor={} task={task} run={run} how={how}",
            state.id
        ));
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task, run, how));
        self.changed.notify_all();
    }

    /// Ends this life: everything that runs is lost, and connections break.
    pub fn crash(&self) {
        let mut state = self.lock();
        let runs: Vec<String> = state
            .running
            .keys()
            .map(|(t, r)| format!("{t}/{r}"))
            .collect();
        self.record.line(&format!(
            "crash executor={} lost={}",
            state.id,
            runs.join(",")
        ));
        state.up = false;
        state.running.clear();
        state.life += 1;
        self.changed.notify_all();
    }

    /// Starts the next life, under the same id or a new one.
    pub fn restart(&self, id: Option<&str>) {
        let mut state = self.lock();
        if let Some(id) = id {
            state.id = id.to_owned();
        }
        state.up = true;
        state.born_ms = crate::record::unix_ms();
        state.born = Instant::now();
        (state.token, state.lease_ms, state.lapsed) = (0, 0, true);
        state.ended.clear();
        state.last_end = 0;
        state.closed.clear();
        state.reported = false;
        self.record.line(&format!(
            "restart executor={} born={}",
            state.id, state.born_ms
        ));
    }

    fn extend(&self, state: &mut State, deadline: Option<u64>) {
        let Some(deadline) = deadline else { return };
        let clock = state.born.elapsed().as_millis() as u64;
        state.lease_ms = state.lease_ms.max(deadline.min(clock + HOLD_MAX_MS));
        if state.lease_ms >= clock {
            state.lapsed = false;
        }
    }

    fn handle(&self, req: &Request) -> Reply {
        let mut state = self.lock();
        if !state.up {
            return None;
        }
        let life = state.life;
        let clock = state.born.elapsed().as_millis() as u64;
        let born = state.born_ms;
        let refuse = |status: u16, reason: &str| {
            let body = format!("{{\"clockMs\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}");
            Some((status, body))
        };
        if req
            .headers
            .get("expect-instance")
            .is_some_and(|id| *id != state.id)
        {
            return Some((421, "{}".to_owned()));
        }
        let body = req.json();
        let token = body.get("fencingToken").int().unwrap_or(0);
        if token < state.token {
            return refuse(409, "fence");
        }
        state.token = token;
        let (task, run) = (
            body.get("task").text().to_owned(),
            body.get("run").int().unwrap_or(0),
        );
        let deadline = body.get("deadlineMs").int();
        let key = (task.clone(), run);
        match &*req.path {
            "/-/hold" => {
                self.extend(&mut state, deadline);
                let cursor = body.get("ackCursor").int().unwrap_or(0);
                state.ended.retain(|(n, ..)| *n > cursor);
                let wait = Duration::from_millis(body.get("waitMs").int().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                while state.ended.is_empty() && state.life == life && Instant::now() < until {
                    drop(
                        self.changed
                            .wait_timeout(state, Duration::from_millis(5))
                            .unwrap(),
                    );
                    state = self.lock();
                }
                (state.life == life).then(|| (200, lists(&state)))
            }
            "/-/run-start" => {
                if state.running.contains_key(&key) {
                    self.extend(&mut state, deadline);
                    return Some((200, format!("{{\"clockMs\":{clock},\"born\":{born}}}")));
                }
                if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
                    self.extend(&mut state, deadline);
                    return refuse(409, "old");
                }
                if deadline.unwrap_or(0) < clock {
                    return refuse(409, "late");
                }
                self.extend(&mut state, deadline);
                let spec = body.get("spec").text();
                self.starts
                    .lock()
                    .unwrap()
                    .push((task.clone(), self.record.now()));
                self.record.line(&format!(
                    "start executor={} task={task} run={run} token={token} spec={spec}",
                    state.id
                ));
                let now = Instant::now();
                let running = Running {
                    began: now,
                    ends: run_time(spec).map(|time| now + time),
                    how: "done",
                };
                state.running.insert(key, running);
                Some((200, format!("{{\"clockMs\":{clock},\"born\":{born}}}")))
            }
            "/-/run-stop" => {
                let closed = state.closed.entry(task).or_default();
                *closed = (*closed).max(run);
                let at = Instant::now() + STOP;
                if let Some(running) = state.running.get_mut(&key)
                    && running.ends.is_none_or(|ends| ends > at)
                {
                    running.ends = Some(at);
                    running.how = "stopped";
                }
                Some((200, format!("{{\"clockMs\":{clock},\"born\":{born}}}")))
            }
            "/-/pace" => Some((200, format!("{{\"clockMs\":{clock},\"born\":{born}}}"))),
            _ => refuse(400, "path"),
        }
    }
}

/// Returns how long a run takes by its spec: `ms=TIME`, or without end.
fn run_time(spec: &str) -> Option<Duration> {
    let ms = spec.strip_prefix("ms=")?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn lists(state: &State) -> String {
    let now = Instant::now();
    let running: Vec<String> = state
        .running
        .iter()
        .map(|((task, run), r)| {
            let elapsed = now - r.began;
            let percent = match r.ends {
                Some(at) => {
                    (elapsed.as_millis() * 100 / (at - r.began).as_millis().max(1)).min(100)
                }
                None => u128::from(elapsed >= STARTUP) * 100,
            };
            format!("[{},{run},\"\",{percent},0]", quote(task))
        })
        .collect();
    let ended: Vec<String> = state
        .ended
        .iter()
        .take(500)
        .map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(task)))
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        state.born.elapsed().as_millis(),
        state.born_ms,
        running.join(","),
        ended.join(",")
    )
}
