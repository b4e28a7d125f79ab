//! Start-up, signal handling and shutdown of the process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use lacewingmoor_control::sharing;
use lacewingmoor_control::shutdown::Phase;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet};

use crate::error::Error;
use crate::settings::Settings;
use crate::shared_state::SharedState;
use crate::{admin, caller, counts, log, metrics, peer, registration, rollout, view_sync};

/// Interval at which a shutdown checks whether the process can exit.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the settings file is checked for changes.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Time after the start by which the registrations of entries have been read if the store responds.
/// Covers the pause after the first listing (`START_PAUSE` of `view_sync`), in which other entries
/// register, and a few calls to the store.
/// From then on, the view assumes many entries for shared budgets until the registrations are read.
const ENTRIES_READ_DEADLINE: Duration = Duration::from_millis(1500);

/// Time after the start of an entry, in a fleet that did not know it, by which the registrations name
/// every entry that started with it: the longest delay before an entry registers, an appointment, and
/// the interval at which members are published.
const ENTRIES_SETTLED_AFTER: Duration = Duration::from_secs(5);

/// Interval of the housekeeping: connections to targets that were idle for too long are closed, the
/// first reading of the entries' registrations is marked as overdue once its deadline has passed,
/// targets whose registration lapsed and whose time to register again has passed are dropped, the
/// statistics of targets that are no longer registered are removed, and a follower is appointed to
/// register if its zone has too few registered entries.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Runs an entry until it has shut down after a stop signal.
///
/// # Errors
///
/// Returns why the process could not start.
pub fn run(settings_path: PathBuf) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::Start("runtime", e))?;
    // The handlers are installed first, because a signal without a handler kills the process.
    let signals = {
        let _context = runtime.enter();
        Signals::new()?
    };
    let settings = Settings::load(&settings_path)?;
    LocalSet::new().block_on(&runtime, serve(settings, settings_path, signals))
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        let handler = |kind| signal(kind).map_err(|e| Error::Start("signal handler", e));
        Ok(Self {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            hangup: handler(SignalKind::hangup())?,
        })
    }
}

async fn listen(what: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::Listen(what, addr, e))
}

async fn serve(settings: Settings, settings_path: PathBuf, signals: Signals) -> Result<(), Error> {
    let metrics_handle = metrics::install();
    let log = log::logger(
        settings.log_level,
        settings.reloadable.log_lines_per_s,
        &settings.entry_name,
    )
    .map_err(|e| Error::Start("log", e))?;
    let shared = SharedState::new(settings, log);
    let caller_listener = listen("callers", shared.settings.caller_addr).await?;
    let ready_listener = listen("readiness checks", shared.settings.ready_addr).await?;
    let peer_listener = listen("other entries", shared.settings.peer_addr).await?;
    let metrics_listener = listen("metrics", shared.settings.metrics_addr).await?;
    info!(
        shared.log, "start";
        "zone" => &shared.settings.zone, "callers" => %shared.settings.caller_addr,
        "store" => %shared.settings.store_addr,
    );
    let accepting = tokio::task::spawn_local(caller::accept(shared.clone(), caller_listener));
    tokio::task::spawn_local(admin::serve(
        shared.clone(),
        ready_listener,
        metrics_handle.clone(),
    ));
    tokio::task::spawn_local(admin::serve(
        shared.clone(),
        metrics_listener,
        metrics_handle.clone(),
    ));
    tokio::task::spawn_local(peer::serve(shared.clone(), peer_listener));
    tokio::task::spawn_local(view_sync::run(shared.clone()));
    tokio::task::spawn_local(registration::run(shared.clone()));
    tokio::task::spawn_local(rollout::track(shared.clone()));
    tokio::task::spawn_local(rollout::lead(shared.clone()));
    tokio::task::spawn_local(counts::run(shared.clone()));
    tokio::task::spawn_local(counts::follow_leader(shared.clone()));
    tokio::task::spawn_local(housekeeping(shared.clone()));
    tokio::task::spawn_local(write_log());
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(metrics::UPKEEP_INTERVAL).await;
            metrics_handle.run_upkeep();
        }
    });
    wait_for_stop_signal(&shared, &settings_path, signals).await;
    shared.begin_shutdown();
    info!(shared.log, "stopping"; "in_flight" => shared.in_flight.get());
    wait_for_exit(&shared, &accepting).await;
    info!(
        shared.log, "stopped";
        "in_flight" => shared.in_flight.get(),
        "connections" => shared.caller_connections.get(),
    );
    log::flush_at_exit();
    Ok(())
}

