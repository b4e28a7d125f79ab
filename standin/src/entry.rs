//! Runs an entry as a separate process.

use std::fs::File;
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Settings of an entry under test.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry.
    pub name: String,
    /// Availability zone of the entry.
    pub zone: String,
    /// Every zone with its region.
    pub regions: Vec<(String, String)>,
    /// Set of header fields used with callers and targets, as named in the settings.
    pub dialect: &'static str,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Peer addresses of entries to follow while the store and all known entries have failed
    /// recently, for example at a start during a store outage.
    pub seeds: Vec<SocketAddr>,
    /// Grace period: time between the stop signal and the kill.
    pub grace: Duration,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Address that callers send requests to.
    pub caller_addr: SocketAddr,
    /// Address of the readiness check.
    pub ready_addr: SocketAddr,
    /// Address of the metrics and the status page.
    pub metrics_addr: SocketAddr,
    /// Address at which other entries follow this one.
    pub peer_addr: SocketAddr,
    /// File that receives standard output and standard error.
    pub log_path: PathBuf,
    /// Settings file.
    pub settings_path: PathBuf,
    binary: PathBuf,
    child: Child,
}

/// Returns a loopback address that no other call uses, in this process or, since the IP address
/// contains the low bits of the process id, in another test process that runs at the same time.
/// The address is never 127.0.0.1, so that the port does not collide with that of an outgoing
/// connection.
pub fn unique_addr() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = 10_000 + (count / 250) as u16;
    SocketAddr::from(([127, 64 | (high & 63), low, 1 + (count % 250) as u8], port))
}

impl EntryProcess {
    /// Starts `binary`, with the settings file and the log file in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written or the process cannot be started.
    pub fn start(binary: &Path, dir: &Path, settings: &EntrySettings) -> io::Result<Self> {
        let [caller_addr, ready_addr, metrics_addr, peer_addr] =
            std::array::from_fn(|_| unique_addr());
        let region = settings
            .regions
            .iter()
            .find(|(zone, _)| *zone == settings.zone)
            .map_or("", |(_, region)| region);
        let regions: serde_json::Map<String, serde_json::Value> = settings
            .regions
            .iter()
            .map(|(zone, region)| (zone.clone(), region.as_str().into()))
            .collect();
        let seeds: Vec<String> = settings.seeds.iter().map(SocketAddr::to_string).collect();
        // Limits as in `platform::template::sample_fields`.
        let document = serde_json::json!({
            "node": settings.name, "zone": settings.zone, "region": region, "regions": regions,
            "dialect": settings.dialect,
            "callers": caller_addr, "ready": ready_addr, "metrics": metrics_addr, "peers": peer_addr,
            "seeds": seeds, "store": settings.store_addr, "grace_s": settings.grace.as_secs_f64(),
            "apply_ms": 2000, "probes_per_s": 60.0,
            "machine": { "cpu_share": 0.2, "link_mbit_s": 1000.0 },
            "retry": { "ratio": 0.2, "extra": 64.0, "window_s": 10.0 },
            "bounds": {
                "exposure_share": 0.1, "exposure_extra": 50.0, "exposure_stop_ms": 5000,
                "rate_window_s": 5.0, "rate_over": 0.1, "rate_extra": 20.0,
            },
        });
        let path = dir.join(format!("{}.yaml", settings.name));
        std::fs::write(&path, document.to_string())?;
        let log_path = dir.join(format!("{}.log", settings.name));
        let child = spawn(binary, &path, &log_path)?;
        Ok(Self {
            caller_addr,
            ready_addr,
            metrics_addr,
            peer_addr,
            log_path,
            settings_path: path,
            binary: binary.to_owned(),
            child,
        })
    }

    /// Starts the process again after it has exited, at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.binary, &self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Kills the process and starts it again, with a pipe as its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_with_pipe(&mut self) -> io::Result<LogReader> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = self.child.stdout.take();
        output
            .map(LogReader)
            .ok_or_else(|| io::ErrorKind::BrokenPipe.into())
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let pid = self.child.id() as libc::pid_t;
        // SAFETY: kill() accesses no memory. The id is that of a child; once it has been reaped,
        // the id may belong to another process.
        unsafe { libc::kill(pid, signal) };
    }

    /// Returns true if the process has installed a handler for the signal.
    pub fn handles_signal(&self, signal: i32) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & (1 << (signal - 1)) != 0)
    }

    /// Returns the peak memory of the process in kilobytes; `None` if it does not run.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Waits up to `timeout` for the process to exit. Returns true if it has exited with success.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => return false,
            }
        }
        false
    }

    /// Returns true if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    /// Returns the content of the log file.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

/// Reader of an entry's standard output, which reads nothing until it is told to.
pub struct LogReader(ChildStdout);

impl LogReader {
    /// Reads until the text is there or the output ends, and returns what was read.
    pub fn read_until(mut self, text: &str) -> String {
        let mut bytes = Vec::new();
        let mut part = [0; 4096];
        while let Ok(count @ 1..) = self.0.read(&mut part) {
            bytes.extend_from_slice(&part[..count]);
            if String::from_utf8_lossy(&bytes).contains(text) {
                break;
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

fn spawn(binary: &Path, settings_path: &Path, log_path: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log_path)?;
    Command::new(binary)
        .arg("--settings")
        .arg(settings_path)
        .stdin(Stdio::null())
        .stderr(output.try_clone()?)
        .stdout(output)
        .spawn()
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Errors are ignored because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
