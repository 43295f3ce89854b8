//! Consensus between initiators: a replicated log based on Raft (Ongaro's thesis), the versions of the
//! rules that it stores, leases on these versions, and their staged rollout. `docs/agreement.md` describes
//! the guarantees.
//!
//! Raft as implemented here: pre-vote, check-quorum, commitment of entries of the leader's own term only,
//! snapshots, single-server membership changes. A small group of initiators runs a replica; all initiators
//! are members.
//!
//! The crate does no I/O and reads no clock. The caller passes in messages, the current time and the
//! outcome of storage batches, and takes messages to send, batches to store and committed changes.
//!
//! - [`participant`]: one initiator: its replica, if it has one, its membership, and the routing of lease
//!   requests; the entry point for callers
//! - [`member`]: leases on the member's side; [`lease_manager`]: leases on the leader's side
//! - [`replicated_state`]: the replicated state; [`rules`]: its rules, and which of two values is narrower
//! - [`replica`]: one replica of the log: elections, replication, recovery
//! - [`log`]: log entries and snapshots; [`message`]: messages between replicas
//! - [`replica_id`]: identity and incarnations of a replica
//! - [`journal`]: durable storage of a replica's state, and its recovery
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod journal;
pub mod lease_manager;
pub mod log;
pub mod member;
pub mod message;
pub mod participant;
pub mod replica;
pub mod replica_id;
pub mod replicated_state;
pub mod rules;

pub use flaxstand_proto::Micros;
pub use journal::{DurableState, Journal, RecoveredState, recover};
pub use log::{Entry, EntryPayload, Log, LogPosition, Snapshot};
pub use message::{Message, MessageBody};
pub use replica::{Committed, Config, InjectedFault, ProposeError, Replica, ReplicaRole, Status};
pub use replica_id::{Incarnation, ReplicaId};