/// Waits for a stop signal (SIGTERM or SIGINT). Until then, reloads the settings on SIGHUP and
/// whenever the modification time of the file changes.
async fn wait_for_stop_signal(
    shared: &Rc<SharedState>,
    settings_path: &Path,
    mut signals: Signals,
) {
    let mut last_modified = modified_at(settings_path);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => {
                last_modified = modified_at(settings_path);
                reload(shared, settings_path);
            }
            () = tokio::time::sleep(RELOAD_CHECK_INTERVAL) => {
                let modified = modified_at(settings_path);
                if modified != last_modified {
                    last_modified = modified;
                    reload(shared, settings_path);
                }
            }
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Applies the reloadable settings of the file. If it cannot be read or is invalid, the current
/// settings stay in effect.
fn reload(shared: &SharedState, path: &Path) {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(shared.log, "reload_failed"; "cause" => %error);
            return;
        }
    };
    let ignoring_reloadable = |s: &Settings| {
        let mut settings = s.clone();
        settings.reloadable = shared.settings.reloadable.clone();
        settings
    };
    let needs_restart = ignoring_reloadable(&settings) != ignoring_reloadable(&shared.settings);
    let changed = *shared.reloadable() != settings.reloadable;
    shared.set_reloadable(settings.reloadable);
    info!(
        shared.log, "reload";
        "changed" => changed, "other_settings_need_restart" => needs_restart,
    );
}

/// Waits until the process can exit: all connections of callers are closed, or the grace period is
/// about to end.
async fn wait_for_exit(shared: &SharedState, accepting: &JoinHandle<()>) {
    loop {
        match shared.advance_phase() {
            Phase::Ended => return,
            Phase::Finishing | Phase::Responding => {
                // A connection closes once the last byte of its response is written.
                if accepting.is_finished() && shared.caller_connections.get() == 0 {
                    return;
                }
            }
            Phase::Running | Phase::Leaving => {}
        }
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
}

async fn housekeeping(shared: Rc<SharedState>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        limit_idle_connections(&shared);
        shared.pool.prune();
        if shared.now() >= ENTRIES_READ_DEADLINE {
            shared.view.borrow_mut().mark_entries_overdue();
        }
        // Without a later confirmation, other entries may not have been able to register.
        let confirmed_at = shared.confirmed_at.get();
        if confirmed_at.is_some_and(|at| at >= ENTRIES_SETTLED_AFTER) {
            shared.view.borrow_mut().set_entries_unsettled(false);
        }
        let entry_count = shared.known_entry_count();
        shared.view.borrow_mut().set_entry_count_min(entry_count);
        let effects = shared.view.borrow_mut().apply_due(shared.now());
        view_sync::apply_effects(&shared, &effects);
        if !effects.is_empty() {
            // An order that was held back may have ended with them.
            rollout::update(&shared);
        }
        let view = shared.view.borrow();
        if shared.is_registered() {
            let mut followers = shared.followers.borrow_mut();
            followers.update_appointment(shared.now(), &view, &shared.own_entry);
        }
        let is_registered = |id: &str| view.target(id).is_some();
        let mut target_stats = shared.target_stats.borrow_mut();
        let now = shared.now();
        target_stats.retain(|id, stats| is_registered(id) || stats.reduce_to_kept(now));
    }
}

/// Limits the idle connections to this entry's share of those that targets accept, once it knows the
/// other entries.
fn limit_idle_connections(shared: &SharedState) {
    let view = shared.view.borrow();
    let services = view.bundle().map_or(&[][..], |bundle| &bundle.services);
    let smallest = services.iter().map(|service| service.connections_max).min();
    if let (Some(connections_max), true) = (smallest, view.has_read_entries()) {
        let entry_count = view.entry_count();
        let max = sharing::idle_connections_max(connections_max, entry_count);
        shared.pool.set_idle_per_addr_max(max);
    }
}

async fn write_log() {
    loop {
        tokio::time::sleep(log::WRITE_INTERVAL).await;
        log::flush();
    }
}
