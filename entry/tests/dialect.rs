//! Guards against changes to the native header fields, which callers and targets depend on.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use lacewingmoord::dialect::Dialect;
use lacewingmoord::response::LocalResponse;
use rstest::rstest;

fn headers(name: &'static str, value: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    headers
}

struct ReportCase {
    report: &'static str,
    running: Option<u32>,
    warming_up: Option<bool>,
}

#[rstest]
#[case::warm(ReportCase { report: "state=warm in_flight=2 queue=1 start=abc", running: Some(2), warming_up: Some(false) })]
#[case::cold(ReportCase { report: "state=cold in_flight=0 queue=0", running: Some(0), warming_up: Some(true) })]
#[case::warming(ReportCase { report: "state=warming in_flight=1 queue=0", running: Some(1), warming_up: Some(true) })]
#[case::incomplete(ReportCase { report: "state=warm queue=0", running: None, warming_up: Some(false) })]
#[case::not_a_number(ReportCase { report: "in_flight=x queue=0", running: None, warming_up: None })]
fn native_load_reports_are_parsed(#[case] case: ReportCase) {
    let headers = headers("load-report", case.report);
    let load = Dialect::Native.load(&headers, 6);
    assert_eq!(load.map(|l| l.running), case.running);
    assert!(load.is_none_or(|l| l.slots == 6));
    let remaining = Dialect::Native.warmup_left(&headers);
    assert_eq!(
        remaining.map(|remaining| !remaining.is_zero()),
        case.warming_up
    );
}

#[test]
fn native_deadlines_are_read_and_set() {
    let dialect = Dialect::Native;
    let stated = dialect.caller_timeout(&headers("request-deadline-ms", "900"));
    assert_eq!(stated, Some(Duration::from_millis(900)));
    assert_eq!(
        dialect.caller_timeout(&headers("request-deadline-ms", "soon")),
        None
    );
    let mut sent = HeaderMap::new();
    dialect.set_target_fields(&mut sent, Duration::from_millis(70), "t");
    assert_eq!(sent["request-deadline-ms"], "70");
    assert_eq!(sent.len(), 1, "no field of the platform is sent");
}

#[rstest]
#[case(&headers("request-not-run", "true"), true)]
#[case(&headers("request-not-run", "no"), false)]
#[case(&HeaderMap::new(), false)]
fn native_not_run_field_is_recognised(#[case] headers: &HeaderMap, #[case] not_run: bool) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(Dialect::Native.is_not_run(status, headers), not_run);
}

#[rstest]
#[case(
    LocalResponse::not_run("no target in time", Duration::from_millis(100)),
    "not-run"
)]
#[case(LocalResponse::invalid(StatusCode::NOT_FOUND, "no route"), "not-run")]
#[case(
    LocalResponse::unknown(StatusCode::GATEWAY_TIMEOUT, "outcome unknown"),
    "unknown"
)]
#[case(
    LocalResponse::unknown(StatusCode::BAD_GATEWAY, "outcome unknown"),
    "unknown"
)]
fn local_responses_state_the_outcome(#[case] local: LocalResponse, #[case] outcome: &str) {
    let mut response = local.into_response();
    Dialect::Native.mark_local(&mut response, &local);
    assert_eq!(response.headers()["lacewingmoor-outcome"], outcome);
    assert_eq!(response.headers()["lacewingmoor-reason"], local.reason);
    let mut response = local.into_response();
    Dialect::Platform.mark_local(&mut response, &local);
    assert!(!response.headers().contains_key("lacewingmoor-outcome"));
}

/// A name that is no field value would leave the target without the workspace of the request.
#[rstest]
#[case::space("swim club")]
#[case::not_ascii("schwimmverein ü 中")]
#[case::quotes("\"a\", \\b")]
#[case::empty("")]
fn every_name_of_a_workspace_reaches_the_target(#[case] name: &str) {
    let mut headers = HeaderMap::new();
    Dialect::Platform.set_workspace(&mut headers, Some(name));
    let values: Vec<&[u8]> = headers.values().map(|value| value.as_bytes()).collect();
    assert_eq!(values, [name.as_bytes()]);
}
