//! Logs: one key=value line per event, written by a thread of its own behind a bounded queue.
//!
//! Nothing that logs ever waits. A line that does not fit into the queue is dropped and counted;
//! the log thread reports the count as soon as it can write again.

use std::fmt::{self, Write as _};
use std::io::Write;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lacewingmoor_control::Decision;
use metrics::{Counter, counter};
use slog::{Drain, KV as _, Key, Level, Logger, Never, OwnedKVList, Record};

/// Lines that wait for the log thread. 16,384 decisions take about 4 MB and cover more than one
/// second at the request rate that one entry is built for.
pub const QUEUE_LINES: usize = 16_384;

/// Lines after which the output is flushed even if more lines keep coming.
const FLUSH_LINES: usize = 256;

enum Line {
    Text(String),
    Decision(SystemTime, Decision),
    Flush(mpsc::SyncSender<()>),
}

/// Sending end of the log pipeline.
#[derive(Clone)]
pub struct Pipeline {
    lines: mpsc::SyncSender<Line>,
    dropped: Arc<Dropped>,
}

struct Dropped {
    /// Lines dropped since the start.
    count: AtomicU64,
    total: AssertUnwindSafe<Counter>,
}

impl Pipeline {
    /// Starts the log thread with a queue of `queue_lines` lines.
    ///
    /// # Panics
    ///
    /// Panics if the operating system cannot start a thread.
    pub fn start(output: impl Write + Send + 'static, queue_lines: usize) -> Self {
        let (lines, receiver) = mpsc::sync_channel(queue_lines);
        let dropped = Arc::new(Dropped {
            count: AtomicU64::new(0),
            total: AssertUnwindSafe(counter!("lacewingmoor_log_lines_dropped_total")),
        });
        let counted = dropped.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &receiver, &counted))
            .expect("the log thread starts");
        Self { lines, dropped }
    }

    /// Waits until every line queued so far is written, at most for `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let (done, wait) = mpsc::sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(timeout);
        }
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.count.load(Ordering::Relaxed)
    }

    fn push(&self, line: Line) {
        if self.lines.try_send(line).is_err() {
            self.dropped.count.fetch_add(1, Ordering::Relaxed);
            self.dropped.total.increment(1);
        }
    }
}

/// Writes decisions to the log pipeline, or discards them when they are turned off.
#[derive(Clone)]
pub struct DecisionLog(Option<Pipeline>);

impl DecisionLog {
    /// Logs decisions to `pipeline` if `enabled`.
    pub fn new(pipeline: &Pipeline, enabled: bool) -> Self {
        Self(enabled.then(|| pipeline.clone()))
    }

    /// Returns a log that discards every decision.
    pub fn off() -> Self {
        Self(None)
    }

    /// Queues a line for a decision.
    pub fn write(&self, decision: Decision) {
        if let Some(pipeline) = &self.0 {
            pipeline.push(Line::Decision(SystemTime::now(), decision));
        }
    }
}

/// Returns a logger that writes events of `level` and above to the pipeline.
pub fn logger(pipeline: &Pipeline, level: Level, node: &str) -> Logger {
    let drain = Lines(pipeline.clone()).filter_level(level).fuse();
    Logger::root(drain, slog::o!("node" => node.to_owned()))
}

/// Returns a logger that discards everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

struct Lines(Pipeline);

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = String::with_capacity(160);
        start_line(&mut line, SystemTime::now(), record.level());
        pair(&mut line, "event", record.msg());
        let mut pairs = Pairs(Vec::with_capacity(8));
        // Collecting cannot fail.
        let _ = values.serialize(record, &mut pairs);
        let _ = record.kv().serialize(record, &mut pairs);
        // slog hands out the pairs of a record last one first.
        for (key, value) in pairs.0.iter().rev() {
            pair(&mut line, key, value);
        }
        line.push('\n');
        self.0.push(Line::Text(line));
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

fn start_line(line: &mut String, time: SystemTime, level: Level) {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
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

/// Formats a decision as one line.
pub fn decision_line(line: &mut String, time: SystemTime, decision: &Decision) {
    start_line(line, time, Level::Info);
    pair(line, "event", "decision");
    pair(line, "kind", format_args!("{:?}", decision.kind));
    if let Some(request) = decision.request {
        pair(line, "request", request);
    }
    if let Some(attempt) = decision.attempt {
        pair(line, "attempt", attempt);
    }
    if let Some(route) = &decision.route {
        pair(line, "route", route);
    }
    if let Some(target) = &decision.target {
        pair(line, "target", target);
    }
    if let Some(zone) = &decision.zone {
        pair(line, "zone", zone);
    }
    if let Some(state) = decision.state {
        pair(line, "state", format_args!("{state:?}"));
    }
    pair(line, "reason", decision.reason);
    pair(line, "version", decision.version);
    line.push('\n');
}

fn write_lines(output: impl Write, lines: &mpsc::Receiver<Line>, dropped: &Dropped) {
    let mut output = std::io::BufWriter::with_capacity(64 * 1024, output);
    let mut text = String::new();
    let mut unflushed = 0;
    let mut reported = 0;
    loop {
        let line = match lines.try_recv() {
            Ok(line) => line,
            Err(_) => {
                let _ = output.flush();
                unflushed = 0;
                match lines.recv() {
                    Ok(line) => line,
                    Err(_) => return,
                }
            }
        };
        text.clear();
        match line {
            Line::Text(line) => text = line,
            Line::Decision(time, decision) => decision_line(&mut text, time, &decision),
            Line::Flush(done) => {
                let _ = output.flush();
                let _ = done.try_send(());
            }
        }
        let total = dropped.count.load(Ordering::Relaxed);
        let lost = total - reported;
        if lost > 0 {
            reported = total;
            start_line(&mut text, SystemTime::now(), Level::Warning);
            pair(&mut text, "event", "log_lines_dropped");
            pair(&mut text, "count", lost);
            text.push('\n');
        }
        // A log that cannot be written must not stop the process.
        let _ = output.write_all(text.as_bytes());
        unflushed += 1;
        if unflushed >= FLUSH_LINES {
            let _ = output.flush();
            unflushed = 0;
        }
    }
}
