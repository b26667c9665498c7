//! fulmarpond.

fn main() {}
