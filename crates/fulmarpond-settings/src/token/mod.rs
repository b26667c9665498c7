//! Files with the tokens of callers and operators.

mod secret;
mod token_file;

pub use secret::Token;
pub use token_file::TokenFile;
