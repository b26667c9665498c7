//! What the property tests share.

// Each test file compiles this module for itself and uses a part of it.
#![allow(dead_code, unreachable_pub)]

pub mod cases;
pub mod history;
pub mod schedule;
pub mod store;
pub mod world;
