//! Books seats through an initiator: `cargo run -p flaxstand-client --example checkout -- unix:/run/flaxstand.sock`.
//! Without an address it only shows what a client is told when its initiator is away.

use flaxstand_client::polled::Address;
use flaxstand_client::{Answer, Blocking, Call, Config, Micros, Safety};

fn main() {
    let address = match std::env::args().nth(1) {
        Some(text) => match text.strip_prefix("unix:") {
            Some(path) => Address::Unix(path.into()),
            None => Address::Tcp(text.parse().expect("IP:PORT or unix:PATH")),
        },
        None => Address::Unix("/nowhere/flaxstand.sock".into()),
    };
    let seed = u64::from(std::process::id());
    let mut client = Blocking::new(address, Config { name: "checkout".into(), seed, ..Config::default() });
    for seat in 1..=3 {
        let order = Call {
            operation: seed << 32 | seat,
            class: 0,
            plan: 0,
            volume_initiators: 1,
            write: true,
            volume: 5,
            extent: Some(seat),
            shard: Some(0),
            at: None,
            units: 1,
            payload: format!("seat {seat}").into_bytes(),
            safety: Safety::Repeatable,
            patience: Micros(400_000),
        };
        match client.call(order) {
            Ok(Answer::Served { shard, .. }) => println!("seat {seat}: booked, shard {shard} has it"),
            Ok(Answer::Buffered) => println!("seat {seat}: booked, it survives a crash"),
            Err(gave_up) => println!("seat {seat}: {gave_up}"),
        }
    }
}
