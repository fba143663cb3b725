//! A parser of server-sent events, limited to the fields that callers use.

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field; empty if absent.
    pub id: String,
    /// The `event` field; empty if absent.
    pub event: String,
    /// The `data` lines, joined by line feeds.
    pub data: String,
}

/// The maximum length of an incomplete line and of the data of an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct Parser {
    buf: Vec<u8>,
    event: Event,
    has_data: bool,
}

/// A line or the data of an event is longer than `MAX_EVENT_BYTES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl Parser {
    /// Parses the next `bytes` of the stream and appends the events that they complete to `out`.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(len) = self.buf[start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.buf[start..start + len]).into_owned();
            start += len + 1;
            self.parse_line(line.trim_end_matches('\r'), out);
        }
        self.buf.drain(..start);
        if self.buf.len() > MAX_EVENT_BYTES || self.event.data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    fn parse_line(&mut self, line: &str, out: &mut Vec<Event>) {
        if line.is_empty() {
            self.dispatch(out);
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => value.clone_into(&mut self.event.id),
            "event" => value.clone_into(&mut self.event.event),
            "data" => self.append_data(value),
            _ => {}
        }
    }

    fn append_data(&mut self, value: &str) {
        if self.has_data {
            self.event.data.push('\n');
        }
        self.has_data = true;
        self.event.data.push_str(value);
    }

    fn dispatch(&mut self, out: &mut Vec<Event>) {
        let event = std::mem::take(&mut self.event);
        if std::mem::take(&mut self.has_data) {
            out.push(event);
        }
    }
}
