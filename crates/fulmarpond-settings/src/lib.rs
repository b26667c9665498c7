//! fulmarpond-settings.
