//! What an earlier build wrote is read, and written the same: messages between initiators, a replica's
//! folder, and a member's saved state.

mod messages;
mod stored;
