//! The input line that sets a node's state in the emulated list service.

use flaxstand_gateway::machine::Micros;
use flaxstand_proto::State;
use flaxstand_simulation::list::{ListService, node_line};

#[test]
fn a_formatted_node_line_parses_to_the_same_values() {
    let line = node_line(7, 2, "draining", 3, 1, "250", "127.0.0.1:9");
    let words: Vec<&str> = line.split_whitespace().skip(1).collect();
    let now = Micros::from_ms(1000.0);
    let read = ListService::parse(&words, now).expect("a valid node line");
    assert_eq!((read.node, read.incarnation, read.state), (7, 2, State::Draining));
    assert_eq!((read.shard, read.zone, read.address.as_str()), (3, 1, "127.0.0.1:9"));
    assert_eq!(read.booted, Some(Micros::from_ms(750.0)));
}
