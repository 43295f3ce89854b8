//! Tests of the client without I/O against a scripted initiator on virtual time.

mod connection;
mod harness;
mod histories;
mod retries;
