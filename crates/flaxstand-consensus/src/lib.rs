//! The agreed log. A small electorate of initiators, the keepers, agrees on an ordered log of changes after the
//! published description of Raft (Ongaro's thesis): pre-vote, check-quorum, commitment in the leader's own term
//! only, snapshots, one change of the electorate at a time. `docs/agreement.md` says what is promised.
//!
//! Nothing here touches a socket, a file or a clock. The owner hands over messages, moments and word of what
//! became durable, and takes messages to send, batches to store and what was agreed on.
//!
//! - [`participant`]: one initiator: its keeper, if it is one, its membership, and the ways between; what the owner calls
//! - [`member`]: leases as their holder sees them; [`lease_manager`]: as the leader does
//! - [`replicated_state`]: the replicated state; [`rules`]: its rules, and which of two values is safe beside the other
//! - [`replica`]: one replica of the log: elections, replication, recovery
//! - [`log`]: entries and the snapshot before them
//! - [`replica_id`]: what names a replica, its starts
//! - [`message`]: what keepers say to each other
//! - [`journal`]: what must be durable before it is told, and reading it back
#![forbid(unsafe_code)]

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
pub use journal::{Journal, Recovered, State, recover};
pub use log::{Entry, EntryPayload, Log, Snapshot};
pub use message::{Message, MessageBody};
pub use replica::{Committed, Config, InjectedFault, ProposeError, Replica, ReplicaRole, Status};
pub use replica_id::{Incarnation, ReplicaId};
