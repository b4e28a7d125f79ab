//! One request from its head to the head of its answer: attempts, hedges, cancellation, deadline.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Instant;

use http::header::{HeaderMap, HeaderValue};
use http::{Method, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use lacewingmoor_control::{
    Arrival, Attempt, Dispatch, Event, Fate, LoadReport, Outcome, Refusal, RequestId,
};
use salvo::http::ResBody;

use crate::answer::{Answer, Exchange, TargetBody, own, refusal};
use crate::body::{BodyFault, RequestBody};
use crate::caller::Shared;
use crate::control::{Command, Commands};
use crate::head::{self, LOAD_REPORT, REQUEST_DEADLINE_MS, REQUEST_NOT_RUN};
use crate::target::{Conn, Gate};

/// What is sent to targets, the same for every attempt.
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Header fields without those of the caller's connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Arc<RequestBody>,
}

struct Head {
    response: Response<Incoming>,
    conn: Conn,
}

type Failure = Outcome;

struct Running {
    attempt: Attempt,
    future: Pin<Box<dyn Future<Output = Result<Head, Failure>> + Send>>,
}

enum Step {
    Command(Option<Command>),
    Ended(usize, Result<Head, Failure>),
}

/// Runs a request and returns the answer for the caller.
pub async fn run(shared: &Arc<Shared>, arrival: Arrival, outgoing: Outgoing) -> Answer {
    let request = arrival.request;
    let arrived = Instant::now();
    let mut request = Request {
        shared: shared.clone(),
        id: request,
        commands: shared.control.arrive(arrival),
        outgoing: Arc::new(outgoing),
        running: Vec::with_capacity(2),
        sent: false,
        over: false,
    };
    let mut first = Some(arrived);
    loop {
        match request.step().await {
            Step::Command(Some(Command::Dispatch(dispatch))) => {
                if let Some(arrived) = first.take() {
                    shared.metrics.decide.record(arrived.elapsed());
                }
                request.dispatch(dispatch);
            }
            Step::Command(Some(Command::Cancel(attempt))) => request.cancel(attempt),
            Step::Command(Some(Command::Refuse(refused))) => return request.refuse(&refused),
            Step::Command(None) => return request.control_lost(),
            Step::Ended(index, result) => {
                if let Some(answer) = request.ended(index, result) {
                    return answer;
                }
            }
        }
    }
}

struct Request {
    shared: Arc<Shared>,
    id: RequestId,
    commands: Commands,
    outgoing: Arc<Outgoing>,
    running: Vec<Running>,
    /// True once an attempt may have written a byte.
    sent: bool,
    /// True once the request needs no more bookkeeping when it is dropped.
    over: bool,
}

impl Request {
    /// Waits for the next thing to handle. An answer goes before commands, so that an answer that
    /// is there is not thrown away. The reducer keeps the deadline.
    async fn step(&mut self) -> Step {
        poll_fn(|cx| {
            for (index, running) in self.running.iter_mut().enumerate() {
                if let Poll::Ready(result) = running.future.as_mut().poll(cx) {
                    return Poll::Ready(Step::Ended(index, result));
                }
            }
            if let Poll::Ready(command) = self.commands.poll_recv(cx) {
                return Poll::Ready(Step::Command(command));
            }
            Poll::Pending
        })
        .await
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.outgoing.body.limit(dispatch.body_bytes_max);
        self.shared.metrics.attempts.increment(1);
        self.running.push(Running {
            attempt: dispatch.attempt,
            future: Box::pin(attempt(
                self.shared.clone(),
                self.outgoing.clone(),
                dispatch,
            )),
        });
    }

    fn ended(&mut self, index: usize, result: Result<Head, Failure>) -> Option<Answer> {
        let attempt = self.running.swap_remove(index).attempt;
        match result {
            Ok(head) => {
                let shed = head.response.status() == StatusCode::SERVICE_UNAVAILABLE
                    && head
                        .response
                        .headers()
                        .get(REQUEST_NOT_RUN)
                        .is_some_and(|v| v == "true");
                let report = self.report(&head.response);
                if shed {
                    // A head event would make this attempt the answer of the request.
                    drop(head);
                    self.send_ended(attempt, Outcome::Shed);
                    return None;
                }
                self.shared.control.send(Event::Head {
                    request: self.id,
                    attempt,
                    status: head.response.status().as_u16(),
                    report,
                });
                Some(self.pass_on(attempt, head))
            }
            Err(outcome) => {
                if let Some(answer) = self.body_fault(attempt, outcome) {
                    return Some(answer);
                }
                self.sent |= outcome == Outcome::Broken;
                self.send_ended(attempt, outcome);
                None
            }
        }
    }

