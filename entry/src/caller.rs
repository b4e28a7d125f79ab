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

use crate::connection_state::{CallerStream, ConnectionState, TrackedBody};
use crate::request;
use crate::shared_state::SharedState;

/// Size of the head that is read before the first bundle is there.
const HEAD_BYTES_DEFAULT: usize = 16 * 1024;

/// Pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the stop has reached its finishing phase.
pub async fn accept(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.wait_for_phase(Phase::Finishing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(shared.clone(), stream));
            }
            Err(error) => {
                warn!(shared.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts an open connection.
struct Open(Rc<SharedState>);

impl Open {
    fn new(shared: &Rc<SharedState>) -> Self {
        let open = &shared.caller_connections;
        open.set(open.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let open = &self.0.caller_connections;
        open.set(open.get() - 1);
    }
}

/// Serves the requests of one connection until either side closes it.
async fn serve(shared: Rc<SharedState>, stream: TcpStream) {
    let _open = Open::new(&shared);
    if let Err(error) = stream.set_nodelay(true) {
        debug!(shared.log, "caller_lost"; "cause" => %error);
        return;
    }
    let head_bytes_max = shared
        .bundle()
        .map_or(HEAD_BYTES_DEFAULT, |bundle| bundle.limits.head_bytes_max);
    let progress = ConnectionState::new(shared.clone());
    let stream = CallerStream::new(stream, progress.clone());
    let service = {
        let shared = shared.clone();
        let progress = progress.clone();
        service_fn(move |request| {
            let shared = shared.clone();
            let progress = progress.clone();
            progress.begin_request();
            async move {
                let mut response = request::serve(shared.clone(), request).await?;
                if shared.phase() != Phase::Running {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, progress)))
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
    let close_in = match shared.phase() {
        Phase::Running => Phase::Leaving,
        Phase::Leaving | Phase::Finishing | Phase::Ended => Phase::Finishing,
    };
    let mut closing = false;
    let close = shared.wait_for_phase(close_in);
    tokio::pin!(close);
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(shared.log, "caller_lost"; "cause" => %error);
                }
                return;
            }
            () = &mut close, if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(progress.idle_remaining()), if !closing => {
                if progress.idle_remaining().is_zero() {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
