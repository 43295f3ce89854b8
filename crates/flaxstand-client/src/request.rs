//! Requests that an application submits.

use flaxstand_proto::Micros;

/// Whether a request may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second execution is harmless: the request may be retried at any time.
    Idempotent,
    /// Nodes deduplicate the operation for a limited time.
    IdempotencyKey {
        /// How long retries are safe, counted from the first attempt that may have been executed.
        window: Micros,
    },
    /// The request must not be executed twice: it is not retried once an attempt may have been executed.
    NotIdempotent,
}

/// A read or write request. `docs/protocol.md` describes the fields that are sent on the wire.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the operation in all its attempts; must be unique to this request.
    pub operation: u64,
    /// Index of the class.
    pub class: u16,
    /// Index of the volume's plan.
    pub plan: u16,
    /// Number of initiators that share the volume.
    pub volume_initiators: u16,
    /// Whether this is a write.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The extent, if the request addresses one.
    pub extent: Option<u64>,
    /// The shard that holds the extent; none for a new object.
    pub shard: Option<u32>,
    /// Offset of a write within the extent; none if the write replaces the extent.
    pub write_offset: Option<u32>,
    /// Cost in units.
    pub units: u32,
    /// Data to write, at most 1 MiB.
    pub payload: Vec<u8>,
    /// Whether the request may be retried after an attempt that may have been executed.
    pub retry_safety: RetrySafety,
    /// Time after which the request is abandoned, over all attempts.
    pub timeout: Micros,
}

/// Identifies a request within its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
