//! JSON: a parser for the calls that the stand-ins receive, and the quoting of strings.

/// A parsed value. Numbers are read as `f64`.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        let Value::Table(fields) = self else {
            return &Value::Null;
        };
        let found = fields.iter().find(|(key, _)| key == name);
        found.map_or(&Value::Null, |(_, value)| value)
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut parser = Parser { bytes, at: 0 };
    parser.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            _ => self.word(),
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take(b'{');
        let mut fields = Vec::new();
        while !self.take(b'}') {
            let name = self.text()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((name, self.value()?));
            self.take(b',');
        }
        Some(Value::Table(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[');
        let mut list = Vec::new();
        while !self.take(b']') {
            list.push(self.value()?);
            self.take(b',');
        }
        Some(Value::List(list))
    }

    fn text(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                byte => text.push(byte),
            }
        }
    }

    fn word(&mut self) -> Option<Value> {
        let start = self.at;
        let part_of_word = |b: &u8| b.is_ascii_alphanumeric() || b"+-.".contains(b);
        while self.bytes.get(self.at).is_some_and(part_of_word) {
            self.at += 1;
        }
        match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
            "null" => Some(Value::Null),
            "true" => Some(Value::Bool(true)),
            "false" => Some(Value::Bool(false)),
            number => number.parse().ok().map(Value::Number),
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(padded[0]) << 16 | u32::from(padded[1]) << 8 | u32::from(padded[2]);
        for i in 0..4 {
            let digit = BASE64[(bits >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= group.len() { digit.into() } else { '=' });
        }
    }
    text
}
