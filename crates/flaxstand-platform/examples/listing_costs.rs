//! Measures the time to read a long list entry by entry, beside reading it as a whole.

use flaxstand_platform::{Listing, read_listing};
use std::time::{Duration, Instant};

const ENTRIES: usize = 3200;
const ROUNDS: usize = 200;

fn list(state: &str) -> String {
    let entry = |n: usize| {
        format!(
            r#"{{"uid":"store-rack{}-shelf{}-{n:08x}","endpoint":"10.{}.{}.18:8000","az":"zone-{}","model":"m2","pod_group":{n},"state":"{state}","capacity_hint":1.25,"boot_ms":176466600{n:04},"labels":{{"row":"north","firmware":"4.11.2"}}}}"#,
            n / 32,
            n % 32,
            n / 250,
            n % 250,
            n % 3
        )
    };
    let entries: Vec<String> = (0..ENTRIES).map(entry).collect();
    format!(r#"{{"rev":41,"all":true,"targets":[{}]}}"#, entries.join(","))
}

/// The median time of many rounds.
fn median(mut round: impl FnMut()) -> Duration {
    let time = |_| {
        let begun = Instant::now();
        round();
        begun.elapsed()
    };
    let mut times: Vec<Duration> = (0..ROUNDS).map(time).collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn main() {
    let text = list("up");
    let whole = || {
        let listing: Listing = serde_json::from_str(&text).expect("a good list");
        assert_eq!(listing.targets.len(), ENTRIES);
    };
    let by_entry = || {
        let read = read_listing(text.as_bytes()).expect("a good list");
        assert_eq!((read.listing.targets.len(), read.problem_count), (ENTRIES, 0));
    };
    let (whole, by_entry) = (median(whole), median(by_entry));
    let ratio = by_entry.as_secs_f64() / whole.as_secs_f64();
    println!(
        "{ENTRIES} good entries, {} bytes: whole {whole:?}, by entry {by_entry:?}, {ratio:.2} times",
        text.len()
    );

    let text = list("lost");
    let unreadable = median(|| {
        let read = read_listing(text.as_bytes()).expect("a list of entries that can't be read");
        assert_eq!((read.unreadable.len(), read.problem_count), (ENTRIES, ENTRIES));
    });
    println!("{ENTRIES} entries that can't be read: {unreadable:?}");
}
