//! The kernel's table of TCP sockets.

use std::net::SocketAddr;

/// One row of `/proc/net/tcp`.
#[derive(Clone, Debug)]
pub struct KernelSocket {
    /// Local address, in the form of the table.
    local: String,
    /// Remote address, in the form of the table.
    remote: String,
    /// State, two hex digits.
    pub state: String,
    /// Bytes written and not yet acknowledged by the peer.
    pub unsent: u64,
    /// Bytes received and not yet read.
    pub unread: u64,
}

impl KernelSocket {
    /// Returns whether this is the local end at `address`.
    pub fn is_local(&self, address: SocketAddr) -> bool {
        self.local == table_form(address)
    }
    /// Returns whether the remote end is at `address`.
    pub fn is_remote(&self, address: SocketAddr) -> bool {
        self.remote == table_form(address)
    }
}

/// Reads all rows of the table.
pub fn kernel_sockets() -> Vec<KernelSocket> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<KernelSocket> {
    let mut fields = line.split_whitespace().skip(1);
    let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
    let (unsent, unread) = fields.next()?.split_once(':')?;
    let bytes = |hex| u64::from_str_radix(hex, 16).ok();
    Some(KernelSocket {
        local: local.into(),
        remote: remote.into(),
        state: state.into(),
        unsent: bytes(unsent)?,
        unread: bytes(unread)?,
    })
}

fn table_form(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}
