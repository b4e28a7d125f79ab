//! Frames between peers, the handshake and the queue of a peer.

use std::time::Duration;

use bytes::{BufMut as _, BytesMut};
use lacewingmoor_control::{Heartbeat, Message};
use lacewingmoord::peer::{Fetch, Fetched};
use lacewingmoord::peer_auth::{FleetKey, Hello, Identity, Proof, Welcome, nonce};
use lacewingmoord::peer_codec::{
    Error, FRAME_BYTES_MAX, FrameKey, HANDSHAKE_BYTES_MAX, PROTOCOL, Place, Splitter, decode,
    encode,
};
use lacewingmoord::peer_queue::{Pushed, QUEUE_MAX, Queue};
use proptest::prelude::*;
use rstest::rstest;

fn demand(sent_ms: u64) -> Message {
    Message::Demand {
        sent: Duration::from_millis(sent_ms),
        items: vec![],
    }
}

fn vote(n: u64) -> Message {
    Message::Vote {
        claim_sent: Duration::from_millis(n),
        granted: vec![n],
    }
}

fn heartbeat(sent_ms: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        sent: Duration::from_millis(sent_ms),
        echo: None,
        zone: "z".into(),
        region: "r".into(),
        ready: true,
        version: 1,
        digest: [1; 32],
        fresh_age: None,
        store_down: false,
    })
}

fn content(frame: &[u8]) -> &[u8] {
    &frame[4..]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes from the network that crash an entry, or frames longer than allowed.
    #[test]
    fn arbitrary_bytes_are_harmless(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..20),
        length in prop_oneof![Just(0u32), 0..300u32, any::<u32>()],
        protocol in prop_oneof![Just(PROTOCOL), any::<u8>()],
    ) {
        let mut splitter = Splitter::default();
        let mut head = BytesMut::new();
        head.put_u32(length);
        head.put_u8(protocol);
        splitter.push(&head);
        let key = FrameKey::new([1; 32]);
        let place = Place { stream: 1, index: 0 };
        'chunks: for chunk in &chunks {
            splitter.push(chunk);
            loop {
                match splitter.next(HANDSHAKE_BYTES_MAX) {
                    Ok(None) => break,
                    Ok(Some(frame)) => {
                        prop_assert!(frame.len() <= HANDSHAKE_BYTES_MAX);
                        let _ = decode::<Message>(&frame, None);
                        let _ = decode::<Hello>(&frame, None);
                        let _ = decode::<Welcome>(&frame, None);
                        let _ = decode::<Proof>(&frame, None);
                        let _ = decode::<Fetch>(&frame, None);
                        let _ = decode::<Fetched>(&frame, None);
                        prop_assert!(decode::<Message>(&frame, Some((&key, place))).is_err());
                    }
                    Err(_) => break 'chunks,
                }
            }
        }
    }

    /// Guards against frames that are lost or merged when the network cuts them elsewhere.
    #[test]
    fn frames_survive_any_cut(cut in 1usize..50) {
        let sent = [demand(7), heartbeat(9), vote(3)];
        let stream: Vec<u8> = sent.iter().flat_map(|m| encode(m, None)).collect();
        let mut splitter = Splitter::default();
        let mut received = Vec::new();
        for chunk in stream.chunks(cut) {
            splitter.push(chunk);
            while let Some(frame) = splitter.next(FRAME_BYTES_MAX).unwrap() {
                received.push(decode::<Message>(&frame, None).unwrap());
            }
        }
        prop_assert_eq!(&received[..], &sent[..]);
    }
}

/// Guards against memory that is taken for a length before that much has arrived.
#[rstest]
#[case::frame(&[0xff, 0xff, 0xff, 0xff], true)]
#[case::frame_above_the_limit(&[0, 0, 1, 1], true)]
#[case::frame_at_the_limit(&[0, 0, 1, 0], false)]
fn too_long_a_frame_is_refused_at_once(#[case] head: &[u8], #[case] refused: bool) {
    let mut splitter = Splitter::default();
    splitter.push(head);
    assert_eq!(splitter.next(HANDSHAKE_BYTES_MAX).is_err(), refused);
}

/// Guards against a vector of forged length that exhausts memory.
#[test]
fn forged_lengths_inside_a_frame_are_refused() {
    // A vote whose list claims 2^32 targets.
    let mut frame = vec![PROTOCOL, 2, 0, 0, 253];
    frame.extend((1u64 << 32).to_le_bytes());
    let Err(Error::Body(why)) = decode::<Message>(&frame, None) else {
        panic!("accepted");
    };
    assert!(why.contains("LimitExceeded"), "{why}");
}

