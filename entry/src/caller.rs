//! Connections of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lacewingmoor_control::shutdown::Phase;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::connection_state::{CallerStream, Progress, Tracked};
use crate::request;
use crate::shared_state::Node;

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
    let progress = Progress::new(node.clone());
    let stream = CallerStream::new(stream, progress.clone());
    let service = {
        let node = node.clone();
        let progress = progress.clone();
        service_fn(move |request| {
            let node = node.clone();
            let progress = progress.clone();
            progress.serve();
            async move {
                let mut response = request::serve(node.clone(), request).await?;
                if node.phase() != Phase::Running {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| Tracked::new(body, progress)))
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
            () = tokio::time::sleep(progress.idle_left()), if !closing => {
                if progress.idle_left().is_zero() {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
