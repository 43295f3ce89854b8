//! The reference of `tests/equivalence.rs`: a second implementation of the decision module, kept deliberately
//! independent. It walks and sorts all listed nodes at each evaluation and has no indexes. It shares nothing with
//! `src/` but the interface; a test crate that uses it has `flaxstand::api` in its root.
#![allow(dead_code)]

pub mod scheduler;
