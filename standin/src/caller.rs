//! Stand-in for a caller: sends each request on a new connection and inspects the response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use lacewingmoor_platform::headers;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request id.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Value of the `Host` header, which together with the path selects the route.
    pub host: String,
    /// Path, with the query if there is one.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Time after which the caller times out.
    pub timeout: Duration,
    /// Key of a workspace, if the caller sends one.
    pub key: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestResult {
    /// A complete response arrived.
    Response(ReceivedResponse),
    /// The connection broke or timed out before the response was complete.
    NoResponse,
    /// The connection could not be opened.
    ConnectFailed,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResponse {
    /// Status code.
    pub status: StatusCode,
    /// True if it has a target's signature.
    pub signed: bool,
    /// True if it has the id of the request.
    pub id_matches: bool,
    /// Value of the `Retry-After` header, which may be a fraction of seconds; `None` if there is none.
    pub retry_after: Option<Duration>,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// True if it asks to close the connection.
    pub closes_connection: bool,
    /// Time from sending the request to the end of the response.
    pub latency: Duration,
}

/// Sends one request on a new connection and waits for the response.
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

/// Connection of a caller that sends one request after the other on it for as long as it stays open.
pub struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl KeptConnection {
    /// Opens a connection; `None` if that fails.
    pub async fn open(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(connection);
        Some(Self { sender, driver })
    }

    /// Sends a request and waits for the response. After any other result than a response that leaves the
    /// connection open, it must not be used again.
    pub async fn send(&mut self, request: &CallerRequest) -> RequestResult {
        let exchange = send_on(&mut self.sender, request, Instant::now());
        match tokio::time::timeout(request.timeout, exchange).await {
            Ok(Some(response)) => RequestResult::Response(response),
            Ok(None) | Err(_) => RequestResult::NoResponse,
        }
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn exchange(
    stream: TcpStream,
    request: &CallerRequest,
    sent_at: Instant,
) -> Option<ReceivedResponse> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let response = send_on(&mut sender, request, sent_at).await;
    driver.abort();
    response
}

async fn send_on(
    sender: &mut SendRequest<Full<Bytes>>,
    request: &CallerRequest,
    sent_at: Instant,
) -> Option<ReceivedResponse> {
    sender.ready().await.ok()?;
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header(http::header::HOST, &request.host)
        .header(headers::ATTEMPT_ID, &request.id)
        .header(headers::DEADLINE_MS, request.timeout.as_millis() as u64);
    if let Some(key) = &request.key {
        builder = builder.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let http_request = builder.body(Full::new(request.body.clone())).ok()?;
    let response = sender.send_request(http_request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    // Parsed as a fraction of seconds, because entries send one.
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
