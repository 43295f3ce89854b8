//! Lists as long as `docs/CAPACITY.md` plans for: taken whole on both wires, saved whole, and refused from other peers.

mod harness;

use flaxstand_gateway::core::{Config, Core, Wire};
use flaxstand_proto::{Extent, Frame, List, State};
use harness::{Harness, SentFrame, bytes_of, config, entry, ms};

const NODES: u64 = 25_000;

fn address(node: u64) -> String {
    format!("10.{}.{}.{}:7000", node >> 16, (node >> 8) & 255, node & 255)
}

/// A list service's whole list, as one frame.
fn whole_list() -> Vec<u8> {
    let addresses: Vec<String> = (0..NODES).map(address).collect();
    let entries =
        addresses.iter().zip(0..).map(|(address, node)| entry(node, State::Serving, node as u32, address));
    bytes_of(&Frame::List(List { extent: Extent::Full, since: 7, revision: 7, entries: entries.collect() }))
}

/// The same in the platform's words.
fn whole_listing() -> String {
    let targets: Vec<String> = (0..NODES)
        .map(|node| {
            let address = address(node);
            format!(r#"{{"uid":"storage-node-{node}","endpoint":"{address}","az":"a","pod_group":{node},"state":"up"}}"#)
        })
        .collect();
    format!(r#"{{"rev":7,"all":true,"targets":[{}]}}"#, targets.join(","))
}

#[test]
fn a_list_of_25_000_nodes_is_taken_and_saved_whole_on_frames() {
    let mut world = Harness::new(config(), 1);
    let list = world.list_conn();
    for piece in whole_list().chunks(65_536) {
        world.send_bytes(list, piece);
    }
    world.run(5);
    assert!(!world.closed.contains(&list));
    assert!(world.core.footprint().nodes as u64 >= NODES);
    let saved = world.saved.clone().expect("a list that was told is saved");
    let restarted = Core::new(config(), Some(&saved), ms(1)).expect("a long saved list is read");
    assert_eq!(restarted.footprint().nodes as u64, NODES);
}

#[test]
fn a_list_of_25_000_nodes_is_taken_whole_on_the_platform() {
    let mut world = Harness::new(Config { wire: Wire::Platform, ..config() }, 1);
    let list = world.list_conn();
    world.answer(list, "200 OK", &whole_listing());
    world.run(5);
    assert!(!world.closed.contains(&list));
    assert!(world.core.footprint().nodes as u64 >= NODES);
}

#[test]
fn a_client_that_states_so_long_a_body_is_closed_before_it_is_read() {
    let mut world = Harness::new(config(), 1);
    let client = world.client();
    world.send_bytes(client, &whole_list()[..64]);
    world.run(5);
    assert!(world.closed.contains(&client));
}

/// A quiet service says so in 31 bytes; an initiator that hears nothing asks for all of it.
#[test]
fn an_empty_list_of_changes_keeps_a_quiet_list_from_being_asked_for() {
    let asked = |heartbeats: bool| {
        let mut world = Harness::new(config(), 3);
        let list = world.list_conn();
        let silence_ms = config().site.timeouts.discovery_idle_timeout.0 / 1000;
        for _ in 0..8 {
            world.run(silence_ms / 2);
            if heartbeats {
                let (since, revision) = (world.revision, world.revision);
                let unchanged = List { extent: Extent::Changes, since, revision, entries: Vec::new() };
                world.send_frame(list, &Frame::List(unchanged));
            }
        }
        assert!(!world.closed.contains(&list), "the service answers when it is asked");
        world.sent_frames_on(list).iter().filter(|said| **said == SentFrame::GetList).count()
    };
    assert_eq!(asked(true), 0);
    assert!(asked(false) > 0);
}
