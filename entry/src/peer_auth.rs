//! Mutual authentication of peers with the fleet key, and the keys of a session.
//!
//! The dialler sends `Hello`, the listener answers `Welcome` with its proof, the dialler ends with
//! its own `Proof`. Proofs and session keys are HMAC-SHA-256 with the fleet key over a label and
//! both sides' ids, incarnations and nonces; the labels keep a proof from being sent back to its
//! maker.

use hmac::{Hmac, KeyInit as _, Mac as _};
use lacewingmoor_bundle::NodeId;
use lacewingmoor_derive::{value, wire};
use rand::TryRng as _;
use rand::rngs::SysRng;
use sha2::Sha256;

use crate::peer_codec::FrameKey;

const LISTENER_PROOF: &[u8] = b"lacewingmoor listener proof\0";
const DIALLER_PROOF: &[u8] = b"lacewingmoor dialler proof\0";
const LISTENER_KEY: &[u8] = b"lacewingmoor listener key\0";
const DIALLER_KEY: &[u8] = b"lacewingmoor dialler key\0";

/// Secret shared by the entries of a fleet.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

/// Who a process is.
#[wire]
#[derive(Copy, Eq)]
pub struct Identity {
    /// Id of the entry.
    pub node: NodeId,
    /// Start of the process.
    pub incarnation: u64,
}

/// First frame of the dialler.
#[wire]
pub struct Hello {
    /// The dialler.
    pub from: Identity,
    /// Whom the dialler expects; addresses are reused for other VMs.
    pub to: NodeId,
    /// Random bytes.
    pub nonce: [u8; 32],
}

/// Answer of the listener.
#[wire]
pub struct Welcome {
    /// The listener.
    pub from: Identity,
    /// Random bytes.
    pub nonce: [u8; 32],
    /// Shows that the listener has the fleet key.
    pub proof: [u8; 32],
}

/// Last frame of the handshake.
#[wire]
pub struct Proof {
    /// Shows that the dialler has the fleet key.
    pub proof: [u8; 32],
}

/// What both sides have seen.
#[value]
pub struct Transcript {
    hello: Hello,
    listener: Identity,
    nonce: [u8; 32],
}

/// Keys of a session.
#[derive(Clone)]
pub struct Session {
    /// The other side.
    pub peer: Identity,
    /// Key of frames from the dialler.
    pub dialler: FrameKey,
    /// Key of frames from the listener.
    pub listener: FrameKey,
}

/// Draws a nonce.
///
/// # Panics
///
/// Panics if the operating system gives no random numbers.
pub fn nonce() -> [u8; 32] {
    let mut nonce = [0; 32];
    SysRng
        .try_fill_bytes(&mut nonce)
        .expect("the operating system gives random numbers");
    nonce
}

impl FleetKey {
    /// Wraps a key.
    pub fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    fn mac(&self, label: &[u8], transcript: &Transcript) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(label);
        for part in [
            &transcript.hello.from.node.to_be_bytes()[..],
            &transcript.hello.from.incarnation.to_be_bytes(),
            &transcript.hello.to.to_be_bytes(),
            &transcript.hello.nonce,
            &transcript.listener.node.to_be_bytes(),
            &transcript.listener.incarnation.to_be_bytes(),
            &transcript.nonce,
        ] {
            mac.update(part);
        }
        mac
    }

    fn derive(&self, label: &[u8], transcript: &Transcript) -> [u8; 32] {
        self.mac(label, transcript).finalize().into_bytes().into()
    }

    fn verify(&self, label: &[u8], transcript: &Transcript, proof: &[u8; 32]) -> bool {
        self.mac(label, transcript).verify_slice(proof).is_ok()
    }

    fn session(&self, peer: Identity, transcript: &Transcript) -> Session {
        Session {
            peer,
            dialler: FrameKey::new(self.derive(DIALLER_KEY, transcript)),
            listener: FrameKey::new(self.derive(LISTENER_KEY, transcript)),
        }
    }

    /// Answers a hello as the listener `own`; `None` if it is meant for another node.
    pub fn welcome(&self, own: Identity, hello: Hello) -> Option<(Welcome, Transcript)> {
        if hello.to != own.node || hello.from.node == own.node {
            return None;
        }
        let transcript = Transcript {
            hello,
            listener: own,
            nonce: nonce(),
        };
        let welcome = Welcome {
            from: own,
            nonce: transcript.nonce,
            proof: self.derive(LISTENER_PROOF, &transcript),
        };
        Some((welcome, transcript))
    }

    /// Checks the listener's welcome; `None` if it lacks the key or is another node.
    pub fn prove(&self, hello: Hello, welcome: &Welcome) -> Option<(Proof, Session)> {
        let transcript = Transcript {
            hello,
            listener: welcome.from,
            nonce: welcome.nonce,
        };
        if welcome.from.node != transcript.hello.to
            || !self.verify(LISTENER_PROOF, &transcript, &welcome.proof)
        {
            return None;
        }
        let proof = Proof {
            proof: self.derive(DIALLER_PROOF, &transcript),
        };
        Some((proof, self.session(welcome.from, &transcript)))
    }

    /// Checks the dialler's proof; `None` if it lacks the key.
    pub fn accept(&self, transcript: &Transcript, proof: &Proof) -> Option<Session> {
        self.verify(DIALLER_PROOF, transcript, &proof.proof)
            .then(|| self.session(transcript.hello.from, transcript))
    }
}
