//! Addresses that sites in one process listen at.

use flaxstand_simulation::agreed::listeners;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// The ports are free again when the call returns: on one address the system may give a port twice.
#[test]
fn sites_in_one_process_listen_at_different_addresses() {
    let ips = |all: Vec<SocketAddr>| -> BTreeSet<IpAddr> { all.iter().map(SocketAddr::ip).collect() };
    let (one, other) = (ips(listeners(5).unwrap()), ips(listeners(5).unwrap()));
    assert_eq!((one.len(), other.len()), (5, 5));
    assert!(one.is_disjoint(&other), "{one:?} {other:?}");
}
