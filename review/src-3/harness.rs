//! Stand-ins of the platform's store, of servers and of clients, written with the standard library only, and
//! the start of entries with the command, the template and the environment of the deploy file.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which a server writes its entry, as in the settings of a small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Zone and region of everything that a case starts.
pub const ZONE: &str = "oberland-a";
pub const REGION: &str = "oberland";

/// Time of a run that the record names.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Opens `record.txt` in the folder of the case, which is the first argument of the program.
    pub fn open() -> Arc<Self> {
        let folder = std::env::args().nth(1).expect("the folder of the case is an argument");
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt can be written");
        Arc::new(Self { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn at_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.at_ms(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Returns true unless the case is to run without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exits with 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, why: &str) -> i32 {
    record.line(format!("{}: {why}", if broken { "rule broken" } else { "rule held" }));
    i32::from(broken)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

// --- HTTP ---------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reader of one connection, which keeps bytes that arrive early.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; 0 at the end of the connection.
    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Head { first_line, fields }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that `head` announces. `until_end` means that one without a length lasts until the
    /// connection ends.
    pub fn body(&mut self, head: &Head, until_end: bool) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.exactly(2)?;
            }
        }
        if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            return self.exactly(length);
        }
        if until_end {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }
}

pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --- Base64 and JSON, as far as the store needs them -----------------------------------------------

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = (u32::from(three[0]) << 16)
            | (u32::from(*three.get(1).unwrap_or(&0)) << 8)
            | u32::from(*three.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= three.len() {
                true => text.push(BASE64[(number >> (18 - 6 * i)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = BASE64.iter().position(|other| *other == byte).unwrap_or(0);
        number = (number << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    bytes
}

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Map(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                let mut fields = Vec::new();
                *at += 1;
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => break,
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(name) = Self::value(bytes, at)? else { return None };
                            Self::space(bytes, at);
                            *at += 1;
                            fields.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
                *at += 1;
                Some(Self::Map(fields))
            }
            b'[' => {
                let mut values = Vec::new();
                *at += 1;
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => break,
                        b',' => *at += 1,
                        _ => values.push(Self::value(bytes, at)?),
                    }
                }
                *at += 1;
                Some(Self::List(values))
            }
            b'"' => {
                let mut text = Vec::new();
                *at += 1;
                loop {
                    match *bytes.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            text.push(match *bytes.get(*at)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[start..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }
}

// --- The platform's store ----------------------------------------------------------------------------

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<(Vec<u8>, u64)>)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// Length of a page of a listing.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// The platform's store: reads, watches, transactions and leases as PROTOCOL.md has them. It loses nothing,
/// is never down and serves every read with the latest state.
pub struct Store {
    pub addr: SocketAddr,
    contents: Mutex<Contents>,
    changed: Condvar,
    /// While set, calls get no response.
    pub is_silent: AtomicBool,
    pub calls: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind((free_ip(), 0)).expect("a port for the store");
        let contents = Contents { revision: 100, ..Contents::default() };
        let store = Arc::new(Self {
            addr: listener.local_addr().unwrap(),
            contents: Mutex::new(contents),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        let shared = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            shared.expire();
        });
        store
    }

    fn expire(&self) {
        let mut contents = self.contents.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = contents.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            contents.leases.remove(&lease);
            let keys: Vec<String> =
                contents.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
            if !keys.is_empty() {
                Self::commit(&mut contents, &[], &keys);
            }
        }
        self.changed.notify_all();
    }

    fn commit(contents: &mut Contents, writes: &[(String, Vec<u8>, u64)], removals: &[String]) -> u64 {
        contents.revision += 1;
        let revision = contents.revision;
        for (key, value, lease) in writes {
            let created = contents.items.get(key).map_or(revision, |item| item.created);
            let item = Item { value: value.clone(), revision, created, lease: *lease };
            contents.items.insert(key.clone(), item);
            contents.history.push((revision, key.clone(), Some((value.clone(), *lease))));
        }
        for key in removals {
            if contents.items.remove(key).is_some() {
                contents.history.push((revision, key.clone(), None));
            }
        }
        revision
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.put_bytes(key, value.as_bytes())
    }

    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        let mut contents = self.contents.lock().unwrap();
        let revision = Self::commit(&mut contents, &[(key.to_owned(), value.to_vec(), 0)], &[]);
        self.changed.notify_all();
        revision
    }

    /// Writes several keys in one transaction, at most 32.
    pub fn put_together(&self, writes: &[(String, Vec<u8>)]) -> u64 {
        assert!(writes.len() <= 32, "a transaction has at most 32 entries");
        let writes: Vec<_> = writes.iter().map(|(key, value)| (key.clone(), value.clone(), 0)).collect();
        let mut contents = self.contents.lock().unwrap();
        let revision = Self::commit(&mut contents, &writes, &[]);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) -> u64 {
        let mut contents = self.contents.lock().unwrap();
        let revision = Self::commit(&mut contents, &[], &[key.to_owned()]);
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            let body = reader.body(&head, false)?;
            self.calls.fetch_add(1, Ordering::Relaxed);
            if self.is_silent.load(Ordering::Relaxed) {
                // Nothing was done, and the connection returns nothing further.
                thread::sleep(Duration::from_secs(120));
                return Ok(());
            }
            let (status, text) = self.call(&head, &body);
            let fields = [("Content-Type", "application/json")];
            reader.stream.write_all(&response(status, &fields, text.as_bytes()))?;
        }
        Ok(())
    }

    fn call(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<&str, String> =
            query.split('&').filter_map(|pair| pair.split_once('=')).map(|(n, v)| (n, percent_decoded(v))).collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (head.method(), path) {
            ("GET", "/lacewingmoor/kv-key") => {
                let contents = self.contents.lock().unwrap();
                match contents.items.get(&text("key")) {
                    Some(item) => ("200 OK", item_json(&text("key"), item, Some(contents.revision))),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("GET", "/lacewingmoor/kv-range") => {
                let contents = self.contents.lock().unwrap();
                let (prefix, after) = (text("prefix"), text("after"));
                let matching = contents.items.iter().filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
                let (mut page, mut page_bytes, mut more) = (Vec::new(), 0, false);
                for (key, item) in matching {
                    page_bytes += item.value.len();
                    if page.len() >= PAGE_ITEMS || (page_bytes > PAGE_BYTES && !page.is_empty()) {
                        more = true;
                        break;
                    }
                    page.push(item_json(key, item, None));
                }
                let revision = contents.revision;
                ("200 OK", format!(r#"{{"items":[{}],"hasMore":{more},"storeRevision":{revision}}}"#, page.join(",")))
            }
            ("GET", "/lacewingmoor/kv-watch") => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                let prefix = text("prefix");
                let mut contents = self.contents.lock().unwrap();
                if after < 100 {
                    return ("410 Gone", "{}".into());
                }
                loop {
                    let events = contents.history.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let events: Vec<String> = events
                        .map(|(revision, key, value)| match value {
                            Some((value, lease)) => format!(
                                r#"{{"key":"{key}","value":"{}","revision":{revision},"createRev":{revision},"lease":{lease}}}"#,
                                base64(value)
                            ),
                            None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= deadline {
                        let revision = contents.revision;
                        return ("200 OK", format!(r#"{{"events":[{}],"storeRevision":{revision}}}"#, events.join(",")));
                    }
                    contents = self.changed.wait_timeout(contents, deadline - now).unwrap().0;
                }
            }
            ("POST", "/lacewingmoor/kv-lease") => {
                let ttl_ms = Json::parse(body).and_then(|json| json.get("ttlMs").map(Json::number)).unwrap_or(1000.0) as u64;
                let mut contents = self.contents.lock().unwrap();
                contents.last_lease += 1;
                let (lease, ttl) = (contents.last_lease, Duration::from_millis(ttl_ms));
                contents.leases.insert(lease, (Instant::now() + ttl, ttl));
                ("200 OK", format!(r#"{{"lease":{lease},"ttlMs":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/lacewingmoor/kv-keep/") => {
                let lease: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut contents = self.contents.lock().unwrap();
                match contents.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("POST", "/lacewingmoor/kv-txn") => self.transaction(body),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn transaction(&self, body: &[u8]) -> (&'static str, String) {
        let Some(json) = Json::parse(body) else {
            return ("400 Bad Request", "{}".into());
        };
        let list = |name: &str| json.get(name).map_or(&[][..], Json::list);
        let mut contents = self.contents.lock().unwrap();
        for expected in list("expectRev") {
            let key = expected.get("key").map_or("", Json::text);
            let revision = expected.get("revision").map_or(0.0, Json::number) as u64;
            if contents.items.get(key).map_or(0, |item| item.revision) != revision {
                return ("412 Precondition Failed", r#"{"items":[]}"#.into());
            }
        }
        let writes: Vec<(String, Vec<u8>, u64)> = list("writes")
            .iter()
            .map(|write| {
                let value = from_base64(write.get("value").map_or("", Json::text));
                let lease = write.get("lease").map_or(0.0, Json::number) as u64;
                (write.get("key").map_or("", Json::text).to_owned(), value, lease)
            })
            .collect();
        if writes.iter().any(|(_, _, lease)| *lease != 0 && !contents.leases.contains_key(lease)) {
            return ("404 Not Found", "{}".into());
        }
        let removals: Vec<String> = list("remove").iter().map(|key| key.text().to_owned()).collect();
        let revision = Self::commit(&mut contents, &writes, &removals);
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }
}

fn item_json(key: &str, item: &Item, store_revision: Option<u64>) -> String {
    let Item { value, revision, created, lease } = item;
    let mut text = format!(
        r#"{{"key":"{key}","value":"{}","revision":{revision},"createRev":{created},"lease":{lease}"#,
        base64(value)
    );
    if let Some(revision) = store_revision {
        let _ = write!(text, r#","storeRevision":{revision}"#);
    }
    text.push('}');
    text
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                decoded.push(byte);
                at += 3;
                continue;
            }
        }
        decoded.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// --- Addresses ----------------------------------------------------------------------------------------

/// Returns a loopback address that no other call of this process returns, and hardly one of another process.
pub fn free_ip() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (high & 63), low, 1 + (count % 250) as u8)
}

/// Returns addresses with ports that nobody listens on.
fn free_addrs<const COUNT: usize>(ip: Ipv4Addr) -> [SocketAddr; COUNT] {
    let listeners: [TcpListener; COUNT] = std::array::from_fn(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound address"))
}

// --- Entries ------------------------------------------------------------------------------------------

/// A running entry, started as the deploy file says.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Child,
}

/// Fields of the settings of a deployment; at first those of isarbrunn-bahnen.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub config_apply: Duration,
    pub budget_extra: u32,
    /// Further fields, by their names in the template.
    pub fields: Vec<(&'static str, &'static str)>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    pub fn new(store: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self { folder, store, seeds: Vec::new(), config_apply: Duration::from_millis(2000), budget_extra: 64, fields: Vec::new() }
    }

    /// Starts an entry.
    pub fn start(&mut self, name: &str) -> Entry {
        let ip = free_ip();
        let [front, ready, control, metrics] = free_addrs(ip);
        if self.seeds.len() < 3 {
            self.seeds.push(control);
        }
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let fields = [
            ("nodeName", name.to_owned()),
            ("zone", ZONE.to_owned()),
            ("region", REGION.to_owned()),
            ("zones|json", format!(r#"{{"{ZONE}":"{REGION}"}}"#)),
            ("ip", ip.to_string()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("platform.address", self.store.to_string()),
            ("bounds.graceS", "6".into()),
            ("bounds.configApplyMs", self.config_apply.as_millis().to_string()),
            ("bounds.probesPerS", "60".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.budgetExtra", self.budget_extra.to_string()),
            ("bounds.budgetWindowS", "10".into()),
            ("limits.cpuShare", "0.2".into()),
            ("limits.linkMbps", "1000.0".into()),
            ("limits.memoryMb", "260".into()),
        ];
        let fill = |text: &str| {
            let mut text = text.to_owned();
            for (name, value) in &fields {
                text = text.replace(&format!("{{{{{name}}}}}"), value);
            }
            for (name, value) in &self.fields {
                text = text.replace(&format!("{{{{{name}}}}}"), value);
            }
            // A field without a value returns nothing.
            while let Some(start) = text.find("{{") {
                let end = text[start..].find("}}").map_or(text.len(), |end| start + end + 2);
                text.replace_range(start..end, "");
            }
            text
        };
        let template = std::fs::read_to_string("deploy/entry.yaml.in").expect("the template");
        // The port of the metrics may be taken on all addresses of the machine.
        let template = template.replace("{{ip}}:9100", &metrics.to_string());
        let settings = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, fill(&template)).expect("the settings can be written");
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let bounds = quoted(&deploy, "LACEWINGMOOR_BOUNDS = ");
        std::fs::write(self.folder.join(format!("{name}.bounds")), fill(&bounds)).expect("the bounds");
        let folder = self.folder.clone();
        let child = spawn(&folder, name, &settings);
        Entry { name: name.to_owned(), front, ready, control, settings, folder, child }
    }
}

fn quoted(text: &str, before: &str) -> String {
    let start = text.find(before).expect("the deploy file has the field") + before.len() + 1;
    let end = text[start..].find('"').expect("the field ends") + start;
    text[start..end].to_owned()
}

fn spawn(folder: &Path, name: &str, settings: &Path) -> Child {
    let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let run = quoted(&deploy, "\nrun = ");
    let mut words = run.split(' ');
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log"))).expect("a log");
    let bounds = std::fs::read_to_string(folder.join(format!("{name}.bounds"))).unwrap_or_default();
    let mut command = Command::new(words.next().unwrap());
    // SAFETY: prctl() is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            // The entry ends with this program, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
    command
        .args(words)
        .env("LACEWINGMOOR_SETTINGS", settings)
        .env("LACEWINGMOOR_BOUNDS", bounds)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the program of the deploy file starts")
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: i32, third: u64, fourth: u64, fifth: u64) -> i32;
}

impl Entry {
    /// Sends a signal to the process, which has not been waited for.
    pub fn signal(&self, signal: i32) {
        // SAFETY: kill() accesses no memory.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.child = spawn(&self.folder, &self.name, &self.settings);
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let call = Call::new("GET", "platform", "/lacewingmoor/ready");
        call.send(self.ready).is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the entry is ready; false if it is not in time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

// --- Clients ------------------------------------------------------------------------------------------

/// A request of a client, on a new connection.
#[derive(Clone)]
pub struct Call {
    pub method: String,
    pub host: String,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
    /// Further fields, each with its line end.
    pub fields: String,
    pub body: Vec<u8>,
}

pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// False if the answer broke off.
    pub is_whole: bool,
}

/// Returns an id that no other attempt has.
pub fn next_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed))
}

impl Call {
    pub fn new(method: &str, host: &str, path: &str) -> Self {
        Self {
            method: method.into(),
            host: host.into(),
            path: path.into(),
            id: next_id(),
            deadline: Duration::from_secs(3),
            fields: String::new(),
            body: Vec::new(),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Lacewingmoor-Attempt-Id: {}\r\nX-Lacewingmoor-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline.as_millis()
        );
        if !self.body.is_empty() || self.method == "POST" {
            let _ = write!(text, "Content-Length: {}\r\n", self.body.len());
        }
        text.push_str(&self.fields);
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    pub fn send(&self, to: SocketAddr) -> io::Result<Answer> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        self.send_on(stream)
    }

    pub fn send_on(&self, stream: TcpStream) -> io::Result<Answer> {
        stream.set_read_timeout(Some(self.deadline))?;
        let mut reader = Reader::new(stream);
        reader.stream.write_all(&self.bytes())?;
        read_answer(&mut reader)
    }
}

pub fn read_answer(reader: &mut Reader) -> io::Result<Answer> {
    loop {
        let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.status();
        if (100..200).contains(&status) {
            continue;
        }
        let (body, is_whole) = match reader.body(&head, true) {
            Ok(body) => (body, true),
            Err(_) => (Vec::new(), false),
        };
        return Ok(Answer { status, head, body, is_whole });
    }
}

// --- Servers ------------------------------------------------------------------------------------------

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub at_ms: u128,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body_bytes: usize,
    /// Key that was passed on, and tenant that the system named.
    pub authorization: Option<String>,
    pub tenant: Option<String>,
    /// False if the server rejected it.
    pub ran: bool,
}

/// A sound server of a service. It registers itself, writes its entry at each heartbeat, answers its health
/// path, and runs requests that expect it.
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub work: Duration,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub is_draining: AtomicBool,
    /// Says in its answers that it leaves.
    pub is_leaving: AtomicBool,
    /// While set, the server does not write its entry.
    pub is_unregistered: AtomicBool,
    pub sequence: AtomicU64,
    pub born: AtomicU64,
    running: AtomicU32,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Server {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, id: &str, service: &str, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind((free_ip(), 0)).expect("a port for a server");
        let server = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            addr: listener.local_addr().unwrap(),
            work,
            arrivals: Mutex::new(Vec::new()),
            is_draining: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_unregistered: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(unix_ms()),
            running: AtomicU32::new(0),
            record: record.clone(),
            store: store.clone(),
        });
        server.beat();
        let shared = server.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            shared.beat();
        });
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = shared.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        server
    }

    /// Returns the server's entry in the store, as the page lists its fields.
    pub fn entry(&self, sequence: u64) -> String {
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{ZONE}","version":"v1","slots":4,"state":"{state}","warmupLeftMs":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.addr, self.born.load(Ordering::Relaxed)
        )
    }

    /// Writes the server's entry, and returns the store's revision.
    pub fn beat(&self) -> u64 {
        if self.is_unregistered.load(Ordering::Relaxed) {
            return 0;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.put(&format!("servers/{}", self.id), &self.entry(sequence))
    }

    fn load(&self) -> String {
        format!("{},0,4,100", self.running.load(Ordering::Relaxed))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            let body = reader.body(&head, false)?;
            let load = self.load();
            let leaving = self.is_leaving.load(Ordering::Relaxed) || self.is_draining.load(Ordering::Relaxed);
            let mut fields = vec![("X-Lacewingmoor-Instance-Id", self.id.as_str()), ("X-Lacewingmoor-Server-Load", load.as_str())];
            if leaving {
                fields.push(("Server-Leaving", "1"));
            }
            if head.target() == "/health" {
                let status = if leaving { "503 Service Unavailable" } else { "200 OK" };
                reader.stream.write_all(&response(status, &fields, b""))?;
                continue;
            }
            let id = head.get("x-lacewingmoor-attempt-id").unwrap_or_default().to_owned();
            let expected = head.get("x-lacewingmoor-expect-instance");
            let is_expected = expected.is_none_or(|expected| expected == self.id);
            self.arrivals.lock().unwrap().push(Arrival {
                at: Instant::now(),
                at_ms: self.record.at_ms(),
                id: id.clone(),
                method: head.method().to_owned(),
                path: head.target().to_owned(),
                body_bytes: body.len(),
                authorization: head.get("authorization").map(str::to_owned),
                tenant: head.get("x-lacewingmoor-tenant").map(str::to_owned),
                ran: is_expected,
            });
            fields.push(("X-Lacewingmoor-Attempt-Id", id.as_str()));
            if !is_expected {
                reader.stream.write_all(&response("421 Misdirected Request", &fields, b""))?;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::Relaxed);
            let load = self.load();
            fields[1].1 = load.as_str();
            fields.push(("X-Lacewingmoor-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"));
            let text = format!("{} of {} ran {id}\n", self.id, self.service);
            reader.stream.write_all(&response("200 OK", &fields, text.as_bytes()))?;
        }
        Ok(())
    }

    pub fn runs(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().iter().filter(|arrival| arrival.ran).cloned().collect()
    }
}

// --- Configuration ------------------------------------------------------------------------------------

/// Returns a service of a configuration.
pub fn service_json(name: &str) -> String {
    format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":260,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.0}}"#)
}

/// Returns a route of a configuration.
pub fn route_json(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    ranked_route_json(name, prefix, kind, service, 1)
}

/// Returns a route of a configuration with its rank.
pub fn ranked_route_json(name: &str, prefix: &str, kind: &str, service: &str, priority: usize) -> String {
    format!(
        r#"{{"name":"{name}","prefix":"{prefix}","kind":"{kind}","timeoutMs":2000,"targetLatencyMs":400,"priority":{priority},"service":"{service}","maxAttempts":2,"allowedRegions":[]}}"#
    )
}

/// Returns a configuration with hosts and their routes.
pub fn config_json(version: u64, services: &[&str], hosts: &[(&str, &[String])]) -> String {
    let services: Vec<String> = services.iter().map(|name| service_json(name)).collect();
    let hosts: Vec<String> = hosts
        .iter()
        .map(|(host, routes)| format!(r#"{{"hostname":"{host}","paths":[{}]}}"#, routes.join(",")))
        .collect();
    format!(
        r#"{{"version":"r{version}","services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"virtualHosts":[{}]}}"#,
        services.join(","),
        hosts.join(",")
    )
}
