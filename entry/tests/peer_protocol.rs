//! Tests of the protocol between entries, with real processes. They guard against entries that send
//! each other stale data in a cycle, updates that do not reach a follower, and malformed frames.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, fleet, lanes, until};
use lacewingmoor_control::model::{Record, Revision};
use lacewingmoor_control::replica::Update;
use lacewingmoord::peer_protocol::{self, Error, Message, SourceStatus, Subscribe};
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

async fn status_text(fleet: &lacewingmoor_standin::fleet::Fleet) -> String {
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
