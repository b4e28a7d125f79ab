//! Optional fields of a document, for which absent, null and empty mean different things.

use lacewingmoor_derive::{copy_value, value};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// How a field occurs in a document.
#[copy_value]
pub enum FieldState {
    /// The document does not contain the field.
    Absent,
    /// The field is null.
    Null,
    /// The field has a value, which may be empty.
    Present,
}

/// A field of a document.
///
/// Fields of this type need `#[serde(default, skip_serializing_if = "Field::is_absent")]`.
#[value]
#[derive(Default)]
pub enum Field<T> {
    /// The document does not contain the field.
    #[default]
    Absent,
    /// The field is null.
    Null,
    /// The field has this value, which may be empty.
    Present(T),
}

impl<T> Field<T> {
    /// Returns how the field occurs.
    pub fn state(&self) -> FieldState {
        match self {
            Self::Absent => FieldState::Absent,
            Self::Null => FieldState::Null,
            Self::Present(_) => FieldState::Present,
        }
    }

    /// Returns true if the document does not contain the field.
    pub fn is_absent(&self) -> bool {
        self.state() == FieldState::Absent
    }

    /// Returns the value; `None` if the field is absent or null.
    pub fn value(&self) -> Option<&T> {
        match self {
            Self::Absent | Self::Null => None,
            Self::Present(value) => Some(value),
        }
    }

    /// Converts the value, if there is one.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Field<U> {
        match self {
            Self::Absent => Field::Absent,
            Self::Null => Field::Null,
            Self::Present(value) => Field::Present(convert(value)),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Option::deserialize(deserializer)?;
        Ok(value.map_or(Self::Null, Self::Present))
    }
}

impl<T: Serialize> Serialize for Field<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.value().serialize(serializer)
    }
}
