//! The line that tells the emulated list service of a node.

use flaxstand_gateway::machine::Micros;
use flaxstand_proto::State;
use flaxstand_simulation::list::{ListService, node_line};

#[test]
fn the_line_that_is_told_is_the_line_that_is_read() {
    let line = node_line(7, 2, "draining", 3, 1, "250", "127.0.0.1:9");
    let words: Vec<&str> = line.split_whitespace().skip(1).collect();
    let now = Micros::from_ms(1000.0);
    let read = ListService::parse(&words, now).expect("it is a node's line");
    assert_eq!((read.node, read.incarnation, read.state), (7, 2, State::Draining));
    assert_eq!((read.shard, read.zone, read.address.as_str()), (3, 1, "127.0.0.1:9"));
    assert_eq!(read.booted, Some(Micros::from_ms(750.0)));
}
