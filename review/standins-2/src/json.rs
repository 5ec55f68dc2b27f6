//! A small JSON reader.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.blanks();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null", Json::Null),
            b't' => self.take("true", Json::Bool(true)),
            b'f' => self.take("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let sign = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(sign.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.blanks();
            match *self.bytes.get(self.at)? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                b',' => self.at += 1,
                _ => items.push(self.value()?),
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        loop {
            self.blanks();
            match *self.bytes.get(self.at)? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Table(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    self.blanks();
                    self.take(":", Json::Null)?;
                    fields.insert(name, self.value()?);
                }
            }
        }
    }
}

/// The raw text of the field `name` of the table at the start of `bytes`, so that numbers of any length stay as they are.
pub fn raw_field(bytes: &[u8], name: &str) -> Option<String> {
    let mut reader = Reader { bytes, at: 0 };
    reader.blanks();
    if *reader.bytes.get(reader.at)? != b'{' {
        return None;
    }
    reader.at += 1;
    loop {
        reader.blanks();
        match *reader.bytes.get(reader.at)? {
            b'}' => return None,
            b',' => reader.at += 1,
            _ => {
                let field = reader.string()?;
                reader.blanks();
                reader.take(":", Json::Null)?;
                reader.blanks();
                let start = reader.at;
                reader.value()?;
                if field == name {
                    let text = std::str::from_utf8(&bytes[start..reader.at]).ok()?;
                    return Some(text.to_owned());
                }
            }
        }
    }
}
