//! Attribute macros that stand for the common sets of derives.
//!
//! The sets follow the Rust API Guidelines on eager common traits, so that a type states what it
//! is (a message or a plain value) instead of repeating a list of traits.

use proc_macro::TokenStream;

/// Derives the traits of a message that travels between processes.
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

/// Derives the traits of a text key that is stored in maps and sent in messages.
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
        .expect("a list of traits is a valid attribute");
    output.extend(item);
    output
}
