//! Child processes that end with their owner.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use super::error::{Error, io_error};

/// Clock ticks a second in `/proc/<pid>/stat`, fixed in the interface of the kernel.
const TICKS_PER_SECOND: f64 = 100.0;

/// Finds a binary of the project beside the running executable, in `target/<profile>`.
///
/// # Errors
///
/// Returns an error if the binary has not been built.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let own = std::env::current_exe().map_err(io_error("find the running executable"))?;
    // Tests are in `deps` and examples in `examples` below the directory of the binaries.
    let path = own.ancestors().nth(2).unwrap_or(Path::new(".")).join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(Error::NotBuilt(path))
    }
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// By itself, with a code.
    Code(i32),
    /// By a signal.
    Signal,
}

/// A running child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
    log: PathBuf,
}

impl Process {
    /// Starts a process that writes its output to the end of the file `log`.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the file or starting the process.
    pub fn start(name: &str, command: &mut Command, log: &Path) -> Result<Self, Error> {
        let out = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(io_error(format!("open the log of {name}")))?;
        let err = out
            .try_clone()
            .map_err(io_error(format!("open the log of {name}")))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(io_error(format!("start {name}")))?;
        Ok(Self {
            child,
            name: name.into(),
            log: log.into(),
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Freezes the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns how the process ended, or `None` while it runs.
    pub fn exit(&mut self) -> Option<Exit> {
        self.child.try_wait().ok().flatten().map(exit)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process still runs after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<Exit, Error> {
        let until = tokio::time::Instant::now() + limit;
        loop {
            if let Some(exit) = self.exit() {
                return Ok(exit);
            }
            if tokio::time::Instant::now() >= until {
                return Err(Error::Late(format!("end of {}", self.name), self.tail()));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the processor time that the process has used.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not tell.
    pub fn processor_time(&self) -> Result<Duration, Error> {
        let path = format!("/proc/{}/stat", self.id());
        let stat = fs::read_to_string(&path).map_err(io_error(format!("read {path}")))?;
        // The name in parentheses may hold spaces; user and system time are the 12th and 13th
        // fields after it.
        let ticks: f64 = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last lines of the log, for error messages.
    pub fn tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }

    fn signal(&self, signal: libc::c_int) {
        let id = self.child.id() as libc::pid_t;
        // SAFETY: `kill` has no preconditions on memory. The child has not been waited for, or has
        // been and `kill` fails, as ids are not reused that soon.
        unsafe {
            libc::kill(id, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn exit(status: ExitStatus) -> Exit {
    status.code().map_or(Exit::Signal, Exit::Code)
}
