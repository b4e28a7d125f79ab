//! The caller side: takes requests from salvo and writes answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::StatusCode;
use hyper::body::Body as _;
use lacewingmoor_control::{Arrival, Fate, RequestId};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use slog::{Logger, debug};

use crate::acceptor::Connections;
use crate::answer::{Answer, own};
use crate::body::RequestBody;
use crate::control::Control;
use crate::head;
use crate::metrics::Traffic;
use crate::request::{self, Outgoing};
use crate::target::Pool;

/// State shared by all requests.
pub struct Shared {
    /// Control thread.
    pub control: Control,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// Connections to targets.
    pub pool: Arc<Pool>,
    /// Metrics of the data path.
    pub metrics: Traffic,
    /// Log.
    pub log: Logger,
    /// True once the listeners are closed; requests on open connections are then refused.
    pub stopping: AtomicBool,
    next_request: AtomicU64,
}

impl Shared {
    /// Creates the state of a process that has served no request yet.
    pub fn new(control: Control, log: Logger) -> Arc<Self> {
        let metrics = Traffic::new();
        Arc::new(Self {
            control,
            connections: Arc::default(),
            pool: Arc::new(Pool::new(metrics.connects.clone())),
            metrics,
            log,
            stopping: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
        })
    }

    async fn answer(self: &Arc<Self>, req: &mut Request) -> Answer {
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.metrics.requests.increment(1);
        if self.stopping.load(Ordering::Relaxed) {
            let after = Some(std::time::Duration::ZERO);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return own(status, Fate::NotRun, "stopping", id, after);
        }
        match self.read_head(id, req) {
            Err(fault) => {
                debug!(self.log, "bad_request"; "request" => id, "fault" => fault);
                own(
                    StatusCode::BAD_REQUEST,
                    Fate::NotRun,
                    "bad-request",
                    id,
                    None,
                )
            }
            Ok((arrival, outgoing)) => {
                self.metrics.in_flight.increment(1.0);
                request::run(self, arrival, outgoing).await
            }
        }
    }

    fn read_head(
        &self,
        id: RequestId,
        req: &mut Request,
    ) -> Result<(Arrival, Outgoing), head::Fault> {
        let caller = req.remote_addr().clone().into_std();
        if self.connections.conflicting(caller) {
            return Err("conflicting lengths");
        }
        let bundle = self.control.bundle();
        let limits = bundle.as_ref().map(|b| &b.limits);
        let tenant_header = limits.map(|l| l.tenant_header.as_str());
        let (method, uri) = (req.method().clone(), req.uri().clone());
        if limits.is_some_and(|l| head::size(&method, &uri, req.headers()) > l.head_bytes_max) {
            return Err("head too large");
        }
        let source = req.take_body();
        let no_body = source.is_end_stream();
        let checked = head::check(
            &method,
            &uri,
            req.version(),
            req.headers(),
            no_body,
            tenant_header,
        )?;
        let tenant = match tenant_header.and_then(|name| req.headers().get(name)) {
            None => None,
            Some(value) => Some(value.to_str().map_err(|_| "malformed tenant")?.to_owned()),
        };
        let arrival = Arrival {
            request: id,
            method: method.as_str().to_owned(),
            path: uri.path().to_owned(),
            tenant,
            body_bytes: checked.body_bytes,
            deadline: checked.deadline,
            replayable: RequestBody::replayable(checked.body_bytes),
        };
        let mut headers = std::mem::take(req.headers_mut());
        head::forward(&mut headers, &uri, caller.map(|a| a.ip()));
        let target = uri.path_and_query().cloned();
        let outgoing = Outgoing {
            method,
            uri: target.map_or_else(|| http::Uri::from_static("/"), Into::into),
            headers,
            body: RequestBody::new(source, checked.body_bytes),
        };
        Ok((arrival, outgoing))
    }
}

/// Handles every request of callers.
pub struct Caller(pub Arc<Shared>);

#[async_trait]
impl Handler for Caller {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let answer = self.0.answer(req).await;
        res.status_code = Some(answer.status);
        res.headers = answer.headers;
        res.body = answer.body;
    }
}
