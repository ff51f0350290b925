//! A small JSON parser for the bodies of store calls.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a value; `None` when the bytes are not JSON.
pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    skip(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, text: &str) -> Option<()> {
    let end = *at + text.len();
    (bytes.get(*at..end)? == text.as_bytes()).then(|| *at = end)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'n' => take(bytes, at, "null").map(|()| Json::Null),
        b't' => take(bytes, at, "true").map(|()| Json::Bool(true)),
        b'f' => take(bytes, at, "false").map(|()| Json::Bool(false)),
        b'"' => string(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                if take(bytes, at, "]").is_some() {
                    return Some(Json::List(items));
                }
                items.push(value(bytes, at)?);
                skip(bytes, at);
                if take(bytes, at, ",").is_none() {
                    take(bytes, at, "]")?;
                    return Some(Json::List(items));
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if take(bytes, at, "}").is_some() {
                    return Some(Json::Table(fields));
                }
                let name = string(bytes, at)?;
                skip(bytes, at);
                take(bytes, at, ":")?;
                fields.push((name, value(bytes, at)?));
                skip(bytes, at);
                if take(bytes, at, ",").is_none() {
                    take(bytes, at, "}")?;
                    return Some(Json::Table(fields));
                }
            }
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    take(bytes, at, "\"")?;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let mut buf = [0; 4];
                        let text = char::from_u32(code)?.encode_utf8(&mut buf);
                        out.extend_from_slice(text.as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

/// Encodes text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
