//! Messages between entries: bincode frames with a length prefix, over TCP.
//!
//! Decoders ignore bytes behind a value. New data is appended behind the value of a frame as an
//! extension, so that entries of different versions understand each other during a rolling update.
//! Later versions of an extension append fields to it. Frames of new kinds go only to an entry that has
//! announced that it reads them.

use std::time::Duration;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use lacewingmoor_control::bounds::BodyBytes;
use lacewingmoor_control::counts::CountsUpdate;
use lacewingmoor_control::message_bounds::{MessageBounds, MessageKind};
use lacewingmoor_control::model::Revision;
use lacewingmoor_control::replica::Update;
use lacewingmoor_control::source::SourceHealth;
use lacewingmoor_derive::wire;
use quick_error::quick_error;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

use crate::body_memory::BodyMemory;

/// Interval at which a source sends its status.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum length of a frame.
const FRAME_BYTES_MAX: usize = MessageBounds::of(MessageKind::SourceFrame).body_bytes;

/// Maximum length of the first frame of a follower.
const SUBSCRIPTION_BYTES_MAX: usize = MessageBounds::of(MessageKind::Subscription).body_bytes;

/// Maximum length of a report of a follower.
const REPORT_BYTES_MAX: usize = MessageBounds::of(MessageKind::Report).body_bytes;

/// Time within which a report must be complete after its length. An entry writes a frame within this time.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Steps in which a report is read.
const READ_STEP_BYTES: usize = 4 << 10;

/// Version of the extensions that this entry writes.
pub const EXTENSION_VERSION: u32 = 1;

/// Encoding of messages. Without the limit, a frame of a few bytes that claims to contain a longer
/// string than there is memory would abort the process.
const ENCODING: Configuration<LittleEndian, Varint, Limit<FRAME_BYTES_MAX>> =
    bincode::config::standard().with_limit::<FRAME_BYTES_MAX>();

/// First and only message of a follower.
#[wire]
pub struct Subscribe {
    /// Name of the follower.
    pub entry: String,
    /// The follower has every change up to this revision.
    pub after: Revision,
    /// Availability zone of the follower.
    pub zone: String,
    /// Relative capacity of the follower's VM.
    pub capacity: u32,
}

/// Message of a source.
#[wire]
pub enum Message {
    /// Changes that the follower does not have yet, or a snapshot.
    Update(Update),
    /// Status of the source.
    Status(SourceStatus),
}

/// Status of a source.
#[wire]
pub struct SourceStatus {
    /// Time since the store last confirmed the source's view, in milliseconds.
    pub age_ms: u64,
    /// Time for which the source, or the one that it follows, has been searching for a source,
    /// in milliseconds.
    pub searching_ms: u64,
    /// Name of the source.
    pub entry: String,
    /// Entries that forward updates to the source, starting with the one that follows the store.
    pub path: Vec<String>,
    /// True if the source, or the one that it follows, has read the registrations of entries.
    pub has_read_entries: bool,
    /// True if the follower should register.
    pub appointed: bool,
    /// Number of entries that the source knows of.
    pub entry_count: u32,
}

/// Follows a [`Subscribe`] in its frame.
#[wire]
pub struct SubscribeExtension {
    /// Version of this extension.
    pub version: u32,
    /// The follower has its changes from the store, and only exchanges counts.
    pub counts_only: bool,
}

/// Follows a [`Message::Status`] in its frame while counts are exchanged. Announces that the source reads
/// [`Report`] frames.
#[wire]
pub struct StatusExtension {
    /// Version of this extension.
    pub version: u32,
    /// Counts of all entries, if the source knows them.
    pub totals: Option<CountsUpdate>,
}

/// Later message of a follower.
#[wire]
pub struct Report {
    /// Version of this message.
    pub version: u32,
    /// Counts of the follower and of those that follow it.
    pub update: CountsUpdate,
}

quick_error! {
    /// Why a connection between entries ended.
    #[derive(Debug)]
    pub enum Error {
        /// Reading or writing failed.
        Io(step: &'static str, cause: std::io::Error) {
            display("{step}: {cause}")
            source(cause)
        }
        /// The step did not finish in time.
        Timeout(step: &'static str) {
            display("{step}: timed out")
        }
        /// A frame is too long, or a message could not be encoded or decoded.
        Malformed(cause: String) {
            display("malformed frame: {cause}")
        }
        /// There is no memory for a frame.
        NoMemory {
            display("no memory for the frame")
        }
        /// The source's data is too old, or it has been searching for a source for too long.
        Stale(health: SourceHealth) {
            display("source is stale: confirmed {} ms ago, searching for {} ms",
                health.age.as_millis(), health.searching.as_millis())
        }
        /// The source receives its updates through this entry.
        Circular {
            display("source receives its updates through this entry")
        }
    }
}

