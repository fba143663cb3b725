//! Converts text to token ids and back.
//!
//! The router only counts tokens and forwards their ids; the engines define what an id means. The
//! vocabulary here is the byte-level one that the present engines use.

/// Returns the token ids of `text`: one for each UTF-8 byte.
pub fn tokenize(text: &str) -> Vec<u64> {
    text.bytes().map(u64::from).collect()
}

/// Returns the number of tokens of a text.
pub fn count(text: &str) -> usize {
    text.len()
}

/// Returns the text of a generated token: a space and the id in hexadecimal.
pub fn detokenize(token: u64) -> String {
    format!(" {token:x}")
}
