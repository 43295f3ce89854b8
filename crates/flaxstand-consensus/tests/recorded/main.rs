//! Compatibility with data of earlier builds: messages between initiators, a replica's directory and a
//! member's saved state are decoded and encoded as recorded in the fixtures.

mod messages;
mod stored;
