//! Stand-ins for store, servers and clients, and the entry as a separate process, for the scripts of the
//! second review. Only the standard library is used, so that a script builds without a network.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status: the rule held.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Time after which a script is given up.
const RUN_MAX: Duration = Duration::from_secs(110);

/// Time after which a read that should have ended is given up.
pub const READ_MAX: Duration = Duration::from_secs(20);

/// Interval at which servers write their registration.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Returns false if the script runs without the disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Log(Arc<(Mutex<File>, Instant)>);

impl Log {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((
            Mutex::new(File::create(path)?),
            Instant::now(),
        ))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.1.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        print!("{line}");
        let _ = self.0.0.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Process ids of the started processes, to end them whatever happens.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub mod sys {
    pub const SIGINT: i32 = 2;
    pub const SIGHUP: i32 = 1;
    pub const SIGKILL: i32 = 9;
    pub const SIGTERM: i32 = 15;
    pub const SIGSTOP: i32 = 19;
    pub const SIGCONT: i32 = 18;

    unsafe extern "C" {
        fn kill(pid: i32, signal: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }

    /// Sends a signal to a process that the script started.
    pub fn send(pid: u32, signal: i32) {
        // SAFETY: `kill` accesses no memory.
        unsafe { kill(pid as i32, signal) };
    }

    /// Makes the next close of the socket reset the connection.
    pub fn reset_on_close(stream: &std::net::TcpStream) {
        use std::os::fd::AsRawFd as _;
        let linger = [1i32, 0i32];
        // SOL_SOCKET is 1 and SO_LINGER 13 on Linux.
        // SAFETY: `linger` has the layout of `struct linger` and outlives the call.
        unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    }

    /// Sets the size of the socket's receive buffer.
    pub fn set_receive_buffer(stream: &std::net::TcpStream, bytes: i32) {
        use std::os::fd::AsRawFd as _;
        // SOL_SOCKET is 1 and SO_RCVBUF 8 on Linux.
        // SAFETY: `bytes` is an int and outlives the call.
        unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &raw const bytes, 4) };
    }
}

/// Runs a script: returns its verdict as the exit status, and ends all processes that it started.
pub fn run(case: impl FnOnce(&Log) -> io::Result<bool> + Send + 'static) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let log = match Log::create(&Path::new(&folder).join("record.txt")) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(NOT_RUN);
        }
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    let case_log = log.clone();
    thread::spawn(move || {
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&case_log)));
        let _ = sender.send(end);
    });
    let status = match receiver.recv_timeout(RUN_MAX) {
        Ok(Ok(Ok(true))) => {
            log.line("verdict: the rule held");
            HELD
        }
        Ok(Ok(Ok(false))) => {
            log.line("verdict: the rule was broken");
            BROKEN
        }
        Ok(Ok(Err(error))) => {
            log.line(format!("verdict: could not run: {error}"));
            NOT_RUN
        }
        Ok(Err(_)) => {
            log.line("verdict: could not run: the script panicked");
            NOT_RUN
        }
        Err(_) => {
            log.line("verdict: could not run: the script took too long");
            NOT_RUN
        }
    };
    for pid in CHILDREN.lock().unwrap().drain(..) {
        sys::send(pid, sys::SIGKILL);
    }
    // The folder is left behind if that fails, which does no harm.
    let _ = std::fs::remove_dir_all(temporary_folder());
    std::process::exit(status);
}

pub fn failed<T>(text: impl Into<String>) -> io::Result<T> {
    Err(io::Error::other(text.into()))
}

// ---------------------------------------------------------------------------------------------- HTTP

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn attempt_id(&self) -> &str {
        self.get("x-lacewingmoor-attempt-id").unwrap_or("-")
    }
}

/// Connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// What a client got as the answer to a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer.
    Whole(Head, Vec<u8>),
    /// The connection ended before a whole answer was read; with the head, if it was read, and the part
    /// of the body.
    Cut(Option<Head>, Vec<u8>),
    /// Bytes that are no answer.
    NoAnswer(Vec<u8>),
    /// Nothing came in time, or not all of it.
    TimedOut(Option<Head>, Vec<u8>),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Whole(head, _) => head.status(),
            _ => 0,
        }
    }

    pub fn text(&self) -> String {
        let body_text = |body: &[u8]| match body.len() {
            0..=40 => format!("{:?}", String::from_utf8_lossy(body)),
            length => format!("{length} bytes"),
        };
        let seal = |head: &Head| {
            head.get("x-lacewingmoor-server-seal")
                .unwrap_or("none")
                .to_owned()
        };
        match self {
            Self::Whole(head, body) => format!(
                "status {}, seal {}, body whole: {}",
                head.status(),
                seal(head),
                body_text(body)
            ),
            Self::Cut(None, _) => "connection closed without an answer".into(),
            Self::Cut(Some(head), body) => format!(
                "status {}, seal {}, cut after {}",
                head.status(),
                seal(head),
                body_text(body)
            ),
            Self::NoAnswer(bytes) => {
                format!(
                    "bytes that are no answer: {:?}",
                    String::from_utf8_lossy(bytes)
                )
            }
            Self::TimedOut(None, _) => "nothing in time".into(),
            Self::TimedOut(Some(head), body) => format!(
                "status {}, seal {}, then nothing more after {}",
                head.status(),
                seal(head),
                body_text(body)
            ),
        }
    }
}

enum Chunk {
    Line(Vec<u8>),
    Ended,
    TimedOut,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads more bytes into the buffer; 0 at the end of the connection.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields =
                    fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first_line,
                    fields: fields.collect(),
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body of a request with a length; the entry sends no other bodies.
    pub fn read_request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return failed("request body cut");
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn until(&mut self, is_there: impl Fn(&[u8]) -> Option<usize>) -> Chunk {
        loop {
            if let Some(length) = is_there(&self.buffer) {
                return Chunk::Line(self.buffer.drain(..length).collect());
            }
            match self.fill() {
                Ok(0) => return Chunk::Ended,
                Ok(_) => {}
                Err(error) if is_timeout(&error) => return Chunk::TimedOut,
                Err(_) => return Chunk::Ended,
            }
        }
    }

