//! Loopback addresses that one test has to itself.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// UDP port whose binding claims an address. No process under test uses UDP.
const CLAIM_PORT: u16 = 1027;
/// The first address tried lies above those that programs use by default.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 16, 0, 1]);
/// Number of addresses above the first.
const ADDRESSES: u32 = u32::from_be_bytes([127, 250, 0, 0]) - FIRST_ADDRESS;

/// A loopback address that no other test on this machine uses while this value exists. Its ports are known in
/// advance and are never given to anyone else, also not as the source of a connection.
pub struct LoopbackHost {
    address: Ipv4Addr,
    _claim: UdpSocket,
}

impl LoopbackHost {
    /// Claims an address.
    pub fn claim() -> LoopbackHost {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        loop {
            let offset =
                std::process::id().wrapping_mul(64).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            let address = Ipv4Addr::from(FIRST_ADDRESS + offset % ADDRESSES);
            if let Ok(claim) = UdpSocket::bind((address, CLAIM_PORT)) {
                return LoopbackHost { address, _claim: claim };
            }
        }
    }

    /// Returns the socket address of a port of this host.
    pub fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.address, port))
    }
}
