//! Parses the values of keys. The error of each parser describes the valid values.

use crate::{
    entry::{EndpointIntent, MAX_VERSION_LEN},
    name::EndpointId,
};

/// Parses and checks one value. The error describes the valid values. A check of a key without a
/// default must refuse the empty text, as its error is the message for a missing key.
pub(super) type Check<T> = fn(&str) -> Result<T, &'static str>;

/// The maximum of a decimal number. Together with [`MAX_DECIMAL_PLACES`] it keeps every value below
/// 2^53 units of the last decimal place, so that a round trip through JSON does not change it.
pub(crate) const MAX_DECIMAL_VALUE: f64 = 1e9;

/// The maximum number of digits after the decimal point.
const MAX_DECIMAL_PLACES: usize = 6;

const DECIMAL: &str = "a decimal number from 0 to 1000000000 with at most 6 digits after the point";
const ABOVE_ZERO: &str =
    "a decimal number above 0, up to 1000000000, with at most 6 digits after the point";
const FRACTION: &str = "a fraction from 0 to 1 with at most 6 digits after the point";
const POSITIVE: &str = "a whole number from 1 to 4294967295";
const COUNT: &str = "a whole number from 0 to 4294967295";
const PRIORITY: &str = "a whole number from 0 to 255, 0 being served first";
const BOOLEAN: &str = "true or false";
const INTENT: &str = "serve or leave";
const PREFIXES: &str = "path prefixes separated by commas, each starting with /";

const VERSION: &str = "1 to 128 printable ASCII characters without spaces and backslashes";
const ENDPOINTS: &str = "endpoint ids separated by commas, each once";

pub(super) fn positive(raw: &str) -> Result<u32, &'static str> {
    parse_digits(raw).filter(|n| *n >= 1).ok_or(POSITIVE)
}

pub(super) fn count(raw: &str) -> Result<u32, &'static str> {
    parse_digits(raw).ok_or(COUNT)
}

pub(super) fn priority(raw: &str) -> Result<u8, &'static str> {
    parse_digits(raw).ok_or(PRIORITY)
}

pub(super) fn decimal(raw: &str) -> Result<f64, &'static str> {
    parse_decimal(raw).ok_or(DECIMAL)
}

pub(super) fn above_zero(raw: &str) -> Result<f64, &'static str> {
    parse_decimal(raw).filter(|n| *n > 0.0).ok_or(ABOVE_ZERO)
}

pub(super) fn fraction(raw: &str) -> Result<f64, &'static str> {
    parse_decimal(raw).filter(|n| *n <= 1.0).ok_or(FRACTION)
}

pub(super) fn boolean(raw: &str) -> Result<bool, &'static str> {
    raw.parse().map_err(|_| BOOLEAN)
}

pub(super) fn intent(raw: &str) -> Result<EndpointIntent, &'static str> {
    match raw {
        "serve" => Ok(EndpointIntent::Serve),
        "leave" => Ok(EndpointIntent::Drain),
        _ => Err(INTENT),
    }
}

pub(super) fn prefixes(raw: &str) -> Result<Vec<String>, &'static str> {
    if raw.is_empty() {
        return Ok(Vec::new());
    }
    let prefixes: Vec<String> = raw.split(',').map(|p| p.trim().to_owned()).collect();
    if prefixes.iter().all(|p| is_path_prefix(p)) {
        Ok(prefixes)
    } else {
        Err(PREFIXES)
    }
}

/// Returns the ids sorted, so that declarations with the same meaning are equal.
pub(super) fn endpoints(raw: &str) -> Result<Vec<EndpointId>, &'static str> {
    let ids = raw.split(',').map(|id| EndpointId::try_from(id.trim()));
    let mut ids: Vec<EndpointId> = ids.collect::<Result<_, _>>().map_err(|_| ENDPOINTS)?;
    ids.sort();
    let twice = ids.windows(2).any(|pair| pair[0] == pair[1]);
    if twice { Err(ENDPOINTS) } else { Ok(ids) }
}

pub(super) fn version(raw: &str) -> Result<String, &'static str> {
    if is_version(raw) {
        Ok(raw.to_owned())
    } else {
        Err(VERSION)
    }
}

/// Whether `raw` is a valid version of weights.
pub(crate) fn is_version(raw: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b'\\';
    (1..=MAX_VERSION_LEN).contains(&raw.len()) && raw.bytes().all(allowed)
}

/// Whether `raw` is a valid path prefix, which can be written in a declaration.
pub(crate) fn is_path_prefix(raw: &str) -> bool {
    raw.starts_with('/')
        && raw
            .chars()
            .all(|c| c.is_ascii_graphic() && !"\\,?#".contains(c))
}

/// Parses a whole number that consists of digits only. Unlike `str::parse`, it accepts no sign.
fn parse_digits<T: std::str::FromStr>(raw: &str) -> Option<T> {
    if raw.is_empty() || !raw.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    raw.parse().ok()
}

fn parse_decimal(raw: &str) -> Option<f64> {
    let (whole, decimals) = raw.split_once('.').unwrap_or((raw, "0"));
    let all_digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !all_digits(whole) || !all_digits(decimals) || decimals.len() > MAX_DECIMAL_PLACES {
        return None;
    }
    raw.parse().ok().filter(|n| *n <= MAX_DECIMAL_VALUE)
}
