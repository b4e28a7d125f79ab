//! Tests of the protocol between entries, with real processes. They guard against entries that send
//! each other stale data in a cycle, updates that do not reach a follower, malformed frames, and entries
//! of different versions that do not understand each other.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, bundle_with_workspaces, fleet, lanes, until};
use lacewingmoor_control::bounds::Bounds;
use lacewingmoor_control::counts::{Counts, CountsUpdate};
use lacewingmoor_control::model::{Record, Revision};
use lacewingmoor_control::replica::Update;
use lacewingmoor_standin::fleet::Fleet;
use lacewingmoord::body_memory::BodyMemory;
use lacewingmoord::peer_protocol::{
    self, EXTENSION_VERSION, Error, Message, Report, SourceStatus, StatusExtension, Subscribe,
    SubscribeExtension,
};
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Returns the status of a source with fresh data that came through the entries in `path`.
fn fresh_status(path: &[&str]) -> Message {
    Message::Status(SourceStatus {
        age_ms: 10,
        searching_ms: 0,
        entry: "fake".into(),
        path: path.iter().map(|name| (*name).to_owned()).collect(),
        has_read_entries: true,
        appointed: false,
        entry_count: 1,
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn source_whose_path_includes_this_entry_is_rejected() {
    let mut fleet = fleet(&lanes(), 0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let seed = listener.local_addr().expect("an address");
    fleet
        .store
        .set_fault(lacewingmoor_standin::store::StoreFault::Reset);
    fleet
        .add_entry_with_seeds("entry-0", "north-a", vec![seed])
        .expect("the entry starts");
    let (mut stream, _) = listener
        .accept()
        .await
        .expect("the entry connects to its seed");
    let subscribe: Subscribe = peer_protocol::read(&mut stream)
        .await
        .expect("a subscription");
    assert_eq!(
        (subscribe.entry.as_str(), subscribe.after),
        ("entry-0", Revision::default())
    );
    peer_protocol::write(&mut stream, &fresh_status(&["far"]))
        .await
        .expect("the frame is written");
    until("the status page shows the path of the source", async || {
        status_text(&fleet).await.contains("[\"far\",\"fake\"]")
    })
    .await;
    peer_protocol::write(&mut stream, &fresh_status(&["entry-0", "far"]))
        .await
        .expect("the frame is written");
    until("the entry rejects the source", async || {
        fleet.entries[0].log_text().contains("through this entry")
    })
    .await;
}

async fn status_text(fleet: &Fleet) -> String {
    let status = lacewingmoor_standin::fleet::get(fleet.entries[0].metrics_addr, "/status").await;
    status.map(|(_, text)| text).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_gets_all_keys_and_then_changes() {
    let fleet = fleet(&lanes(), 1).await;
    let mut stream = TcpStream::connect(fleet.entries[0].peer_addr)
        .await
        .expect("the entry accepts");
    let subscribe = Subscribe {
        entry: "follower".into(),
        after: Revision::default(),
        zone: "north-a".into(),
        capacity: 1,
    };
    peer_protocol::write(&mut stream, &subscribe)
        .await
        .expect("the frame is written");
    let Message::Update(update) = peer_protocol::read(&mut stream).await.expect("a message") else {
        panic!("the first message is an update");
    };
    assert!(
        update.records.len() >= 5,
        "the update has the bundle and four targets"
    );
    fleet.store.set_zone_out_of_service("north-b", true);
    // The registration of the entry may arrive first, as a separate update.
    let wait_for_change = async {
        loop {
            if let Message::Update(update) =
                peer_protocol::read(&mut stream).await.expect("a message")
                && update.records.iter().any(|r| r.key.ends_with("north-b"))
            {
                return;
            }
        }
    };
    let result = tokio::time::timeout(EVENT_TIMEOUT, wait_for_change).await;
    result.expect("the change arrives");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_frames_only_close_the_connection() {
    let fleet = fleet(&lanes(), 1).await;
    for bytes in [
        // Another protocol; its first four bytes are read as a length above the maximum.
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        // A frame of valid length whose content cannot be decoded.
        &[0, 0, 0, 3, 255, 255, 255],
        // A subscription whose name claims to have 2^62 bytes.
        &[0, 0, 0, 9, 253, 0, 0, 0, 0, 0, 0, 0, 64],
        // The greatest length that the prefix can express.
        &[255; 8],
    ] {
        let mut stream = TcpStream::connect(fleet.entries[0].peer_addr)
            .await
            .expect("the entry accepts");
        stream
            .write_all(bytes)
            .await
            .expect("the bytes are written");
        let end: Result<Message, Error> = peer_protocol::read(&mut stream).await;
        assert!(end.is_err());
    }
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}

#[tokio::test]
async fn frames_are_decoded_as_they_were_encoded() {
    let (mut writer, mut reader) = tokio::io::duplex(64);
    let update = Message::Update(Update {
        revision: Revision { era: 1, number: 9 },
        is_snapshot: true,
        records: vec![Record {
            key: "k".into(),
            revision: Revision { era: 1, number: 9 },
            value: Some(vec![7; 500]),
        }],
    });
    let sent = update.clone();
    let write_task = tokio::spawn(async move { peer_protocol::write(&mut writer, &sent).await });
    let read: Message = peer_protocol::read(&mut reader).await.expect("a frame");
    assert_eq!(read, update);
    assert!(write_task.await.expect("the writer does not panic").is_ok());
    let end_of_stream: Result<Result<Message, Error>, _> =
        tokio::time::timeout(Duration::from_millis(50), peer_protocol::read(&mut reader)).await;
    assert!(
        end_of_stream.is_ok_and(|end| end.is_err()),
        "reading fails at once after the writer is closed"
    );
}

fn extension(totals: Option<CountsUpdate>) -> StatusExtension {
    StatusExtension {
        version: EXTENSION_VERSION,
        totals,
    }
}

/// Returns full counts of this many entries.
fn counts_of(entry_count: u32) -> CountsUpdate {
    CountsUpdate {
        is_full: true,
        counts: Counts {
            entry_count,
            ..Counts::default()
        },
        ..CountsUpdate::default()
    }
}

fn report_of(entry_count: u32) -> Report {
    Report {
        version: EXTENSION_VERSION,
        update: counts_of(entry_count),
    }
}

/// An entry of an earlier version reads the value of a frame and ignores the rest; it writes none.
#[tokio::test]
async fn frames_with_and_without_extension_are_read_by_entries_of_both_versions() {
    let (mut writer, mut reader) = tokio::io::duplex(4096);
    let status = fresh_status(&["far"]);
    let new = extension(Some(counts_of(3)));
    let write = peer_protocol::write_extended(&mut writer, &status, Some(&new));
    write.await.expect("the frame is written");
    let read: Message = peer_protocol::read(&mut reader).await.expect("a frame");
    assert_eq!(read, status, "an old entry reads a new frame");
    let write = peer_protocol::write(&mut writer, &status);
    write.await.expect("the frame is written");
    let read = peer_protocol::read_extended(&mut reader).await;
    let (read, none): (Message, Option<StatusExtension>) = read.expect("a frame");
    assert_eq!(
        (read, none),
        (status.clone(), None),
        "a new entry reads an old frame"
    );
    let write = peer_protocol::write_extended(&mut writer, &status, Some(&new));
    write.await.expect("the frame is written");
    let read = peer_protocol::read_extended(&mut reader).await;
    assert_eq!(read.expect("a frame"), (status, Some(new)));
}

async fn subscribe(fleet: &Fleet, name: &str, extension: Option<&SubscribeExtension>) -> TcpStream {
    let stream = TcpStream::connect(fleet.entries[0].peer_addr).await;
    let mut stream = stream.expect("the entry accepts");
    let subscribe = Subscribe {
        entry: name.into(),
        after: Revision::default(),
        zone: "north-a".into(),
        capacity: 1,
    };
    let write = peer_protocol::write_extended(&mut stream, &subscribe, extension);
    write.await.expect("the frame is written");
    stream
}

/// Reads messages until the extension of a status is as wanted.
async fn wait_for_extension(
    stream: &mut TcpStream,
    is_wanted: impl Fn(&Option<StatusExtension>) -> bool,
) {
    let wait = async {
        loop {
            let read = peer_protocol::read_extended(stream).await;
            let (message, extension): (Message, Option<StatusExtension>) = read.expect("a frame");
            if matches!(message, Message::Status(_)) && is_wanted(&extension) {
                return;
            }
        }
    };
    let result = tokio::time::timeout(EVENT_TIMEOUT, wait).await;
    result.expect("the extension arrives");
}

#[rstest]
#[case::follower(None)]
#[case::entry_that_follows_the_store(Some(SubscribeExtension { version: 1, counts_only: true }))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_are_exchanged_only_while_workspaces_have_limits(
    #[case] subscription: Option<SubscribeExtension>,
) {
    let fleet = fleet(&lanes(), 1).await;
    let mut stream = subscribe(&fleet, "follower", subscription.as_ref()).await;
    wait_for_extension(&mut stream, Option::is_none).await;
    fleet
        .store
        .put_bundle(&bundle_with_workspaces(2, &[("quay", 10.0)]));
    let entries = |wanted: u32| {
        move |extension: &Option<StatusExtension>| {
            let totals = extension
                .as_ref()
                .and_then(|extension| extension.totals.as_ref());
            totals.is_some_and(|totals| totals.counts.entry_count == wanted)
        }
    };
    wait_for_extension(&mut stream, entries(1)).await;
    let report = report_of(4);
    let write = peer_protocol::write(&mut stream, &report);
    write.await.expect("the frame is written");
    wait_for_extension(&mut stream, entries(5)).await;
    // Without a new report, the counts of the follower are dropped.
    wait_for_extension(&mut stream, entries(1)).await;
    fleet
        .store
        .put_bundle(&bundle_with_workspaces(3, &[("quay", 0.0)]));
    wait_for_extension(&mut stream, Option::is_none).await;
}

/// A source of an earlier version never reads what a follower sends.
#[rstest]
#[case::old_source(None, false)]
#[case::new_source(Some(extension(None)), true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_are_sent_only_to_a_source_that_announced_to_read_them(
    #[case] announced: Option<StatusExtension>,
    #[case] is_reported: bool,
) {
    let mut fleet = fleet(&lanes(), 0).await;
    let bundle = bundle_with_workspaces(2, &[("quay", 10.0)]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let seed = listener.local_addr().expect("an address");
    let fault = lacewingmoor_standin::store::StoreFault::Reset;
    fleet.store.set_fault(fault);
    let start = fleet.add_entry_with_seeds("entry-0", "north-a", vec![seed]);
    start.expect("the entry starts");
    let (mut stream, _) = listener
        .accept()
        .await
        .expect("the entry connects to its seed");
    let read = peer_protocol::read_extended(&mut stream).await;
    let (_, none): (Subscribe, Option<SubscribeExtension>) = read.expect("a subscription");
    assert_eq!(none, None, "a subscription is as in the earlier version");
    let revision = Revision { era: 1, number: 9 };
    let update = Message::Update(Update {
        revision,
        is_snapshot: true,
        records: vec![Record {
            key: lacewingmoor_platform::registry::CONFIG_KEY.into(),
            revision,
            value: Some(lacewingmoor_platform::config::encode(&bundle)),
        }],
    });
    peer_protocol::write(&mut stream, &update)
        .await
        .expect("the frame is written");
    let (mut reader, mut writer) = stream.into_split();
    let send = async {
        loop {
            let status = fresh_status(&["far"]);
            let write = peer_protocol::write_extended(&mut writer, &status, announced.as_ref());
            write.await.expect("the frame is written");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let receive = tokio::time::timeout(Duration::from_secs(4), async {
        let limit = Bounds::default().frame_bytes();
        peer_protocol::read_report(&mut reader, &BodyMemory::default(), limit)
            .await
            .expect("a report")
    });
    let report = tokio::select! {
        report = receive => report.ok(),
        () = send => None,
    };
    let entry_count = report.map(|report| report.update.counts.entry_count);
    assert_eq!(entry_count, is_reported.then_some(1));
}

#[rstest]
#[case::cannot_be_decoded(vec![0, 0, 0, 3, 255, 255, 255])]
#[case::longer_than_any_report(vec![0, 64, 0, 0])]
#[case::not_a_number(encoded(&Report {
    update: CountsUpdate {
        counts: Counts {
            demand: vec![lacewingmoor_control::counts::WorkspaceDemand {
                workspace: "quay".into(),
                requests_per_s: f64::NAN,
                entry_count: 1,
            }],
            ..Counts::default()
        },
        ..counts_of(1)
    },
    ..report_of(1)
}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_reports_only_close_the_connection(#[case] bytes: Vec<u8>) {
    let fleet = fleet(&lanes(), 1).await;
    let mut stream = subscribe(&fleet, "follower", None).await;
    stream
        .write_all(&bytes)
        .await
        .expect("the bytes are written");
    let read_to_end = async { while peer_protocol::read::<Message>(&mut stream).await.is_ok() {} };
    let end = tokio::time::timeout(EVENT_TIMEOUT, read_to_end).await;
    end.expect("the connection is closed");
    until("the reason is logged", async || {
        fleet.entries[0].log_text().contains("follower_rejected")
    })
    .await;
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}

fn encoded(report: &Report) -> Vec<u8> {
    let bytes = bincode::encode_to_vec(report, bincode::config::standard()).expect("encodes");
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes);
    frame
}

/// A follower that is suspended must not keep others from getting their status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_that_do_not_read_do_not_block_others() {
    let fleet = fleet(&lanes(), 1).await;
    fleet
        .store
        .put_bundle(&bundle_with_workspaces(2, &[("quay", 10.0)]));
    let mut blocked = Vec::new();
    for i in 0..20 {
        blocked.push(subscribe(&fleet, &format!("blocked-{i}"), None).await);
    }
    let mut stream = subscribe(&fleet, "follower", None).await;
    for _ in 0..5 {
        wait_for_extension(&mut stream, Option::is_some).await;
    }
}
