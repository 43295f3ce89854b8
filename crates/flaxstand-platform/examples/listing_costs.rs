//! Measures the time to parse a long list entry by entry, compared with deserializing it at once.

use flaxstand_platform::{Listing, parse_listing};
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

/// Returns the median duration of [`ROUNDS`] runs.
fn median(mut run: impl FnMut()) -> Duration {
    let time = |_| {
        let start = Instant::now();
        run();
        start.elapsed()
    };
    let mut times: Vec<Duration> = (0..ROUNDS).map(time).collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn main() {
    let text = list("up");
    let at_once = || {
        let listing: Listing = serde_json::from_str(&text).expect("valid list");
        assert_eq!(listing.targets.len(), ENTRIES);
    };
    let by_entry = || {
        let read = parse_listing(text.as_bytes()).expect("valid list");
        assert_eq!((read.listing.targets.len(), read.invalid_count), (ENTRIES, 0));
    };
    let (at_once, by_entry) = (median(at_once), median(by_entry));
    let ratio = by_entry.as_secs_f64() / at_once.as_secs_f64();
    println!(
        "{ENTRIES} valid entries, {} bytes: at once {at_once:?}, by entry {by_entry:?}, ratio {ratio:.2}",
        text.len()
    );

    let text = list("lost");
    let invalid = median(|| {
        let read = parse_listing(text.as_bytes()).expect("list of invalid entries");
        assert_eq!((read.invalid_uids.len(), read.invalid_count), (ENTRIES, ENTRIES));
    });
    println!("{ENTRIES} invalid entries: {invalid:?}");
}