    fn report(&self, response: &Response<Incoming>) -> Option<LoadReport> {
        let field = response.headers().get(LOAD_REPORT)?;
        let report = head::load_report(field);
        if report.is_none() {
            self.shared.metrics.bad_reports.increment(1);
        }
        report
    }

    /// Passes the answer of an attempt on to the caller; all other attempts are cancelled.
    fn pass_on(&mut self, attempt: Attempt, head: Head) -> Answer {
        self.cancel_all();
        self.over = true;
        let (parts, incoming) = head.response.into_parts();
        let mut headers = parts.headers;
        head::strip_hop_by_hop(&mut headers);
        headers.remove(LOAD_REPORT);
        headers.remove(REQUEST_NOT_RUN);
        let exchange = Exchange {
            shared: self.shared.clone(),
            request: self.id,
            attempt,
        };
        let body = TargetBody::new(incoming, head.conn, exchange);
        Answer {
            status: parts.status,
            headers,
            body: ResBody::Boxed(Box::pin(body)),
        }
    }

    /// Answers a request whose own body cannot be sent on.
    fn body_fault(&mut self, attempt: Attempt, outcome: Outcome) -> Option<Answer> {
        let (status, reason) = match self.outgoing.body.fault()? {
            BodyFault::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            BodyFault::Caller => (StatusCode::BAD_REQUEST, "malformed-body"),
            BodyFault::Consumed => return None,
        };
        let sent = self.sent || outcome == Outcome::Broken || !self.running.is_empty();
        let fate = if sent { Fate::Unknown } else { Fate::NotRun };
        let answer = self.give_up(status, fate, reason);
        self.send_ended(attempt, Outcome::Cancelled);
        Some(answer)
    }

    fn refuse(&mut self, refused: &Refusal) -> Answer {
        self.finish(false);
        refusal(refused)
    }

    fn control_lost(&mut self) -> Answer {
        let fate = if self.sent || !self.running.is_empty() {
            Fate::Unknown
        } else {
            Fate::NotRun
        };
        self.give_up(StatusCode::INTERNAL_SERVER_ERROR, fate, "internal")
    }

    /// Ends the request without the reducer having asked for it.
    fn give_up(&mut self, status: StatusCode, fate: Fate, reason: &'static str) -> Answer {
        self.finish(true);
        own(status, fate, reason, self.id, None)
    }

    fn cancel(&mut self, attempt: Attempt) {
        if let Some(index) = self.running.iter().position(|r| r.attempt == attempt) {
            self.running.swap_remove(index);
            self.sent = true;
            self.send_ended(attempt, Outcome::Cancelled);
        }
    }

    fn cancel_all(&mut self) {
        for running in std::mem::take(&mut self.running) {
            let attempt = running.attempt;
            // The connection has to be closed before the slot counts as free.
            drop(running);
            self.sent = true;
            self.send_ended(attempt, Outcome::Cancelled);
        }
    }

    fn send_ended(&self, attempt: Attempt, outcome: Outcome) {
        self.shared.control.send(Event::Ended {
            request: self.id,
            attempt,
            outcome,
        });
    }

    /// Ends the request. With `tell` the reducer learns that no answer is wanted any more; it has
    /// to know that before the attempts end, or it would start others.
    fn finish(&mut self, tell: bool) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        let request = self.id;
        if tell {
            self.shared.control.send(Event::CallerGone { request });
        }
        self.cancel_all();
        self.shared.control.finish(request);
        self.shared.metrics.in_flight.decrement(1.0);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        if !self.over {
            self.shared.metrics.caller_gone.increment(1);
            self.finish(true);
        }
    }
}

/// Sends one attempt and waits for the head of the answer.
async fn attempt(
    shared: Arc<Shared>,
    outgoing: Arc<Outgoing>,
    dispatch: Dispatch,
) -> Result<Head, Failure> {
    let control = &shared.control;
    let not_after = control.instant(dispatch.not_after);
    if Instant::now() > not_after {
        return Err(Outcome::Expired);
    }
    let mut conn = shared
        .pool
        .checkout(dispatch.addr, dispatch.connections_max, not_after)
        .await
        .map_err(|_| Outcome::NotSent)?;
    let mut request = http::Request::new(outgoing.body.attempt());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = outgoing.headers.clone();
    let left_ms = dispatch.deadline.saturating_sub(control.now()).as_millis() as u64;
    request
        .headers_mut()
        .insert(REQUEST_DEADLINE_MS, HeaderValue::from(left_ms));
    match conn.sender.send_request(request).await {
        Ok(response) => Ok(Head { response, conn }),
        Err(_) => Err(failure(&conn.gate)),
    }
}

fn failure(gate: &Gate) -> Failure {
    if gate.written() {
        Outcome::Broken
    } else if gate.expired() {
        Outcome::Expired
    } else {
        Outcome::NotSent
    }
}
