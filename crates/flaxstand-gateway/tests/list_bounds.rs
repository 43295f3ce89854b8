//! Bounds and timers that a long list could meet, at 30, 3,200 and 25,000 nodes: docs/list-bounds.md has the table.

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
/// Bytes that one read brings.
const PIECE: usize = 65_536;
/// What answers of targets on their way may hold: less than a list of 3,200 targets has.
const ANSWER_BYTES: usize = 64 << 10;

fn platform_config() -> Config {
    let mut config = harness::platform_config(2_500);
    config.bounds.max_response_bytes = ANSWER_BYTES;
    config
}

/// The list service's answer comes in pieces within one moment.
fn tell_listing(world: &mut Harness, text: &str) {
    let list = world.list_conn();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    for piece in answer.as_bytes().chunks(PIECE) {
        world.send_bytes(list, piece);
    }
    world.run(5);
}

#[test]
fn a_list_of_each_size_is_taken_whatever_answers_of_targets_may_hold() {
    for targets in SIZES {
        let mut world = Harness::new(platform_config(), 0);
        let list = world.list_conn();
        tell_listing(&mut world, &full_listing(targets, 2));
        assert!(!world.closed.contains(&list), "{targets} targets");
        assert_eq!(world.core.footprint().nodes as u64, targets);
        assert_eq!(world.core.footprint().partial_bytes, 0);
    }
}

#[test]
fn what_is_only_listed_has_neither_timer_nor_connection() {
    let held = |targets| {
        let mut world = Harness::new(platform_config(), 0);
        tell_listing(&mut world, &full_listing(targets, 2));
        // The timer of an answer in pieces has gone by.
        world.run(300);
        let platform = world.core.footprint();
        let mut world = Harness::new(config(), 0);
        world.send_bytes(world.list_conn(), &full_list_frame(targets, 2));
        world.run(5);
        let frames = world.core.footprint();
        assert_eq!((platform.nodes, frames.nodes), (targets as usize, targets as usize));
        (platform.timers, platform.connections, frames.timers, frames.connections)
    };
    let few = held(SIZES[0]);
    assert!(SIZES.iter().all(|targets| held(*targets) == few), "{few:?}");
}

#[test]
fn a_whole_list_logs_one_line_however_long_it_is() {
    for nodes in SIZES {
        let mut world = Harness::new(platform_config(), 0);
        let first = log_lines_during(|| tell_listing(&mut world, &full_listing(nodes, 2)));
        let again = log_lines_during(|| tell_listing(&mut world, &full_listing(nodes, 3)));
        assert_eq!((first, again), (1, 1), "{nodes} targets on the platform");
        let mut world = Harness::new(config(), 0);
        let list = world.list_conn();
        let mut tell = |revision| {
            let frame = full_list_frame(nodes, revision);
            log_lines_during(|| {
                world.send_bytes(list, &frame);
                world.run(5);
            })
        };
        assert_eq!((tell(2), tell(3)), (1, 1), "{nodes} nodes on frames");
    }
}

/// New bounds and the same list service: no node is looked at, and a frame that is on its way comes in.
#[test]
fn a_reload_walks_no_nodes_and_leaves_a_list_that_arrives_alone() {
    for nodes in SIZES {
        let mut world = Harness::new(config(), 0);
        let list = world.list_conn();
        world.send_bytes(list, &full_list_frame(nodes, 2));
        world.run(5);
        let frame = full_list_frame(nodes, 3);
        let (before, behind) = frame.split_at(frame.len() / 2);
        world.send_bytes(list, before);
        world.run(5);
        let visited = world.core.counts().nodes_visited;
        let reloaded = Reloaded { bounds: Bounds::default(), list: config().discovery_address };
        world.core.control(Control::Reload(reloaded), world.now);
        world.run(5);
        assert_eq!(world.core.counts().nodes_visited, visited, "{nodes} nodes");
        world.send_bytes(list, behind);
        world.run(5);
        assert!(!world.closed.contains(&list));
        assert_eq!(world.core.list_revision(), Some(3));
    }
}
