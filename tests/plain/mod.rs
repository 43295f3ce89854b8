//! The decision module as it was before its indexes: each look walks and sorts all listed nodes. It is kept as the
//! plain version of the same sums; a test crate that uses it has `flaxstand::api` in its root.
#![allow(dead_code)]

pub mod scheduler;
