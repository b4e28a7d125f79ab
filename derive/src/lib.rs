//! Attribute macros for the common sets of derives in the workspace.
//!
//! Each macro only prepends a `#[derive(...)]` to the item, so it needs no parser. It must come
//! before helper attributes of its derives, such as `#[serde(..)]`; the order of other attributes
//! does not matter.

use proc_macro::TokenStream;

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = format!("#[derive({derives})]")
        .parse()
        .expect("a derive list is valid Rust");
    tokens.extend(item);
    tokens
}

/// Derives `Clone`, `Debug` and `PartialEq`, for plain value types.
///
/// # Panics
///
/// Never: the derive list is a constant.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// Derives `Copy`, `Eq`, `Ord` and `Hash` in addition to [`macro@value`], for small enums and ids
/// that are copied, compared or used as keys.
///
/// # Panics
///
/// Never: the derive list is a constant.
#[proc_macro_attribute]
pub fn copy_value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// Derives the bincode `Encode` and `Decode` in addition to [`macro@value`], for messages between
/// entries. For types that are read or written as YAML or JSON, use [`macro@raw`].
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

/// Derives the serde `Serialize` and `Deserialize` in addition to [`macro@value`], for types that
/// are read or written as YAML or JSON, output types included. For messages between entries, use
/// [`macro@wire`].
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
