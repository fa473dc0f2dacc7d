//! Maintenance waves: watches the operators' requests, begins the maintenance of one machine after the
//! other, and shows the state of each wave in the store. A task of the owner, started and ended with it.
//!
//! A call is sent only after it is recorded in the store and while the ownership is proved. Which
//! machine is next is decided in `fleet::policy`, and how a reply changes a wave in `fleet::WaveState`.

use {
    crate::{
        core::Millis,
        entry::{OwnerInput, OwnershipClaim, Shared, clock, store_keys as keys, takeover},
        fleet::{
            CellEvent, ExecutorId, FleetEvent, MachineId, MachineInfo, MachinePhase, MachineReply,
            Now, UpkeepPlan, WaveRecord, WaveRequest, WaveState,
            policy::{self, ExecutorWork, MachineView},
        },
        platform::{
            MachineClient, StoreChange, StoreError, StoreItem, Transaction, UpkeepCall,
            UpkeepSettings, WAVES_PREFIX, wave_from_key, wave_from_request, wave_status,
        },
    },
    futures_util::future::join_all,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time between two rounds while a wave is active.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two reads of the list of machines, in ms.
const LIST_INTERVAL_MS: Millis = 1_000;

/// Maximum time between two attempts to read the list while the machine service fails, in ms.
const MAX_LIST_BACKOFF_MS: Millis = 8_000;

/// Timeout of a call to the machine service.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which the calls of one round are sent, in ms: what runs on their machines is checked once
/// before.
const MAX_BATCH_MS: Millis = 500;

/// Timeout of a query to the cell.
const CELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a write; the store replies in 4 ms, and in 260 ms when it is slow.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the store holds a watch of the requests open.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Time between a failed read of the store and the next attempt.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Age of a request that was found by reading all of them, in ms: the time that a change of owner
/// takes. A request that a watch reports is new.
const UNSEEN_REQUEST_AGE_MS: Millis = 3_000;

/// Rest of the proof of ownership that a call needs where the machine service does not compare fencing
/// tokens, in ms: the time that the call may take to arrive.
const UNFENCED_MARGIN_MS: Millis = 300;

/// What the watch of the requests reports.
enum RequestChange {
    /// All requests, read at the start and after a failed watch.
    Relisted(Vec<StoreItem>),
    Changed(StoreChange),
}

/// A wave and what is stored of it.
struct Wave {
    state: WaveState,
    /// Revision of its record; 0: there is none; `None`: not known after a failed write.
    revision: Option<u64>,
    /// Whether the state differs from the stored one.
    dirty: bool,
}

/// A request and when it was made at the latest, in Unix ms.
struct Requested {
    request: WaveRequest,
    at_unix_ms: Millis,
}

struct UpkeepTask {
    shared: Arc<Shared>,
    claim: OwnershipClaim,
    tx: mpsc::UnboundedSender<OwnerInput>,
    settings: UpkeepSettings,
    client: MachineClient,
    /// Requests in force; none before the first read of all of them.
    requests: Option<BTreeMap<u64, Requested>>,
    waves: BTreeMap<u64, Wave>,
    /// Since when the executor of a machine gets no new tasks, in ms since boot.
    drained_since: HashMap<MachineId, Millis>,
    /// The plan that the cell was last given.
    plan: UpkeepPlan,
    /// Earliest next read of the list, in ms since boot.
    next_list_at: Millis,
    failed_lists: u32,
    next_call: Instant,
    next_duty: Instant,
}

/// Serves the operators' requests until the owner task ends; returns at once where the settings call
/// for no maintenance waves.
pub async fn run(
    shared: Arc<Shared>,
    claim: OwnershipClaim,
    tx: mpsc::UnboundedSender<OwnerInput>,
) {
    let Some(settings) = shared.settings.upkeep else {
        return;
    };
    let (changes_tx, changes) = mpsc::unbounded_channel();
    let watch = watch_requests(shared.clone(), changes_tx);
    let mut task = UpkeepTask {
        client: MachineClient::new(settings.address),
        shared,
        claim,
        tx,
        settings,
        requests: None,
        waves: BTreeMap::new(),
        drained_since: HashMap::new(),
        plan: UpkeepPlan::default(),
        next_list_at: 0,
        failed_lists: 0,
        next_call: Instant::now(),
        next_duty: Instant::now(),
    };
    task.load_records().await;
    tokio::join!(watch, task.serve(changes));
}

/// Passes all requests and every change of them on, until nobody receives them.
async fn watch_requests(shared: Arc<Shared>, tx: mpsc::UnboundedSender<RequestChange>) {
    let mut revision = None;
    while !tx.is_closed() {
        match revision {
            None => match shared.range(WAVES_PREFIX, takeover::READ_TIMEOUT).await {
                Ok((items, next)) => {
                    revision = Some(next);
                    let _ = tx.send(RequestChange::Relisted(items));
                }
                Err(_) => sleep(READ_RETRY_DELAY).await,
            },
            Some(after) => {
                let result = shared
                    .watch(WAVES_PREFIX, after, WATCH_WAIT, takeover::READ_TIMEOUT)
                    .await;
                match result {
                    Ok((changes, next)) => {
                        revision = Some(next);
                        for change in changes {
                            let _ = tx.send(RequestChange::Changed(change));
                        }
                    }
                    Err(error) => {
                        sleep(READ_RETRY_DELAY).await;
                        if !matches!(error, StoreError::Busy) {
                            revision = None;
                        }
                    }
                }
            }
        }
    }
}

impl UpkeepTask {
    /// Reads the waves of earlier owners; the claim was written before, so that no earlier owner can
    /// change them any more.
    async fn load_records(&mut self) {
        let items = loop {
            let result = self
                .shared
                .range(keys::WAVES_PREFIX, takeover::READ_TIMEOUT)
                .await;
            match result {
                Ok((items, _)) => break items,
                Err(_) => sleep(READ_RETRY_DELAY).await,
            }
        };
        for item in items {
            let record = keys::decode::<WaveRecord>(&item.key, &item.value);
            if let Some(record) = takeover::ok_or_log(&self.shared, record) {
                let number = record.request.wave;
                let state = WaveState::resume(record, self.settings.timing, clock::now());
                let wave = Wave {
                    state,
                    revision: Some(item.revision),
                    dirty: false,
                };
                self.waves.insert(number, wave);
            }
        }
    }

    async fn serve(&mut self, mut changes: mpsc::UnboundedReceiver<RequestChange>) {
        loop {
            let idle = !self.has_work();
            tokio::select! {
                change = changes.recv() => match change {
                    Some(change) => self.on_change(change),
                    None => return,
                },
                () = sleep(ROUND_INTERVAL), if !idle => {}
            }
            while let Ok(change) = changes.try_recv() {
                self.on_change(change);
            }
            if self.may_act() {
                self.round().await;
            }
        }
    }

    /// Returns whether anything is to be done although no request changes.
    fn has_work(&self) -> bool {
        let unserved = |requests: &BTreeMap<u64, Requested>| {
            let changed = |(n, r): (&u64, &Requested)| {
                let wave = self.waves.get(n);
                wave.is_none_or(|w| w.state.record.request != r.request)
            };
            requests.iter().any(changed) || self.waves.keys().any(|n| !requests.contains_key(n))
        };
        self.requests.as_ref().is_some_and(unserved)
            || self.waves.values().any(|w| w.state.is_active())
            || self.plan != UpkeepPlan::default()
    }

    /// Returns whether no other node can own the cell.
    fn may_act(&self) -> bool {
        may_act(&self.shared, self.claim.lease, &self.settings)
    }

    fn on_change(&mut self, change: RequestChange) {
        let now = clock::unix();
        let requests = self.requests.get_or_insert_default();
        let (items, at_unix_ms) = match change {
            RequestChange::Relisted(items) => {
                let named: Vec<u64> = items.iter().filter_map(|i| wave_from_key(&i.key)).collect();
                requests.retain(|n, _| named.contains(n));
                (items, now.saturating_sub(UNSEEN_REQUEST_AGE_MS))
            }
            RequestChange::Changed(StoreChange::Set(item)) => (vec![item], now),
            RequestChange::Changed(StoreChange::Removed(key)) => {
                if let Some(number) = wave_from_key(&key) {
                    requests.remove(&number);
                }
                return;
            }
        };
        for item in items {
            match wave_from_request(&item.key, &item.value) {
                Ok(request) => {
                    let known = requests.get(&request.wave);
                    if known.is_none_or(|k| k.request != request) {
                        let number = request.wave;
                        let requested = Requested {
                            request,
                            at_unix_ms,
                        };
                        requests.insert(number, requested);
                    }
                }
                Err(e) => self.shared.log_event(FleetEvent::BadEntry, &e.to_string()),
            }
        }
    }

    /// Does what is due: takes in requests, reads the machines, drains executors, sends calls, and
    /// records what has changed.
    async fn round(&mut self) {
        if self.requests.is_none() {
            // A wave of an earlier owner may have been withdrawn.
            return;
        }
        self.take_in_requests().await;
        if self.active_waves().is_empty() {
            self.drained_since.clear();
            self.send_plan();
            self.publish_counts();
            return;
        }
        if clock::mono() >= self.next_list_at {
            self.read_machines().await;
        }
        self.send_plan();
        if self.choose_drained().await {
            self.send_plan();
            for number in self.active_waves() {
                self.begin_next(number).await;
            }
        }
        for number in self.active_waves() {
            self.record(number).await;
        }
        self.send_plan();
        self.publish_counts();
    }

    fn active_waves(&self) -> Vec<u64> {
        let active = self.waves.iter().filter(|(_, w)| w.state.is_active());
        active.map(|(number, _)| *number).collect()
    }

    /// Creates waves for new requests, updates those whose request has changed, and drops those whose
    /// request was removed. What cannot be stored is tried again in the next round.
    async fn take_in_requests(&mut self) {
        let Some(requests) = &self.requests else {
            return;
        };
        let mut updates = Vec::new();
        for (number, requested) in requests {
            let state = match self.waves.get(number) {
                None => WaveState::new(
                    requested.request.clone(),
                    requested.at_unix_ms,
                    self.settings.timing,
                ),
                Some(wave) => {
                    let mut state = wave.state.clone();
                    if !state.update_request(requested.request.clone(), requested.at_unix_ms) {
                        continue;
                    }
                    state
                }
            };
            updates.push((*number, state));
        }
        let withdrawn = self.waves.keys().filter(|n| !requests.contains_key(n));
        let withdrawn: Vec<u64> = withdrawn.copied().collect();
        for (number, state) in updates {
            let request = state.record.request.clone();
            if self.save(number, state).await {
                let detail = format!(
                    "wave={number} machines={} within_ms={} cap={}",
                    request.machines.len(),
                    request.within_ms,
                    request.cap
                );
                self.shared.log_event(FleetEvent::WaveRequested, &detail);
            }
        }
        for number in withdrawn {
            self.delete(number).await;
        }
    }

    /// Reads the complete list of machines, at most once a second, and passes it to the waves.
    async fn read_machines(&mut self) {
        let sent = clock::now();
        let mut machines: HashMap<MachineId, MachineInfo> = HashMap::new();
        let mut page_token = None;
        let mut tokens = HashSet::new();
        loop {
            sleep_until(self.reserve_call(false)).await;
            let page = self.client.list_page(page_token.as_deref(), CALL_TIMEOUT);
            let Some(page) = page.await else {
                let doubled = LIST_INTERVAL_MS << self.failed_lists.min(8);
                self.failed_lists += 1;
                let pause_ms = doubled.min(MAX_LIST_BACKOFF_MS);
                self.next_list_at = clock::mono() + pause_ms;
                let detail = format!("failures={} retry_ms={pause_ms}", self.failed_lists);
                self.shared.log_event(FleetEvent::MachinesUnread, &detail);
                return;
            };
            self.shared.log_skipped("machines", &page.skipped);
            machines.extend(page.machines.into_iter().map(|m| (m.id.clone(), m)));
            let Some(next) = page.next_token else { break };
            // A token that comes again would never end the list.
            if !tokens.insert(next.clone()) {
                break;
            }
            page_token = Some(next);
        }
        self.failed_lists = 0;
        self.next_list_at = sent.mono + LIST_INTERVAL_MS;
        for wave in self.waves.values_mut().filter(|w| w.state.is_active()) {
            wave.dirty |= wave.state.on_listed(&machines, sent);
        }
    }

    /// Chooses the machines to drain; false if the cell did not reply.
    async fn choose_drained(&mut self) -> bool {
        let now = clock::now();
        let mut drained: HashMap<MachineId, Millis> = HashMap::new();
        for number in self.active_waves() {
            let Some(views) = self.machine_views(number).await else {
                return false;
            };
            let Some(wave) = self.waves.get(&number) else {
                continue;
            };
            for id in policy::machines_to_drain(&wave.state, &views, now) {
                let since = self.drained_since.get(&id).copied();
                drained.insert(id, since.unwrap_or(now.mono));
            }
        }
        self.drained_since = drained;
        true
    }

    /// Describes the machines of a wave that have not begun; `None` if the cell did not reply.
    async fn machine_views(&self, number: u64) -> Option<Vec<MachineView>> {
        let state = &self.waves.get(&number)?.state;
        let open = state.record.machines.iter();
        let open = open.filter(|(_, phase)| !phase.has_begun());
        let machines: Vec<(MachineId, Option<ExecutorId>)> = open
            .map(|(id, _)| (id.clone(), state.executor(id).cloned()))
            .collect();
        let executors: Vec<Option<ExecutorId>> = machines.iter().map(|(_, e)| e.clone()).collect();
        let query = self.shared.query_cell(CELL_TIMEOUT, move |cell, now| {
            let work = |id: Option<ExecutorId>| id.map(|id| cell.executor_work(&id, now));
            executors.into_iter().map(work).collect()
        });
        let work: Vec<Option<ExecutorWork>> = query.await.ok()?;
        let views = machines.into_iter().zip(work).map(|((id, _), work)| {
            let drained_since = self.drained_since.get(&id).copied();
            MachineView {
                id,
                work: work.unwrap_or_default(),
                drained_since,
            }
        });
        Some(views.collect())
    }

    /// Passes the plan to the cell if it has changed, and while executors are drained, since more of
    /// their tasks may be stopped as others work again.
    fn send_plan(&mut self) {
        let now = clock::now();
        let mut plan = UpkeepPlan::default();
        for wave in self.waves.values() {
            let state = &wave.state;
            plan.down.extend(state.down_executors(now).cloned());
            let stops_work = policy::should_stop_work(state, now);
            for id in self.drained_since.keys() {
                if state.is_active()
                    && state.may_be_drained(id)
                    && let Some(executor) = state.executor(id)
                {
                    *plan.drained.entry(executor.clone()).or_default() |= stops_work;
                }
            }
        }
        if plan != self.plan || !plan.drained.is_empty() {
            self.plan = plan.clone();
            let _ = self.tx.send(OwnerInput::Cell(CellEvent::Upkeep(plan)));
        }
    }

    /// Begins the maintenance of the machines of a wave whose turn it is.
    async fn begin_next(&mut self, number: u64) {
        let Some(views) = self.machine_views(number).await else {
            return;
        };
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        let before = wave.state.clone();
        let mut chosen = policy::next_machines(&before, &views, clock::now());
        let pace = MAX_BATCH_MS / self.settings.timing.call_interval_ms.max(1);
        chosen.truncate(usize::try_from(pace).unwrap_or(usize::MAX).max(1));
        if chosen.is_empty() {
            return;
        }
        let mut called = before.clone();
        for id in &chosen {
            called.mark_called(id);
        }
        if !self.save(number, called).await {
            return;
        }
        // The cell counts what runs on these machines as unavailable from here on.
        self.send_plan();
        let views = self.machine_views(number).await.unwrap_or_default();
        let now = clock::now();
        let allowed = |id: &MachineId| {
            let view = views.iter().find(|v| v.id == *id);
            view.is_some_and(|v| policy::may_begin(&before, v, now))
        };
        let calls: Vec<_> = chosen
            .into_iter()
            .map(|id| {
                let at = allowed(&id).then(|| self.reserve_call(true));
                self.call(number, id, at)
            })
            .collect();
        let replies = join_all(calls).await;
        for (id, reply) in replies {
            self.on_reply(number, &id, reply);
        }
    }

    /// Sends the call for a machine at a time, if there is one and the ownership is proved then.
    fn call(
        &self,
        wave: u64,
        machine: MachineId,
        at: Option<Instant>,
    ) -> impl Future<Output = (MachineId, MachineReply)> + use<> {
        let (shared, client) = (self.shared.clone(), self.client.clone());
        let (lease, settings) = (self.claim.lease, self.settings);
        let call = UpkeepCall {
            machine: machine.clone(),
            wave,
            holder: shared.node.clone(),
            token: self.claim.epoch.token,
        };
        async move {
            let Some(at) = at else {
                return (machine, MachineReply::NotSent);
            };
            sleep_until(at).await;
            let may_act = || may_act(&shared, lease, &settings);
            let reply = client.begin_upkeep(&call, CALL_TIMEOUT, may_act).await;
            (machine, reply)
        }
    }

    fn on_reply(&mut self, number: u64, id: &MachineId, reply: MachineReply) {
        let now = clock::now();
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        wave.state.on_reply(id, reply, now);
        wave.dirty = true;
        let (event, what) = match reply {
            MachineReply::Begun => {
                let executor = wave.state.executor(id).cloned().unwrap_or_default();
                let down = wave.state.down_count();
                let detail = format!("wave={number} machine={id} executor={executor} down={down}");
                (FleetEvent::MachineBegun, detail)
            }
            MachineReply::NotSent => return,
            MachineReply::NoSuchMachine | MachineReply::NoReply => {
                let detail = format!("wave={number} machine={id} reason={reply:?}");
                (FleetEvent::MachineRefused, detail)
            }
            MachineReply::Refused(refusal) => {
                let detail = format!("wave={number} machine={id} reason={refusal:?}");
                (FleetEvent::MachineRefused, detail)
            }
        };
        self.shared.log_event(event, &what);
    }

    /// Stores what has changed in a wave, and that it is completed once every machine that stays has
    /// begun.
    async fn record(&mut self, number: u64) {
        let Some(wave) = self.waves.get(&number) else {
            return;
        };
        let completed = wave.state.all_begun();
        if !wave.dirty && !completed {
            return;
        }
        let mut state = wave.state.clone();
        state.record.completed = completed;
        let requested_at = state.record.requested_unix_ms;
        let counts = state.counts();
        if self.save(number, state).await && completed {
            let after_ms = clock::unix().saturating_sub(requested_at);
            let states = MachinePhase::LABELS.iter().zip(counts);
            let states = states.filter(|(_, count)| *count > 0);
            let states: Vec<String> = states.map(|(l, c)| format!(" {l}={c}")).collect();
            let detail = format!("wave={number} after_ms={after_ms}{}", states.concat());
            self.shared.log_event(FleetEvent::WaveCompleted, &detail);
        }
    }

    /// Stores a wave with its status, on condition that this node is still the owner; the state is in
    /// force only if that succeeded. A write with an unknown outcome is repeated by the next one.
    async fn save(&mut self, number: u64, state: WaveState) -> bool {
        let Ok(value) = keys::encode(&state.record) else {
            return false;
        };
        let status = wave_status(number, state.record.completed);
        let set = vec![(keys::wave(number), value, 0), (status.0, status.1, 0)];
        let Some(revision) = self.write(number, set, Vec::new()).await else {
            return false;
        };
        let wave = Wave {
            state,
            revision: Some(revision),
            dirty: false,
        };
        self.waves.insert(number, wave);
        true
    }

    /// Removes a wave whose request was removed.
    async fn delete(&mut self, number: u64) {
        let remove = vec![keys::wave(number)];
        if self.write(number, Vec::new(), remove).await.is_some() {
            self.waves.remove(&number);
            let detail = format!("wave={number}");
            self.shared.log_event(FleetEvent::WaveWithdrawn, &detail);
        }
    }

    /// Writes the keys of a wave if its record has the revision that is known here; returns the new
    /// one. `None` if nothing was written or the outcome is not known.
    async fn write(
        &mut self,
        number: u64,
        set: Vec<(String, Vec<u8>, u64)>,
        remove: Vec<String>,
    ) -> Option<u64> {
        let key = keys::wave(number);
        let known = self.waves.get(&number).and_then(|w| w.revision);
        let revision = if let Some(revision) = known {
            revision
        } else {
            // Only this owner can have written it, so what is stored is replaced.
            let item = self.shared.get(&key, WRITE_TIMEOUT).await.ok()?;
            item.map_or(0, |i| i.revision)
        };
        let txn = Transaction {
            expect: vec![
                (keys::OWNER.to_owned(), self.claim.revision),
                (key, revision),
            ],
            set,
            remove,
        };
        let result = self.shared.commit(&txn, WRITE_TIMEOUT).await;
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.revision = match result {
                Ok(revision) => Some(revision),
                Err(StoreError::Busy) => Some(revision),
                Err(_) => None,
            };
        }
        result.ok()
    }

    /// Returns when the next call to the machine service may be sent, and counts it.
    fn reserve_call(&mut self, is_duty: bool) -> Instant {
        let interval = Duration::from_millis(self.settings.call_interval_ms);
        let mut at = self.next_call.max(Instant::now());
        if is_duty {
            at = at.max(self.next_duty);
            self.next_duty = at + Duration::from_millis(self.settings.timing.call_interval_ms);
        }
        self.next_call = at + interval;
        at
    }

    fn publish_counts(&self) {
        let mut counts = [0; MachinePhase::LABELS.len()];
        for wave in self.waves.values().filter(|w| w.state.is_active()) {
            for (sum, count) in counts.iter_mut().zip(wave.state.counts()) {
                *sum += count;
            }
        }
        self.shared.wave_machines.send_replace(counts);
    }
}

impl Drop for UpkeepTask {
    /// The metrics count the waves of the owner only.
    fn drop(&mut self) {
        self.shared.wave_machines.send_replace(Default::default());
    }
}

/// Returns whether no other node can own the cell while a call to the machine service arrives.
fn may_act(shared: &Shared, lease: u64, settings: &UpkeepSettings) -> bool {
    let margin_ms = if settings.requires_fencing {
        0
    } else {
        UNFENCED_MARGIN_MS
    };
    let proof = shared.ownership_proof(lease);
    let now: Now = clock::now();
    proof.is_some_and(|p| p.is_sole_owner(now.mono + margin_ms))
}
