//! Links between entries over real connections.

mod fake;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fake::*;
use lacewingmoor_control::{Event, Message, PeerAddr};
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::Store;
use lacewingmoord::bundle_sync::Library;
use lacewingmoord::log::discard;
use lacewingmoord::peer::{FetchError, Links};
use lacewingmoord::peer_listen::{Listener, listen};
use lacewingmoord::store_watch;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// An entry without a reducer.
struct Node {
    id: u64,
    addr: SocketAddr,
    links: Arc<Links>,
    events: Arc<Recorder>,
    library: Library,
    task: JoinHandle<()>,
}

impl Node {
    async fn start(id: u64, incarnation: u64, key: u8, addr: SocketAddr) -> Self {
        let tcp = TcpListener::bind(addr).await.unwrap();
        let addr = tcp.local_addr().unwrap();
        let (events, library) = (Recorder::start(), Library::default());
        let local = local(id, incarnation, key);
        let links = Arc::new(Links::new(local.clone(), id, discard()));
        let listener = Listener::new(local, library.clone(), events.clone(), discard());
        Self {
            id,
            addr,
            links,
            events,
            library,
            task: tokio::spawn(listen(tcp, Arc::new(listener))),
        }
    }

    fn peer(&self, addr: SocketAddr) -> PeerAddr {
        PeerAddr {
            node: self.id,
            addr,
        }
    }

    /// Sends votes until the receiver has got one; returns sender and incarnation.
    async fn reaches(&self, to: &Node) -> (u64, u64) {
        let votes = async {
            loop {
                self.links.send(to.id, vote(1));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let got = to.events.until(|e| match e {
            Event::Peer {
                from, incarnation, ..
            } => Some((*from, *incarnation)),
            _ => None,
        });
        tokio::select! {
            got = got => got,
            () = votes => unreachable!(),
        }
    }
}

fn vote(n: u64) -> Message {
    Message::Vote {
        claim_sent: Duration::ZERO,
        granted: vec![n],
    }
}

fn granted(event: &Event) -> Option<u64> {
    match event {
        Event::Peer {
            message: Message::Vote { granted, .. },
            ..
        } => Some(granted[0]),
        _ => None,
    }
}

async fn pair() -> (Node, Node) {
    let a = Node::start(1, 11, 1, ANY_PORT).await;
    let b = Node::start(2, 22, 1, ANY_PORT).await;
    (a, b)
}

/// Guards against lost, repeated or reordered messages on a working link.
#[tokio::test]
async fn delivers_in_order() {
    let (a, b) = pair().await;
    a.links.set_peers(&[b.peer(b.addr)]);
    assert_eq!(a.reaches(&b).await, (1, 11));
    for n in 100..140 {
        a.links.send(2, vote(n));
    }
    for expected in 100..140 {
        let n = b.events.until(|e| granted(e).filter(|n| *n != 1)).await;
        assert_eq!(n, expected);
    }
}

struct Stranger {
    guards: &'static str,
    key: u8,
    /// Node that the dialler expects at the listener's address; the listener is node 2.
    expects: u64,
}

#[rstest]
#[case(Stranger { guards: "a process without the fleet key is heard", key: 9, expects: 2 })]
#[case(Stranger { guards: "messages reach another node at a reused address", key: 1, expects: 3 })]
#[tokio::test]
async fn refuses_strangers(#[case] case: Stranger) {
    let (stranger, b) = (
        Node::start(1, 11, case.key, ANY_PORT).await,
        Node::start(2, 22, 1, ANY_PORT).await,
    );
    let honest = Node::start(4, 44, 1, ANY_PORT).await;
    stranger.links.set_peers(&[PeerAddr {
        node: case.expects,
        addr: b.addr,
    }]);
    honest.links.set_peers(&[b.peer(b.addr)]);
    stranger.links.send(case.expects, vote(1));
    assert_eq!(honest.reaches(&b).await, (4, 44));
    // The stranger dials several times in this time.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let strange = |e: &Event| matches!(e, Event::Peer { from: 1, .. });
    assert!(
        !b.events.rest().await.iter().any(strange),
        "guards: {}",
        case.guards
    );
    assert!(
        stranger.links.manifest(case.expects).await.is_err(),
        "guards: {}",
        case.guards
    );
}

/// Guards against a peer that never answers and holds up messages to others.
#[tokio::test]
async fn frozen_peer_blocks_no_other() {
    let (a, b) = pair().await;
    // Connections are accepted by the kernel and never served.
    let frozen = TcpListener::bind(ANY_PORT).await.unwrap();
    let addr = frozen.local_addr().unwrap();
    a.links
        .set_peers(&[PeerAddr { node: 3, addr }, b.peer(b.addr)]);
    for n in 0..10_000 {
        a.links.send(3, vote(n));
    }
    assert_eq!(a.reaches(&b).await, (1, 11));
    assert!(a.links.manifest(3).await.is_err());
}

struct Break {
    guards: &'static str,
    to_server: Flow,
    to_client: Flow,
}

#[rstest]
#[case(Break { guards: "a closed connection is not made again",
    to_server: Flow::Close, to_client: Flow::Close })]
#[case(Break { guards: "a frozen peer is never dialled again",
    to_server: Flow::Lose, to_client: Flow::Lose })]
#[case(Break { guards: "a link cut towards the dialler fills up and stays dead",
    to_server: Flow::Pass, to_client: Flow::Lose })]
#[case(Break { guards: "a link cut towards the listener stays dead",
    to_server: Flow::Lose, to_client: Flow::Pass })]
