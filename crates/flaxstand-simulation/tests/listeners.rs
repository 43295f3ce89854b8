//! Listen addresses of several sites in one process.

use flaxstand_simulation::agreed::listeners;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Guards against two sites on one port: the ports are free again when the call returns, so on a shared
/// address the system may give a port twice.
#[test]
fn sites_in_one_process_listen_at_distinct_addresses() {
    let ips = |all: Vec<SocketAddr>| -> BTreeSet<IpAddr> { all.iter().map(SocketAddr::ip).collect() };
    let (one, other) = (ips(listeners(5).unwrap()), ips(listeners(5).unwrap()));
    assert_eq!((one.len(), other.len()), (5, 5));
    assert!(one.is_disjoint(&other), "{one:?} {other:?}");
}
