//! State shared by all tasks of the process. All tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lacewingmoor_bundle::{Bundle, RouteKey, WorkspaceName};
use lacewingmoor_control::budget::{ProbeBudget, RetryBudget};
use lacewingmoor_control::counts::Exchange;
use lacewingmoor_control::locality::LeaveShares;
use lacewingmoor_control::membership::{self, Followers, ReportedCount};
use lacewingmoor_control::model::{self, EntryName, Era, Revision, TargetId};
use lacewingmoor_control::replica::Replica;
use lacewingmoor_control::rollout::exposure::VersionChoice;
use lacewingmoor_control::rollout::local::LocalRollouts;
use lacewingmoor_control::selection::{Locality, ServiceTime};
use lacewingmoor_control::shutdown::{Phase, RequestTimes, SendWindow, Shutdown};
use lacewingmoor_control::source::{SourceHealth, is_registered};
use lacewingmoor_control::split::WeightedRoundRobin;
use lacewingmoor_control::stats::TargetStats;
use lacewingmoor_control::view::View;
use lacewingmoor_control::workspace_limit::WorkspaceLimiter;
use lacewingmoor_control::{Map, Timestamp};
use rand::RngExt as _;
use rand::rngs::StdRng;
use slog::Logger;
use tokio::sync::watch;

use crate::body_memory::BodyMemory;
use crate::connection::Pool;
use crate::metrics::RequestMetrics;
use crate::queue::Queue;
use crate::settings::{ReloadableSettings, Settings};
use crate::unknown_fields::LoggedFields;
use crate::workspace_metrics::WorkspaceLabels;
use crate::{log, view_sync};

/// Age of a view that the store has not confirmed since the process started. Represents an
/// unbounded age; small enough for `age_ms`.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(u32::MAX as u64);

/// State that this entry keeps for each service.
pub struct ServiceState {
    /// Estimate of the time that a request takes on a target at full speed.
    pub service_time: ServiceTime,
    /// Budget for retries and hedges.
    pub retry_budget: RetryBudget,
    /// Budget for probes.
    pub probe_budget: ProbeBudget,
    /// Moving average of the response size in bytes. Of a response that is streamed, only the part
    /// that is buffered before its head is forwarded is counted.
    pub response_bytes: f64,
    /// Shares of the first rounds of probes that leave the zone; zero if no zone weights are set.
    pub leave_shares: LeaveShares,
    /// Whether targets report their load; `None` until the first report or the first response of a
    /// healthy target. Stays `Some(true)` once a report has arrived, even if a later response has
    /// none.
    pub reports_load: Option<bool>,
}

/// State shared by all tasks of the process.
pub struct SharedState {
    /// Settings that were read at the start; see [`SharedState::reloadable`] for those that a
    /// reload changes.
    pub settings: Settings,
    /// Location and name of this entry.
    pub locality: Locality,
    /// This entry as it registers in the store, without followers.
    pub own_entry: model::Entry,
    /// How long this entry follows the store before it registers.
    pub registration_delay: Duration,
    /// Entries that follow this one.
    pub followers: RefCell<Followers>,
    /// Number of entries that sources have told.
    pub reported_count: RefCell<ReportedCount>,
    /// Logger.
    pub log: Logger,
    /// Metrics of the request path.
    pub metrics: RequestMetrics,
    /// Current view of the bundle, targets, zones and entries.
    pub view: RefCell<View>,
    /// Replica of the store's keys, from which followers are updated.
    pub replica: RefCell<Replica>,
    /// When the store last confirmed the view, to this entry or to one that forwards updates to
    /// it; `None` before the first confirmation. The view counts as confirmed at the arrival of a
    /// watch's response, or at the request of a listing of all keys. See `view_sync::list` for
    /// stale listings.
    pub confirmed_at: Cell<Option<Timestamp>>,
    /// Entries that forward updates to this one, starting with the one that follows the store;
    /// empty while this entry follows the store.
    pub source_path: RefCell<Vec<String>>,
    /// Statistics of each target.
    pub target_stats: RefCell<Map<TargetId, TargetStats>>,
    /// State of each service, by name.
    pub services: RefCell<Map<String, ServiceState>>,
    /// Split of each route's requests among its destinations.
    pub route_splits: RefCell<Map<RouteKey, WeightedRoundRobin>>,
    /// Longest timeout that a caller of each route has stated.
    pub longest_caller_timeouts: RefCell<Map<RouteKey, Duration>>,
    /// Counts that this entry exchanges with others.
    pub counts: RefCell<Exchange>,
    /// Services that are being moved to another version.
    pub rollouts: RefCell<LocalRollouts>,
    /// Notifies of new counts of this entry.
    pub counts_sender: watch::Sender<()>,
    /// Number of connections on which followers have reported counts.
    pub counts_connections: Cell<u64>,
    /// Entries that rank before this one in leading the counts and do not answer, with the time of the
    /// next try.
    pub unreachable_leaders: RefCell<Map<EntryName, Timestamp>>,
    /// Rate limits of workspaces that have requests.
    pub workspace_limiters: RefCell<Map<WorkspaceName, WorkspaceLimiter>>,
    /// Connections to targets.
    pub pool: Pool,
    /// Queued requests.
    pub queue: Queue,
    /// Memory that the bodies of requests and responses take.
    pub body_memory: BodyMemory,
    /// Memory that frames of followers take while they come in.
    pub frame_memory: BodyMemory,
    /// Labels of workspaces in metrics.
    pub workspace_labels: RefCell<WorkspaceLabels>,
    /// When an entry with an old view last logged that it cannot judge a key.
    pub unconfirmed_key_logged_at: Cell<Option<Timestamp>>,
    /// Unknown header fields that have been logged.
    pub unknown_fields: RefCell<LoggedFields>,
    /// Random number generator.
    pub rng: RefCell<StdRng>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Number of open caller connections.
    pub caller_connections: Cell<usize>,
    reloadable: RefCell<Rc<ReloadableSettings>>,
    /// Since when this entry, or the one that it follows, has been searching for a source; `None`
    /// while it has one.
    searching_since: Cell<Option<Timestamp>>,
    started_at: Instant,
    shutdown: RefCell<Shutdown>,
    phase_sender: watch::Sender<Phase>,
    change_sender: watch::Sender<()>,
    registration_sender: watch::Sender<bool>,
}

