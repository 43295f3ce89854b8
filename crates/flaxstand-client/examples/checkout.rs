//! Writes three seat bookings through an initiator:
//! `cargo run -p flaxstand-client --example checkout -- unix:/run/flaxstand.sock`.
//! Without an address it shows how requests are abandoned when the initiator is unreachable.

use flaxstand_client::{Address, Answer, BlockingClient, Config, Micros, Request, RetrySafety};

fn main() {
    let address = match std::env::args().nth(1) {
        Some(text) => match text.strip_prefix("unix:") {
            Some(path) => Address::Unix(path.into()),
            None => Address::Tcp(text.parse().expect("IP:PORT or unix:PATH")),
        },
        None => Address::Unix("/nowhere/flaxstand.sock".into()),
    };
    let seed = u64::from(std::process::id());
    let config = Config { name: "checkout".into(), seed, ..Config::default() };
    let mut client = BlockingClient::new(address, config);
    for seat in 1..=3 {
        let booking = Request {
            operation: seed << 32 | seat,
            class: 0,
            plan: 0,
            volume_initiators: 1,
            write: true,
            volume: 5,
            extent: Some(seat),
            shard: Some(0),
            write_offset: None,
            units: 1,
            payload: format!("seat {seat}").into_bytes(),
            retry_safety: RetrySafety::Idempotent,
            timeout: Micros(400_000),
        };
        match client.send(booking) {
            Ok(Answer::Served { shard, .. }) => println!("seat {seat}: booked, stored on shard {shard}"),
            Ok(Answer::Buffered) => println!("seat {seat}: booked, durable at the initiator"),
            Err(abandoned) => println!("seat {seat}: {abandoned}"),
        }
    }
}