/// Writes a message as one frame.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or the connection fails.
pub async fn write<T: bincode::Encode>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), Error> {
    write_extended(stream, message, None::<&()>).await
}

/// Writes a message as one frame, with an extension if there is one.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or the connection fails.
pub async fn write_extended<T: bincode::Encode, E: bincode::Encode>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
    extension: Option<&E>,
) -> Result<(), Error> {
    let malformed = |e: bincode::error::EncodeError| Error::Malformed(e.to_string());
    let mut bytes = bincode::encode_to_vec(message, ENCODING).map_err(malformed)?;
    if let Some(extension) = extension {
        bytes.extend(bincode::encode_to_vec(extension, ENCODING).map_err(malformed)?);
    }
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(&bytes);
    stream
        .write_all(&frame)
        .await
        .map_err(|e| Error::Io("write", e))
}

/// Reads a message from one frame, without its extension.
///
/// # Errors
///
/// Returns an error if the connection fails or ends, or if the frame is too long or malformed.
pub async fn read<T: bincode::Decode<()>>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, Error> {
    let bytes = read_frame(stream, FRAME_BYTES_MAX).await?;
    decode(&bytes).map(|(message, _)| message)
}

/// Reads a message from one frame, with its extension if there is one.
///
/// # Errors
///
/// Returns an error if the connection fails or ends, or if the frame is too long or malformed.
pub async fn read_extended<T: bincode::Decode<()>, E: bincode::Decode<()>>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<(T, Option<E>), Error> {
    decode_extended(&read_frame(stream, FRAME_BYTES_MAX).await?)
}

/// Reads the first message of a follower, with its extension if there is one.
///
/// # Errors
///
/// Returns an error if the connection fails or ends, or if the frame is too long or malformed.
pub async fn read_subscription(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<(Subscribe, Option<SubscribeExtension>), Error> {
    decode_extended(&read_frame(stream, SUBSCRIPTION_BYTES_MAX).await?)
}

/// Reads a report of a follower into `memory`, which the reports of all followers share.
///
/// # Errors
///
/// Returns an error if the connection fails or ends, if the frame is too long, malformed or not complete in
/// time, or if there is no memory for it.
pub async fn read_report(
    stream: &mut (impl AsyncRead + Unpin),
    memory: &BodyMemory,
    limit: BodyBytes,
) -> Result<Report, Error> {
    let length = read_length(stream, REPORT_BYTES_MAX).await?;
    let mut buffer = memory.buffer(length, limit);
    let read = async {
        let mut part = [0; READ_STEP_BYTES];
        while buffer.len() < length {
            let part = &mut part[..READ_STEP_BYTES.min(length - buffer.len())];
            if !buffer.reserve(part.len()) {
                return Err(Error::NoMemory);
            }
            let read = stream.read_exact(part).await;
            read.map_err(|e| Error::Io("read", e))?;
            buffer.append(part);
        }
        Ok(())
    };
    tokio::time::timeout(REPORT_TIMEOUT, read)
        .await
        .map_err(|_| Error::Timeout("report"))??;
    decode(&buffer.freeze()).map(|(report, _)| report)
}

async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    bytes_max: usize,
) -> Result<Vec<u8>, Error> {
    let length = read_length(stream, bytes_max).await?;
    let mut bytes = vec![0; length];
    stream
        .read_exact(&mut bytes)
        .await
        .map_err(|e| Error::Io("read", e))?;
    Ok(bytes)
}

async fn read_length(
    stream: &mut (impl AsyncRead + Unpin),
    bytes_max: usize,
) -> Result<usize, Error> {
    let length = stream.read_u32().await.map_err(|e| Error::Io("read", e))? as usize;
    match length > bytes_max {
        true => Err(Error::Malformed(format!(
            "length of {length} bytes exceeds {bytes_max}"
        ))),
        false => Ok(length),
    }
}

fn decode_extended<T: bincode::Decode<()>, E: bincode::Decode<()>>(
    bytes: &[u8],
) -> Result<(T, Option<E>), Error> {
    let (message, length) = decode(bytes)?;
    let extension = match &bytes[length..] {
        [] => None,
        rest => Some(decode(rest)?.0),
    };
    Ok((message, extension))
}

fn decode<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<(T, usize), Error> {
    bincode::decode_from_slice(bytes, ENCODING).map_err(|e| Error::Malformed(e.to_string()))
}
