//! The nodes of a soak: real daemon processes with settings files of their own.
//!
//! `soak` starts, signals and stops them. Each node has a loopback address of its own, so that its
//! ports can be the same after a restart. Signals go only to processes started here.

use {
    crate::lock,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Mutex,
            atomic::{AtomicU16, Ordering},
        },
    },
};

/// Time between SIGTERM and SIGKILL, in s, as in the settings.
pub const TERMINATION_GRACE_S: u64 = 6;

/// First port of the nodes of the first soak of this process; below the ephemeral ports.
const FIRST_PORT: u16 = 10_000;

/// Ports of one node: other nodes, metrics, callers and readiness.
const PORTS_PER_NODE: u16 = 4;

/// Soaks whose nodes have different ports.
const MAX_SOAKS: u16 = 4_000;

static SOAKS: AtomicU16 = AtomicU16::new(0);

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
}

/// What the settings of a node state about its machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// Node processes, by number.
pub struct SoakNodes {
    /// Program of each node, from its next start on.
    daemons: Vec<Mutex<PathBuf>>,
    folder: PathBuf,
    addresses: Vec<NodeAddresses>,
    children: Vec<Mutex<Option<Child>>>,
    /// `None`: the settings do not state them.
    machine: Option<MachineLimits>,
    termination_grace_s: u64,
}

impl SoakNodes {
    /// Prepares `count` nodes that run the program `daemon` and log into `folder`.
    pub fn new(daemon: &Path, folder: &Path, count: usize) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let soak = SOAKS.fetch_add(1, Ordering::Relaxed) % MAX_SOAKS;
        let first_port = FIRST_PORT + soak * PORTS_PER_NODE;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let addresses = (0..count).map(|node| {
            let last = u8::try_from(node + 1).unwrap_or(u8::MAX);
            let ip = Ipv4Addr::new(127, high.max(1), low, last);
            let address = |i| SocketAddr::V4(SocketAddrV4::new(ip, first_port + i));
            NodeAddresses {
                peer: address(0),
                metrics: address(1),
                caller: address(2),
                ready: address(3),
            }
        });
        Ok(Self {
            daemons: (0..count).map(|_| Mutex::new(daemon.to_owned())).collect(),
            folder: folder.to_owned(),
            addresses: addresses.collect(),
            children: (0..count).map(|_| Mutex::new(None)).collect(),
            machine: None,
            termination_grace_s: TERMINATION_GRACE_S,
        })
    }

    /// States the limits of the nodes' machines in their settings.
    #[must_use]
    pub fn machine(mut self, machine: MachineLimits) -> Self {
        self.machine = Some(machine);
        self
    }

    /// Sets the time between SIGTERM and SIGKILL that the settings state, in s.
    #[must_use]
    pub fn termination_grace_s(mut self, seconds: u64) -> Self {
        self.termination_grace_s = seconds;
        self
    }

    /// Returns the number of nodes.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the addresses of a node.
    pub fn addresses(&self, node: usize) -> NodeAddresses {
        self.addresses[node]
    }

    /// Writes the settings file of a node.
    pub fn configure(&self, node: usize, store: SocketAddr) -> io::Result<()> {
        let at = self.addresses[node];
        let machine = self.machine.map_or_else(String::new, |m| {
            format!("memoryMb = {}\nmaxFds = {}\n", m.memory_mb, m.descriptors)
        });
        let text = format!(
            "node = \"edge-{node}\"\nzone = \"z{}\"\nportRange = [{}, {}]\n\
             heartbeatMs = {}\n\
             [listen]\nfront = \"{}\"\nready = \"{}\"\n\
             [limits]\ncpuShare = 0.25\n{machine}\
             [bounds]\nholdMaxMs = {}\nkillGraceMs = {}\ngraceS = {}\n\
             status_s = 120\nrevokeMs = 5000\n\
             [platform]\naddress = \"{store}\"\nttlMinMs = 1000\n",
            node % 3,
            at.peer.port(),
            at.metrics.port(),
            crate::platform_host::HEARTBEAT_MS,
            at.caller,
            at.ready,
            crate::platform_executor::MAX_LEASE_MS,
            crate::platform_executor::KILL_GRACE_MS,
            self.termination_grace_s,
        );
        fs::write(self.settings_path(node), text)
    }

    fn settings_path(&self, node: usize) -> PathBuf {
        self.folder.join(format!("node-{node}.toml"))
    }

    /// Sets the program of a node from its next start on.
    pub fn set_daemon(&self, node: usize, daemon: &Path) {
        daemon.clone_into(&mut lock(&self.daemons[node]));
    }

    /// Returns the most memory that a node's process has used, in KiB; `None` if it does not run.
    pub fn peak_memory_kib(&self, node: usize) -> Option<u64> {
        let id = lock(&self.children[node]).as_ref().map(Child::id)?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Starts a node unless it runs.
    pub fn start(&self, node: usize) -> io::Result<()> {
        let mut child = lock(&self.children[node]);
        if child.as_mut().is_some_and(|c| !has_ended(c)) {
            return Ok(());
        }
        let path = self.folder.join(format!("node-{node}.log"));
        let log = File::options().create(true).append(true).open(path)?;
        let started = Command::new(&*lock(&self.daemons[node]))
            .arg("--platform")
            .env(
                dragonflyferry::platform::SETTINGS_VARIABLE,
                self.settings_path(node),
            )
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    /// Sends a signal to a node if it runs.
    pub fn signal(&self, node: usize, signal: Signal) {
        let mut child = lock(&self.children[node]);
        // The id belongs to the child until it is reaped.
        if let Some(child) = child.as_mut()
            && !has_ended(child)
        {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills a node at once.
    pub fn kill(&self, node: usize) {
        if let Some(mut child) = lock(&self.children[node]).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the process of a node if it runs.
    pub fn process_id(&self, node: usize) -> Option<u32> {
        let mut child = lock(&self.children[node]);
        let child = child.as_mut()?;
        (!has_ended(child)).then(|| child.id())
    }
}

impl Drop for SoakNodes {
    fn drop(&mut self) {
        for node in 0..self.count() {
            self.kill(node);
        }
    }
}

fn has_ended(child: &mut Child) -> bool {
    !matches!(child.try_wait(), Ok(None))
}