impl SharedState {
    /// Creates the state; [`SharedState::now`] counts from this call.
    pub fn new(settings: Settings, log: Logger) -> Rc<Self> {
        let locality = Locality {
            zone: settings.zone.as_str().into(),
            region: settings.region.as_str().into(),
            entry: settings.entry_name.as_str().into(),
        };
        let mut rng: StdRng = rand::make_rng();
        Rc::new(Self {
            registration_delay: membership::registration_delay(settings.capacity, rng.random()),
            followers: RefCell::default(),
            reported_count: RefCell::default(),
            own_entry: model::Entry {
                name: settings.entry_name.as_str().into(),
                zone: locality.zone.clone(),
                region: locality.region.clone(),
                addr: settings.peer_addr,
                capacity: settings.capacity,
                members: Vec::new(),
            },
            locality,
            log,
            metrics: RequestMetrics::new(),
            view: RefCell::default(),
            replica: RefCell::default(),
            confirmed_at: Cell::default(),
            source_path: RefCell::default(),
            target_stats: RefCell::default(),
            services: RefCell::default(),
            route_splits: RefCell::default(),
            longest_caller_timeouts: RefCell::default(),
            counts: RefCell::default(),
            rollouts: RefCell::default(),
            counts_sender: watch::Sender::new(()),
            counts_connections: Cell::default(),
            unreachable_leaders: RefCell::default(),
            workspace_limiters: RefCell::default(),
            pool: Pool::default(),
            queue: Queue::default(),
            body_memory: BodyMemory::default(),
            frame_memory: BodyMemory::default(),
            workspace_labels: RefCell::default(),
            unconfirmed_key_logged_at: Cell::default(),
            unknown_fields: RefCell::default(),
            rng: RefCell::new(rng),
            in_flight: Cell::new(0),
            caller_connections: Cell::new(0),
            reloadable: RefCell::new(Rc::new(settings.reloadable.clone())),
            searching_since: Cell::default(),
            started_at: Instant::now(),
            shutdown: RefCell::default(),
            phase_sender: watch::Sender::new(Phase::Running),
            change_sender: watch::Sender::new(()),
            registration_sender: watch::Sender::new(false),
            settings,
        })
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    /// Converts a timestamp to a tokio instant.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        (self.started_at + at).into()
    }

    /// Returns the current values of the settings that a reload changes.
    pub fn reloadable(&self) -> Rc<ReloadableSettings> {
        self.reloadable.borrow().clone()
    }

    /// Applies reloaded settings.
    pub fn set_reloadable(&self, reloadable: ReloadableSettings) {
        log::set_rate(reloadable.log_lines_per_s);
        self.reloadable.replace(Rc::new(reloadable));
    }

    /// Returns the active bundle.
    pub fn bundle(&self) -> Option<Rc<Bundle>> {
        self.view.borrow().bundle().cloned()
    }

    /// Starts the graceful shutdown.
    pub fn begin_shutdown(&self) {
        self.shutdown.borrow_mut().begin(self.now());
        self.phase_sender.send_replace(Phase::Leaving);
    }

    /// Returns the current phase of the process.
    pub fn phase(&self) -> Phase {
        let grace = self.reloadable().grace;
        self.shutdown.borrow().phase(self.now(), grace)
    }

