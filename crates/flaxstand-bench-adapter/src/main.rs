//! The adapter: hosts one scheduler for each simulated initiator and speaks the bench's wire on standard
//! input and output. It translates and decides nothing.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod inbound;
mod names;
mod outbound;
mod session;

use std::io::{self, BufWriter};
use std::process::ExitCode;

/// Bytes of output that are gathered before they are written.
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
