//! Limits on the rate of requests that targets name in their responses.

use lacewingmoor_derive::value;

/// Requests per second that a target takes from all entries together. Finite and not negative.
#[value]
#[derive(Copy, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<&str> for RateLimit {
    type Error = String;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns the reason if the text is no number, or the number is negative or not finite.
    fn try_from(text: &str) -> Result<Self, String> {
        let limit: f64 = text
            .parse()
            .map_err(|_| format!("limit {text:?} is not a number"))?;
        match limit.is_finite() && limit >= 0.0 {
            true => Ok(Self(limit)),
            false => Err(format!("limit {text:?} is negative or not finite")),
        }
    }
}
