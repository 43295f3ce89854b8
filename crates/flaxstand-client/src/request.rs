//! Requests that a program submits.

use flaxstand_proto::Micros;

/// Whether a request may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing it twice is harmless: it may be retried at any time.
    Idempotent,
    /// Nodes drop repeats of its operation for a limited time.
    IdempotencyKey {
        /// How long retries are safe, counted from the first attempt that may have been executed.
        window: Micros,
    },
    /// It must not be executed twice: it is never retried once it may have been executed.
    NotIdempotent,
}

/// A read or write for the initiator. `docs/protocol.md` describes the fields that go on the wire.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the operation over all attempts; no other request may use it.
    pub operation: u64,
    /// Index of the request's class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// Number of initiators that share the volume.
    pub volume_initiators: u16,
    /// True for a write, false for a read.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The extent, if the request names one.
    pub extent: Option<u64>,
    /// The shard that holds the extent; none for a new object.
    pub shard: Option<u32>,
    /// Offset in the extent at which a write begins; none if the write replaces the extent.
    pub write_offset: Option<u32>,
    /// Cost of the request in units.
    pub units: u32,
    /// Data to be written, at most 1 MiB.
    pub payload: Vec<u8>,
    /// Whether it may be executed again.
    pub retry_safety: RetrySafety,
    /// Time until the request is abandoned, over all attempts.
    pub timeout: Micros,
}

/// Identifies a request within its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
