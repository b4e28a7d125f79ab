//! Stand-in of a target: slots, queue, cold start, load reports, faults.

mod http;
mod model;
mod service;
mod stall;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::http::{fill_pattern, pattern_key};
use self::model::Model;
pub use self::model::{Counts, Run, State};
use crate::ports::Reserved;
use crate::server::Server;

/// Distribution of service times around their mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Every request takes the mean.
    Constant,
    /// Exponential.
    #[default]
    Exponential,
    /// Erlang with shape 4: half the relative spread of an exponential distribution.
    Erlang,
}

impl std::str::FromStr for Distribution {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "constant" => Ok(Self::Constant),
            "exponential" => Ok(Self::Exponential),
            "erlang" => Ok(Self::Erlang),
            other => Err(format!("no distribution {other}")),
        }
    }
}

/// How load reports are given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reports {
    /// True as of the report lag.
    #[default]
    Honest,
    /// No `load-report` header.
    Off,
    /// Always warm and idle.
    Idle,
}

/// Settings of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name, sent back in the header `target`.
    pub name: String,
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that a cold target bears at a time, waiting ones included.
    pub cold_slots: usize,
    /// Requests that wait for a slot; one more is shed.
    pub queue_max: usize,
    /// Mean service time.
    pub service_ms: f64,
    /// Distribution of service times.
    pub distribution: Distribution,
    /// Seed of service times and stalls.
    pub seed: u64,
    /// True if the target starts cold.
    pub cold: bool,
    /// Time from the first answer until a cold target bears full load.
    pub warmup_ms: u64,
    /// Factor on the service time while a cold target has more than it bears.
    pub collapse_factor: f64,
    /// Time that one `GET /load` occupies a slot.
    pub probe_ms: u64,
    /// How load reports are given.
    pub reports: Reports,
    /// Age of what load reports and `GET /load` tell.
    pub report_lag_ms: u64,
    /// Factor on the service time during random stalls.
    pub stall_factor: f64,
    /// Length of a random stall.
    pub stall_ms: u64,
    /// Mean time between random stalls; 0 for none.
    pub stall_every_ms: u64,
    /// True if every run is recorded by request id.
    pub record: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "target".into(),
            slots: 4,
            cold_slots: 1,
            queue_max: 64,
            service_ms: 2.0,
            distribution: Distribution::default(),
            seed: 1,
            cold: false,
            warmup_ms: 500,
            collapse_factor: 20.0,
            probe_ms: 6,
            reports: Reports::default(),
            report_lag_ms: 0,
            stall_factor: 3.0,
            stall_ms: 200,
            stall_every_ms: 0,
            record: true,
        }
    }
}

/// Changes at run time; absent fields stay as they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Finishes its work; says so in reports. Work that arrives all the same is run and counted.
    pub draining: Option<bool>,
    /// Answers every request 503 with `request-not-run: true`.
    pub shedding: Option<bool>,
    /// Factor on the service time of requests that start from now on.
    pub slow_factor: Option<f64>,
    /// How load reports are given.
    pub reports: Option<Reports>,
    /// Age of load reports.
    pub report_lag_ms: Option<u64>,
    /// Makes the target as if it had just started: cold, with a new start id.
    pub turn_cold: Option<bool>,
    /// Runs the next request, then closes its connection without an answer.
    pub cut_next: Option<bool>,
}

/// A running target. Dropping it kills the target.
pub struct Target {
    addr: SocketAddr,
    server: Option<Server>,
    model: Arc<Model>,
    _port: Option<Reserved>,
}

impl Target {
    /// Starts a target on `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr, settings: Settings) -> io::Result<Self> {
        let model = Arc::new(Model::new(settings));
        // Keeps the port while the target is down, so that it can come back.
        let port = (addr.port() == 0).then(Reserved::new).transpose()?;
        let addr = port.as_ref().map_or(addr, Reserved::addr);
        let server = http::serve(addr, model.clone()).await?;
        Ok(Self {
            addr: server.addr(),
            server: Some(server),
            model,
            _port: port,
        })
    }

    /// Returns the bound address; it stays the same across restarts.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        self.model.settings()
    }

    /// Closes the listener and breaks every connection.
    pub async fn kill(&mut self) {
        if let Some(mut server) = self.server.take() {
            server.stop().await;
        }
    }

    /// Kills the target and starts it again on the same address, cold and with a new start id.
    /// Counts and records go on.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.kill().await;
        self.model.turn_cold();
        self.server = Some(http::serve(self.addr, self.model.clone()).await?);
        Ok(())
    }

    /// Applies a change.
    pub fn change(&self, change: Change) {
        self.model.change(change);
    }

    /// Sets draining.
    pub fn set_draining(&self, draining: bool) {
        self.change(Change {
            draining: Some(draining),
            ..Change::default()
        });
    }

    /// Sets shedding.
    pub fn set_shedding(&self, shedding: bool) {
        self.change(Change {
            shedding: Some(shedding),
            ..Change::default()
        });
    }

    /// Sets the factor on the service time of requests that start from now on.
    pub fn set_slow_factor(&self, factor: f64) {
        self.change(Change {
            slow_factor: Some(factor),
            ..Change::default()
        });
    }

    /// Lets the seeded times of stalls begin now.
    pub fn restart_stalls(&self) {
        self.model.restart_stalls();
    }

    /// Sets the counts to zero, apart from the requests that are here now.
    pub fn reset_counts(&self) {
        self.model.reset_counts();
    }

    /// Returns the counts since the first start or the last reset.
    pub fn counts(&self) -> Counts {
        self.model.counts()
    }

    /// Returns the time that each run since the last reset occupied its slot at the target, waiting
    /// excluded.
    pub fn service_times(&self) -> Vec<Duration> {
        self.model.service_times()
    }

    /// Returns the highest number of connections open at a time since the last start.
    pub fn connections_most(&self) -> usize {
        self.server.as_ref().map_or(0, |s| s.connections().most())
    }

    /// Returns the runs of a request id.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.model.runs(id)
    }

    /// Returns every recorded run by request id.
    pub fn all_runs(&self) -> HashMap<String, Vec<Run>> {
        self.model.all_runs()
    }

    /// Waits until nothing runs or waits here, at most for `limit`; returns true if that is so.
    pub async fn wait_idle(&self, limit: Duration) -> bool {
        let until = tokio::time::Instant::now() + limit;
        loop {
            let counts = self.counts();
            if counts.running == 0 && counts.waiting == 0 {
                return true;
            }
            if tokio::time::Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
