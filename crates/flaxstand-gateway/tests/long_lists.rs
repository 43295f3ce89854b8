//! Lists as long as `docs/CAPACITY.md` plans for: received in full on both wires, saved in full, and rejected
//! from other peers.

mod harness;

use flaxstand_gateway::core::{Config, Core, Wire};
use flaxstand_proto::{Extent, Frame, List, State};
use harness::{Harness, SentFrame, bytes_of, config, entry, ms};

const NODES: u64 = 25_000;

fn address(node: u64) -> String {
    format!("10.{}.{}.{}:7000", node >> 16, (node >> 8) & 255, node & 255)
}

/// The full list of a list service as one frame.
fn full_list_frame() -> Vec<u8> {
    let addresses: Vec<String> = (0..NODES).map(address).collect();
    let entries =
        addresses.iter().zip(0..).map(|(address, node)| entry(node, State::Serving, node as u32, address));
    bytes_of(&Frame::List(List { extent: Extent::Full, since: 7, revision: 7, entries: entries.collect() }))
}

/// The same list in the platform's JSON format.
fn full_list_json() -> String {
    let targets: Vec<String> = (0..NODES)
        .map(|node| {
            let address = address(node);
            format!(r#"{{"uid":"storage-node-{node}","endpoint":"{address}","az":"a","pod_group":{node},"state":"up"}}"#)
        })
        .collect();
    format!(r#"{{"rev":7,"all":true,"targets":[{}]}}"#, targets.join(","))
}

#[test]
fn a_list_of_25_000_nodes_is_applied_and_saved_in_full_on_frames() {
    let mut world = Harness::new(config(), 1);
    let list = world.list_conn();
    for piece in full_list_frame().chunks(65_536) {
        world.send_bytes(list, piece);
    }
    world.run(5);
    assert!(!world.closed.contains(&list));
    assert!(world.core.footprint().nodes as u64 >= NODES);
    let saved = world.saved.clone().expect("a received list is saved");
    let restarted = Core::new(config(), Some(&saved), ms(1)).expect("the saved list is read");
    assert_eq!(restarted.footprint().nodes as u64, NODES);
}

#[test]
fn a_list_of_25_000_nodes_is_applied_in_full_on_the_platform() {
    let mut world = Harness::new(Config { wire: Wire::Platform, ..config() }, 1);
    let list = world.list_conn();
    world.answer(list, "200 OK", &full_list_json());
    world.run(5);
    assert!(!world.closed.contains(&list));
    assert!(world.core.footprint().nodes as u64 >= NODES);
}

#[test]
fn a_client_that_announces_so_long_a_body_is_closed_before_it_is_read() {
    let mut world = Harness::new(config(), 1);
    let client = world.client();
    world.send_bytes(client, &full_list_frame()[..64]);
    world.run(5);
    assert!(world.closed.contains(&client));
}

/// A heartbeat of a list service without changes takes 31 bytes; without it, an initiator requests the full
/// list after the idle timeout.
#[test]
fn an_empty_list_of_changes_prevents_requests_for_an_unchanged_list() {
    let full_list_requests = |heartbeats: bool| {
        let mut world = Harness::new(config(), 3);
        let list = world.list_conn();
        let idle_timeout_ms = config().site.timeouts.discovery_idle_timeout.0 / 1000;
        for _ in 0..8 {
            world.run(idle_timeout_ms / 2);
            if heartbeats {
                let (since, revision) = (world.revision, world.revision);
                let unchanged = List { extent: Extent::Changes, since, revision, entries: Vec::new() };
                world.send_frame(list, &Frame::List(unchanged));
            }
        }
        assert!(!world.closed.contains(&list), "the connection is kept while the service answers requests");
        world.sent_frames_on(list).iter().filter(|said| **said == SentFrame::GetList).count()
    };
    assert_eq!(full_list_requests(true), 0);
    assert!(full_list_requests(false) > 0);
}
