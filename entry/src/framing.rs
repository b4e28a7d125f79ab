//! Follows the framing of HTTP/1 requests on a connection to find heads with conflicting lengths.
//!
//! hyper accepts `content-length` next to `transfer-encoding` and equal repetitions of
//! `content-length`, and removes the surplus field before the request is seen. A caller that sends
//! them may have been understood differently by a proxy before this process, so such a request
//! has to be refused, which needs a look at the bytes.

/// Bytes of a line that are kept. Longer lines matter only by their beginning.
const LINE_BYTES_MAX: usize = 256;

/// Position in the bytes that a caller sends on one connection.
#[derive(Default)]
pub struct Framing {
    at: At,
    line: Vec<u8>,
    head: Head,
}

#[derive(Clone, Copy, Default)]
enum At {
    /// In a request head.
    #[default]
    Head,
    /// In a body with this many bytes left.
    Body(u64),
    /// In the line with the size of a chunk.
    ChunkSize,
    /// In a chunk with this many bytes left, its line end included.
    Chunk(u64),
    /// In the trailer of a chunked body.
    Trailer,
    /// In HTTP/2, or in something that hyper is going to refuse.
    Unknown,
}

#[derive(Default)]
struct Head {
    started: bool,
    lengths: u32,
    body_bytes: u64,
    chunked: bool,
}

impl Framing {
    /// Takes the next bytes. Returns true if they complete a head with conflicting lengths.
    pub fn read(&mut self, mut bytes: &[u8]) -> bool {
        let mut conflict = false;
        while !bytes.is_empty() {
            match &mut self.at {
                At::Unknown => return conflict,
                At::Body(left) | At::Chunk(left) => {
                    let skip = bytes
                        .len()
                        .min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= skip as u64;
                    bytes = &bytes[skip..];
                    if *left == 0 {
                        self.at = match self.at {
                            At::Chunk(_) => At::ChunkSize,
                            _ => At::Head,
                        };
                    }
                }
                At::Head | At::ChunkSize | At::Trailer => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = LINE_BYTES_MAX - self.line.len();
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = &bytes[end.map_or(bytes.len(), |e| e + 1)..];
                    if end.is_some() {
                        conflict |= self.end_line();
                        self.line.clear();
                    }
                }
            }
        }
        conflict
    }

    fn end_line(&mut self) -> bool {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        match self.at {
            At::Head if line.is_empty() && !self.head.started => {}
            At::Head if line.is_empty() => {
                let head = std::mem::take(&mut self.head);
                self.at = match head.body_bytes {
                    _ if head.chunked => At::ChunkSize,
                    0 => At::Head,
                    n => At::Body(n),
                };
                return head.lengths > 1 || (head.chunked && head.lengths > 0);
            }
            At::Head if !self.head.started => {
                self.head.started = true;
                if line == b"PRI * HTTP/2.0" {
                    self.at = At::Unknown;
                }
            }
            At::Head => self.head.field(line),
            At::ChunkSize => {
                let digits = line.split(|b| *b == b';').next().unwrap_or_default();
                let size = std::str::from_utf8(digits.trim_ascii())
                    .ok()
                    .and_then(|text| u64::from_str_radix(text, 16).ok());
                self.at = match size {
                    Some(0) => At::Trailer,
                    Some(n) => At::Chunk(n.saturating_add(2)),
                    None => At::Unknown,
                };
            }
            At::Trailer if line.is_empty() => self.at = At::Head,
            At::Trailer | At::Body(_) | At::Chunk(_) | At::Unknown => {}
        }
        false
    }
}

impl Head {
    fn field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        let value = line[colon + 1..].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            let text = std::str::from_utf8(value).unwrap_or_default();
            self.body_bytes = text.parse().unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
    }
}
