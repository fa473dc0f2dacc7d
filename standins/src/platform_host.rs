//! Serves a simulated platform to real nodes over loopback: the store, the executors, and the
//! connections between nodes, each through the rules of `platform_faults`.
//!
//! Each node has ports of its own for the store, for each executor and for each other node, so
//! that the host knows both ends of a call. Replies of the store and commands that another node is to
//! send name these ports to the node.

use {
    crate::{
        lock,
        platform_executor::{ExecutorOutcome, PlatformExecutor, SLOTS},
        platform_faults::{Fate, Party, PlatformFaults},
        platform_store::PlatformStore,
        run_journal::RunJournal,
    },
    axum::body::Body,
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    dragonflyferry::{
        core::Millis,
        entry::PeerMessage,
        fleet::{EpochRecord, NodeRecord, OwnerRecord},
    },
    futures_util::{SinkExt, StreamExt},
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        collections::{HashMap, HashSet},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream, tcp},
        sync::Notify,
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// Time between checks of runs, leases and heartbeats.
const TICK: Duration = Duration::from_millis(10);

/// Delay of such a check, in ms, from which on it counts as a fault: the nodes share the machine and miss
/// renewals of their store leases.
const STALL_MS: Millis = 500;

/// Interval at which executors report to the store, in ms.
pub const HEARTBEAT_MS: Millis = 1_500;

/// Silence after which the entry of an executor is removed, in ms.
const ENTRY_TTL_MS: Millis = 3 * HEARTBEAT_MS;

/// Time between the exit of an executor and the start of its successor, in ms.
const EXIT_DOWN_MS: Millis = 1_000;

/// Time after which a connection without a reply is closed.
const MAX_SILENCE: Duration = Duration::from_secs(20);

/// Keys of the owner and its number, and prefix of the keys of nodes, as the nodes write them.
const EPOCH_KEY: &str = "c/epoch";
const OWNER_KEY: &str = "m/owner";
const NODES_PREFIX: &str = "m/node/";

/// A call as it arrived.
#[derive(Clone, Debug)]
struct Call {
    path: String,
    query: HashMap<String, String>,
    /// Life of the executor that the caller means.
    expected: Option<String>,
    body: Value,
    opened_at: Millis,
}

/// Status and body of a reply; `None` closes the connection.
type Reply = Option<(u16, Value)>;

/// When an executor last reported itself, and when it does next.
#[derive(Clone, Copy, Debug, Default)]
struct Heartbeat {
    next_at: Millis,
    /// Key and time of the last report that the store took.
    last_at: Millis,
}

/// The platform of one soak.
pub struct PlatformHost {
    /// When the times in ms begin.
    pub started_at: Instant,
    pub faults: PlatformFaults,
    pub journal: Arc<RunJournal>,
    store: Mutex<PlatformStore>,
    store_changed: Notify,
    executors: Vec<Mutex<PlatformExecutor>>,
    ended: Vec<Notify>,
    /// Executors that exited as announced. Their successors have other addresses, which the port of the
    /// place stands for, so that nothing answers at theirs.
    exited: Mutex<HashSet<String>>,
    heartbeats: Mutex<HashMap<String, Heartbeat>>,
    /// Ports by caller and callee.
    ports: Mutex<HashMap<(Party, Party), SocketAddr>>,
    /// Address at which each node accepts other nodes.
    peers: Vec<SocketAddr>,
    /// When each owner claimed, its number and its node.
    claims: Mutex<Vec<(Millis, u64, Option<usize>)>>,
}

