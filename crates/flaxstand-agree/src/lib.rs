//! The agreed log. A small electorate of initiators, the keepers, agrees on an ordered log of changes after the
//! published description of Raft (Ongaro's thesis): pre-vote, check-quorum, commitment in the leader's own term
//! only, snapshots, one change of the electorate at a time. `docs/agreement.md` says what is promised.
//!
//! Nothing here touches a socket, a file or a clock. The owner hands over messages, moments and word of what
//! became durable, and takes messages to send, batches to store and what was agreed on.
//!
//! - [`keeper`]: ties the parts together; what the owner calls
//! - [`identity`]: who a keeper is after a start: its lives, a lost disk, an old copy, the first electorate
//! - [`election`]: terms and votes; [`leading`]: what a leader does; [`following`]: what the others do
//! - [`log`]: entries and the snapshot before them
//! - [`replica`]: what names a keeper, its starts
//! - [`message`]: what keepers say to each other
//! - [`journal`]: what must be durable before it is told, and reading it back
#![forbid(unsafe_code)]

pub mod agreement;
pub mod book;
pub mod election;
pub mod following;
pub mod identity;
pub mod journal;
pub mod keeper;
pub mod leading;
pub mod lease_manager;
pub mod log;
pub mod member;
pub mod message;
pub mod replica;
pub mod rules;

pub use flaxstand_proto::Micros;
pub use journal::{Journal, Recovered, State, recover};
pub use keeper::{Agreed, Config, Keeper, Planted, ProposeError, Standing, Status};
pub use log::{Entry, Log, Snapshot, What};
pub use message::{Body, Message};
pub use replica::{Life, ReplicaId};
