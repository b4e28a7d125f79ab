//! Guards against entries that feed each other old knowledge, and against frames that are not of
//! the protocol.

mod common;

use std::time::Duration;

use common::{PATIENCE, fleet, lanes, until};
use lacewingmoor_control::model::Record;
use lacewingmoor_control::replica::Update;
use lacewingmoord::peer_protocol::{self, Error, Message, SourceStatus, Subscribe};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// A status of a source whose knowledge is fresh.
fn status(path: &[&str]) -> Message {
    Message::Status(SourceStatus {
        age_ms: 10,
        searching_ms: 0,
        entry: "fake".into(),
        path: path.iter().map(|name| (*name).to_owned()).collect(),
        has_read_entries: true,
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn source_that_learned_through_this_entry_is_left() {
    let mut fleet = fleet(&lanes(), 0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let fake = listener.local_addr().expect("an address");
    fleet
        .store
        .set_fault(lacewingmoor_standin::store::StoreFault::Reset);
    fleet
        .add_entry_with_seeds("entry-0", "north-a", vec![fake])
        .expect("it starts");
    let (mut stream, _) = listener.accept().await.expect("the entry calls its seed");
    let subscribe: Subscribe = peer_protocol::read(&mut stream)
        .await
        .expect("a subscription");
    assert_eq!((subscribe.entry.as_str(), subscribe.after), ("entry-0", 0));
    peer_protocol::write(&mut stream, &status(&["far"]))
        .await
        .expect("it is read");
    until("the path is known", async || {
        status_text(&fleet).await.contains("[\"far\",\"fake\"]")
    })
    .await;
    peer_protocol::write(&mut stream, &status(&["entry-0", "far"]))
        .await
        .expect("it is read");
    until("the source is left", async || {
        fleet.entries[0].log_text().contains("through this entry")
    })
    .await;
}

async fn status_text(fleet: &lacewingmoor_standin::fleet::Fleet) -> String {
    let status = lacewingmoor_standin::fleet::get(fleet.entries[0].metrics, "/status").await;
    status.map(|(_, text)| text).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_gets_all_keys_then_news() {
    let fleet = fleet(&lanes(), 1).await;
    let mut stream = TcpStream::connect(fleet.entries[0].peers)
        .await
        .expect("it accepts");
    let subscribe = Subscribe {
        entry: "follower".into(),
        after: 0,
    };
    peer_protocol::write(&mut stream, &subscribe)
        .await
        .expect("it is read");
    let Message::Update(update) = peer_protocol::read(&mut stream).await.expect("a message") else {
        panic!("the first message is an update");
    };
    assert!(update.records.len() >= 5, "the bundle and four targets");
    fleet.store.set_zone_out_of_service("north-b", true);
    // The registration of the entry may come as an update of its own before.
    let arrives = async {
        loop {
            if let Message::Update(update) =
                peer_protocol::read(&mut stream).await.expect("a message")
                && update.records.iter().any(|r| r.key.ends_with("north-b"))
            {
                return;
            }
        }
    };
    let arrived = tokio::time::timeout(PATIENCE, arrives).await;
    arrived.expect("the change arrives");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_of_another_protocol_end_the_connection_only() {
    let fleet = fleet(&lanes(), 1).await;
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 3, 255, 255, 255],
        &[255; 8],
    ] {
        let mut stream = TcpStream::connect(fleet.entries[0].peers)
            .await
            .expect("it accepts");
        stream.write_all(bytes).await.expect("it is read");
        let end: Result<Message, Error> = peer_protocol::read(&mut stream).await;
        assert!(end.is_err());
    }
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}

#[tokio::test]
async fn frames_are_read_as_they_were_written() {
    let (mut near, mut far) = tokio::io::duplex(64);
    let update = Message::Update(Update {
        revision: 9,
        is_snapshot: true,
        records: vec![Record {
            key: "k".into(),
            revision: 9,
            value: Some(vec![7; 500]),
        }],
    });
    let sent = update.clone();
    let writing = tokio::spawn(async move { peer_protocol::write(&mut near, &sent).await });
    let read: Message = peer_protocol::read(&mut far).await.expect("a frame");
    assert_eq!(read, update);
    assert!(writing.await.expect("no panic").is_ok());
    let silent: Result<Result<Message, Error>, _> =
        tokio::time::timeout(Duration::from_millis(50), peer_protocol::read(&mut far)).await;
    assert!(
        silent.is_ok_and(|end| end.is_err()),
        "the other end is gone"
    );
}