impl PlatformHost {
    /// Creates the platform of nodes with the given peer addresses and starts its timers.
    /// `executors` holds the pool and zone of each executor.
    pub fn start(seed: u64, peers: Vec<SocketAddr>, executors: &[(&str, &str)]) -> Arc<Self> {
        let journal = Arc::new(RunJournal::default());
        let create = |(i, (pool, zone)): (usize, &(&str, &str))| {
            let id = format!("i-{i}-0");
            let seed = seed ^ (i as u64 + 1) << 32;
            Mutex::new(PlatformExecutor::new(id, pool, zone, seed, 0, &journal))
        };
        let executors: Vec<_> = executors.iter().enumerate().map(create).collect();
        let host = Arc::new(Self {
            started_at: Instant::now(),
            faults: PlatformFaults::new(seed),
            store: Mutex::new(PlatformStore::default()),
            store_changed: Notify::new(),
            ended: executors.iter().map(|_| Notify::new()).collect(),
            executors,
            exited: Mutex::new(HashSet::new()),
            journal,
            heartbeats: Mutex::new(HashMap::new()),
            ports: Mutex::new(HashMap::new()),
            peers,
            claims: Mutex::new(Vec::new()),
        });
        // The timers end with the host.
        let weak = Arc::downgrade(&host);
        tokio::spawn(async move {
            let mut tick = tokio::time::interval(TICK);
            let mut last_at = 0;
            loop {
                tick.tick().await;
                let Some(host) = weak.upgrade() else { return };
                let now = host.now();
                if now > last_at + STALL_MS {
                    let stall = host.faults.begin("machine stalled", false, last_at);
                    host.faults.end(stall, now);
                }
                last_at = now;
                host.tick();
            }
        });
        host
    }

    /// Returns the time since the start, in ms.
    pub fn now(&self) -> Millis {
        Millis::try_from(self.started_at.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Returns the number of executors.
    pub fn executor_count(&self) -> usize {
        self.executors.len()
    }

    /// Returns the zone of an executor.
    pub fn zone_of(&self, executor: usize) -> String {
        lock(&self.executors[executor]).zone.clone()
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.store).put(key, value);
        self.store_changed.notify_waiters();
    }

    /// Discards the store's history.
    pub fn compact(&self) {
        lock(&self.store).compact();
    }

    /// Stops the expiry of the store's leases, or resumes it.
    pub fn pause_leases(&self, paused: bool) {
        let now = self.now();
        lock(&self.store).pause_leases(paused, now);
    }

    /// Returns the node that the store names as the owner.
    pub fn owner(&self) -> Option<usize> {
        let value = lock(&self.store).value(OWNER_KEY)?;
        let record: OwnerRecord = postcard::from_bytes(&value).ok()?;
        let address: SocketAddr = record.address.parse().ok()?;
        self.peers.iter().position(|p| *p == address)
    }

    /// Returns when each owner claimed, its number and its node.
    pub fn claims(&self) -> Vec<(Millis, u64, Option<usize>)> {
        lock(&self.claims).clone()
    }

    fn record_claim(&self, now: Millis) {
        let value = lock(&self.store).value(EPOCH_KEY).unwrap_or_default();
        let record: Result<EpochRecord, _> = postcard::from_bytes(&value);
        let number = record.map_or(0, |r| r.token);
        let mut claims = lock(&self.claims);
        if claims.last().map_or(0, |(_, last, _)| *last) < number {
            claims.push((now, number, self.owner()));
        }
    }

    /// Crashes an executor; it is back after `down_ms`, under a new id if `renamed`.
    pub fn restart_executor(&self, index: usize, down_ms: Millis, renamed: bool) {
        let now = self.now();
        let mut executor = lock(&self.executors[index]);
        let id = match executor.id.rsplit_once('-') {
            Some((stem, life)) if renamed => {
                format!("{stem}-{}", life.parse::<u32>().unwrap_or(0) + 1)
            }
            _ => executor.id.clone(),
        };
        executor.restart(id, now, now + down_ms, &self.journal);
    }

    /// Announces that an executor drains and exits after this time; another one takes its place. Between
    /// heartbeats the remaining time in its entry is out of date.
    pub fn drain_executor(&self, index: usize, remaining_ms: Millis) {
        let exits_at = self.now() + remaining_ms;
        let mut executor = lock(&self.executors[index]);
        executor.exits_at.get_or_insert(exits_at);
        let id = executor.id.clone();
        drop(executor);
        if let Some(beat) = lock(&self.heartbeats).get_mut(&id) {
            beat.next_at = 0;
        }
    }

    /// Ends an executor that drained; the store drops its entry unless a fault is between the two.
    fn exit_executor(&self, index: usize, id: &str, now: Millis) {
        lock(&self.exited).insert(id.to_owned());
        self.restart_executor(index, EXIT_DOWN_MS, true);
        self.ended[index].notify_waiters();
        let from = Party::Executor(index);
        if self.faults.decide(from, Party::Store, "", now).is_none() {
            lock(&self.heartbeats).remove(id);
            lock(&self.store).remove(&format!("servers/{id}"));
            self.store_changed.notify_waiters();
        }
    }

    /// Returns the address of the store for a node.
    pub fn store_address(self: &Arc<Self>, node: usize) -> io::Result<SocketAddr> {
        self.port(Party::Node(node), Party::Store)
    }

    fn tick(self: &Arc<Self>) {
        let now = self.now();
        self.record_claim(now);
        if lock(&self.store).expire(now) {
            self.store_changed.notify_waiters();
        }
        // Free and all slots by pool.
        let mut slots: HashMap<String, (usize, usize)> = HashMap::new();
        for (index, executor) in self.executors.iter().enumerate() {
            let mut executor = lock(executor);
            let (free, all) = slots.entry(executor.pool.clone()).or_default();
            *all += SLOTS;
            if !executor.is_up(now) {
                continue;
            }
            if executor.advance(now, &self.journal) {
                self.ended[index].notify_waiters();
            }
            *free += executor.free_slots();
            let entry = executor.entry(&format!("executor-{index}"), now);
            let (id, exits_at) = (executor.id.clone(), executor.exits_at);
            drop(executor);
            if exits_at.is_some_and(|at| at <= now) {
                self.exit_executor(index, &id, now);
            } else {
                self.beat(index, &id, &entry, now);
            }
        }
        for (pool, (free, all)) in slots {
            self.journal.record_room(&pool, 4 * free >= all, now);
        }
        let paused = lock(&self.store).is_paused();
        let mut beats = lock(&self.heartbeats);
        let silent = |b: &Heartbeat| !paused && b.last_at + ENTRY_TTL_MS < now;
        let expired = beats.iter().filter(|(_, b)| b.last_at > 0 && silent(b));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            beats.entry(id.clone()).or_default().last_at = 0;
            lock(&self.store).remove(&format!("servers/{id}"));
            self.store_changed.notify_waiters();
        }
    }

