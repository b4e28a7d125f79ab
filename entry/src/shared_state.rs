//! State of the process that its tasks share. All tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lacewingmoor_bundle::Bundle;
use lacewingmoor_control::budget::{ProbeBudget, RetryBudget};
use lacewingmoor_control::model::{self, TargetId};
use lacewingmoor_control::replica::Replica;
use lacewingmoor_control::selection::{Locality, ServiceTime};
use lacewingmoor_control::shutdown::{Phase, Shutdown};
use lacewingmoor_control::source::SourceHealth;
use lacewingmoor_control::split::WeightedRoundRobin;
use lacewingmoor_control::stats::TargetStats;
use lacewingmoor_control::view::View;
use lacewingmoor_control::{Map, Timestamp};
use rand::rngs::StdRng;
use slog::Logger;
use tokio::sync::watch;

use crate::connection::Pool;
use crate::metrics::RequestMetrics;
use crate::queue::Queue;
use crate::settings::{ReloadableSettings, Settings};
use crate::{log, view_sync};

/// Age of knowledge that was never confirmed.
const AGE_UNBOUNDED: Duration = Duration::from_secs(u32::MAX as u64);

/// What this entry has seen of a service.
pub struct ServiceState {
    /// Usual time that a request takes on an idle target.
    pub service_time: ServiceTime,
    /// Repeated sends.
    pub retry_budget: RetryBudget,
    /// Questions on behalf of waiting requests.
    pub probe_budget: ProbeBudget,
    /// Usual size of an answer in bytes.
    pub response_bytes: f64,
    /// Whether targets report their load; `None` before the first health answer. A service that
    /// reported once reports always, whatever a single answer lacks.
    pub reports_load: Option<bool>,
}

/// Shared state.
pub struct SharedState {
    /// Settings as they were at the start.
    pub settings: Settings,
    /// Where the entry stands.
    pub locality: Locality,
    /// The entry as others know it.
    pub own_entry: model::Entry,
    /// Logger.
    pub log: Logger,
    /// Metrics of the request path.
    pub metrics: RequestMetrics,
    /// What is believed about the fleet.
    pub view: RefCell<View>,
    /// Replica of the store's keys, for entries that follow this one.
    pub replica: RefCell<Replica>,
    /// When the store last confirmed what is known.
    pub confirmed_at: Cell<Option<Timestamp>>,
    /// Entries through which the knowledge came, that which follows the store first; empty while
    /// this entry follows the store.
    pub source_path: RefCell<Vec<String>>,
    /// Own observations of targets.
    pub target_stats: RefCell<Map<TargetId, TargetStats>>,
    /// Own observations of services.
    pub services: RefCell<Map<String, ServiceState>>,
    /// Division of split routes.
    pub route_splits: RefCell<Map<String, WeightedRoundRobin>>,
    /// Longest time that callers of each route said they wait.
    pub longest_deadlines: RefCell<Map<String, Duration>>,
    /// Connections to targets.
    pub pool: Pool,
    /// Requests that wait for a target.
    pub queue: Queue,
    /// Source of random choices.
    pub rng: RefCell<StdRng>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Open connections of callers.
    pub caller_connections: Cell<usize>,
    reloadable: RefCell<Rc<ReloadableSettings>>,
    /// Since when there has been no source to follow.
    searching_since: Cell<Option<Timestamp>>,
    started_at: Instant,
    stop: RefCell<Shutdown>,
    phases: watch::Sender<Phase>,
    updates: watch::Sender<()>,
}

