//! Connections of callers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lacewingmoor_control::Now;
use lacewingmoor_control::stop::Phase;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::node::Node;
use crate::request;

/// Idle timeout before the first bundle is there.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// Size of the head that is read before the first bundle is there.
const HEAD_BYTES_DEFAULT: usize = 16 * 1024;

/// Pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the stop has reached its finishing phase.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.reached(Phase::Finishing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(node.clone(), stream));
            }
            Err(error) => {
                warn!(node.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts an open connection.
struct Open(Rc<Node>);

impl Open {
    fn new(node: &Rc<Node>) -> Self {
        let open = &node.caller_connections;
        open.set(open.get() + 1);
        Self(node.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let open = &self.0.caller_connections;
        open.set(open.get() - 1);
    }
}

/// When a connection last became idle; `None` while a request is served.
struct Idle(Cell<Option<Now>>);

/// Serves the requests of one connection until either side closes it.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    let _open = Open::new(&node);
    if let Err(error) = stream.set_nodelay(true) {
        debug!(node.log, "caller_lost"; "cause" => %error);
        return;
    }
    let head_bytes_max = node
        .bundle()
        .map_or(HEAD_BYTES_DEFAULT, |bundle| bundle.limits.head_bytes_max);
    let idle = Rc::new(Idle(Cell::new(Some(node.now()))));
    let service = {
        let node = node.clone();
        let idle = idle.clone();
        service_fn(move |request| {
            let node = node.clone();
            let idle = idle.clone();
            idle.0.set(None);
            async move {
                let mut response = request::serve(node.clone(), request).await;
                idle.0.set(Some(node.now()));
                if let Ok(response) = &mut response
                    && node.phase() != Phase::Running
                {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        // hyper takes no less than 8 KiB.
        .max_buf_size(head_bytes_max.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection that is accepted while the process leaves is closed by its first answer; to close
    // it before would send the caller away unserved.
    let close_in = match node.phase() {
        Phase::Running => Phase::Leaving,
        Phase::Leaving | Phase::Finishing | Phase::Ended => Phase::Finishing,
    };
    let mut closing = false;
    let close = node.reached(close_in);
    tokio::pin!(close);
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(node.log, "caller_lost"; "cause" => %error);
                }
                return;
            }
            () = &mut close, if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(idle_left(&node, &idle)), if !closing => {
                if idle_left(&node, &idle).is_zero() {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Returns how long the connection may stay idle.
fn idle_left(node: &Node, idle: &Idle) -> Duration {
    let timeout = node
        .bundle()
        .map_or(IDLE_TIMEOUT_DEFAULT, |bundle| bundle.limits.idle_timeout);
    match idle.0.get() {
        Some(since) => (since + timeout).saturating_sub(node.now()),
        None => timeout,
    }
}
