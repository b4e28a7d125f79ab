//! HTTP calls with bounded time and size. Each call is made once.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};

use crate::util;

/// Longest answer that is read.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Why a call gave no answer.
pub struct Failure {
    /// True if the request cannot have reached the server.
    pub not_sent: bool,
    /// What happened.
    pub why: String,
}

impl From<reqwest::Error> for Failure {
    fn from(error: reqwest::Error) -> Self {
        Self {
            not_sent: error.is_connect() || error.is_builder(),
            why: util::causes(&error.without_url()),
        }
    }
}

/// A whole answer.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Value of `store-revision`, if it is there.
    pub revision: Option<u64>,
    /// Body.
    pub body: Vec<u8>,
}

/// Builds a client that follows no redirect, repeats no request and ignores proxy settings.
///
/// # Panics
///
/// Panics if the client cannot be initialised, which needs no file or network.
pub fn client(timeout: Duration) -> Client {
    Client::builder()
        .timeout(timeout)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .build()
        .expect("a client without TLS needs nothing from the system")
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// [`Failure`] if there is no whole answer within the client's timeout.
pub async fn call(request: RequestBuilder) -> Result<Reply, Failure> {
    let mut response = request.send().await?;
    let mut reply = Reply {
        status: response.status(),
        revision: revision(&response),
        body: Vec::new(),
    };
    while let Some(chunk) = response.chunk().await? {
        if reply.body.len() + chunk.len() > ANSWER_BYTES_MAX {
            return Err(Failure {
                not_sent: false,
                why: format!("the answer is longer than {ANSWER_BYTES_MAX} bytes"),
            });
        }
        reply.body.extend_from_slice(&chunk);
    }
    Ok(reply)
}

fn revision(response: &Response) -> Option<u64> {
    let value = response.headers().get("store-revision")?;
    value.to_str().ok()?.parse().ok()
}
