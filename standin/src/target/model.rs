//! What a target does with its requests: slots, waiting, warm-up, collapse, counts.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::service::Service;
use super::{Change, Reports, Settings};
use crate::timer;

/// State that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No request was answered since the start.
    Cold,
    /// Between the first answer and full load.
    Warming,
    /// Bears full load.
    Warm,
    /// Refuses work.
    Shedding,
    /// Finishes its work.
    Draining,
}

impl State {
    /// Returns the name used in load reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Warming => "warming",
            Self::Warm => "warm",
            Self::Shedding => "shedding",
            Self::Draining => "draining",
        }
    }
}

/// What a load report tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) state: State,
    pub(super) in_flight: usize,
    pub(super) queue: usize,
    pub(super) slots: usize,
    pub(super) start_id: String,
}

/// Counts of a target since its first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived, shed ones included and probes not.
    pub arrived: u64,
    /// Requests that were answered in full.
    pub answered: u64,
    /// Requests refused as not run.
    pub shed: u64,
    /// Requests that arrived while the target had more than it bears cold.
    pub cold_violations: u64,
    /// Requests that arrived while the target was draining.
    pub while_draining: u64,
    /// Requests cancelled by the client while waiting or running.
    pub cancelled: u64,
    /// Probes.
    pub probes: u64,
    /// Requests running now.
    pub running: usize,
    /// Requests waiting now.
    pub waiting: usize,
    /// Highest number of requests running and waiting at a time.
    pub most: usize,
}

/// One run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// True if the request was answered in full.
    pub complete: bool,
}

struct Inner {
    counts: Counts,
    start: u64,
    /// Time of the first answer since the start; `None` while cold.
    first_answer: Option<Instant>,
    born_warm: bool,
    collapsed: bool,
    draining: bool,
    shedding: bool,
    slow_factor: f64,
    reports: Reports,
    report_lag: Duration,
    cut_next: bool,
    service: Service,
    runs: HashMap<String, Vec<Run>>,
    /// Past reports, oldest first, for lagging ones.
    history: VecDeque<(Instant, Report)>,
}

/// A target without its network side.
pub(super) struct Model {
    settings: Settings,
    slots: Arc<Semaphore>,
    inner: Mutex<Inner>,
}

/// A request that waits or runs at the target.
pub(super) struct Job {
    model: Arc<Model>,
    slot: Option<OwnedSemaphorePermit>,
    id: Option<String>,
    run: Option<usize>,
    complete: bool,
}

