//! fulmarpond-link.
