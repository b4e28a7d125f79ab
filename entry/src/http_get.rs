//! Bounded HTTP reads, shared by the clients of store, VM list and load endpoints.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

quick_error! {
    /// Why an HTTP read failed.
    #[derive(Debug)]
    pub enum Error {
        /// No complete answer.
        Http(step: &'static str, cause: reqwest::Error) {
            display("{step}: {cause}")
            source(cause)
        }
        /// The time allowed for the call passed.
        Timeout(step: &'static str) {
            display("{step}: timed out")
        }
        /// An answer that the protocol does not provide for.
        Unexpected(step: &'static str, why: String) {
            display("{step}: {why}")
        }
    }
}

/// Builds a client that does exactly one call per request: redirects, retries and proxies from
/// the environment would reach other servers or hide calls from the counters.
///
/// # Errors
///
/// Returns the error of the HTTP library.
pub fn client(connect_timeout: Duration) -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .referer(false)
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout)
        .pool_max_idle_per_host(2)
        .build()
}

/// Sends a request and returns the answer with its body, which may have at most `bytes_max` bytes.
///
/// # Errors
///
/// Returns an error if there is no complete answer within `timeout` or its body is too long.
pub async fn fetch(
    step: &'static str,
    request: reqwest::RequestBuilder,
    timeout: Duration,
    bytes_max: usize,
) -> Result<(reqwest::Response, Bytes), Error> {
    let call = async {
        let mut response = request.send().await.map_err(|e| Error::Http(step, e))?;
        let mut body = BytesMut::new();
        while let Some(chunk) = response.chunk().await.map_err(|e| Error::Http(step, e))? {
            if body.len() + chunk.len() > bytes_max {
                let why = format!("answer of more than {bytes_max} bytes");
                return Err(Error::Unexpected(step, why));
            }
            body.extend_from_slice(&chunk);
        }
        Ok((response, body.freeze()))
    };
    tokio::time::timeout(timeout, call)
        .await
        .map_err(|_| Error::Timeout(step))?
}
