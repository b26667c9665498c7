//! fulmarpond-core.
