//! Full lists of any length, as the platform's JSON and as a frame.
#![allow(dead_code)]

use crate::harness::{bytes_of, entry};
use flaxstand_proto::{Extent, Frame, List, State};
use std::fmt::Write as _;

/// The address of a listed node or target.
pub fn listed_address(node: u64) -> String {
    format!("10.{}.{}.{}:7000", node >> 16, (node >> 8) & 255, node & 255)
}

/// A target's list entry with all fields that the platform sends.
pub fn target_json(target: u64, state: &str) -> String {
    let (address, zone) = (listed_address(target), target % 3);
    format!(
        r#"{{"uid":"storage-node-{target:05}","endpoint":"{address}","az":"zone-{zone}","model":"m2","pod_group":{target},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// The platform's full list, with every target in service.
pub fn full_listing(targets: u64, revision: u64) -> String {
    let mut text = format!(r#"{{"rev":{revision},"all":true,"targets":["#);
    for target in 0..targets {
        let comma = if target > 0 { "," } else { "" };
        let _ = write!(text, "{comma}{}", target_json(target, "up"));
    }
    text + "]}"
}

/// The full list as one frame, with every node in service.
pub fn full_list_frame(nodes: u64, revision: u64) -> Vec<u8> {
    let addresses: Vec<String> = (0..nodes).map(listed_address).collect();
    let nodes = (0..nodes).zip(&addresses);
    let entries = nodes.map(|(node, address)| entry(node, State::Serving, node as u32, address)).collect();
    bytes_of(&Frame::List(List { extent: Extent::Full, since: revision, revision, entries }))
}
