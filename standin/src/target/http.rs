//! The HTTP side of a target.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::model::{Job, Model, Report};
use crate::server::{Body, Reply, Server, answer, cut, full, json, query, query_number, read_body};
use crate::timer;

/// Longest request body in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Default length of one piece of a generated body.
const CHUNK_BYTES: u64 = 16 * 1024;

/// Time between the first half of a body and the cut.
const CUT_DELAY: Duration = Duration::from_millis(20);

pub(super) async fn serve(addr: SocketAddr, model: Arc<Model>) -> io::Result<Server> {
    Server::start(addr, move |request| handle(model.clone(), request)).await
}

async fn handle(model: Arc<Model>, request: Request<Incoming>) -> Reply {
    match request.uri().path() {
        "/standin" => control(&model, request).await,
        "/load" => probe(&model).await,
        _ => work(&model, request).await,
    }
}

async fn control(model: &Arc<Model>, request: Request<Incoming>) -> Reply {
    if request.method() == Method::POST {
        let bytes = read_body(request.into_body(), 4096)
            .await?
            .unwrap_or_default();
        match serde_json::from_slice(&bytes) {
            Ok(change) => model.change(change),
            Err(e) => return Ok(answer(StatusCode::BAD_REQUEST, format!("{e}\n"))),
        }
    }
    json(&model.counts())
}

async fn probe(model: &Model) -> Reply {
    model.count_probe();
    let _slot = model.slots().acquire().await.map_err(io::Error::other)?;
    timer::sleep(Duration::from_millis(model.settings().probe_ms)).await;
    match model.report() {
        Some(report) => json(&report),
        None => Ok(answer(StatusCode::NOT_FOUND, "no load report\n")),
    }
}

async fn work(model: &Arc<Model>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let id = header(&head.headers, "request-id").map(str::to_owned);
    let Some(mut job) = model.admit(id.clone()) else {
        return Ok(not_run(model));
    };
    let Some(body) = read_body(body, BODY_BYTES_MAX).await? else {
        return Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n"));
    };
    let slot = model.slots().clone().acquire_owned();
    let slot = match header(&head.headers, "request-deadline-ms").and_then(|v| v.parse().ok()) {
        None => slot.await,
        Some(ms) => match tokio::time::timeout(Duration::from_millis(ms), slot).await {
            Ok(slot) => slot,
            Err(_) => return Ok(not_run(model)),
        },
    };
    job.begin(
        slot.map_err(io::Error::other)?,
        query_number(&head.uri, "service_ms").map(Duration::from_millis),
    )
    .await;
    if let Some(delay) = query_number(&head.uri, "delay_ms") {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if model.take_cut() || query(&head.uri, "cut") == Some("head") {
        return Err(cut());
    }
    let id = id.unwrap_or_default();
    let mut response = reply(job, &head.uri, &head.headers, body, &id);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert("echo-id", value);
    }
    report_headers(model, headers);
    Ok(response)
}

/// Builds the answer of a request that was run.
fn reply(job: Job, uri: &Uri, headers: &HeaderMap, body: Bytes, id: &str) -> Response<Body> {
    if let Some(bytes) = query_number(uri, "bytes") {
        return generated(job, uri, bytes, id);
    }
    job.finish();
    if query(uri, "echo") == Some("headers") {
        let lines: String = headers
            .iter()
            .map(|(k, v)| format!("{k}: {}\n", v.to_str().unwrap_or("?")))
            .collect();
        return answer(StatusCode::OK, lines);
    }
    Response::new(full(body))
}

/// Builds an answer whose body is generated piece by piece; the job is over with its last piece.
fn generated(job: Job, uri: &Uri, bytes: u64, id: &str) -> Response<Body> {
    let pieces = Pieces {
        job,
        key: pattern_key(id),
        at: 0,
        end: bytes,
        cut_at: (query(uri, "cut") == Some("body")).then_some(bytes / 2),
        step: query_number(uri, "chunk_bytes")
            .unwrap_or(CHUNK_BYTES)
            .max(1),
        pause: Duration::from_millis(query_number(uri, "chunk_ms").unwrap_or(0)),
    };
    let body = StreamBody::new(stream::unfold(Some(pieces), Pieces::next));
    let mut response = Response::new(BodyExt::boxed(body));
    if query(uri, "chunked").is_none() {
        let headers = response.headers_mut();
        headers.insert(http::header::CONTENT_LENGTH, HeaderValue::from(bytes));
    }
    response
}

struct Pieces {
    job: Job,
    key: u64,
    at: u64,
    end: u64,
    cut_at: Option<u64>,
    step: u64,
    pause: Duration,
}

impl Pieces {
    async fn next(pieces: Option<Self>) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        let mut this = pieces?;
        if this.cut_at.is_some_and(|cut_at| this.at >= cut_at) {
            // The server drops what it has not flushed yet, so the first half gets time to go out.
            tokio::time::sleep(CUT_DELAY).await;
            return Some((Err(cut()), None));
        }
        if this.at > 0 && !this.pause.is_zero() {
            tokio::time::sleep(this.pause).await;
        }
        let stop = this.cut_at.unwrap_or(this.end);
        let length = this.step.min(stop - this.at);
        let mut piece = vec![0; length as usize];
        fill_pattern(this.key, this.at, &mut piece);
        this.at += length;
        let frame = Ok(Frame::data(Bytes::from(piece)));
        if this.at >= this.end {
            this.job.finish();
            return Some((frame, None));
        }
        Some((frame, Some(this)))
    }
}

fn not_run(model: &Model) -> Response<Body> {
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
    let headers = response.headers_mut();
    headers.insert("request-not-run", HeaderValue::from_static("true"));
    report_headers(model, headers);
    response
}

fn report_headers(model: &Model, headers: &mut HeaderMap) {
    if let Ok(value) = HeaderValue::from_str(&model.settings().name) {
        headers.insert("target", value);
    }
    if let Some(report) = model.report()
        && let Ok(value) = HeaderValue::from_str(&report_line(&report))
    {
        headers.insert("load-report", value);
    }
}

fn report_line(report: &Report) -> String {
    format!(
        "state={} in_flight={} queue={} start={}",
        report.state.name(),
        report.in_flight,
        report.queue,
        report.start_id
    )
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the key of the body that belongs to a request id (FNV-1a).
pub fn pattern_key(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Fills `piece` with the bytes from `offset` of the generated body with a key.
pub fn fill_pattern(key: u64, offset: u64, piece: &mut [u8]) {
    for (at, byte) in (offset..).zip(piece) {
        *byte = (key.rotate_left((at % 64) as u32) as u8).wrapping_add((at / 64) as u8);
    }
}