    /// Reads the answer to a request, as a strict client does.
    pub fn read_answer(&mut self, timeout: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(timeout));
        let head = loop {
            let start = &self.buffer[..self.buffer.len().min(5)];
            if !b"HTTP/".starts_with(start) {
                let length = self.buffer.len().min(60);
                return Answer::NoAnswer(self.buffer[..length].to_vec());
            }
            if find(&self.buffer, b"\r\n\r\n").is_some() {
                match self.read_head() {
                    Ok(Some(head)) if head.status() == 100 => continue,
                    Ok(Some(head)) => break head,
                    _ => return Answer::Cut(None, Vec::new()),
                }
            }
            match self.fill() {
                Ok(0) => return Answer::Cut(None, Vec::new()),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => return Answer::TimedOut(None, Vec::new()),
                Err(_) => return Answer::Cut(None, Vec::new()),
            }
        };
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            return self.read_chunked(head);
        }
        let Some(length) = head.get("content-length") else {
            if [204, 304].contains(&head.status()) {
                return Answer::Whole(head, Vec::new());
            }
            return self.read_to_end(head);
        };
        let Ok(length) = length.parse::<usize>() else {
            return Answer::NoAnswer(head.first_line.into_bytes());
        };
        match self.until(|bytes| (bytes.len() >= length).then_some(length)) {
            Chunk::Line(body) => Answer::Whole(head, body),
            Chunk::Ended => Answer::Cut(Some(head), std::mem::take(&mut self.buffer)),
            Chunk::TimedOut => Answer::TimedOut(Some(head), std::mem::take(&mut self.buffer)),
        }
    }

    fn read_to_end(&mut self, head: Head) -> Answer {
        loop {
            match self.fill() {
                Ok(0) => return Answer::Whole(head, std::mem::take(&mut self.buffer)),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {
                    return Answer::TimedOut(Some(head), std::mem::take(&mut self.buffer));
                }
                Err(_) => return Answer::Cut(Some(head), std::mem::take(&mut self.buffer)),
            }
        }
    }

    fn read_chunked(&mut self, head: Head) -> Answer {
        let mut body = Vec::new();
        loop {
            let line = match self.until(|bytes| find(bytes, b"\r\n").map(|at| at + 2)) {
                Chunk::Line(line) => line,
                Chunk::Ended => return Answer::Cut(Some(head), body),
                Chunk::TimedOut => return Answer::TimedOut(Some(head), body),
            };
            let text = String::from_utf8_lossy(&line);
            let Ok(length) = usize::from_str_radix(text.trim(), 16) else {
                return Answer::NoAnswer(line);
            };
            match self.until(|bytes| (bytes.len() >= length + 2).then_some(length + 2)) {
                Chunk::Line(part) if length > 0 => body.extend_from_slice(&part[..length]),
                Chunk::Line(_) => return Answer::Whole(head, body),
                Chunk::Ended => return Answer::Cut(Some(head), body),
                Chunk::TimedOut => return Answer::TimedOut(Some(head), body),
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&error.kind())
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
    pub key: Option<&'static str>,
}

impl Request {
    pub fn get(host: &'static str, path: impl Into<String>, deadline_ms: u64) -> Self {
        Self {
            method: "GET",
            host,
            path: path.into(),
            id: new_id(),
            deadline_ms,
            body: Vec::new(),
            key: None,
        }
    }

    pub fn post(
        host: &'static str,
        path: impl Into<String>,
        deadline_ms: u64,
        body: Vec<u8>,
    ) -> Self {
        Self {
            method: "POST",
            body,
            ..Self::get(host, path, deadline_ms)
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Lacewingmoor-Attempt-Id: {}\r\nX-Lacewingmoor-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        if let Some(key) = self.key {
            text.push_str(&format!("Authorization: Bearer {key}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Returns a new attempt id.
pub fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{count:08x}", std::process::id())
}

// ---------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut chars = text.chars().peekable();
        Self::value(&mut chars)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<Self> {
        let skip = |chars: &mut std::iter::Peekable<std::str::Chars<'_>>| {
            while chars.next_if(|c| c.is_whitespace()).is_some() {}
        };
        skip(chars);
        let value = match *chars.peek()? {
            '{' => {
                chars.next();
                let mut fields = Vec::new();
                loop {
                    skip(chars);
                    if chars.next_if_eq(&'}').is_some() {
                        break Self::Object(fields);
                    }
                    chars.next_if_eq(&',');
                    let Self::Text(name) = Self::value(chars)? else {
                        return None;
                    };
                    skip(chars);
                    chars.next_if_eq(&':')?;
                    fields.push((name, Self::value(chars)?));
                }
            }
            '[' => {
                chars.next();
                let mut items = Vec::new();
                loop {
                    skip(chars);
                    if chars.next_if_eq(&']').is_some() {
                        break Self::List(items);
                    }
                    chars.next_if_eq(&',');
                    items.push(Self::value(chars)?);
                }
            }
            '"' => {
                chars.next();
                let mut text = String::new();
                loop {
                    match chars.next()? {
                        '"' => break Self::Text(text),
                        '\\' => match chars.next()? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'u' => {
                                let code: String = chars.by_ref().take(4).collect();
                                text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                            }
                            other => text.push(other),
                        },
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let mut word = String::new();
                while let Some(c) = chars.next_if(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                    word.push(c);
                }
                match word.as_str() {
                    "null" => Self::Null,
                    "true" => Self::Bool(true),
                    "false" => Self::Bool(false),
                    number => Self::Number(number.parse().ok()?),
                }
            }
        };
        skip(chars);
        Some(value)
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => text.push(BASE64[(word >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| BASE64.iter().position(|digit| *digit == byte));
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in digits {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}

// --------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// While true, calls get no answer.
    pub silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
            silent: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                ending.end_leases();
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        self.commit(&[(key.to_owned(), value.as_bytes().to_vec(), 0)], &[]);
    }

    pub fn remove(&self, key: &str) {
        self.commit(&[], &[key.to_owned()]);
    }

    fn commit(&self, writes: &[(String, Vec<u8>, u64)], removals: &[String]) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let revision = state.revision + 1;
        state.revision = revision;
        for (key, value, lease) in writes {
            let created = state.items.get(key).map_or(revision, |item| item.created);
            let item = Item {
                value: value.clone(),
                revision,
                created,
                lease: *lease,
            };
            state.items.insert(key.clone(), item.clone());
            state.events.push((revision, key.clone(), Some(item)));
        }
        for key in removals {
            if state.items.remove(key).is_some() {
                state.events.push((revision, key.clone(), None));
            }
        }
        self.state.1.notify_all();
        revision
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let ended: Vec<String> = {
            let mut state = self.state.0.lock().unwrap();
            state.leases.retain(|_, (until, _)| *until > now);
            let leases = &state.leases;
            let items = state
                .items
                .iter()
                .filter(|(_, i)| i.lease != 0 && !leases.contains_key(&i.lease));
            items.map(|(key, _)| key.clone()).collect()
        };
        if !ended.is_empty() {
            self.commit(&[], &ended);
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_request_body(&head) else {
                return;
            };
            while self.silent.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if conn.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(field, _)| *field == name)
                .map(|(_, value)| percent_decode(value))
        };
        let number = |name: &str| {
            param(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let item_text = |key: &str, item: &Item| {
            format!(
                r#"{{"key":"{key}","value":"{}","revision":{},"createRev":{},"lease":{}}}"#,
                base64(&item.value),
                item.revision,
                item.created,
                item.lease
            )
        };
        match (head.word(0), path) {
            ("GET", "/lacewingmoor/kv-key") => {
                let key = param("key").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_text(&key, item);
                        let text = text.trim_end_matches('}');
                        (
                            200,
                            format!(r#"{text},"storeRevision":{}}}"#, state.revision),
                        )
                    }
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/lacewingmoor/kv-range") => {
                let (prefix, after) = (param("prefix").unwrap_or_default(), param("after"));
                let state = self.state.0.lock().unwrap();
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                let items =
                    items.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
                let all: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
                let has_more = all.len() > 500;
                let page = all.into_iter().take(500).collect::<Vec<_>>().join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        r#"{{"items":[{page}],"hasMore":{has_more},"storeRevision":{revision}}}"#
                    ),
                )
            }
            ("GET", "/lacewingmoor/kv-watch") => {
                let (prefix, after) = (param("prefix").unwrap_or_default(), number("after"));
                let until = Instant::now() + Duration::from_millis(number("waitMs"));
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let is_new = |event: &&(u64, String, Option<Item>)| {
                        event.0 > after && event.1.starts_with(&prefix)
                    };
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(is_new)
                        .map(|event| match event {
                            (_, key, Some(item)) => item_text(key, item),
                            (at, key, None) => {
                                format!(r#"{{"key":"{key}","revision":{at},"tombstone":true}}"#)
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (
                            200,
                            format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/lacewingmoor/kv-txn") => {
                let Some(txn) = Json::parse(body) else {
                    return (400, "{}".into());
                };
                let list = |name: &str| {
                    txn.get(name)
                        .map(|list| list.list().to_vec())
                        .unwrap_or_default()
                };
                let state = self.state.0.lock().unwrap();
                let text = |row: &Json, name: &str| {
                    row.get(name).map_or(String::new(), |t| t.text().to_owned())
                };
                for row in list("expectRev") {
                    let revision = row.get("revision").map_or(0, Json::number);
                    if state
                        .items
                        .get(&text(&row, "key"))
                        .map_or(0, |item| item.revision)
                        != revision
                    {
                        return (412, r#"{"items":[]}"#.into());
                    }
                }
                let writes: Vec<(String, Vec<u8>, u64)> = list("writes")
                    .iter()
                    .map(|row| {
                        let lease = row.get("lease").map_or(0, Json::number);
                        (text(row, "key"), from_base64(&text(row, "value")), lease)
                    })
                    .collect();
                let is_ended = |(_, _, lease): &(String, Vec<u8>, u64)| {
                    *lease != 0 && !state.leases.contains_key(lease)
                };
                if writes.iter().any(is_ended) {
                    return (404, "{}".into());
                }
                drop(state);
                let removals: Vec<String> = list("remove")
                    .iter()
                    .map(|key| key.text().to_owned())
                    .collect();
                (
                    200,
                    format!(r#"{{"revision":{}}}"#, self.commit(&writes, &removals)),
                )
            }
            ("POST", "/lacewingmoor/kv-lease") => {
                let ttl_ms = Json::parse(body)
                    .and_then(|b| b.get("ttlMs").map(Json::number))
                    .unwrap_or(1000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/lacewingmoor/kv-keep/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0u64);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            _ => (404, "{}".into()),
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ------------------------------------------------------------------------------------------- servers

/// A request at a server.
pub struct Arrival<'a> {
    pub head: &'a Head,
    pub body: &'a [u8],
    pub server: &'a Server,
}

/// What a server does with a request that it runs: writes the answer, and returns true if the connection
/// stays open.
pub type Handler = dyn Fn(&Arrival<'_>, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A server of a service, which registers in the store.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub running: Arc<AtomicU32>,
    pub runs: Arc<Mutex<Vec<(String, Instant)>>>,
    pub log: Log,
}

/// Seal of a server; a client counts a success only with it.
pub fn seal(server: &str, id: &str) -> String {
    format!("{server}.{id}")
}

impl Server {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        log: &Log,
        handler: Arc<Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let server = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            slots: 8,
            running: Arc::default(),
            runs: Arc::default(),
            log: log.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (serving.clone(), handler.clone());
                thread::spawn(move || server.serve(Conn::new(stream), &*handler));
            }
        });
        let (beating, store) = (server.clone(), store.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let beat = move |sequence: u64| {
            let value = format!(
                r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{},"state":"ready","warmupLeftMs":0,"sequence":{sequence},"born":{born}}}"#,
                beating.addr, beating.slots
            );
            store.put(&format!("servers/{}", beating.id), &value);
        };
        beat(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                beat(sequence);
            }
        });
        Ok(server)
    }

    pub fn load(&self) -> String {
        format!(
            "{},0,{},100",
            self.running.load(Ordering::Relaxed),
            self.slots
        )
    }

    /// Head of an answer up to the fields that tell the length of the body.
    pub fn answer_head(&self, status: &str, id: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Lacewingmoor-Attempt-Id: {id}\r\nX-Lacewingmoor-Server-Seal: {}\r\nX-Lacewingmoor-Server-Load: {}\r\n",
            seal(&self.id, id),
            self.load()
        )
    }

    fn serve(&self, mut conn: Conn, handler: &Handler) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_request_body(&head) else {
                return;
            };
            let id = head.attempt_id().to_owned();
            if head.word(1) == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Instance-Id: {}\r\nX-Lacewingmoor-Server-Load: {}\r\nX-Lacewingmoor-Warmup-Ms: 0\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.load()
                );
                if conn.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if head
                .get("x-lacewingmoor-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Lacewingmoor-Instance-Id: {}\r\nX-Lacewingmoor-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if conn.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            self.runs.lock().unwrap().push((id.clone(), Instant::now()));
            self.log.line(format!(
                "server {} runs {} ({} {})",
                self.id,
                id,
                head.word(0),
                head.word(1)
            ));
            let arrival = Arrival {
                head: &head,
                body: &body,
                server: self,
            };
            let keeps = handler(&arrival, &mut conn.stream);
            self.running.fetch_sub(1, Ordering::Relaxed);
            match keeps {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    self.log.line(format!(
                        "server {}: connection of {id} ended: {error}",
                        self.id
                    ));
                    return;
                }
            }
        }
    }
}

// --------------------------------------------------------------------------------------------- entry

/// Settings of a small deployment.
pub struct Deployment {
    pub ip: String,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub name: String,
    pub zone: &'static str,
    pub grace_s: u64,
    pub apply_ms: u64,
    pub has_quotas: bool,
}

/// A running entry.
pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub child: Child,
    pub folder: PathBuf,
    run: Vec<String>,
    env: Vec<(String, String)>,
}

/// Zones of the deployment with their regions.
pub const ZONES: &str = r#"{"north-a":"north","north-b":"north","south-a":"south"}"#;

/// Returns a loopback address that belongs to this process.
pub fn own_ip(index: u8) -> String {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{low}.{index}", 64 | (high & 63))
}

/// Returns a port that is free at the address.
pub fn free_port(ip: &str) -> io::Result<u16> {
    Ok(TcpListener::bind(format!("{ip}:0"))?.local_addr()?.port())
}

impl Entry {
    /// Starts an entry with the command, the settings template and the variables of the deploy file, which
    /// are filled in as the platform does it.
    pub fn start(folder: &Path, deployment: &Deployment) -> io::Result<Self> {
        let deploy = std::fs::read_to_string("deploy/system.toml")?;
        let setting = |name: &str| {
            let mut lines = deploy.lines().filter_map(|line| line.split_once(" = "));
            let value = lines
                .find(|(field, _)| *field == name)
                .map(|(_, value)| value.trim());
            value
                .map(str::to_owned)
                .ok_or_else(|| io::Error::other(format!("deploy file: no {name}")))
        };
        let unquoted = |text: String| text.trim_matches('"').to_owned();
        let ip = &deployment.ip;
        let addr = || -> io::Result<SocketAddr> {
            format!("{ip}:{}", free_port(ip)?)
                .parse()
                .map_err(io::Error::other)
        };
        let (front, ready, control) = (addr()?, addr()?, addr()?);
        let seeds: Vec<String> = deployment
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let quota = |value: &str| match deployment.has_quotas {
            true => value.to_owned(),
            false => String::new(),
        };
        let values = [
            ("nodeName", deployment.name.clone()),
            ("zone", deployment.zone.to_owned()),
            (
                "region",
                deployment
                    .zone
                    .split('-')
                    .next()
                    .unwrap_or_default()
                    .to_owned(),
            ),
            ("zones|json", ZONES.to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("ip", ip.clone()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("platform.address", deployment.store.to_string()),
            ("bounds.graceS", deployment.grace_s.to_string()),
            ("bounds.configApplyMs", deployment.apply_ms.to_string()),
            ("bounds.probesPerS", "60".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.budgetExtra", "64".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("limits.cpuShare", "0.2".into()),
            ("limits.linkMbps", "1000.0".into()),
            ("limits.memoryMb", "260".into()),
            ("bounds.quotaWindowS", quota("5")),
            ("bounds.quotaOver", quota("0.1")),
            ("bounds.quotaSlack", quota("20")),
            ("bounds.strictRevoke", quota("false")),
            ("bounds.revokeMs", quota("5000")),
        ];
        let fill = |text: &str| {
            let mut filled = String::new();
            let mut rest = text;
            while let Some((before, after)) = rest.split_once("{{") {
                let (name, after) = after.split_once("}}").unwrap_or((after, ""));
                filled.push_str(before);
                // Nothing is filled in for what the deployment does not have.
                let value = values.iter().find(|(field, _)| *field == name);
                filled.push_str(value.map_or("", |(_, value)| value));
                rest = after;
            }
            filled + rest
        };
        std::fs::create_dir_all(folder)?;
        let template = std::fs::read_to_string(unquoted(setting("template")?))?;
        let settings = folder.join("node.json");
        std::fs::write(&settings, fill(&template))?;
        let mut env = vec![(
            "LACEWINGMOOR_SETTINGS".to_owned(),
            settings.display().to_string(),
        )];
        let variables = setting("env")?;
        let variables = variables.trim_start_matches("{ ").trim_end_matches(" }");
        if let Some((name, text)) = variables.split_once(" = \"") {
            env.push((name.to_owned(), fill(text.trim_end_matches('"'))));
        }
        let run: Vec<String> = unquoted(setting("run")?)
            .split(' ')
            .map(str::to_owned)
            .collect();
        let child = Self::spawn(&run, &env, folder)?;
        Ok(Self {
            front,
            ready,
            control,
            child,
            folder: folder.to_owned(),
            run,
            env,
        })
    }

    fn spawn(run: &[String], env: &[(String, String)], folder: &Path) -> io::Result<Child> {
        let output = File::options()
            .create(true)
            .append(true)
            .open(folder.join("entry.log"))?;
        let mut command = Command::new(&run[0]);
        command.args(&run[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.envs(env.iter().map(|(name, value)| (name, value)));
        command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        let child = command.spawn()?;
        CHILDREN.lock().unwrap().push(child.id());
        Ok(child)
    }

    pub fn signal(&self, signal: i32) {
        sys::send(self.child.id(), signal);
    }

    /// Starts the process again, as the platform does after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        let ended = self.child.id();
        CHILDREN.lock().unwrap().retain(|pid| *pid != ended);
        self.child = Self::spawn(&self.run, &self.env, &self.folder)?;
        Ok(())
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        failed("the entry was not ready within 15 s")
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut conn) = Conn::open(self.ready) else {
            return false;
        };
        let text = "GET /lacewingmoor/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        conn.stream.write_all(text.as_bytes()).is_ok()
            && conn.read_answer(Duration::from_secs(1)).status() == 200
    }
}

/// Folder for settings and logs of the entries of this script.
pub fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// A configuration with one host and the given routes and services.
pub fn config(version: u64, services: &[&str], hosts: &str, tenants: &str) -> String {
    let services: Vec<String> = services.iter().map(|name| format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConns":260,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":4.5}}"#
    )).collect();
    format!(
        r#"{{"version":"r{version}","services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}{tenants},"virtualHosts":[{hosts}]}}"#,
        services.join(",")
    )
}
