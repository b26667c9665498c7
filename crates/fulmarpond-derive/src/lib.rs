//! Attribute macros for common sets of derives.
//!
//! The sets follow the Rust API Guidelines, which recommend implementing common traits eagerly. A
//! type states its purpose (a message, a plain value or a key) instead of repeating a list of
//! traits.

use proc_macro::TokenStream;

/// Derives the traits of a message that is serialized and sent between processes.
///
/// # Examples
///
/// ```ignore
/// #[message]
/// pub struct Ping {
///     pub number: u64,
/// }
/// ```
#[proc_macro_attribute]
pub fn message(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives the traits of a small value that is copied, compared, ordered and hashed.
///
/// # Examples
///
/// ```ignore
/// #[value]
/// pub struct CallId(pub u64);
/// ```
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// Derives the traits of a key that is stored in maps and serialized in messages.
///
/// # Examples
///
/// ```ignore
/// #[key]
/// pub struct Zone(String);
/// ```
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("a list of traits forms a valid attribute");
    output.extend(item);
    output
}
