//! Bench adapter: runs one scheduler for each simulated initiator and implements the bench's protocol on
//! standard input and output. It only translates messages; all decisions are made by the schedulers.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod inbound;
mod names;
mod outbound;
mod session;

use std::io::{self, BufWriter};
use std::process::ExitCode;

/// Size of the output buffer, in bytes.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match session::run(io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flaxstand-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
