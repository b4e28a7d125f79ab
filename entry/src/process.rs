//! The process frame: listeners, signals, graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lacewingmoor_control::{Event, State};
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::acceptor::{ClosingAcceptor, Connections};
use crate::admin::Admin;
use crate::caller::{Caller, Shared};
use crate::control::{self, Control};
use crate::effects::{self, Readiness};
use crate::error::Error;
use crate::log::{self, DecisionLog, Pipeline};
use crate::metrics;
use crate::platform::Platform;
use crate::settings::Settings;

/// Longest head that the server reads before the bundle's own limit is applied.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// Time that the last lines may take to be written when the process ends.
const LOG_FLUSH_MAX: Duration = Duration::from_secs(2);

/// The caller side of a running entry.
pub struct Traffic {
    /// Address that callers connect to.
    pub addr: SocketAddr,
    /// State shared by all requests.
    pub shared: Arc<Shared>,
    handle: ServerHandle,
    server: JoinHandle<()>,
}

impl Traffic {
    /// Serves callers on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no local address.
    pub fn start(listener: TcpListener, control: Control, log: Logger) -> std::io::Result<Self> {
        let shared = Shared::new(control, log);
        let addr = listener.local_addr()?;
        let acceptor = ClosingAcceptor::new(listener, shared.connections.clone())?;
        let mut server = Server::new(acceptor);
        server.http1_mut().max_buf_size(HEAD_BYTES_MAX);
        server
            .http2_mut()
            .max_header_list_size(HEAD_BYTES_MAX as u32);
        let handle = server.handle();
        let router = Router::with_path("{**path}").goal(Caller(shared.clone()));
        let server = tokio::spawn(server.serve(router));
        tokio::spawn(sweep(Arc::downgrade(&shared)));
        Ok(Self {
            addr,
            shared,
            handle,
            server,
        })
    }

    /// Closes the listener and returns when every request in flight is done, however long that
    /// takes.
    pub async fn stop(self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.connections.close().await;
        info!(self.shared.log, "listeners_closed");
        self.handle.stop_graceful(None);
        let _ = self.server.await;
    }
}

async fn sweep(shared: std::sync::Weak<Shared>) {
    while let Some(shared) = shared.upgrade() {
        shared.pool.sweep();
        drop(shared);
        tokio::time::sleep(crate::target::IDLE_MAX).await;
    }
}

/// Runs the process until it is told to stop.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub fn run(settings: Settings) -> Result<(), Error> {
    run_with(settings, |settings, control, incarnation, log| {
        Platform::start(settings, incarnation, control, log)
            .map(Some)
            .map_err(|e| Error::Listen("peers", settings.peer, e))
    })
}

/// Runs the process with a platform side that `start_platform` builds from settings, control
/// thread, incarnation and log. Tests of the data path build none and feed the bundle themselves.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub fn run_with(
    settings: Settings,
    start_platform: impl FnOnce(&Settings, &Control, u64, &Logger) -> Result<Option<Platform>, Error>,
) -> Result<(), Error> {
    let recorder = metrics::install();
    let pipeline = Pipeline::start(std::io::stderr(), log::QUEUE_LINES);
    let logger = log::logger(&pipeline, settings.log_level, &settings.node);
    let runtime = tokio::runtime::Runtime::new().map_err(|e| Error::Start("the runtime", e))?;
    let result = runtime.block_on(serve(settings, recorder, &pipeline, logger, start_platform));
    pipeline.flush(LOG_FLUSH_MAX);
    // Tasks that are left only wait for timers, peers or the store.
    runtime.shutdown_background();
    result
}

async fn serve(
    settings: Settings,
    recorder: metrics_exporter_prometheus::PrometheusHandle,
    pipeline: &Pipeline,
    logger: Logger,
    start_platform: impl FnOnce(&Settings, &Control, u64, &Logger) -> Result<Option<Platform>, Error>,
) -> Result<(), Error> {
    let mut terminate = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let settings = Arc::new(settings);
    let callers = listen("callers", settings.listen).await?;
    let admin = listen("admin", settings.admin).await?;

    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos() as u64);
    let (effects, received) = mpsc::unbounded_channel();
    let decisions = DecisionLog::new(pipeline, settings.log_decisions);
    let state = State::new(settings.setup(incarnation));
    let control = control::start(state, effects, decisions);
    let readiness = Readiness::default();
    let platform = start_platform(&settings, &control, incarnation, &logger)?;
    tokio::spawn(effects::run(
        received,
        platform,
        readiness.clone(),
        logger.clone(),
    ));
    let handle = recorder.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(metrics::UPKEEP_INTERVAL).await;
            handle.run_upkeep();
        }
    });

    let admin_addr = admin.local_addr().ok();
    serve_admin(admin, &settings, &control, &readiness, recorder)?;
    let traffic = Traffic::start(callers, control.clone(), logger.clone())
        .map_err(|e| Error::Listen("callers", settings.listen, e))?;
    info!(logger, "started"; "listen" => %traffic.addr,
        "admin" => admin_addr.map(|a| a.to_string()), "zone" => &settings.zone,
        "region" => &settings.region, "version" => env!("CARGO_PKG_VERSION"));

    let name = tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    info!(logger, "stopping"; "signal" => name, "unready_ms" => settings.unready.as_millis());
    control.send(Event::Drain);
    let stop = async {
        tokio::time::sleep(settings.unready).await;
        traffic.stop().await;
    };
    tokio::pin!(stop);
    loop {
        let name = tokio::select! {
            () = &mut stop => break,
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        info!(logger, "signal_ignored"; "signal" => name, "reason" => "already stopping");
    }
    info!(logger, "stopped");
    Ok(())
}

fn signals(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|e| Error::Start("signal handlers", e))
}

async fn listen(what: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::Listen(what, addr, e))
}

fn serve_admin(
    listener: TcpListener,
    settings: &Arc<Settings>,
    control: &Control,
    readiness: &Readiness,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), Error> {
    let acceptor = ClosingAcceptor::new(listener, Arc::new(Connections::default()))
        .map_err(|e| Error::Listen("admin", settings.admin, e))?;
    let admin = Admin {
        settings: settings.clone(),
        control: control.clone(),
        readiness: readiness.clone(),
        metrics,
    };
    tokio::spawn(Server::new(acceptor).serve(admin.router()));
    Ok(())
}
