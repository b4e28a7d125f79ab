//! A small HTTP server that the stand-ins share.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Answer body.
pub type Body = BoxBody<Bytes, io::Error>;

/// Result of a handler; an error closes the connection without an answer.
pub type Reply = Result<Response<Body>, io::Error>;

/// Open connections, now and at most.
#[derive(Debug, Default)]
pub struct Connections {
    now: AtomicUsize,
    most: AtomicUsize,
}

impl Connections {
    /// Returns the highest number of connections open at a time.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }

    fn open(self: &Arc<Self>) -> OpenConnection {
        let now = self.now.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(now, Ordering::Relaxed);
        OpenConnection(self.clone())
    }
}

struct OpenConnection(Arc<Connections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    connections: Arc<Connections>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and serves every request with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start<H, F>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let connections = Arc::new(Connections::default());
        let task = tokio::spawn(accept(listener, connections.clone(), handler));
        Ok(Self {
            addr,
            connections,
            task,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the connection counts.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Closes the listener and every connection, and waits until that is done.
    pub async fn stop(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
        // Connections are cancelled with the task but end only when the runtime gets to them.
        while self.connections.now.load(Ordering::Relaxed) > 0 {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, connections: Arc<Connections>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = open.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let guard = connections.open();
        let handler = handler.clone();
        open.spawn(async move {
            let _guard = guard;
            // A broken connection is part of what the stand-ins are for, so it is not reported.
            let _ = auto::Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), service_fn(handler))
                .await;
        });
    }
}

/// Error of a handler that closes the connection without an answer.
pub(crate) fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "cut by the stand-in")
}

/// Body of known bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|e: Infallible| match e {})
        .boxed()
}

/// Answer with a status and a short body.
pub(crate) fn answer(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
}

/// Answer with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).map_err(io::Error::other)?;
    let mut response = answer(StatusCode::OK, bytes);
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Reads a request body of at most `max` bytes; `None` if it is longer.
pub(crate) async fn read_body(body: Incoming, max: usize) -> Result<Option<Bytes>, io::Error> {
    match http_body_util::Limited::new(body, max).collect().await {
        Ok(collected) => Ok(Some(collected.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Ok(None),
        Err(e) => Err(io::Error::other(e)),
    }
}

/// Returns the value of a query parameter.
pub(crate) fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the value of a numeric query parameter.
pub(crate) fn query_number(uri: &http::Uri, name: &str) -> Option<u64> {
    query(uri, name)?.parse().ok()
}