impl Model {
    pub(super) fn new(settings: Settings) -> Self {
        let inner = Inner {
            counts: Counts::default(),
            start: 1,
            first_answer: None,
            born_warm: !settings.cold,
            collapsed: false,
            draining: false,
            shedding: false,
            slow_factor: 1.0,
            reports: settings.reports,
            report_lag: Duration::from_millis(settings.report_lag_ms),
            cut_next: false,
            service: Service::new(&settings),
            runs: HashMap::new(),
            history: VecDeque::new(),
        };
        Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            inner: Mutex::new(inner),
            settings,
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn slots(&self) -> &Arc<Semaphore> {
        &self.slots
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no handler panics with the lock")
    }

    pub(super) fn change(&self, change: Change) {
        let mut inner = self.lock();
        inner.draining = change.draining.unwrap_or(inner.draining);
        inner.shedding = change.shedding.unwrap_or(inner.shedding);
        inner.slow_factor = change.slow_factor.unwrap_or(inner.slow_factor);
        inner.reports = change.reports.unwrap_or(inner.reports);
        inner.report_lag = change
            .report_lag_ms
            .map_or(inner.report_lag, Duration::from_millis);
        inner.cut_next = change.cut_next.unwrap_or(inner.cut_next);
        drop(inner);
        if change.turn_cold == Some(true) {
            self.turn_cold();
        }
    }

    /// Makes the target as if it had just started.
    pub(super) fn turn_cold(&self) {
        let mut inner = self.lock();
        inner.start += 1;
        inner.first_answer = None;
        inner.born_warm = false;
        inner.collapsed = false;
        inner.draining = false;
        inner.shedding = false;
        self.note(&mut inner);
    }

    /// Lets the seeded times of stalls begin now.
    pub(super) fn restart_stalls(&self) {
        self.lock().service.restart_stalls();
    }

    /// Sets the counts to zero, apart from what is there now.
    pub(super) fn reset_counts(&self) {
        let mut inner = self.lock();
        let Counts {
            running, waiting, ..
        } = inner.counts;
        inner.service.times.clear();
        inner.counts = Counts {
            running,
            waiting,
            most: running + waiting,
            ..Counts::default()
        };
    }

    pub(super) fn service_times(&self) -> Vec<Duration> {
        self.lock().service.times.clone()
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    pub(super) fn runs(&self, id: &str) -> Vec<Run> {
        self.lock().runs.get(id).cloned().unwrap_or_default()
    }

    pub(super) fn all_runs(&self) -> HashMap<String, Vec<Run>> {
        self.lock().runs.clone()
    }

    pub(super) fn take_cut(&self) -> bool {
        std::mem::take(&mut self.lock().cut_next)
    }

    pub(super) fn count_probe(&self) {
        self.lock().counts.probes += 1;
    }

    /// Takes a request in, or returns `None` if it is shed.
    pub(super) fn admit(self: &Arc<Self>, id: Option<String>) -> Option<Job> {
        let mut inner = self.lock();
        inner.counts.arrived += 1;
        if inner.draining {
            inner.counts.while_draining += 1;
        }
        let full = inner.counts.waiting >= self.settings.queue_max
            && inner.counts.running >= self.settings.slots;
        if inner.shedding || full {
            inner.counts.shed += 1;
            return None;
        }
        inner.counts.waiting += 1;
        let here = inner.counts.waiting + inner.counts.running;
        inner.counts.most = inner.counts.most.max(here);
        if here > self.bears(&inner) {
            inner.counts.cold_violations += 1;
            inner.collapsed = true;
        }
        self.note(&mut inner);
        Some(Job {
            model: self.clone(),
            slot: None,
            id,
            run: None,
            complete: false,
        })
    }

    /// Returns how many requests at a time the target bears without a collapse.
    fn bears(&self, inner: &Inner) -> usize {
        let Settings {
            slots, cold_slots, ..
        } = self.settings;
        match (inner.born_warm, self.warm_share(inner)) {
            (true, _) => usize::MAX,
            (_, share) if share >= 1.0 => usize::MAX,
            // Rounds up, so that a ramp that rounds down and starts later stays below.
            (_, share) => cold_slots + (share * (slots - cold_slots) as f64).ceil() as usize,
        }
    }

    fn warm_share(&self, inner: &Inner) -> f64 {
        match inner.first_answer {
            None => 0.0,
            Some(_) if self.settings.warmup_ms == 0 => 1.0,
            Some(at) => at.elapsed().as_secs_f64() * 1000.0 / self.settings.warmup_ms as f64,
        }
    }

    fn state(&self, inner: &Inner) -> State {
        match inner {
            _ if inner.draining => State::Draining,
            _ if inner.shedding => State::Shedding,
            _ if inner.born_warm || self.warm_share(inner) >= 1.0 => State::Warm,
            _ if inner.first_answer.is_some() => State::Warming,
            _ => State::Cold,
        }
    }

    fn current(&self, inner: &Inner) -> Report {
        Report {
            state: self.state(inner),
            in_flight: inner.counts.running,
            queue: inner.counts.waiting,
            slots: self.settings.slots,
            start_id: format!("{}-{}", self.settings.name, inner.start),
        }
    }

    /// Keeps the current report for later if reports lag.
    fn note(&self, inner: &mut Inner) {
        if inner.report_lag.is_zero() {
            return;
        }
        let report = self.current(inner);
        inner.history.push_back((Instant::now(), report));
        let lag = inner.report_lag;
        // Keeps one report that is older than the lag.
        while inner.history.get(1).is_some_and(|(t, _)| t.elapsed() > lag) {
            inner.history.pop_front();
        }
    }

    /// Returns the report that goes out now.
    pub(super) fn report(&self) -> Option<Report> {
        let inner = self.lock();
        let mut report = match inner.history.front() {
            Some((_, old)) if !inner.report_lag.is_zero() => old.clone(),
            _ => self.current(&inner),
        };
        match inner.reports {
            Reports::Honest => Some(report),
            Reports::Off => None,
            Reports::Idle => {
                report.state = State::Warm;
                report.in_flight = 0;
                report.queue = 0;
                Some(report)
            }
        }
    }
}

impl Job {
    /// Occupies the slot for the service time of the request, or for `fixed`.
    pub(super) async fn begin(&mut self, slot: OwnedSemaphorePermit, fixed: Option<Duration>) {
        self.slot = Some(slot);
        let time = self.start(fixed);
        timer::sleep(time).await;
    }

    fn start(&mut self, fixed: Option<Duration>) -> Duration {
        let mut inner = self.model.lock();
        inner.counts.waiting -= 1;
        inner.counts.running += 1;
        let run = match &self.id {
            Some(id) if self.model.settings.record => {
                let runs = inner.runs.entry(id.clone()).or_default();
                runs.push(Run { complete: false });
                runs.len() - 1
            }
            _ => 0,
        };
        self.run = Some(run);
        let mut factor = inner.slow_factor;
        if inner.collapsed {
            factor *= self.model.settings.collapse_factor;
        }
        inner.service.time(self.id.as_deref(), fixed, factor)
    }

    /// Notes that the whole answer was written.
    pub(super) fn finish(mut self) {
        self.complete = true;
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut inner = self.model.lock();
        match self.run {
            None => inner.counts.waiting -= 1,
            Some(run) => {
                inner.counts.running -= 1;
                if self.complete
                    && let Some(runs) = self.id.as_ref().and_then(|id| inner.runs.get_mut(id))
                {
                    runs[run].complete = true;
                }
            }
        }
        if self.complete {
            inner.counts.answered += 1;
            if inner.first_answer.is_none() {
                inner.first_answer = Some(Instant::now());
            }
        } else {
            inner.counts.cancelled += 1;
        }
        if inner.counts.running + inner.counts.waiting <= self.model.settings.cold_slots {
            inner.collapsed = false;
        }
        self.model.note(&mut inner);
    }
}
