//! The request body, read once from the caller and sent by one or more attempts.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use salvo::http::ReqBody;

/// Longest request body that is kept for a later attempt.
pub const RETRY_BODY_BYTES_MAX: u64 = 64 * 1024;

quick_error! {
    /// Why a request body cannot be sent on.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum BodyFault {
        /// The body is longer than the route allows.
        TooLarge {
            display("request body is too large")
        }
        /// The caller's body broke off or is malformed.
        Caller {
            display("request body of the caller broke off")
        }
        /// An earlier attempt has used up a body that was not kept.
        Consumed {
            display("request body was consumed by an earlier attempt")
        }
    }
}

/// Body of one request, shared by its attempts.
pub struct RequestBody {
    length: Option<u64>,
    state: Mutex<State>,
}

struct State {
    source: ReqBody,
    keep: bool,
    kept: Vec<Bytes>,
    read_bytes: u64,
    bytes_max: u64,
    end: Option<Result<(), BodyFault>>,
    waiting: Vec<Waker>,
}

impl RequestBody {
    /// Wraps the body of a caller's request. `length` is the declared length.
    pub fn new(source: ReqBody, length: Option<u64>) -> Arc<Self> {
        Arc::new(Self {
            length,
            state: Mutex::new(State {
                source,
                keep: length.is_some_and(|n| n <= RETRY_BODY_BYTES_MAX),
                kept: Vec::new(),
                read_bytes: 0,
                bytes_max: u64::MAX,
                end: (length == Some(0)).then_some(Ok(())),
                waiting: Vec::new(),
            }),
        })
    }

    /// True if a later attempt can send the body again.
    pub fn replayable(length: Option<u64>) -> bool {
        length.is_some_and(|n| n <= RETRY_BODY_BYTES_MAX)
    }

    /// Sets the longest body that is passed on.
    pub fn limit(&self, bytes_max: u64) {
        self.lock().bytes_max = bytes_max;
    }

    /// Returns why the body cannot be sent on, if it cannot.
    pub fn fault(&self) -> Option<BodyFault> {
        self.lock().end.and_then(Result::err)
    }

    /// Returns the body for one attempt.
    pub fn attempt(self: &Arc<Self>) -> AttemptBody {
        AttemptBody {
            body: self.clone(),
            next: 0,
            sent_bytes: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Reads the next chunk from the caller.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.source).poll_frame(cx) else {
                // The source wakes only the task that polled last; that one wakes the others.
                if !self.waiting.iter().any(|w| w.will_wake(cx.waker())) {
                    self.waiting.push(cx.waker().clone());
                }
                return Poll::Pending;
            };
            let result = match frame {
                None => None,
                Some(Err(_)) => Some(Err(BodyFault::Caller)),
                Some(Ok(frame)) => match frame.into_data() {
                    // Trailers concern the caller's connection only.
                    Err(_) => continue,
                    Ok(data) if data.is_empty() => continue,
                    Ok(data) => {
                        self.read_bytes += data.len() as u64;
                        if self.read_bytes > self.bytes_max {
                            Some(Err(BodyFault::TooLarge))
                        } else {
                            Some(Ok(data))
                        }
                    }
                },
            };
            match &result {
                None => self.end = Some(Ok(())),
                Some(Err(fault)) => self.end = Some(Err(*fault)),
                Some(Ok(data)) if self.keep => self.kept.push(data.clone()),
                Some(Ok(_)) => {}
            }
            for waker in self.waiting.drain(..) {
                waker.wake();
            }
            return Poll::Ready(result);
        }
    }
}

/// Body as one attempt sends it.
pub struct AttemptBody {
    body: Arc<RequestBody>,
    next: usize,
    sent_bytes: u64,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let this = &mut *self;
        let mut state = this.body.lock();
        let chunk = if let Some(chunk) = state.kept.get(this.next) {
            Some(Ok(chunk.clone()))
        } else if !state.keep && this.sent_bytes != state.read_bytes {
            Some(Err(BodyFault::Consumed))
        } else {
            match state.end {
                Some(Ok(())) => None,
                Some(Err(fault)) => Some(Err(fault)),
                None => match state.poll_source(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(chunk) => chunk,
                },
            }
        };
        Poll::Ready(chunk.map(|chunk| {
            chunk.map(|data| {
                this.next += 1;
                this.sent_bytes += data.len() as u64;
                Frame::data(data)
            })
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.length == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        match self.body.length {
            Some(length) => SizeHint::with_exact(length.saturating_sub(self.sent_bytes)),
            None => SizeHint::default(),
        }
    }
}

impl Drop for AttemptBody {
    fn drop(&mut self) {
        // Another attempt may wait for a wake-up that the source owes to this one.
        for waker in self.body.lock().waiting.drain(..) {
            waker.wake();
        }
    }
}
