//! Logs: one line of key=value pairs per event on standard output, with a bounded volume.
//!
//! Lines are buffered and written by a thread of their own, since a blocked write would stop all requests.
//! Lines below warning level that exceed the configured rate, and lines of any level that arrive
//! while the buffer is full, are left out and counted, and the count is logged.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use metrics::counter;
use slog::{Drain, KV as _, Key, Level, Logger, Never, OwnedKVList, Record};

/// Buffer size above which lines are left out. Sized for a reader of standard output that pauses for
/// about a second (1.6 s of lines at the default limit of 40 KB/s). Warnings are limited by this size
/// only.
const BUFFER_BYTES_MAX: usize = 64 * 1024;

/// Capacity of the token bucket, in seconds of the allowed rate.
const BURST_S: f64 = 2.0;

/// Time that a process that exits waits for its last lines to be written.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval at which it checks whether they are.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Interval at which buffered lines are written.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(200);

struct Buffer {
    writer: Writer,
    bytes: RefCell<Vec<u8>>,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    left_out_count: Cell<u64>,
    lines_per_s: Cell<f64>,
}

thread_local! {
    static BUFFER: RefCell<Option<Buffer>> = const { RefCell::new(None) };
}

/// Returns a logger that writes events of `level` and above. `lines_per_s` is the rate limit of
/// lines below warning level, in lines per second.
///
/// # Errors
///
/// Returns an error if the thread that writes the lines cannot be started.
pub fn logger(level: Level, lines_per_s: u32, entry_name: &str) -> std::io::Result<Logger> {
    let buffer = Buffer {
        writer: start_writer()?,
        bytes: RefCell::default(),
        tokens: Cell::new(f64::from(lines_per_s) * BURST_S),
        refilled_at: Cell::new(Instant::now()),
        left_out_count: Cell::new(0),
        lines_per_s: Cell::new(f64::from(lines_per_s)),
    };
    BUFFER.set(Some(buffer));
    let drain = LineDrain.filter_level(level).fuse();
    Ok(Logger::root(
        drain,
        slog::o!("node" => entry_name.to_owned()),
    ))
}

/// Sets the rate limit of lines below warning level, in lines per second.
pub fn set_rate(lines_per_s: u32) {
    BUFFER.with_borrow(|buffer| {
        if let Some(buffer) = buffer {
            buffer.lines_per_s.set(f64::from(lines_per_s));
        }
    });
}

/// Returns a logger that discards everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Hands buffered lines to the thread that writes them, unless it is still writing earlier ones.
pub fn flush() {
    BUFFER.with_borrow(|buffer| {
        if let Some(buffer) = buffer {
            buffer.hand_over();
        }
    });
}

/// Writes all buffered lines, or as many as standard output takes in [`LAST_WRITE_TIMEOUT`].
pub fn flush_at_exit() {
    let deadline = Instant::now() + LAST_WRITE_TIMEOUT;
    BUFFER.with_borrow(|buffer| {
        let Some(buffer) = buffer else {
            return;
        };
        buffer.hand_over();
        while !buffer.is_written() && Instant::now() < deadline {
            std::thread::sleep(WRITE_CHECK_INTERVAL);
            buffer.hand_over();
        }
    });
}

/// Starts the thread that writes to standard output what it receives.
fn start_writer() -> std::io::Result<Writer> {
    // Without capacity, lines are taken only while the thread is not writing.
    let (sender, receiver) = sync_channel::<Vec<u8>>(0);
    let is_writing = Arc::new(AtomicBool::new(false));
    let state = is_writing.clone();
    let write_all = move || {
        for bytes in receiver {
            // A log that cannot be written must not stop the process; the failed write is counted.
            if std::io::stdout().write_all(&bytes).is_err() {
                counter!("lacewingmoor_log_writes_failed_total").increment(1);
            }
            state.store(false, Ordering::Release);
        }
    };
    std::thread::Builder::new()
        .name("log".into())
        .spawn(write_all)?;
    Ok(Writer { sender, is_writing })
}

