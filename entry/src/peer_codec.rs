//! Frames between peers: length, version byte, bincode body, and a tag once a session exists.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{BufMut as _, Bytes, BytesMut};
use hmac::{Hmac, KeyInit as _, Mac as _};
use lacewingmoor_derive::value;
use quick_error::quick_error;
use sha2::Sha256;

/// Version of the peer protocol, the first byte of every frame.
pub const PROTOCOL: u8 = 1;

/// Longest frame after the handshake: a value of the store and some room for its envelope.
pub const FRAME_BYTES_MAX: usize = (1 << 20) + (4 << 10);

/// Longest frame of the handshake, whose sender is not yet known.
pub const HANDSHAKE_BYTES_MAX: usize = 256;

/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;

/// Bytes of a tag. Half of HMAC-SHA-256 leaves a forger one chance in 2^128 a frame.
const TAG_BYTES: usize = 16;

/// The limit bounds what decoding allocates for forged lengths.
type Codec = Configuration<LittleEndian, Varint, Limit<FRAME_BYTES_MAX>>;

const CODEC: Codec = bincode::config::standard().with_limit::<FRAME_BYTES_MAX>();

quick_error! {
    /// Why a frame was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The frame is longer than allowed at this point.
        TooLong(bytes: usize) {
            display("frame of {bytes} bytes")
        }
        /// The frame is too short for its envelope.
        TooShort {
            display("frame too short")
        }
        /// The peer uses another protocol version.
        Protocol(version: u8) {
            display("protocol version {version}")
        }
        /// The tag does not fit content and position of the frame.
        Tag {
            display("frame not authenticated")
        }
        /// The body cannot be decoded.
        Body(why: String) {
            display("frame body: {why}")
        }
    }
}

/// Key of one direction of a session.
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

/// Place of a frame in a session. It is covered by the tag, so that a frame cannot be repeated,
/// left out or moved to another stream.
#[value]
#[derive(Copy)]
pub struct Place {
    /// Id of the h2 stream, the same on both sides.
    pub stream: u32,
    /// Number of the frame on the stream in its direction, from 0.
    pub index: u64,
}

impl FrameKey {
    /// Wraps a derived key.
    pub fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    fn mac(&self, place: Place, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(&place.stream.to_be_bytes());
        mac.update(&place.index.to_be_bytes());
        mac.update(content);
        mac
    }
}

/// Encodes a frame; with a key, it ends with a tag.
pub fn encode(body: &impl bincode::Encode, key: Option<(&FrameKey, Place)>) -> Bytes {
    let body = bincode::encode_to_vec(body, bincode::config::standard())
        .expect("encoding plain values into memory does not fail");
    let tag_bytes = key.map_or(0, |_| TAG_BYTES);
    let length = 1 + body.len() + tag_bytes;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + length);
    frame.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    frame.put_u8(PROTOCOL);
    frame.put_slice(&body);
    if let Some((key, place)) = key {
        let tag = key.mac(place, &frame[LENGTH_BYTES..]).finalize();
        frame.put_slice(&tag.as_bytes()[..TAG_BYTES]);
    }
    frame.freeze()
}

/// Decodes the content of a frame, without its length.
///
/// # Errors
///
/// Returns an error if version, tag or body is wrong, or bytes are left over.
pub fn decode<T: bincode::Decode<()>>(
    content: &[u8],
    key: Option<(&FrameKey, Place)>,
) -> Result<T, Error> {
    let content = match key {
        None => content,
        Some((key, place)) => {
            let (content, tag) = content
                .split_last_chunk::<TAG_BYTES>()
                .ok_or(Error::TooShort)?;
            key.mac(place, content)
                .verify_truncated_left(tag)
                .map_err(|_| Error::Tag)?;
            content
        }
    };
    let (version, body) = content.split_first().ok_or(Error::TooShort)?;
    if *version != PROTOCOL {
        return Err(Error::Protocol(*version));
    }
    let (value, used) =
        bincode::decode_from_slice(body, CODEC).map_err(|e| Error::Body(e.to_string()))?;
    if used != body.len() {
        return Err(Error::Body("bytes after its end".into()));
    }
    Ok(value)
}

/// Cuts a byte stream into frames.
#[derive(Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds received bytes. Memory is only taken for bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the content of the next whole frame, if it has arrived.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] as soon as a length above `bytes_max` is seen.
    pub fn next(&mut self, bytes_max: usize) -> Result<Option<Bytes>, Error> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > bytes_max {
            return Err(Error::TooLong(length));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let mut frame = self.buffer.split_to(LENGTH_BYTES + length);
        Ok(Some(frame.split_off(LENGTH_BYTES).freeze()))
    }
}
