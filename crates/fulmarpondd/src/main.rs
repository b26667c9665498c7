//! fulmarpondd.

fn main() {}