/// The thread that writes to standard output.
struct Writer {
    sender: SyncSender<Vec<u8>>,
    is_writing: Arc<AtomicBool>,
}

impl Buffer {
    /// Hands the lines to the writer if it takes them.
    fn hand_over(&self) {
        self.report_left_out();
        let mut bytes = self.bytes.borrow_mut();
        if bytes.is_empty() {
            return;
        }
        self.writer.is_writing.store(true, Ordering::Release);
        if let Err(TrySendError::Full(unsent) | TrySendError::Disconnected(unsent)) =
            self.writer.sender.try_send(std::mem::take(&mut *bytes))
        {
            *bytes = unsent;
        }
    }

    /// Returns true if all lines are written.
    fn is_written(&self) -> bool {
        self.bytes.borrow().is_empty() && !self.writer.is_writing.load(Ordering::Acquire)
    }

    /// Takes a token for one line if the allowed rate and the size of the buffer allow it.
    fn try_take(&self) -> bool {
        let now = Instant::now();
        let elapsed = now - self.refilled_at.replace(now);
        let lines_per_s = self.lines_per_s.get();
        let refill = elapsed.as_secs_f64() * lines_per_s;
        let tokens = (self.tokens.get() + refill).min(lines_per_s * BURST_S);
        let allowed = tokens >= 1.0 && self.bytes.borrow().len() < BUFFER_BYTES_MAX;
        self.tokens.set(if allowed { tokens - 1.0 } else { tokens });
        allowed
    }

    fn push(&self, level: Level, line: &str) {
        // Warnings are rare and report problems, so only the size of the buffer limits them.
        let is_warning = level.is_at_least(Level::Warning);
        let fits = self.bytes.borrow().len() < BUFFER_BYTES_MAX;
        if (is_warning && fits) || self.try_take() {
            self.bytes.borrow_mut().extend_from_slice(line.as_bytes());
        } else {
            self.left_out_count.set(self.left_out_count.get() + 1);
            counter!("lacewingmoor_log_lines_left_out_total").increment(1);
        }
    }

    fn report_left_out(&self) {
        let count = self.left_out_count.take();
        if count == 0 {
            return;
        }
        let mut line = String::new();
        write_prefix(&mut line, Level::Warning);
        write_pair(&mut line, "event", "log_lines_left_out");
        write_pair(&mut line, "count", count);
        line.push('\n');
        self.bytes.borrow_mut().extend_from_slice(line.as_bytes());
    }
}

/// Formats each record as a line and appends it to the buffer.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = String::with_capacity(200);
        write_prefix(&mut line, record.level());
        write_pair(&mut line, "event", record.msg());
        let mut pairs = PairCollector(Vec::with_capacity(12));
        // Collecting cannot fail.
        let _ = values.serialize(record, &mut pairs);
        let _ = record.kv().serialize(record, &mut pairs);
        // slog passes the pairs of a record in reverse order.
        for (key, value) in pairs.0.iter().rev() {
            write_pair(&mut line, key, value);
        }
        line.push('\n');
        BUFFER.with_borrow(|buffer| {
            if let Some(buffer) = buffer {
                buffer.push(record.level(), &line);
            }
        });
        Ok(())
    }
}

struct PairCollector(Vec<(Key, String)>);

impl slog::Serializer for PairCollector {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push((key, value.to_string()));
        Ok(())
    }
}

fn write_prefix(line: &mut String, level: Level) {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // Formatting into a string cannot fail.
    let _ = write!(
        line,
        "time_ms={} level={}",
        unix_time.as_millis(),
        level.as_str().to_ascii_lowercase()
    );
}

/// Appends ` key=value`. Values that are empty or contain whitespace, quotes, `=`, backslashes or
/// control characters are quoted, so that text from callers cannot forge keys or lines.
fn write_pair(line: &mut String, key: &str, value: impl fmt::Display) {
    let _ = write!(line, " {key}=");
    let start = line.len();
    let _ = write!(line, "{value}");
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"'=\\".contains(c);
    if line.len() == start || !line[start..].chars().all(is_plain) {
        let text = line.split_off(start);
        let _ = write!(line, "{text:?}");
    }
}
