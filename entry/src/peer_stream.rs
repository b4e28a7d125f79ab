//! Frames on h2 streams.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use quick_error::quick_error;

use crate::peer_codec::{self, FrameKey, Place, Splitter, decode, encode};

quick_error! {
    /// Why a stream between peers failed.
    #[derive(Debug)]
    pub enum Error {
        /// The connection or stream failed.
        H2(cause: h2::Error) {
            display("h2: {cause}")
            from()
        }
        /// The connection could not be made.
        Io(cause: std::io::Error) {
            display("{cause}")
            from()
        }
        /// A frame was not accepted.
        Frame(cause: peer_codec::Error) {
            display("{cause}")
            from()
        }
        /// The stream ended.
        Closed {
            display("stream closed")
        }
        /// The other side answered with this status.
        Status(status: http::StatusCode) {
            display("status {status}")
        }
        /// The other side did not prove that it has the fleet key, or is another node.
        Unauthenticated {
            display("not authenticated")
        }
        /// The time allowed passed.
        Timeout(step: &'static str) {
            display("{step}: timed out")
        }
    }
}

/// Reads frames from a stream.
pub struct Reader {
    stream: RecvStream,
    splitter: Splitter,
    key: Option<FrameKey>,
    index: u64,
}

impl Reader {
    /// Wraps a stream. With a key, every frame must be authenticated.
    pub fn new(stream: RecvStream, key: Option<FrameKey>) -> Self {
        Self {
            stream,
            splitter: Splitter::default(),
            key,
            index: 0,
        }
    }

    /// Requires that all further frames are authenticated.
    pub fn authenticate(&mut self, key: FrameKey) {
        self.key = Some(key);
        self.index = 0;
    }

    /// Reads the next frame; returns its body and its length in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error at the end of the stream and for a frame that is not accepted. The stream
    /// cannot be read further after an error.
    pub async fn next<T: bincode::Decode<()>>(
        &mut self,
        bytes_max: usize,
    ) -> Result<(T, usize), Error> {
        let frame = loop {
            if let Some(frame) = self.splitter.next(bytes_max)? {
                break frame;
            }
            let chunk = poll_fn(|cx| self.stream.poll_data(cx)).await;
            let chunk = chunk.ok_or(Error::Closed)??;
            self.splitter.push(&chunk);
            self.stream.flow_control().release_capacity(chunk.len())?;
        };
        let place = Place {
            stream: self.stream.stream_id().as_u32(),
            index: self.index,
        };
        self.index += 1;
        let body = decode(&frame, self.key.as_ref().map(|key| (key, place)))?;
        Ok((body, frame.len()))
    }
}

/// Writes frames to a stream.
pub struct Writer {
    stream: SendStream<Bytes>,
    key: Option<FrameKey>,
    index: u64,
}

impl Writer {
    /// Wraps a stream. With a key, every frame is authenticated.
    pub fn new(stream: SendStream<Bytes>, key: Option<FrameKey>) -> Self {
        Self {
            stream,
            key,
            index: 0,
        }
    }

    /// Authenticates all further frames.
    pub fn authenticate(&mut self, key: FrameKey) {
        self.key = Some(key);
        self.index = 0;
    }

    /// Writes a frame and returns its length in bytes. Waits while the receiver does not read, so
    /// that no more than the stream's window is buffered.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or connection fails.
    pub async fn write(&mut self, body: &impl bincode::Encode) -> Result<usize, Error> {
        let place = Place {
            stream: self.stream.stream_id().as_u32(),
            index: self.index,
        };
        self.index += 1;
        let mut frame = encode(body, self.key.as_ref().map(|key| (key, place)));
        let length = frame.len();
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            while self.stream.capacity() == 0 {
                let more = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
                more.ok_or(Error::Closed)??;
            }
            let chunk = frame.split_to(self.stream.capacity().min(frame.len()));
            self.stream.send_data(chunk, false)?;
        }
        Ok(length)
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or connection failed.
    pub fn finish(&mut self) -> Result<(), Error> {
        Ok(self.stream.send_data(Bytes::new(), true)?)
    }
}
