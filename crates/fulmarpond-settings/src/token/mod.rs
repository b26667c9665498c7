//! Token files of callers and operators.

mod bearer_token;
mod token_file;

pub use bearer_token::Token;
pub use token_file::TokenFile;
