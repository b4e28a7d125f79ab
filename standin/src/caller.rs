//! Stand-in of a caller: sends requests over connections of its own and checks the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use lacewingmoor_platform::headers;
use tokio::net::TcpStream;

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Host that selects the route.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Time that the caller waits.
    pub deadline: Duration,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer.
    Answer(Answer),
    /// The connection broke or no answer came in time.
    Cut,
    /// No connection could be opened.
    NoConnection,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// True if a target signed it.
    pub signed: bool,
    /// True if it repeats the id of the request.
    pub own_id: bool,
    /// When to come back, if it says.
    pub retry_after: Option<Duration>,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// True if the connection is to be closed.
    pub closes: bool,
    /// Time that it took.
    pub took: Duration,
}

/// Sends one request on a connection of its own.
pub async fn call(addr: SocketAddr, call: &Call) -> End {
    let Ok(stream) = TcpStream::connect(addr).await else {
        return End::NoConnection;
    };
    let sent_at = Instant::now();
    let exchange = exchange(stream, call, sent_at);
    match tokio::time::timeout(call.deadline, exchange).await {
        Ok(Some(answer)) => End::Answer(answer),
        Ok(None) | Err(_) => End::Cut,
    }
}

async fn exchange(stream: TcpStream, call: &Call, sent_at: Instant) -> Option<Answer> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, &call.host)
        .header(headers::ATTEMPT_ID, &call.id)
        .header(headers::DEADLINE_MS, call.deadline.as_millis() as u64)
        .body(Full::new(call.body.clone()))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let retry_after = text(http::header::RETRY_AFTER).and_then(|text| text.parse().ok());
    Some(Answer {
        status: head.status,
        signed: headers::has_signature(&head.headers),
        own_id: headers::request_id(&head.headers) == Some(&call.id),
        retry_after: retry_after.map(Duration::from_secs_f64),
        body_bytes: body.len(),
        closes: text(http::header::CONNECTION) == Some("close"),
        took: sent_at.elapsed(),
    })
}
