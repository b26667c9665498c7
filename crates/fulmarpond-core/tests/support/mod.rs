//! Shared support code of the tests.

// Each test file compiles this module separately and uses only a part of it.
#![allow(dead_code, unreachable_pub)]

pub mod history;
pub mod property_config;
pub mod schedule;
pub mod store;
pub mod world;
