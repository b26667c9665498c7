//! fulmarpond-standins.
