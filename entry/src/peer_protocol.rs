//! Messages between entries: length-prefixed bincode frames over TCP.

use std::time::Duration;

use lacewingmoor_control::model::Revision;
use lacewingmoor_control::replica::Update;
use lacewingmoor_control::source::SourceHealth;
use lacewingmoor_derive::wire;
use quick_error::quick_error;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

/// Interval at which a source tells how old its knowledge is.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Longest frame; an update holds a bundle of up to 1 MB and all registrations.
const FRAME_BYTES_MAX: u32 = 8 << 20;

/// First message of a follower.
#[wire]
pub struct Subscribe {
    /// Name of the follower, for the log.
    pub entry: String,
    /// The follower has every change up to this revision.
    pub after: Revision,
}

/// Message of a source.
#[wire]
pub enum Message {
    /// Changes.
    Update(Update),
    /// State of the source.
    Status(SourceStatus),
}

/// State of a source.
#[wire]
pub struct SourceStatus {
    /// Time since the store confirmed what the source knows, in milliseconds.
    pub age_ms: u64,
    /// Time for which the source, or the one that it follows, has been looking for a source, in
    /// milliseconds.
    pub searching_ms: u64,
    /// Name of the source.
    pub entry: String,
    /// Entries through which the knowledge came to the source, that which follows the store first.
    pub path: Vec<String>,
    /// The source, or the one that it follows, has read the registrations of entries.
    pub has_read_entries: bool,
}

quick_error! {
    /// Why a feed ended.
    #[derive(Debug)]
    pub enum Error {
        /// Reading or writing failed.
        Io(step: &'static str, cause: std::io::Error) {
            display("{step}: {cause}")
            source(cause)
        }
        /// Nothing came in time.
        Timeout(step: &'static str) {
            display("{step}: nothing came in time")
        }
        /// A frame that is not of the protocol.
        Malformed(why: String) {
            display("malformed frame: {why}")
        }
        /// The source has lost the store.
        Stale(state: SourceHealth) {
            display("source was confirmed {} ms ago and has been searching for {} ms",
                state.age.as_millis(), state.searching.as_millis())
        }
        /// The source has its knowledge through this entry.
        Circular {
            display("source has its knowledge through this entry")
        }
    }
}

/// Writes one frame.
///
/// # Errors
///
/// Returns the error of the connection.
pub async fn write<T: bincode::Encode>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), Error> {
    let bytes = bincode::encode_to_vec(message, bincode::config::standard())
        .map_err(|e| Error::Malformed(e.to_string()))?;
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(&bytes);
    stream
        .write_all(&frame)
        .await
        .map_err(|e| Error::Io("write", e))
}

/// Reads one frame.
///
/// # Errors
///
/// Returns why there is none.
pub async fn read<T: bincode::Decode<()>>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, Error> {
    let length = stream.read_u32().await.map_err(|e| Error::Io("read", e))?;
    if length > FRAME_BYTES_MAX {
        return Err(Error::Malformed(format!("{length} bytes")));
    }
    let mut bytes = vec![0; length as usize];
    stream
        .read_exact(&mut bytes)
        .await
        .map_err(|e| Error::Io("read", e))?;
    let (message, _) = bincode::decode_from_slice(&bytes, bincode::config::standard())
        .map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(message)
}
