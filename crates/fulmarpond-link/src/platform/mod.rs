//! HTTP client of the platform's key-value service.

mod change;
mod item;
mod key_value_client;
mod platform_error;

pub use change::{Change, Changes};
pub use item::{Item, Items};
pub use key_value_client::KeyValueClient;
pub use platform_error::PlatformError;

/// The result of a call to the key-value service.
pub type Result<T> = std::result::Result<T, PlatformError>;