    /// Notifies tasks that wait for a phase which phase the shutdown has reached, and returns it.
    pub fn advance_phase(&self) -> Phase {
        let phase = self.phase();
        self.phase_sender
            .send_if_modified(|notified| std::mem::replace(notified, phase) != phase);
        phase
    }

    /// Returns when a request may be sent to a target, which a shutdown limits.
    pub fn send_window(&self, request: RequestTimes) -> SendWindow {
        let grace = self.reloadable().grace;
        self.shutdown.borrow().send_window(request, grace)
    }

    /// Waits until the start of `phase` or a later one has been notified.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut phase_receiver = self.phase_sender.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = phase_receiver.wait_for(|current| *current >= phase).await;
    }

    /// Returns true if callers may be sent to this entry.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Running && self.view.borrow().bundle().is_some()
    }

    /// Returns the time since the store last confirmed the view. A process that has just started
    /// may have received its data from entries that lost the store long ago, so the age counts as
    /// unbounded until the first confirmation.
    pub fn view_age(&self) -> Duration {
        match self.confirmed_at.get() {
            Some(at) => self.now().saturating_sub(at),
            None => UNCONFIRMED_AGE,
        }
    }

    /// Records that this entry follows the store, which confirmed the view at `confirmed_at`.
    pub fn record_store_source(&self, confirmed_at: Timestamp) {
        self.source_path.borrow_mut().clear();
        self.searching_since.set(None);
        view_sync::record_confirmation(self, confirmed_at);
    }

    /// Records that this entry follows another one, with the health that it reports. The entries
    /// in `path` forward the updates.
    pub fn record_peer_source(&self, path: Vec<String>, health: SourceHealth) {
        self.source_path.replace(path);
        let now = self.now();
        let searching = !health.searching.is_zero();
        self.searching_since
            .set(searching.then(|| now.saturating_sub(health.searching)));
        view_sync::record_confirmation(self, now.saturating_sub(health.age));
    }

    /// Records that this entry has lost its source and searches for another.
    pub fn record_source_loss(&self) {
        if self.searching_since.get().is_none() {
            self.searching_since.set(Some(self.now()));
        }
        self.notify_change();
    }

    /// Returns for how long this entry, or the one that it follows, has been searching for a
    /// source.
    pub fn searching(&self) -> Duration {
        let since = self.searching_since.get();
        since.map_or(Duration::ZERO, |since| self.now().saturating_sub(since))
    }

    /// Notifies the receivers of [`SharedState::subscribe_changes`] that the replica, or the status
    /// that this entry reports to followers, has changed.
    pub fn notify_change(&self) {
        self.change_sender.send_replace(());
    }

    /// Returns a receiver that is notified when the replica, or the status that this entry reports
    /// to followers, has changed.
    pub fn subscribe_changes(&self) -> watch::Receiver<()> {
        self.change_sender.subscribe()
    }

    /// Returns the era of the store as far as this entry knows.
    pub fn era(&self) -> Era {
        self.replica.borrow().revision().era
    }

    /// Returns true if this process has received data from the store or another entry.
    pub fn has_data(&self) -> bool {
        self.replica.borrow().revision() > Revision::default()
    }

    /// Returns the number of entries that this one knows of, from registrations, its followers and its
    /// sources.
    pub fn known_entry_count(&self) -> usize {
        let now = self.now();
        let view = self.view.borrow();
        let uncounted = self.followers.borrow_mut().uncounted(now, &view);
        let reported = self.reported_count.borrow().get(now);
        (view.named_entry_count() + uncounted).max(reported)
    }

    /// Returns true if this entry is registered, according to the view.
    pub fn is_registered(&self) -> bool {
        is_registered(&self.view.borrow(), &self.own_entry)
    }

    /// Makes this entry register in the store.
    pub fn request_registration(&self) {
        self.registration_sender.send_if_modified(|requested| {
            let is_first = !*requested;
            *requested = true;
            is_first
        });
    }

    /// Waits until this entry has to register.
    pub async fn wait_for_registration_request(&self) {
        let mut receiver = self.registration_sender.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = receiver.wait_for(|requested| *requested).await;
    }

    /// Returns which versions of a service a request may be sent to; `prefers_new` if it is assigned to a
    /// new one.
    pub fn version_choice(&self, service: &str, prefers_new: bool) -> VersionChoice {
        VersionChoice {
            rules: self.rollouts.borrow().rules(service),
            prefers_new,
        }
    }

    /// Calls `f` with the statistics of a target, which are created if there are none.
    pub fn with_target_stats<T>(&self, id: &TargetId, f: impl FnOnce(&mut TargetStats) -> T) -> T {
        f(self
            .target_stats
            .borrow_mut()
            .entry(id.clone())
            .or_default())
    }
}
