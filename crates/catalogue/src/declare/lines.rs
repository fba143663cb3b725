//! Checks the lines of a declaration file before INI parsing.
//!
//! The INI library joins lines at a backslash, parses an indented comment as part of a key and
//! drops an incomplete last line. To prevent this, each line is checked first: every line that
//! reaches the library is blank, a section or `key = value`.

use super::Source;
use crate::fault::{Fault, FaultKind};

/// The description of a valid line, for fault messages.
const EXPECTED_LINE: &str = "a comment, `[section]` or `key = value` on a line of its own";

/// Trims every line and blanks comments and invalid lines. Adds a fault for each invalid line to
/// `faults`.
pub(super) fn normalise(source: Source<'_>, faults: &mut Vec<Fault>) -> String {
    let mut text = String::with_capacity(source.text.len());
    for (i, line) in source.text.lines().enumerate() {
        let line = line.trim();
        if is_comment_or_blank(line) {
            // A blank line takes its place, so that line numbers do not change.
        } else if is_section_or_property(line) {
            text.push_str(line);
        } else {
            let fault = Fault::new(FaultKind::Syntax, source.file, EXPECTED_LINE);
            faults.push(fault.at_line(i + 1).with_value(line));
        }
        text.push('\n');
    }
    text
}

/// Parses text that [`normalise`] returned.
pub(super) fn parse(text: &str) -> Result<ini::Ini, ini::ParseError> {
    let opt = ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..Default::default()
    };
    ini::Ini::load_from_str_opt(text, opt)
}

fn is_comment_or_blank(line: &str) -> bool {
    line.is_empty() || line.starts_with([';', '#'])
}

fn is_section_or_property(line: &str) -> bool {
    if line.contains(|c: char| c == '\\' || c.is_control()) {
        return false;
    }
    match line.strip_prefix('[') {
        Some(rest) => rest.find(']') == Some(rest.len().wrapping_sub(1)),
        None => line.find('=').is_some_and(|at| at > 0),
    }
}
