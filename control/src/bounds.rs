//! Bounds that the operators set for features that not every deployment uses.

use std::time::Duration;

use lacewingmoor_derive::value;

/// Share of the VM's memory for bodies. Without bodies, an entry takes 4 MB, 30 KB for each connection that has
/// brought a request head, and up to 41 MB while all its followers in a fleet of 302 ask for a snapshot. On the
/// smallest VMs of 112 MB, 67 MB are left for these.
const BODY_SHARE: f64 = 0.4;

/// Share of the VM's memory for bodies if a single body takes most of it. The longest bodies, of 64 MiB, fit
/// into it on the smallest VMs.
const SINGLE_BODY_SHARE: f64 = 0.6;

/// Share of all held bytes from which on a body counts as the only one.
const SINGLE_BODY_PART: f64 = 0.8;

/// Bytes for bodies if the memory of the VM is not known.
const BODY_BYTES_DEFAULT: usize = 96 << 20;

/// Share of the VM's memory for frames of followers that are coming in. On the smallest VMs it has room for
/// 140 reports of 80 KB.
const FRAME_SHARE: f64 = 0.1;

/// Bytes for such frames if the memory of the VM is not known.
const FRAME_BYTES_DEFAULT: usize = 16 << 20;

/// Length up to which a body counts as small.
const SMALL_BODY_BYTES_MAX: usize = 16 * 1024;

/// Bounds of features; a feature without bounds is off.
#[value]
#[derive(Default)]
pub struct Bounds {
    /// Bounds on the exposure of a new version of a service.
    pub exposure: Option<ExposureBounds>,
    /// Bounds on the rate limits of workspaces.
    pub rate_limits: Option<RateLimitBounds>,
    /// Bounds on the use of withdrawn keys.
    pub keys: KeyBounds,
    /// Memory of the VM in bytes, if known.
    pub memory_bytes: Option<u64>,
    /// Weights of distance in the choice of a target.
    pub zones: Option<ZoneWeights>,
}

/// Bounds on the requests that a new version of a service gets before it has proved good.
#[value]
pub struct ExposureBounds {
    /// Share of all requests of the service.
    pub share: f64,
    /// Requests in addition, for all entries together.
    pub extra: f64,
    /// Time within which a version that fails gets no more requests.
    pub stop_within: Duration,
}

/// How far the requests of a workspace may exceed its limit in a window.
#[value]
pub struct RateLimitBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share of the limit by which a window may exceed it.
    pub over: f64,
    /// Requests in addition in each window, for all entries together.
    pub extra: f64,
}

/// Bounds on the use of withdrawn keys. The platform's documentation does not define them;
/// docs/design/workspaces.md says how they are read.
#[value]
#[derive(Default)]
pub struct KeyBounds {
    /// True if an entry whose view is older than `withdrawn_within` must refuse requests that need a key,
    /// also those with keys that it knows. Otherwise known keys go on working while it is cut off.
    pub strict: bool,
    /// Time within which a withdrawn key stops working; `None` if only the time that all changes have
    /// applies.
    pub withdrawn_within: Option<Duration>,
}

/// Weights of distance in the choice of a target.
#[value]
pub struct ZoneWeights {
    /// Time that a request may wait longer to stay in its zone rather than in its region.
    pub zone_cost: Duration,
    /// The same to stay in its region.
    pub region_cost: Duration,
}

/// How many bytes of bodies an entry may hold.
#[value]
#[derive(Copy)]
pub struct BodyBytes {
    /// Of all bodies.
    pub max: usize,
    /// Of all bodies if one takes most of it.
    pub max_with_single: usize,
}

impl BodyBytes {
    /// Returns true if a body may take `bytes` beside `others` bytes of other bodies.
    ///
    /// Load pattern: long bodies fill the memory. Small ones fit beside them, so that the requests that have
    /// them go on.
    pub fn allows(&self, others: usize, bytes: usize) -> bool {
        let held = others.saturating_add(bytes);
        let is_single = bytes as f64 >= held as f64 * SINGLE_BODY_PART;
        bytes <= SMALL_BODY_BYTES_MAX
            || held <= self.max
            || is_single && held <= self.max_with_single
    }
}

impl Bounds {
    /// Returns how many bytes of bodies an entry may hold.
    pub fn body_bytes(&self) -> BodyBytes {
        BodyBytes {
            max: self.share_of_memory(BODY_SHARE, BODY_BYTES_DEFAULT),
            max_with_single: self.share_of_memory(SINGLE_BODY_SHARE, BODY_BYTES_DEFAULT),
        }
    }

    /// Returns how many bytes an entry may hold of frames of followers that are coming in.
    pub fn frame_bytes(&self) -> BodyBytes {
        let max = self.share_of_memory(FRAME_SHARE, FRAME_BYTES_DEFAULT);
        BodyBytes {
            max,
            max_with_single: max,
        }
    }

    fn share_of_memory(&self, share: f64, default: usize) -> usize {
        match self.memory_bytes {
            Some(memory_bytes) => (memory_bytes as f64 * share) as usize,
            None => default,
        }
    }
}
