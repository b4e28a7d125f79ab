//! Bounded open-loop load driver.
//!
//! Requests are sent at times fixed beforehand, whether or not earlier ones were answered, and
//! latency counts from the fixed time. A slow answer therefore cannot hide the requests behind it.

mod report;
mod send;

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

pub use self::report::{Quantiles, Report};
use self::send::{Sender, Work};

/// A kind of request in the mix.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name in reports.
    pub name: String,
    /// Method.
    pub method: Method,
    /// Path and query for the entry.
    pub path: String,
    /// Share of the kind in the mix, relative to the other kinds.
    pub share: f64,
    /// Weight of an answered request.
    pub weight: u64,
    /// Length of the request body, which the target sends back; `None` for no body.
    pub body_bytes: Option<usize>,
    /// Length of the body that the target is asked to generate; `None` for an echo.
    pub answer_bytes: Option<u64>,
    /// Address to use instead of one of the front.
    pub addr: Option<SocketAddr>,
}

impl Kind {
    /// Creates a `GET` kind without bodies, with weight and share 1.
    pub fn get(name: &str, path: &str) -> Self {
        Self {
            name: name.into(),
            method: Method::GET,
            path: path.into(),
            share: 1.0,
            weight: 1,
            body_bytes: None,
            answer_bytes: None,
            addr: None,
        }
    }
}

/// Addresses that requests are spread over, as a platform load balancer does. Can change during a
/// run.
#[derive(Clone, Debug, Default)]
pub struct Front(Arc<RwLock<Vec<SocketAddr>>>);

impl Front {
    /// Creates a front over some addresses.
    pub fn new(addrs: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(addrs)))
    }

    /// Replaces the addresses.
    pub fn set(&self, addrs: Vec<SocketAddr>) {
        *self.0.write().expect("no holder of the lock panics") = addrs;
    }

    /// Returns the addresses.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.0.read().expect("no holder of the lock panics").clone()
    }

    fn pick(&self, random: u64) -> Option<SocketAddr> {
        let addrs = self.0.read().expect("no holder of the lock panics");
        let index = random.checked_rem(addrs.len() as u64)?;
        addrs.get(index as usize).copied()
    }
}

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests a second.
    pub rate: f64,
    /// Time over which requests are sent.
    pub duration: Duration,
    /// Mix of kinds.
    pub kinds: Vec<Kind>,
    /// Seed of send times, kinds and addresses.
    pub seed: u64,
    /// Prefix of request ids; must differ between runs that use the same targets.
    pub id_prefix: String,
    /// Requests open at a time; one more is not sent and counted as unsent.
    pub open_max: usize,
    /// Time after which a request without a whole answer counts as broken.
    pub timeout: Duration,
}

impl Plan {
    /// Creates a plan with one kind, seed 1, and bounds that fit tests.
    pub fn new(rate: f64, duration: Duration, kind: Kind) -> Self {
        Self {
            rate,
            duration,
            kinds: vec![kind],
            seed: 1,
            id_prefix: "r".into(),
            open_max: 2000,
            timeout: Duration::from_secs(30),
        }
    }
}

/// How a request ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this request arrived.
    Answered,
    /// The answer belongs to another request or differs from what was asked for.
    Wrong(String),
    /// An answer with another status than 200.
    Refused {
        /// The status.
        status: u16,
        /// Value of `lacewingmoor-outcome`, or `-`.
        outcome: String,
        /// Value of `lacewingmoor-reason`, or `-`.
        reason: String,
    },
    /// The connection failed or broke, or time was up.
    Broken(String),
    /// Not sent because too many requests were open or there was no address.
    Unsent,
}

/// One request of a run.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time from the start of the run at which the request was due.
    pub at: Duration,
    /// Time from then to the end of the answer.
    pub latency: Duration,
    /// Index of the kind.
    pub kind: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Request id.
    pub id: String,
    /// Value of the header `target` on the answer.
    pub target: Option<String>,
}

/// A client with its connections. Runs after each other reuse them.
#[derive(Clone)]
pub struct Driver {
    sender: Sender,
}

impl Default for Driver {
    fn default() -> Self {
        Self::new()
    }
}

impl Driver {
    /// Creates a driver without connections.
    pub fn new() -> Self {
        Self {
            sender: Sender::new(),
        }
    }

    /// Carries out a plan and waits for every answer.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, or if the plan has no kinds.
    pub async fn run(&self, plan: Plan, front: Front) -> Report {
        let (samples, mut received) = mpsc::unbounded_channel();
        let kinds = plan.kinds.clone();
        let duration = plan.duration;
        let sender = self.sender.clone();
        let handle = Handle::current();
        // A thread of its own paces the requests, because the runtime's timer has a resolution of
        // 1 ms.
        let pacer = thread::spawn(move || pace(&plan, &front, &sender, &handle, &samples));
        let mut all = Vec::new();
        while let Some(sample) = received.recv().await {
            all.push(sample);
        }
        pacer.join().expect("the pacer does not panic");
        all.sort_by_key(|s| s.at);
        Report::new(kinds, duration, all)
    }
}

fn pace(
    plan: &Plan,
    front: &Front,
    sender: &Sender,
    handle: &Handle,
    samples: &mpsc::UnboundedSender<Sample>,
) {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let open = Arc::new(Semaphore::new(plan.open_max));
    let start = Instant::now();
    let mut at = Duration::ZERO;
    for number in 0_u64.. {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / plan.rate);
        if at >= plan.duration {
            return;
        }
        let kind = pick_kind(&plan.kinds, rng.random());
        let random = rng.random();
        let addr = plan.kinds[kind].addr.or_else(|| front.pick(random));
        let work = Work {
            id: format!("{}-{number}", plan.id_prefix),
            number: kind,
            kind: plan.kinds[kind].clone(),
            due: start + at,
            at,
            timeout: plan.timeout,
        };
        thread::sleep(work.due.saturating_duration_since(Instant::now()));
        let permit = open.clone().try_acquire_owned();
        let (samples, sender) = (samples.clone(), sender.clone());
        handle.spawn(async move {
            let sample = match (permit, addr) {
                (Ok(_permit), Some(addr)) => sender.send(work, addr).await,
                _ => work.ended(Outcome::Unsent, None),
            };
            let _ = samples.send(sample);
        });
    }
}

fn pick_kind(kinds: &[Kind], uniform: f64) -> usize {
    let total: f64 = kinds.iter().map(|k| k.share).sum();
    let mut left = uniform * total;
    for (index, kind) in kinds.iter().enumerate() {
        left -= kind.share;
        if left < 0.0 {
            return index;
        }
    }
    kinds.len() - 1
}
