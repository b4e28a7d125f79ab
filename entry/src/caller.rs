//! Accepts connections of callers and serves their requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lacewingmoor_control::message_bounds::MessageBounds;
use lacewingmoor_control::shutdown::Phase;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::connection_state::{CallerStream, ConnectionState, TrackedBody};
use crate::request;
use crate::shared_state::SharedState;

/// Delay after a connection could not be accepted, for example because no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a new connection after which those that the kernel accepted before the finishing phase
/// have been taken over.
const BACKLOG_GAP: Duration = Duration::from_millis(10);

/// Longest time for which these are taken over.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(300);

/// Accepts connections until the shutdown reaches the finishing phase.
pub async fn accept(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.wait_for_phase(Phase::Finishing) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&shared, stream),
            Err(error) => {
                warn!(shared.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections that it has not handed over.
    let deadline = shared.now() + BACKLOG_TIMEOUT;
    while shared.now() < deadline {
        match tokio::time::timeout(BACKLOG_GAP, listener.accept()).await {
            Ok(Ok((stream, _))) => spawn_connection(&shared, stream),
            Ok(Err(error)) => {
                // Another connection may be accepted once a file descriptor is closed.
                warn!(shared.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Err(_) => return,
        }
    }
}

fn spawn_connection(shared: &Rc<SharedState>, stream: TcpStream) {
    // Counted here: the process could exit before the task has run.
    let open_connection = OpenConnection::new(shared);
    tokio::task::spawn_local(serve(shared.clone(), stream, open_connection));
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<SharedState>);

impl OpenConnection {
    fn new(shared: &Rc<SharedState>) -> Self {
        let count = &shared.caller_connections;
        count.set(count.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let count = &self.0.caller_connections;
        count.set(count.get() - 1);
    }
}

/// Serves the requests of one connection until either side closes it.
async fn serve(shared: Rc<SharedState>, stream: TcpStream, _open_connection: OpenConnection) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(shared.log, "caller_lost"; "cause" => %error);
        return;
    }
    let bundle = shared.bundle();
    let bounds = MessageBounds::of_request(bundle.as_ref().map(|bundle| &bundle.limits));
    let state = ConnectionState::new(shared.clone());
    let stream = CallerStream::new(stream, state.clone());
    let service = {
        let shared = shared.clone();
        let state = state.clone();
        service_fn(move |request: Request<Incoming>| {
            let version = request.version();
            let shared = shared.clone();
            let state = state.clone();
            state.begin_request();
            async move {
                let mut response = request::serve(shared.clone(), request).await?;
                if state.is_closing() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, version, state)))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // `CallerStream` limits this time.
        .header_read_timeout(None)
        // hyper panics below 8 KiB.
        .max_buf_size(bounds.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let finishing = shared.wait_for_phase(Phase::Finishing);
    tokio::pin!(finishing);
    let mut is_finishing = false;
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(shared.log, "caller_lost"; "cause" => %error);
                }
                return;
            }
            // The idle timeout is shorter from now on.
            () = &mut finishing, if !is_finishing => is_finishing = true,
            () = tokio::time::sleep(state.idle_remaining()), if !is_closing => {
                if state.idle_remaining().is_zero() {
                    is_closing = true;
                    state.close_if_idle();
                }
            }
        }
    }
}
