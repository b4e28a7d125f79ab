//! A small HTTP server that the stand-ins for the store and for targets use.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Result of a handler; an error closes the connection without a response.
pub type HandlerResult = Result<Response<Full<Bytes>>, io::Error>;

/// A running server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and serves every request with `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start<H, F>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let open_connections = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(accept(listener, handler, open_connections.clone()));
        Ok(Self {
            addr,
            open_connections,
            task,
        })
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and every connection.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H, open_connections: Arc<AtomicUsize>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let handler = handler.clone();
        let open_connections = open_connections.clone();
        connections.spawn(async move {
            open_connections.fetch_add(1, Ordering::Relaxed);
            // Errors are ignored because tests break connections on purpose.
            let _ = stream.set_nodelay(true);
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(handler))
                .await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Returns an error with which a handler closes the connection without a response.
pub(crate) fn connection_aborted() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "connection closed by the stand-in",
    )
}

/// Returns a response with a status and a body.
pub(crate) fn respond(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(bytes.into()));
    *response.status_mut() = status;
    response
}

/// Reads a complete request body.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, io::Error> {
    use http_body_util::BodyExt as _;
    let body = body.collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes())
}

/// Returns the percent-decoded value of a query parameter.
pub(crate) fn query_param(uri: &http::Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)?;
    let decoded = percent_encoding::percent_decode_str(value).decode_utf8_lossy();
    Some(decoded.into_owned())
}
