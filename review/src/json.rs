//! JSON and base64, as far as calls to the store need them.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut position = 0;
        value(bytes, &mut position)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<String> {
        match self {
            Self::Text(text) => Some(text.clone()),
            _ => None,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1;
                        fields.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| !b",]}".contains(b) && !b.is_ascii_whitespace())
            {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                text.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
            }
            _ => text.push(byte),
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            _ => quoted.push(c),
        }
    }
    quoted + "\""
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(*chunk.get(i).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(char::from(ALPHABET[(bits >> (18 - 6 * i) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|b| *b == byte) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