impl SharedState {
    /// Creates the state of a process that starts now.
    pub fn new(settings: Settings, log: Logger) -> Rc<Self> {
        let locality = Locality {
            zone: settings.zone.as_str().into(),
            region: settings.region.as_str().into(),
            entry: settings.node.as_str().into(),
        };
        Rc::new(Self {
            own_entry: model::Entry {
                name: settings.node.as_str().into(),
                zone: locality.zone.clone(),
                region: locality.region.clone(),
                addr: settings.peers,
                capacity: settings.capacity,
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
            longest_deadlines: RefCell::default(),
            pool: Pool::default(),
            queue: Queue::default(),
            rng: RefCell::new(rand::make_rng()),
            in_flight: Cell::new(0),
            caller_connections: Cell::new(0),
            reloadable: RefCell::new(Rc::new(settings.reloadable.clone())),
            searching_since: Cell::default(),
            started_at: Instant::now(),
            stop: RefCell::default(),
            phases: watch::Sender::new(Phase::Running),
            updates: watch::Sender::new(()),
            settings,
        })
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    /// Returns the instant that stands for `at`.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        (self.started_at + at).into()
    }

    /// Returns the settings that a reload changes.
    pub fn reloadable(&self) -> Rc<ReloadableSettings> {
        self.reloadable.borrow().clone()
    }

    /// Puts reloaded settings in force.
    pub fn set_reloadable(&self, reloadable: ReloadableSettings) {
        log::set_rate(reloadable.log_lines_per_s);
        self.reloadable.replace(Rc::new(reloadable));
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Rc<Bundle>> {
        self.view.borrow().bundle().cloned()
    }

    /// Starts the graceful stop.
    pub fn begin_shutdown(&self) {
        self.stop.borrow_mut().begin(self.now());
        self.phases.send_replace(Phase::Leaving);
    }

    /// Returns the phase of the process.
    pub fn phase(&self) -> Phase {
        let grace = self.reloadable().grace;
        self.stop.borrow().phase(self.now(), grace)
    }

    /// Tells tasks that the process finishes what it has begun.
    pub fn begin_finishing(&self) {
        self.phases.send_replace(Phase::Finishing);
    }

    /// Waits until the process has reached a phase.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut phases = self.phases.subscribe();
        // The sender lives as long as the node.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Returns true if callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Running && self.view.borrow().bundle().is_some()
    }

    /// Returns the time since the store confirmed what is known. A process that has just started
    /// may have learned from entries that lost the store long ago, so without a confirmation the
    /// age is unbounded.
    pub fn view_age(&self) -> Duration {
        match self.confirmed_at.get() {
            Some(at) => self.now().saturating_sub(at),
            None => AGE_UNBOUNDED,
        }
    }

    /// Notes that the store itself told what is known, and when it confirmed it.
    pub fn record_store_source(&self, confirmed_at: Timestamp) {
        self.source_path.borrow_mut().clear();
        self.searching_since.set(None);
        view_sync::record_confirmation(self, confirmed_at);
    }

    /// Notes what another entry, from which knowledge comes on `path`, tells of itself.
    pub fn record_peer_source(&self, path: Vec<String>, state: SourceHealth) {
        self.source_path.replace(path);
        let now = self.now();
        let searching = !state.searching.is_zero();
        self.searching_since
            .set(searching.then(|| now.saturating_sub(state.searching)));
        view_sync::record_confirmation(self, now.saturating_sub(state.age));
    }

    /// Notes that there is no source to follow at this moment.
    pub fn record_source_loss(&self) {
        if self.searching_since.get().is_none() {
            self.searching_since.set(Some(self.now()));
        }
        self.notify_followers();
    }

    /// Returns for how long this entry, or the one that it follows, has been looking for a source.
    pub fn searching(&self) -> Duration {
        let since = self.searching_since.get();
        since.map_or(Duration::ZERO, |since| self.now().saturating_sub(since))
    }

    /// Wakes the feeds of followers.
    pub fn notify_followers(&self) {
        self.updates.send_replace(());
    }

    /// Returns a receiver that tells of news for followers.
    pub fn subscribe_updates(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// Calls `f` with the observations of a target.
    pub fn with_target_stats<T>(&self, id: &TargetId, f: impl FnOnce(&mut TargetStats) -> T) -> T {
        f(self
            .target_stats
            .borrow_mut()
            .entry(id.clone())
            .or_default())
    }
}
