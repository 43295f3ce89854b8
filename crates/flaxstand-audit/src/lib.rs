//! The seven rules, checked from records that clients, storage nodes and the list service wrote: what
//! passed over their sockets, with times of one clock. The initiator has no part in it.
//!
//! [`record`] is what they write, [`book`] puts it in order, [`rules`] holds one check for each rule, and
//! [`audit`] runs them all; `promises` is what the write-back buffer's answers are held to.
#![forbid(unsafe_code)]

pub mod book;
mod promises;
pub mod record;
pub mod rules;

pub use book::Book;
pub use record::{Answer, End, ListState, Mark, Record, read_folder};
pub use rules::{Breach, Effect, Group, Rule, Terms, Verdict, audit};