struct Forged {
    guards: &'static str,
    key: u8,
    place: Place,
    flip: Option<usize>,
}

const PLACE: Place = Place {
    stream: 1,
    index: 4,
};

#[rstest]
#[case(Forged { guards: "a frame made with another key", key: 2, place: PLACE, flip: None })]
#[case(Forged { guards: "a repeated frame", key: 1,
    place: Place { stream: 1, index: 5 }, flip: None })]
#[case(Forged { guards: "a frame moved to another stream", key: 1,
    place: Place { stream: 3, index: 4 }, flip: None })]
#[case(Forged { guards: "a changed body", key: 1, place: PLACE, flip: Some(7) })]
#[case(Forged { guards: "a changed tag", key: 1, place: PLACE, flip: Some(25) })]
fn forged_frames_are_refused(#[case] case: Forged) {
    let mut frame = encode(&demand(7), Some((&FrameKey::new([1; 32]), PLACE))).to_vec();
    assert!(decode::<Message>(content(&frame), Some((&FrameKey::new([1; 32]), PLACE))).is_ok());
    if let Some(at) = case.flip {
        frame[at] ^= 1;
    }
    let key = FrameKey::new([case.key; 32]);
    let result = decode::<Message>(content(&frame), Some((&key, case.place)));
    assert_eq!(result.unwrap_err(), Error::Tag, "guards: {}", case.guards);
}

struct Handshake {
    guards: &'static str,
    /// Fleet keys of dialler and listener.
    keys: (u8, u8),
    /// Node that the dialler expects; the listener is node 2.
    to: u64,
    /// A third party changes the dialler's incarnation on the way.
    changed: bool,
    accepted: bool,
}

#[rstest]
#[case(Handshake { guards: "entries of one fleet refuse each other",
    keys: (1, 1), to: 2, changed: false, accepted: true })]
#[case(Handshake { guards: "a process without the fleet key is taken for an entry",
    keys: (1, 9), to: 2, changed: false, accepted: false })]
#[case(Handshake { guards: "messages reach a VM that got the address of another one",
    keys: (1, 1), to: 3, changed: false, accepted: false })]
#[case(Handshake { guards: "an entry talks to itself under another address",
    keys: (1, 1), to: 1, changed: false, accepted: false })]
#[case(Handshake { guards: "a process passes for another start of its entry",
    keys: (1, 1), to: 2, changed: true, accepted: false })]
fn handshake(#[case] case: Handshake) {
    let key = |n: u8| FleetKey::new([n; 32]);
    let (dialler, listener) = (key(case.keys.0), key(case.keys.1));
    let from = Identity {
        node: 1,
        incarnation: 5,
    };
    let own = Identity {
        node: 2,
        incarnation: 6,
    };
    let hello = Hello {
        from,
        to: case.to,
        nonce: nonce(),
    };
    let mut received = hello.clone();
    received.from.incarnation += u64::from(case.changed);
    let accepted = listener
        .welcome(own, received)
        .is_some_and(|(welcome, transcript)| {
            let proved = dialler.prove(hello.clone(), &welcome);
            // The listener must not rely on the dialler's check.
            let proof = proved.as_ref().map_or(
                Proof {
                    proof: welcome.proof,
                },
                |p| p.0.clone(),
            );
            let session = listener.accept(&transcript, &proof);
            assert_eq!(
                proved.is_some(),
                session.is_some(),
                "guards: {}",
                case.guards
            );
            session.is_some_and(|s| s.peer == from)
        });
    assert_eq!(accepted, case.accepted, "guards: {}", case.guards);
}

/// Guards against a slow peer that gets a history instead of the present state, lost messages of
/// other kinds, and a queue without a limit.
#[tokio::test]
async fn queue_keeps_the_newest_of_what_is_replaced() {
    let queue = Queue::default();
    assert_eq!(queue.push(vote(1)), Pushed::Queued);
    assert_eq!(queue.push(demand(1)), Pushed::Queued);
    assert_eq!(queue.push(heartbeat(1)), Pushed::Queued);
    assert_eq!(queue.push(vote(2)), Pushed::Queued);
    assert_eq!(queue.push(demand(2)), Pushed::Replaced);
    assert_eq!(queue.push(heartbeat(2)), Pushed::Replaced);
    for expected in [vote(1), vote(2), demand(2), heartbeat(2)] {
        assert_eq!(queue.pop().await, expected);
    }
    for n in 0..QUEUE_MAX as u64 {
        assert_eq!(queue.push(vote(n)), Pushed::Queued);
    }
    assert_eq!(queue.push(vote(99)), Pushed::Overflowed);
    assert_eq!((queue.len(), queue.pop().await), (QUEUE_MAX, vote(1)));
}
