//! Attribute macros that stand for the sets of derives used across the workspace.
//!
//! The macros only prepend a `#[derive(...)]`, so they need no parser and the order of other
//! attributes on the item does not matter.

use proc_macro::TokenStream;

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = format!("#[derive({derives})]")
        .parse()
        .expect("a derive list is valid Rust");
    tokens.extend(item);
    tokens
}

/// Marks a plain value type: `Clone`, `Debug` and `PartialEq`.
///
/// # Panics
///
/// Never: the derive list is a constant.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// Marks a small closed set or id: `Copy`, `Eq`, `Ord` and `Hash` on top of [`macro@value`].
///
/// # Panics
///
/// Never: the derive list is a constant.
#[proc_macro_attribute]
pub fn tag(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// Marks a type sent between processes: [`macro@value`] and the bincode codec.
///
/// # Panics
///
/// Never: the derive list is a constant.
#[proc_macro_attribute]
pub fn wire(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, ::bincode::Encode, ::bincode::Decode",
        item,
    )
}

/// Marks a raw type read from YAML or JSON: [`macro@value`] and the serde codec.
///
/// # Panics
///
/// Never: the derive list is a constant.
#[proc_macro_attribute]
pub fn raw(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}
