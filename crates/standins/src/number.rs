//! Range checks for numbers that are read from text or JSON.

use serde::{Deserialize, Deserializer, de};

/// Checks that the value is a fraction from 0 to 1.
pub(crate) fn share(value: f64) -> Result<f64, &'static str> {
    match (0.0..=1.0).contains(&value) {
        true => Ok(value),
        false => Err("not a share from 0 to 1"),
    }
}

/// Checks that the value is finite and not negative.
pub(crate) fn factor(value: f64) -> Result<f64, &'static str> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err("not a number from 0"),
    }
}

/// Deserializes a number and checks it with [`share`].
pub(crate) fn de_share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    share(f64::deserialize(deserializer)?).map_err(de::Error::custom)
}

/// Deserializes a number and checks it with [`factor`].
pub(crate) fn de_factor<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    factor(f64::deserialize(deserializer)?).map_err(de::Error::custom)
}
