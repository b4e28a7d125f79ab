//! Guards against callers that are told that their request was not run although a target ran it: a
//! refusal counts only for the request whose id it bears.

mod common;

use std::time::Duration;

use common::{expect_response, fleet_with_raw_target, read, register_raw, write};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::raw_target::Script;
use rstest::rstest;

const RIGHT_ID: &str = "X-Lacewingmoor-Attempt-Id: {id}\r\n";
const OTHER_ID: &str = "X-Lacewingmoor-Attempt-Id: another\r\n";
const NO_ID: &str = "";
const NOT_EXECUTED: &str = "X-Lacewingmoor-Not-Executed: 1\r\n";
const NO_STATEMENT: &str = "";

/// Time after which a target is used again that another one answered for.
const EJECTION: Duration = Duration::from_millis(400);

fn response(status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: 0\r\n\r\n")
}

fn success() -> String {
    response(
        "200",
        &format!("{RIGHT_ID}X-Lacewingmoor-Server-Seal: seal\r\n"),
    )
}

/// Returns a request without a body, as the scripted targets read them.
fn write_without_body(id: &str) -> CallerRequest {
    CallerRequest {
        body: bytes::Bytes::new(),
        ..write(id)
    }
}

struct Case {
    status: &'static str,
    statement: &'static str,
    id: &'static str,
    /// Status of the response to the caller.
    expected: u16,
}

#[rstest]
#[case::full(Case { status: "503", statement: NOT_EXECUTED, id: RIGHT_ID, expected: 503 })]
#[case::full_without_id(Case { status: "503", statement: NOT_EXECUTED, id: NO_ID, expected: 502 })]
#[case::full_for_another(Case { status: "503", statement: NOT_EXECUTED, id: OTHER_ID, expected: 502 })]
#[case::full_without_statement(Case { status: "503", statement: NO_STATEMENT, id: RIGHT_ID, expected: 502 })]
#[case::too_many(Case { status: "429", statement: NOT_EXECUTED, id: RIGHT_ID, expected: 503 })]
#[case::too_many_without_id(Case { status: "429", statement: NOT_EXECUTED, id: NO_ID, expected: 502 })]
#[case::too_many_for_another(Case { status: "429", statement: NOT_EXECUTED, id: OTHER_ID, expected: 502 })]
#[case::too_many_without_statement(Case { status: "429", statement: NO_STATEMENT, id: RIGHT_ID, expected: 502 })]
#[case::timeout(Case { status: "408", statement: NOT_EXECUTED, id: RIGHT_ID, expected: 503 })]
#[case::timeout_without_id(Case { status: "408", statement: NOT_EXECUTED, id: NO_ID, expected: 502 })]
#[case::timeout_without_statement(Case { status: "408", statement: NO_STATEMENT, id: RIGHT_ID, expected: 502 })]
#[case::misdirected(Case { status: "421", statement: NO_STATEMENT, id: RIGHT_ID, expected: 503 })]
#[case::misdirected_without_id(Case { status: "421", statement: NO_STATEMENT, id: NO_ID, expected: 502 })]
#[case::misdirected_for_another(Case { status: "421", statement: NO_STATEMENT, id: OTHER_ID, expected: 502 })]
#[case::success_that_was_not_run(Case { status: "200", statement: NOT_EXECUTED, id: RIGHT_ID, expected: 503 })]
#[case::success_that_was_not_run_without_id(Case { status: "200", statement: NOT_EXECUTED, id: NO_ID, expected: 502 })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_without_the_id_of_the_request_is_none(#[case] case: Case) {
    let fields = format!("{}{}", case.id, case.statement);
    let script = Script::Once(response(case.status, &fields));
    let (fleet, target) = fleet_with_raw_target(script).await;
    let response = expect_response(&fleet.entries[0], &write_without_body("r-1")).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(response.status.as_u16(), case.expected, "{log}");
    assert_eq!(response.retry_after.is_some(), case.expected == 503);
    assert_eq!(target.request_count(), 1);
}

/// A refusal that is written once more, right before the response to the next request.
#[rstest]
#[case::full(response("503", &format!("{RIGHT_ID}{NOT_EXECUTED}")))]
#[case::misdirected(response("421", RIGHT_ID))]
#[case::full_without_id(response("503", NOT_EXECUTED))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_copy_of_a_refusal_refuses_no_later_request(#[case] refusal: String) {
    let script = Script::Then(
        Box::new(Script::LateCopy(refusal)),
        Box::new(Script::Once(success())),
    );
    let (fleet, target) = fleet_with_raw_target(script).await;
    let refused = expect_response(&fleet.entries[0], &write_without_body("r-1")).await;
    assert!([502, 503].contains(&refused.status.as_u16()));
    tokio::time::sleep(EJECTION).await;
    // The target has run it.
    let run = expect_response(&fleet.entries[0], &write_without_body("r-2")).await;
    let log = fleet.entries[0].log_text();
    assert!([200, 502].contains(&run.status.as_u16()), "{log}");
    assert_eq!(target.request_count(), 2);
}

/// The copy bears the id of the request that is sent to the same address once more, under the id of another
/// target, and runs there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_copy_of_a_refusal_does_not_refuse_the_same_request_at_the_same_address() {
    let (fleet, target) = fleet_with_raw_target(Script::Once(success())).await;
    // Health responses that name no target are those of both.
    let health = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    target.set_probe_script(Some(Script::Once(health.into())));
    register_raw(&fleet, "second", target.addr()).await;
    for i in 0..2 {
        let response = expect_response(&fleet.entries[0], &read(&format!("warm-up-{i}"))).await;
        assert_eq!(response.status.as_u16(), 200);
        tokio::time::sleep(EJECTION).await;
    }
    let sent_before = target.request_count();
    target.set_script(Script::Then(
        Box::new(Script::LateCopy(response("421", RIGHT_ID))),
        Box::new(Script::Once(success())),
    ));
    let response = expect_response(&fleet.entries[0], &write_without_body("r-1")).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(target.request_count(), sent_before + 2, "{log}");
    assert_eq!(response.status.as_u16(), 200, "{log}");
}

/// A hedge that is refused says nothing of the first send, which is still at work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_of_a_hedge_does_not_refuse_the_request() {
    let refusal = response("503", &format!("{RIGHT_ID}{NOT_EXECUTED}"));
    let script = Script::Then(
        Box::new(Script::Once(String::new())),
        Box::new(Script::Once(refusal)),
    );
    let (fleet, target) = fleet_with_raw_target(script).await;
    let second = target
        .start_another(([127, 0, 0, 1], 0).into(), "second")
        .await;
    let second = second.expect("the target starts");
    register_raw(&fleet, "second", second.addr()).await;
    let response = expect_response(&fleet.entries[0], &read("r-1")).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(response.status.as_u16(), 504, "{log}");
    assert_eq!(target.request_count(), 2, "{log}");
}
