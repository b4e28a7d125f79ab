//! Sends one request and checks its answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::{Kind, Outcome, Sample};
use crate::target::{fill_pattern, pattern_key};

/// One request to be sent.
pub(super) struct Work {
    pub(super) id: String,
    pub(super) number: usize,
    pub(super) kind: Kind,
    pub(super) due: Instant,
    pub(super) at: Duration,
    pub(super) timeout: Duration,
}

impl Work {
    pub(super) fn ended(self, outcome: Outcome, target: Option<String>) -> Sample {
        Sample {
            at: self.at,
            latency: self.due.elapsed(),
            kind: self.number,
            outcome,
            id: self.id,
            target,
        }
    }
}

#[derive(Clone)]
pub(super) struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Sender {
    pub(super) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    pub(super) async fn send(&self, work: Work, addr: SocketAddr) -> Sample {
        let mut target = None;
        let exchange = self.exchange(&work, addr, &mut target);
        let outcome = match tokio::time::timeout(work.timeout, exchange).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => Outcome::Broken(error),
            Err(_) => Outcome::Broken("time is up".into()),
        };
        work.ended(outcome, target)
    }

    async fn exchange(
        &self,
        work: &Work,
        addr: SocketAddr,
        target: &mut Option<String>,
    ) -> Result<Outcome, String> {
        let body = request_body(work);
        let request = Request::builder()
            .method(work.kind.method.clone())
            .uri(uri(&work.kind, addr))
            .header("request-id", &work.id)
            .body(Full::new(body.clone()))
            .map_err(|e| e.to_string())?;
        let response = self.client.request(request).await.map_err(chain)?;
        let (head, answer) = response.into_parts();
        let value = |name: &str| header(&head.headers, name).unwrap_or("-").to_owned();
        *target = header(&head.headers, "target").map(str::to_owned);
        if head.status != StatusCode::OK {
            // Reads the rest, so that the connection can be used again.
            answer.collect().await.map_err(chain)?;
            return Ok(Outcome::Refused {
                status: head.status.as_u16(),
                outcome: value("lacewingmoor-outcome"),
                reason: value("lacewingmoor-reason"),
            });
        }
        if value("echo-id") != work.id {
            return Ok(Outcome::Wrong(format!("answer to {}", value("echo-id"))));
        }
        match work.kind.answer_bytes {
            Some(bytes) => generated(answer, pattern_key(&work.id), bytes).await,
            None if answer.collect().await.map_err(chain)?.to_bytes() == body => {
                Ok(Outcome::Answered)
            }
            None => Ok(Outcome::Wrong("another body".into())),
        }
    }
}

/// Checks a generated body piece by piece.
async fn generated(mut answer: Incoming, key: u64, bytes: u64) -> Result<Outcome, String> {
    let mut at = 0;
    let mut expected = Vec::new();
    while let Some(frame) = answer.frame().await {
        if let Ok(piece) = frame.map_err(chain)?.into_data() {
            expected.resize(piece.len(), 0);
            fill_pattern(key, at, &mut expected);
            if piece != expected {
                return Ok(Outcome::Wrong(format!("another body from byte {at}")));
            }
            at += piece.len() as u64;
        }
    }
    if at == bytes {
        Ok(Outcome::Answered)
    } else {
        Ok(Outcome::Wrong(format!("{at} bytes instead of {bytes}")))
    }
}

/// Builds a body that differs between requests.
fn request_body(work: &Work) -> Bytes {
    let mut body = vec![0; work.kind.body_bytes.unwrap_or(0)];
    fill_pattern(!pattern_key(&work.id), 0, &mut body);
    Bytes::from(body)
}

fn uri(kind: &Kind, addr: SocketAddr) -> String {
    let mut uri = format!("http://{addr}{}", kind.path);
    if let Some(bytes) = kind.answer_bytes {
        let mark = if kind.path.contains('?') { '&' } else { '?' };
        uri.push_str(&format!("{mark}bytes={bytes}"));
    }
    uri
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns an error with its causes.
fn chain(error: impl std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
