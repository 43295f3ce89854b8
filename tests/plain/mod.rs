//! Reference implementation for `tests/equivalence.rs`: a second, deliberately independent implementation of
//! the decision module. It iterates over and sorts all listed nodes at each evaluation and has no indexes. It
//! shares nothing with `src/` but the interface. A test crate that includes it must have `flaxstand::api` in
//! its root.
#![allow(dead_code)]

pub mod scheduler;
