//! Counts the log lines of each thread at the default log level, `INFO`.

use std::cell::Cell;
use std::sync::Once;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

thread_local! {
    static LINES: Cell<u64> = const { Cell::new(0) };
}

/// One subscriber for all threads: installing and removing subscribers would affect tests on other threads.
struct LineCounter;

impl Subscriber for LineCounter {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= Level::INFO
    }

    fn event(&self, _: &Event<'_>) {
        LINES.set(LINES.get() + 1);
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// Returns the number of lines that this thread logs during a call.
pub fn log_lines_during(call: impl FnOnce()) -> u64 {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        tracing::subscriber::set_global_default(LineCounter).expect("no other subscriber in this process");
    });
    let before = LINES.get();
    call();
    LINES.get() - before
}