#[tokio::test]
async fn reconnects(#[case] case: Break) {
    let (a, b) = pair().await;
    let proxy = Proxy::start(b.addr).await;
    a.links.set_peers(&[b.peer(proxy.addr)]);
    b.links.set_peers(&[a.peer(a.addr)]);
    a.reaches(&b).await;
    proxy.set(case.to_server, case.to_client);
    let sending = async {
        loop {
            a.links.send(2, vote(1));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let down = b
        .events
        .until(|e| matches!(e, Event::PeerDown { node: 1 }).then_some(()));
    tokio::select! {
        () = down => {}
        () = sending => unreachable!(),
    }
    // The other direction has a connection of its own.
    assert_eq!(b.reaches(&a).await, (2, 22), "guards: {}", case.guards);
    proxy.set(Flow::Pass, Flow::Pass);
    assert_eq!(a.reaches(&b).await, (1, 11), "guards: {}", case.guards);
}

/// Guards against a link to a frozen process that fills up with old messages.
#[tokio::test]
async fn link_to_a_frozen_process_is_dropped() {
    let a = Node::start(1, 11, 1, ANY_PORT).await;
    let (started, node) = tokio::sync::oneshot::channel();
    let (freeze, frozen) = std::sync::mpsc::channel::<()>();
    let (freeze_now, freezes) = tokio::sync::oneshot::channel::<()>();
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().build().unwrap();
        runtime.block_on(async {
            let b = Node::start(2, 22, 1, ANY_PORT).await;
            let _ = started.send((b.addr, b.events.clone()));
            let _ = freezes.await;
            // Stops every task of this process.
            let _ = frozen.recv();
        });
    });
    let (addr, events) = node.await.unwrap();
    a.links.set_peers(&[PeerAddr { node: 2, addr }]);
    let votes = async {
        loop {
            a.links.send(2, vote(1));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        _ = events.until(granted) => {}
        () = votes => unreachable!(),
    }
    freeze_now.send(()).unwrap();
    let dropped = async {
        while !matches!(a.links.manifest(2).await, Err(FetchError::NotConnected(2))) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, dropped)
        .await
        .expect("the link is dropped");
    drop(freeze);
    thread.join().unwrap();
}

/// Guards against messages that were changed on the way.
#[tokio::test]
async fn changed_bytes_end_the_session() {
    let (a, b) = pair().await;
    let proxy = Proxy::start(b.addr).await;
    a.links.set_peers(&[b.peer(proxy.addr)]);
    a.reaches(&b).await;
    b.events.rest().await;
    proxy.set(Flow::Change, Flow::Pass);
    a.links.send(2, vote(7));
    let event = b.events.until(|e| match e {
        Event::PeerDown { .. } => Some(None),
        other => granted(other).filter(|n| *n != 1).map(Some),
    });
    assert_eq!(event.await, None);
}

/// Guards against a restarted entry that is taken for its former process, and against the end of
/// the former session being reported as the loss of the new one.
#[tokio::test]
async fn restarted_peer_replaces_its_session() {
    let (a, b) = pair().await;
    a.links.set_peers(&[b.peer(b.addr)]);
    a.reaches(&b).await;
    let again = Node::start(1, 12, 1, ANY_PORT).await;
    again.links.set_peers(&[b.peer(b.addr)]);
    let restarted = async {
        loop {
            again.links.send(2, vote(2));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let mut downs = 0;
    let got = b.events.until(|e| {
        downs += usize::from(matches!(e, Event::PeerDown { .. }));
        matches!(
            e,
            Event::Peer {
                incarnation: 12,
                ..
            }
        )
        .then_some(())
    });
    tokio::select! {
        () = got => {}
        () = restarted => unreachable!(),
    }
    assert_eq!(downs, 0);
}

/// Guards against a listener that a restarted entry cannot be reached at.
#[tokio::test]
async fn reconnects_to_a_restarted_listener() {
    let (a, b) = pair().await;
    a.links.set_peers(&[b.peer(b.addr)]);
    a.reaches(&b).await;
    let addr = b.addr;
    b.task.abort();
    let _ = b.task.await;
    let b = Node::start(2, 23, 1, addr).await;
    a.reaches(&b).await;
}

/// Guards against an unknown process that takes memory or keeps its connection.
#[rstest]
#[case::silence(b"")]
#[case::no_h2(b"GET / HTTP/1.1\r\n\r\n")]
#[case::head_only(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")]
#[tokio::test]
async fn unknown_connection_is_closed(#[case] bytes: &'static [u8]) {
    let b = Node::start(2, 22, 1, ANY_PORT).await;
    let mut tcp = TcpStream::connect(b.addr).await.unwrap();
    tcp.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    let end = tokio::time::timeout(PATIENCE, tcp.read_to_end(&mut received));
    // A reset is as good as a close.
    let _ = end.await.expect("the connection ends");
    assert!(received.len() < 200);
    assert!(b.events.rest().await.is_empty());
}

/// Guards against an entry that cannot start while the store is down.
#[tokio::test]
async fn fetches_a_version_from_a_peer() {
    let (a, b) = pair().await;
    let store = Store::start(ANY_PORT).await.unwrap();
    publish(store.addr(), 3).await;
    let at_b = sync(store.addr(), b.links.clone(), &b.library, b.events.clone());
    store_watch::read(&at_b).await;
    store.set_down(true);
    let at_a = sync(store.addr(), a.links.clone(), &a.library, a.events.clone());
    assert!(at_a.fetch_from_peer(2).await.is_err(), "not connected yet");
    a.links.set_peers(&[b.peer(b.addr)]);
    a.reaches(&b).await;
    at_a.fetch_from_peer(2).await.unwrap();
    let version = a.events.until(|e| match e {
        Event::Bundle(bundle) => Some(bundle.version),
        _ => None,
    });
    assert_eq!(version.await, 3);
    assert_eq!(a.library.manifest(), b.library.manifest());
}
