//! One entry as a real process.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use super::error::{Error, io_error};
use super::{Exit, Process, binary};
use crate::ports::Reserved;

/// Settings of an entry that differ between runs.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Choice of targets.
    pub policy: String,
    /// Time between unready and the close of the listeners.
    pub unready_ms: u64,
    /// Whether decisions are logged.
    pub decisions: bool,
    /// Seed of random choices.
    pub seed: u64,
    /// File that the log goes to instead of one beside the settings.
    pub log: Option<PathBuf>,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            policy: "credits".into(),
            unready_ms: 500,
            decisions: true,
            seed: 1,
            log: None,
        }
    }
}

/// What all entries of a fleet share.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub(super) dir: PathBuf,
    pub(super) store: SocketAddr,
    pub(super) vm_list: SocketAddr,
    pub(super) operator_key: String,
    pub(super) fleet_key: String,
}

/// An entry, running or not. Its addresses stay the same across restarts.
#[derive(Debug)]
pub struct Entry {
    /// Node name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    listen: Reserved,
    admin: Reserved,
    peer: Reserved,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl Entry {
    pub(super) fn new(
        shared: &Shared,
        name: &str,
        zone: &str,
        region: &str,
        options: &EntryOptions,
    ) -> Result<Self, Error> {
        let reserve = || Reserved::new().map_err(io_error("reserve a port"));
        let entry = Self {
            name: name.into(),
            zone: zone.into(),
            region: region.into(),
            listen: reserve()?,
            admin: reserve()?,
            peer: reserve()?,
            settings: shared.dir.join(format!("{name}.yaml")),
            log: options
                .log
                .clone()
                .unwrap_or_else(|| shared.dir.join(format!("{name}.log"))),
            process: None,
        };
        fs::write(&entry.settings, entry.settings_text(shared, options))
            .map_err(io_error("write settings"))?;
        Ok(entry)
    }

    fn settings_text(&self, shared: &Shared, options: &EntryOptions) -> String {
        format!(
            "node: {}\nzone: {}\nregion: {}\nlisten: \"{}\"\nadmin: \"{}\"\npeer: \"{}\"\n\
             store: \"{}\"\nvm_list: \"{}\"\noperator_keys: [\"{}\"]\nfleet_key: \"{}\"\n\
             policy: {}\nseed: {}\nunready_ms: {}\nlog: {{ decisions: {}, level: info }}\n",
            self.name,
            self.zone,
            self.region,
            self.listen.addr(),
            self.admin.addr(),
            self.peer.addr(),
            shared.store,
            shared.vm_list,
            shared.operator_key,
            shared.fleet_key,
            options.policy,
            options.seed,
            options.unready_ms,
            options.decisions,
        )
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary is not built or does not start.
    pub fn start(&mut self) -> Result<(), Error> {
        let mut command = Command::new(binary("lacewingmoord")?);
        command.arg("--settings").arg(&self.settings);
        self.process = Some(Process::start(&self.name, &mut command, &self.log)?);
        Ok(())
    }

    /// Returns the address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen.addr()
    }

    /// Returns the address of the admin listener.
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Returns the address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.peer.addr()
    }

    /// Returns the process, unless it was stopped or killed.
    pub fn process(&mut self) -> Option<&mut Process> {
        self.process.as_mut()
    }

    /// Returns what the process has logged, earlier starts included.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the answer of a path of the admin listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener does not answer.
    pub async fn admin_get(&self, path: &str) -> Result<(u16, String), Error> {
        let failed = |e: reqwest::Error| {
            Error::Io(
                format!("read {path} of {}", self.name),
                std::io::Error::other(e),
            )
        };
        let url = format!("http://{}{path}", self.admin());
        let answer = reqwest::Client::new()
            .get(url)
            .timeout(Duration::from_secs(5))
            .send()
            .await
            .map_err(failed)?;
        let status = answer.status().as_u16();
        Ok((status, answer.text().await.map_err(failed)?))
    }

    /// Asks the process to stop and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process still runs after `limit`.
    pub async fn stop(&mut self, limit: Duration) -> Result<Option<Exit>, Error> {
        let Some(mut process) = self.process.take() else {
            return Ok(None);
        };
        process.terminate();
        process.wait_exit(limit).await.map(Some)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
    }
}
