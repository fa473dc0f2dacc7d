//! Reads memory and descriptors of a process from `/proc`, with the bytes that its sockets have
//! received and it has not read. Used by the tests of clients that do not behave.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// State of a listening socket in `/proc/net/tcp`; its receive queue counts connections, not bytes.
const LISTENING: &str = "0A";

/// What a process uses at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessUsage {
    /// Largest resident set since the start, in KiB.
    pub peak_resident_kib: u64,
    /// Resident set, in KiB.
    pub resident_kib: u64,
    /// Bytes that sockets bound to the process' addresses have received and nobody has read, in KiB;
    /// also those of connections that are not accepted yet.
    pub unread_kib: u64,
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process that listens on these addresses.
    pub fn read(process: u32, addresses: &[SocketAddr]) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let field = |name: &str| -> u64 {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            let value = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
            value.unwrap_or(0)
        };
        let sockets = fs::read_to_string("/proc/net/tcp")?;
        let unread_bytes: u64 = sockets
            .lines()
            .filter_map(|line| unread_bytes(line, addresses))
            .sum();
        Ok(Self {
            peak_resident_kib: field("VmHWM:"),
            resident_kib: field("VmRSS:"),
            unread_kib: unread_bytes.div_ceil(1_024),
            descriptors: fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64,
        })
    }

    /// Returns the most of each amount; memory is that of the process and its sockets together.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        let larger = if other.memory_kib() > self.memory_kib() {
            other
        } else {
            self
        };
        Self {
            peak_resident_kib: self.peak_resident_kib.max(other.peak_resident_kib),
            descriptors: self.descriptors.max(other.descriptors),
            ..larger
        }
    }

    /// Returns the memory of the process and of its sockets, in KiB.
    pub fn memory_kib(&self) -> u64 {
        self.resident_kib + self.unread_kib
    }
}

/// Returns the unread bytes of a line of `/proc/net/tcp`; `None` unless it is a connection to one of
/// the addresses.
fn unread_bytes(line: &str, addresses: &[SocketAddr]) -> Option<u64> {
    let mut fields = line.split_whitespace().skip(1);
    let (local, _remote, state, queues) = (
        fields.next()?,
        fields.next()?,
        fields.next()?,
        fields.next()?,
    );
    let (ip, port) = local.split_once(':')?;
    // The address is a number in the byte order of the machine.
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    let local = SocketAddr::new(IpAddr::V4(ip), u16::from_str_radix(port, 16).ok()?);
    if state == LISTENING || !addresses.contains(&local) {
        return None;
    }
    u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
}
