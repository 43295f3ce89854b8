//! What initiators agree on: a replicated log after Raft (Ongaro's thesis), the numbered versions of the
//! rules that it holds, leases on them, and their staged rollout. `docs/agreement.md` says what is promised.
//!
//! Raft as implemented here: pre-vote, check-quorum, commitment in the leader's own term only, snapshots, one
//! change of the voters at a time. A small electorate of initiators has a replica; all initiators are
//! members.
//!
//! Nothing here touches a socket, a file or a clock. The owner hands in messages, moments and the outcome of
//! batches, and takes messages to send, batches to store and what was committed.
//!
//! - [`participant`]: one initiator: its replica, if it has one, its membership, and the routing between;
//!   what the owner calls
//! - [`member`]: leases as their holder sees them; [`lease_manager`]: as the leader does
//! - [`replicated_state`]: the replicated state; [`rules`]: its rules, and which of two values is the
//!   narrower
//! - [`replica`]: one replica of the log: elections, replication, recovery
//! - [`log`]: entries and the snapshot before them; [`message`]: messages between replicas
//! - [`replica_id`]: the identity of a replica, and its incarnations
//! - [`journal`]: what must be durable before it is sent, and reading it back
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
