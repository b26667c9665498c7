//! Which sources this program is built from.

/// The identity of the build: the digest of its sources and, if it was built in a git repository, the
/// commit, with a mark if the sources differ from it.
pub const BUILD: &str = env!("FULMARPOND_BUILD");

/// The version and the identity of the build, as `--version` prints them.
pub const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " ", env!("FULMARPOND_BUILD"));
