//! Memory that bodies of requests and responses take, up to a share of the VM's memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use lacewingmoor_control::bounds::BodyBytes;

/// Steps in which the memory for a body is reserved while it comes in.
///
/// Load pattern: a caller announces a long body and does not send it. Had the announced length been
/// reserved, it would keep the bodies of others away.
const STEP_BYTES: usize = 64 * 1024;

/// Length up to which a buffer is allocated at once. The pages of a buffer take memory only once they are
/// written, but the address space is limited, too.
const ALLOCATION_BYTES_MAX: usize = 4 << 20;

/// Bytes of bodies that this process holds, up to a maximum.
///
/// Load pattern: callers send several bodies of the longest allowed length at the same time, or many
/// responses are read ahead at the same time. The process is killed if it exceeds the memory of its VM.
#[derive(Clone, Default)]
pub struct BodyMemory {
    /// Shared with the bodies, whose bytes hyper requires to be `Send`.
    held: Arc<AtomicUsize>,
}

impl BodyMemory {
    /// Returns a buffer for a body of `announced` bytes, 0 if it does not announce its length.
    pub fn buffer(&self, announced: usize, limit: BodyBytes) -> BodyBuffer {
        BodyBuffer {
            bytes: BytesMut::with_capacity(announced.min(ALLOCATION_BYTES_MAX)),
            announced,
            limit,
            reservation: Reservation {
                held: self.held.clone(),
                bytes: 0,
            },
        }
    }
}

/// Part of the memory for bodies, held until dropped.
struct Reservation {
    held: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    fn set(&mut self, bytes: usize) {
        // All tasks run on one thread, so that no other reservation changes in between.
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    fn try_grow(&mut self, bytes: usize, limit: BodyBytes) -> bool {
        let others = self.held.load(Ordering::Relaxed) - self.bytes;
        let fits = bytes <= self.bytes || limit.allows(others, bytes);
        if fits {
            self.set(bytes.max(self.bytes));
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body that is coming in, with the memory that it takes.
pub struct BodyBuffer {
    bytes: BytesMut,
    announced: usize,
    limit: BodyBytes,
    reservation: Reservation,
}

impl BodyBuffer {
    /// Returns false if the announced length does not fit now.
    pub fn fits(&self) -> bool {
        let held = self.reservation.held.load(Ordering::Relaxed);
        self.limit
            .allows(held - self.reservation.bytes, self.announced)
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns true if the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reserves memory for `more` bytes. Returns false if there is none.
    pub fn reserve(&mut self, more: usize) -> bool {
        let length = self.bytes.len() + more;
        let capacity = self.bytes.capacity();
        let takes = length.next_multiple_of(STEP_BYTES);
        if length <= capacity {
            return self.reservation.try_grow(takes.min(capacity), self.limit);
        }
        let grown = match self.announced >= length {
            true => self.announced,
            false => (capacity * 2).max(length),
        };
        // While the bytes are copied, both buffers take memory.
        let takes = capacity + takes.min(grown);
        let fits = self.reservation.try_grow(takes, self.limit);
        if fits {
            self.bytes.reserve(grown - self.bytes.len());
        }
        fits
    }

    /// Appends a part of the body, for which memory has been reserved.
    pub fn append(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
    }

    /// Returns the body, whose memory counts until all copies of it are dropped.
    pub fn freeze(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.reservation.set(self.bytes.len());
        Bytes::from_owner(HeldBytes {
            bytes: self.bytes,
            _reservation: self.reservation,
        })
    }
}

struct HeldBytes {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
