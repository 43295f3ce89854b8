//! Limits and timers that a long list could hit, with 30, 3,200 and 25,000 nodes: docs/list-bounds.md has the
//! table.

#[path = "harness/full_lists.rs"]
mod full_lists;
mod harness;
#[path = "harness/line_counter.rs"]
mod line_counter;

use flaxstand_gateway::core::{Bounds, Config};
use flaxstand_gateway::machine::{Control, Machine as _, Reloaded};
use full_lists::{full_list_frame, full_listing};
use harness::*;
use line_counter::log_lines_during;

const SIZES: [u64; 3] = [30, 3_200, 25_000];
/// Number of bytes per read.
const READ_BYTES: usize = 65_536;
/// Limit on partial answers of targets: less than a list of 3,200 targets.
const MAX_PARTIAL_ANSWER_BYTES: usize = 64 << 10;

fn platform_config() -> Config {
    let mut config = harness::platform_config(2_500);
    config.bounds.max_response_bytes = MAX_PARTIAL_ANSWER_BYTES;
    config
}

/// Delivers the list service's answer in several reads at the same virtual time.
fn deliver_listing(world: &mut Harness, text: &str) {
    let list = world.list_conn();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    for piece in answer.as_bytes().chunks(READ_BYTES) {
        world.send_bytes(list, piece);
    }
    world.run(5);
}

#[test]
fn a_list_of_each_size_is_applied_regardless_of_the_limit_on_target_answers() {
    for targets in SIZES {
        let mut world = Harness::new(platform_config(), 0);
        let list = world.list_conn();
        deliver_listing(&mut world, &full_listing(targets, 2));
        assert!(!world.closed.contains(&list), "{targets} targets");
        assert_eq!(world.core.footprint().nodes as u64, targets);
        assert_eq!(world.core.footprint().partial_bytes, 0);
    }
}

#[test]
fn listed_but_unused_nodes_have_neither_timers_nor_connections() {
    let resources = |targets| {
        let mut world = Harness::new(platform_config(), 0);
        deliver_listing(&mut world, &full_listing(targets, 2));
        // The timer for partial answers has fired.
        world.run(300);
        let platform = world.core.footprint();
        let mut world = Harness::new(config(), 0);
        world.send_bytes(world.list_conn(), &full_list_frame(targets, 2));
        world.run(5);
        let frames = world.core.footprint();
        assert_eq!((platform.nodes, frames.nodes), (targets as usize, targets as usize));
        (platform.timers, platform.connections, frames.timers, frames.connections)
    };
    let few = resources(SIZES[0]);
    assert!(SIZES.iter().all(|targets| resources(*targets) == few), "{few:?}");
}

#[test]
fn a_full_list_logs_one_line_regardless_of_its_length() {
    for nodes in SIZES {
        let mut world = Harness::new(platform_config(), 0);
        let first = log_lines_during(|| deliver_listing(&mut world, &full_listing(nodes, 2)));
        let again = log_lines_during(|| deliver_listing(&mut world, &full_listing(nodes, 3)));
        assert_eq!((first, again), (1, 1), "{nodes} targets on the platform");
        let mut world = Harness::new(config(), 0);
        let list = world.list_conn();
        let mut deliver = |revision| {
            let frame = full_list_frame(nodes, revision);
            log_lines_during(|| {
                world.send_bytes(list, &frame);
                world.run(5);
            })
        };
        assert_eq!((deliver(2), deliver(3)), (1, 1), "{nodes} nodes on frames");
    }
}

/// A reload with new limits and the same list service visits no node, and a frame in transfer still
/// completes.
#[test]
fn a_reload_visits_no_nodes_and_does_not_disturb_a_list_transfer() {
    for nodes in SIZES {
        let mut world = Harness::new(config(), 0);
        let list = world.list_conn();
        world.send_bytes(list, &full_list_frame(nodes, 2));
        world.run(5);
        let frame = full_list_frame(nodes, 3);
        let (first_half, second_half) = frame.split_at(frame.len() / 2);
        world.send_bytes(list, first_half);
        world.run(5);
        let visited = world.core.counts().nodes_visited;
        let reloaded =
            Reloaded { bounds: Bounds::default(), memory_bounds: None, list: config().discovery_address };
        world.core.control(Control::Reload(reloaded), world.now);
        world.run(5);
        assert_eq!(world.core.counts().nodes_visited, visited, "{nodes} nodes");
        world.send_bytes(list, second_half);
        world.run(5);
        assert!(!world.closed.contains(&list));
        assert_eq!(world.core.list_revision(), Some(3));
    }
}
