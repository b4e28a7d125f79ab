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
pub struct CallerRequest {
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
    pub timeout: Duration,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestResult {
    /// A whole answer.
    Response(ReceivedResponse),
    /// The connection broke or no answer came in time.
    NoResponse,
    /// No connection could be opened.
    ConnectFailed,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResponse {
    /// Status.
    pub status: StatusCode,
    /// True if a target signed it.
    pub signed: bool,
    /// True if it repeats the id of the request.
    pub id_matches: bool,
    /// When to come back, if it says.
    pub retry_after: Option<Duration>,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// True if the connection is to be closed.
    pub closes_connection: bool,
    /// Time that it took.
    pub latency: Duration,
}

/// Sends one request on a connection of its own.
pub async fn send_request(addr: SocketAddr, request: &CallerRequest) -> RequestResult {
    let Ok(stream) = TcpStream::connect(addr).await else {
        return RequestResult::ConnectFailed;
    };
    let sent_at = Instant::now();
    let exchange = exchange(stream, request, sent_at);
    match tokio::time::timeout(request.timeout, exchange).await {
        Ok(Some(response)) => RequestResult::Response(response),
        Ok(None) | Err(_) => RequestResult::NoResponse,
    }
}

async fn exchange(
    stream: TcpStream,
    request: &CallerRequest,
    sent_at: Instant,
) -> Option<ReceivedResponse> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let http_request = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header(http::header::HOST, &request.host)
        .header(headers::ATTEMPT_ID, &request.id)
        .header(headers::DEADLINE_MS, request.timeout.as_millis() as u64)
        .body(Full::new(request.body.clone()))
        .ok()?;
    let response = sender.send_request(http_request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let retry_after = text(http::header::RETRY_AFTER).and_then(|text| text.parse().ok());
    Some(ReceivedResponse {
        status: head.status,
        signed: headers::has_signature(&head.headers),
        id_matches: headers::request_id(&head.headers) == Some(&request.id),
        retry_after: retry_after.map(Duration::from_secs_f64),
        body_bytes: body.len(),
        closes_connection: text(http::header::CONNECTION) == Some("close"),
        latency: sent_at.elapsed(),
    })
}
