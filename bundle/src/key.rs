//! Keys of workspaces. Only digests are kept, so that no output can contain a key.

use std::fmt;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

use crate::ValidationError;

/// Prefix of a digest in text form.
const DIGEST_PREFIX: &str = "sha256:";

/// Bytes of a digest that a fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the first bytes as text, which identify the key in logs.
    pub fn fingerprint(&self) -> String {
        hex::encode(&self.0[..FINGERPRINT_BYTES])
    }
}

impl TryFrom<&str> for KeyDigest {
    type Error = ValidationError;

    fn try_from(text: &str) -> Result<Self, ValidationError> {
        let mut bytes = [0; 32];
        let digits = text.strip_prefix(DIGEST_PREFIX);
        digits
            .and_then(|digits| hex::decode_to_slice(digits, &mut bytes).ok())
            .map(|()| Self(bytes))
            .ok_or_else(|| ValidationError {
                path: String::new(),
                message: format!("not a digest; use {DIGEST_PREFIX} and 64 hexadecimal digits"),
                line: None,
                column: None,
            })
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_PREFIX}{}", hex::encode(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.fingerprint())
    }
}

/// A key as written in a bundle: the key itself or its digest. It is kept and written as digest.
#[derive(Clone, Debug, PartialEq)]
pub enum RawKey {
    /// Digest of the key.
    Digest(KeyDigest),
    /// The key is empty.
    Empty,
}

impl From<&str> for RawKey {
    fn from(text: &str) -> Self {
        match KeyDigest::try_from(text) {
            Ok(digest) => Self::Digest(digest),
            Err(_) if text.is_empty() => Self::Empty,
            Err(_) => Self::Digest(KeyDigest::of(text)),
        }
    }
}

impl<'de> Deserialize<'de> for RawKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The error of the parser would print what was written in place of the text.
        let text = String::deserialize(deserializer)
            .map_err(|_| D::Error::custom("a key must be a text; put it in quotes"))?;
        Ok(Self::from(text.as_str()))
    }
}

impl Serialize for RawKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Digest(digest) => serializer.collect_str(digest),
            Self::Empty => serializer.serialize_str(""),
        }
    }
}
