//! Logs: one key=value line per event on standard output, bounded in volume and never waiting.
//!
//! Lines are collected in memory and written by the process's only thread between other work, to a
//! descriptor that does not block. Lines above the rate of the settings, and lines that find the
//! buffer full, are counted, and the count is logged.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use metrics::counter;
use slog::{Drain, KV as _, Key, Level, Logger, Never, OwnedKVList, Record};

/// Bytes that wait to be written. Covers about a second of a reader that pauses.
const BUFFER_BYTES_MAX: usize = 64 * 1024;

/// Seconds of the allowed rate that may be logged at once.
const BURST_S: f64 = 2.0;

/// Interval at which collected lines are written.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(200);

struct Buffer {
    bytes: RefCell<Vec<u8>>,
    tokens: Cell<f64>,
    filled_at: Cell<Instant>,
    left_out: Cell<u64>,
    lines_per_s: Cell<f64>,
}

thread_local! {
    static BUFFER: RefCell<Option<Buffer>> = const { RefCell::new(None) };
}

/// Returns a logger that writes events of `level` and above, at most `lines_per_s` a second.
pub fn logger(level: Level, lines_per_s: u32, node: &str) -> Logger {
    let buffer = Buffer {
        bytes: RefCell::default(),
        tokens: Cell::new(f64::from(lines_per_s) * BURST_S),
        filled_at: Cell::new(Instant::now()),
        left_out: Cell::new(0),
        lines_per_s: Cell::new(f64::from(lines_per_s)),
    };
    BUFFER.set(Some(buffer));
    let drain = Lines.filter_level(level).fuse();
    Logger::root(drain, slog::o!("node" => node.to_owned()))
}

/// Changes how many lines a second are logged.
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

/// Writes collected lines to standard output.
pub fn flush() {
    BUFFER.with_borrow(|buffer| {
        let Some(buffer) = buffer else {
            return;
        };
        buffer.report_left_out();
        let mut bytes = buffer.bytes.borrow_mut();
        if bytes.is_empty() {
            return;
        }
        // A log that cannot be written must not stop the process; the lines are counted.
        if std::io::stdout().write_all(&bytes).is_err() {
            counter!("lacewingmoor_log_writes_failed_total").increment(1);
        }
        bytes.clear();
    });
}

impl Buffer {
    /// Takes one line out of the allowed rate.
    fn take(&self) -> bool {
        let now = Instant::now();
        let elapsed = now - self.filled_at.replace(now);
        let lines_per_s = self.lines_per_s.get();
        let earned = elapsed.as_secs_f64() * lines_per_s;
        let tokens = (self.tokens.get() + earned).min(lines_per_s * BURST_S);
        let enough = tokens >= 1.0 && self.bytes.borrow().len() < BUFFER_BYTES_MAX;
        self.tokens.set(if enough { tokens - 1.0 } else { tokens });
        enough
    }

    fn push(&self, level: Level, line: &str) {
        // Warnings are rare and say what is wrong, so only the size of the buffer bounds them.
        let urgent = level.is_at_least(Level::Warning);
        let fits = self.bytes.borrow().len() < BUFFER_BYTES_MAX;
        if (urgent && fits) || self.take() {
            self.bytes.borrow_mut().extend_from_slice(line.as_bytes());
        } else {
            self.left_out.set(self.left_out.get() + 1);
            counter!("lacewingmoor_log_lines_left_out_total").increment(1);
        }
    }

    fn report_left_out(&self) {
        let count = self.left_out.take();
        if count == 0 {
            return;
        }
        let mut line = String::new();
        start_line(&mut line, Level::Warning);
        pair(&mut line, "event", "log_lines_left_out");
        pair(&mut line, "count", count);
        line.push('\n');
        self.bytes.borrow_mut().extend_from_slice(line.as_bytes());
    }
}

struct Lines;

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = String::with_capacity(200);
        start_line(&mut line, record.level());
        pair(&mut line, "event", record.msg());
        let mut pairs = Pairs(Vec::with_capacity(12));
        // Collecting cannot fail.
        let _ = values.serialize(record, &mut pairs);
        let _ = record.kv().serialize(record, &mut pairs);
        // slog hands out the pairs of a record last one first.
        for (key, value) in pairs.0.iter().rev() {
            pair(&mut line, key, value);
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

struct Pairs(Vec<(Key, String)>);

impl slog::Serializer for Pairs {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push((key, value.to_string()));
        Ok(())
    }
}

fn start_line(line: &mut String, level: Level) {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // Formatting into a string cannot fail.
    let _ = write!(
        line,
        "time_ms={} level={}",
        since.as_millis(),
        level.as_str().to_ascii_lowercase()
    );
}

/// Appends ` key=value`. Values with spaces, quotes, `=` or control characters are quoted, so
/// that text from callers cannot forge keys or lines.
fn pair(line: &mut String, key: &str, value: impl fmt::Display) {
    let _ = write!(line, " {key}=");
    let start = line.len();
    let _ = write!(line, "{value}");
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"'=\\".contains(c);
    if line.len() == start || !line[start..].chars().all(plain) {
        let text = line.split_off(start);
        let _ = write!(line, "{text:?}");
    }
}