    /// Reports an executor to the store if that is due; the entry changes only with its content.
    fn beat(self: &Arc<Self>, index: usize, id: &str, entry: &Value, now: Millis) {
        let mut beats = lock(&self.heartbeats);
        let beat = beats.entry(id.to_owned()).or_default();
        if now < beat.next_at {
            return;
        }
        beat.next_at = now + HEARTBEAT_MS;
        let fate = self
            .faults
            .decide(Party::Executor(index), Party::Store, "", now);
        let taken = matches!(
            fate,
            None | Some(Fate::HoldReply(_) | Fate::LoseReply | Fate::ResetReply | Fate::Slow(_))
        );
        if !taken {
            return;
        }
        beat.last_at = now;
        let key = format!("servers/{id}");
        let value = entry.to_string().into_bytes();
        let mut store = lock(&self.store);
        if store.value(&key).as_ref() != Some(&value) {
            store.put(&key, &value);
            self.store_changed.notify_waiters();
        }
    }

    /// Returns the address at which `from` reaches `to`; listens there from the first call on.
    fn port(self: &Arc<Self>, from: Party, to: Party) -> io::Result<SocketAddr> {
        let mut ports = lock(&self.ports);
        if let Some(address) = ports.get(&(from, to)) {
            return Ok(*address);
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        ports.insert((from, to), address);
        let listener = TcpListener::from_std(listener)?;
        let weak = Arc::downgrade(self);
        tokio::spawn(async move {
            loop {
                let accepted = listener.accept().await;
                let Some(host) = weak.upgrade() else { return };
                let Ok((stream, _)) = accepted else {
                    tokio::time::sleep(TICK).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                match to {
                    Party::Node(node) => {
                        tokio::spawn(host.forward(stream, from, node));
                    }
                    _ => {
                        tokio::spawn(host.serve(stream, from, to));
                    }
                }
            }
        });
        Ok(address)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, from: Party, to: Party) {
        let opened_at = self.now();
        let service = service_fn(move |req: Request<Incoming>| {
            let host = self.clone();
            async move {
                let call = read_call(req, opened_at).await?;
                let closed = || io::Error::from(io::ErrorKind::ConnectionReset);
                let (status, body) = host.dispatch(from, to, call).await.ok_or_else(closed)?;
                let mut reply = Response::new(Body::from(body.to_string()));
                *reply.status_mut() = status.try_into().map_err(io::Error::other)?;
                Ok::<_, io::Error>(reply)
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A reset or a client that went away ends the connection.
        let _ = connection.await;
    }

    /// Carries out a call unless a fault prevents it.
    async fn dispatch(self: Arc<Self>, from: Party, to: Party, call: Call) -> Reply {
        let fate = self.faults.decide(from, to, &call.path, call.opened_at);
        let silence = async || {
            tokio::time::sleep(MAX_SILENCE).await;
            None
        };
        match fate {
            None => {
                let (path, opened_at) = (call.path.clone(), call.opened_at);
                let reply = self.execute(from, to, call).await;
                // A connection may have gone silent while the call waited.
                match self.faults.decide(from, to, &path, opened_at) {
                    Some(Fate::Silent) => silence().await,
                    _ => reply,
                }
            }
            Some(Fate::Refuse(status)) => Some((status, json!({}))),
            Some(Fate::Reset) => None,
            Some(Fate::Silent) => silence().await,
            Some(Fate::LoseReply) => {
                self.execute(from, to, call).await;
                silence().await
            }
            Some(Fate::ResetReply) => {
                self.execute(from, to, call).await;
                None
            }
            Some(Fate::HoldReply(ms)) => {
                let reply = self.execute(from, to, call).await;
                tokio::time::sleep(Duration::from_millis(ms)).await;
                reply
            }
            Some(Fate::Late(ms)) => {
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    self.execute(from, to, call).await;
                });
                silence().await
            }
            // Carried out even if the caller has given up by then.
            Some(Fate::Slow(ms)) => tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                self.execute(from, to, call).await
            })
            .await
            .ok()?,
        }
    }

    async fn execute(self: &Arc<Self>, from: Party, to: Party, call: Call) -> Reply {
        let Party::Node(node) = from else { return None };
        if let Party::Executor(index) = to {
            return self.call_executor(node, index, &call).await;
        }
        let (status, mut body) = self.call_store(&call).await;
        self.readdress(node, &mut body);
        Some((status, body))
    }

    async fn call_store(&self, call: &Call) -> (u16, Value) {
        if call.path != "/-/kv-watch" {
            let reply = lock(&self.store).call(&call.path, &call.query, &call.body, self.now());
            self.store_changed.notify_waiters();
            return reply;
        }
        let text = |name: &str| call.query.get(name).map_or("", String::as_str);
        let after = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
        let give_up = tokio::time::sleep(wait);
        tokio::pin!(give_up);
        loop {
            let changed = self.store_changed.notified();
            tokio::pin!(changed);
            // Registers before the check, so that no change is missed between the two.
            changed.as_mut().enable();
            let reply = lock(&self.store).watch(text("prefix"), after, self.now());
            if let Some(reply) = reply {
                return reply;
            }
            tokio::select! {
                () = changed => {}
                () = &mut give_up => return lock(&self.store).watch_reply(&[]),
            }
        }
    }

    async fn call_executor(&self, node: usize, index: usize, call: &Call) -> Reply {
        let expected = call.expected.as_ref();
        if expected.is_some_and(|id| lock(&self.exited).contains(id)) {
            return None;
        }
        let outcome = {
            let now = self.now();
            let mut executor = lock(&self.executors[index]);
            if !executor.is_up(now) {
                return None;
            }
            if expected.is_some_and(|id| *id != executor.id) {
                return Some((421, json!({})));
            }
            executor.handle(&call.path, &call.body, node, now, &self.journal)
        };
        let wait = match outcome {
            ExecutorOutcome::Reply(status, body) => return Some((status, body)),
            ExecutorOutcome::Wait(ms) => Duration::from_millis(ms),
        };
        let born = lock(&self.executors[index]).born;
        tokio::select! {
            () = self.ended[index].notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
        let now = self.now();
        let mut executor = lock(&self.executors[index]);
        if executor.born != born {
            return None;
        }
        executor.advance(now, &self.journal);
        Some((200, executor.lists(now)))
    }

    /// Replaces the addresses of executors and nodes in a reply by the ports for `node`.
    fn readdress(self: &Arc<Self>, node: usize, body: &mut Value) {
        let mut rows: Vec<&mut Value> = Vec::new();
        if body["key"].is_string() {
            rows.push(body);
        } else {
            for (_, list) in body.as_object_mut().into_iter().flatten() {
                rows.extend(list.as_array_mut().into_iter().flatten());
            }
        }
        for row in rows {
            let key = row["key"].as_str().unwrap_or_default().to_owned();
            let Some(value) = row["value"].as_str().and_then(|v| STANDARD.decode(v).ok()) else {
                continue;
            };
            if let Some(value) = self.readdressed(node, &key, &value) {
                row["value"] = json!(STANDARD.encode(value));
            }
        }
    }

    fn readdressed(self: &Arc<Self>, node: usize, key: &str, value: &[u8]) -> Option<Vec<u8>> {
        if key.starts_with("servers/") {
            let mut entry: Value = serde_json::from_slice(value).ok()?;
            let index = entry["address"].as_str()?.strip_prefix("executor-")?;
            let to = Party::Executor(index.parse().ok()?);
            entry["address"] = json!(self.port(Party::Node(node), to).ok()?);
            return Some(entry.to_string().into_bytes());
        }
        let proxy = |address: &str| -> Option<Arc<str>> {
            let target: SocketAddr = address.parse().ok()?;
            let peer = self.peers.iter().position(|p| *p == target)?;
            if peer == node {
                return Some(Arc::from(address));
            }
            let port = self.port(Party::Node(node), Party::Node(peer)).ok()?;
            Some(Arc::from(port.to_string()))
        };
        if key == OWNER_KEY {
            let mut record: OwnerRecord = postcard::from_bytes(value).ok()?;
            record.address = proxy(&record.address)?;
            return postcard::to_stdvec(&record).ok();
        }
        if key.starts_with(NODES_PREFIX) {
            let mut record = NodeRecord::decode(value).ok()?;
            record.address = proxy(&record.address)?;
            return record.encode().ok();
        }
        None
    }

    /// Forwards a connection to another node, each direction under its own faults.
    async fn forward(self: Arc<Self>, stream: TcpStream, from: Party, node: usize) {
        let Ok(upstream) = TcpStream::connect(self.peers[node]).await else {
            return;
        };
        let _ = upstream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (up_read, up_write) = upstream.into_split();
        // The end of one direction closes both.
        tokio::select! {
            () = self.pump(read, up_write, from, Party::Node(node)) => {}
            () = self.pump(up_read, write, Party::Node(node), from) => {}
        }
    }

    async fn pump(
        self: &Arc<Self>,
        read: tcp::OwnedReadHalf,
        write: tcp::OwnedWriteHalf,
        from: Party,
        to: Party,
    ) {
        let opened_at = self.now();
        let mut read = FramedRead::new(read, LengthDelimitedCodec::new());
        let mut write = FramedWrite::new(write, LengthDelimitedCodec::new());
        loop {
            let Some(Ok(frame)) = read.next().await else {
                return;
            };
            let frame = self.readdress_frame(to, frame.freeze());
            loop {
                match self.faults.decide(from, to, "", opened_at) {
                    None => break,
                    Some(Fate::Reset | Fate::ResetReply) => return,
                    Some(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
            if write.send(frame).await.is_err() {
                return;
            }
        }
    }

    /// Replaces the address in a command that a node is to send by the port for that node.
    fn readdress_frame(self: &Arc<Self>, to: Party, frame: Bytes) -> Bytes {
        let Some(PeerMessage::CommandRequest(mut remote)) = PeerMessage::decode(&frame) else {
            return frame;
        };
        let address: Option<SocketAddr> = remote.address.parse().ok();
        let executor = {
            let ports = lock(&self.ports);
            let mut known = ports.iter();
            known.find_map(|((_, target), at)| (Some(*at) == address).then_some(*target))
        };
        let port = executor.and_then(|target| self.port(to, target).ok());
        let Some(port) = port else { return frame };
        remote.address = Arc::from(port.to_string());
        let message = PeerMessage::CommandRequest(remote);
        message.encode().unwrap_or(frame)
    }
}

async fn read_call(req: Request<Incoming>, opened_at: Millis) -> io::Result<Call> {
    let path = req.uri().path().to_owned();
    let pairs = req.uri().query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|p| p.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    let expected = req.headers().get("expect-instance");
    let expected = expected.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body = req.into_body().collect().await.map_err(io::Error::other)?;
    let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    Ok(Call {
        path,
        query,
        expected,
        body,
        opened_at,
    })
}
