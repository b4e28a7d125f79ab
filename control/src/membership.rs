//! Decides which entries register in the store, and counts the others.
//!
//! Every call to the store is billed, and a registration takes a lease, a write and its renewals. So
//! only a few entries of each zone register: those that others may follow. The others are leaf
//! entries. They are known only to the entry that they follow, which counts them and publishes the
//! count with its own registration. The number of calls therefore grows with the number of zones.
//!
//! An entry registers when the entry that it follows appoints it, or when it had to follow the store
//! because no registered entry of its zone was available. The delay before it does so differs from
//! entry to entry, so that the first one to register is seen by the others.

use std::time::Duration;

use lacewingmoor_derive::value;

use crate::model::{Entry, EntryName, ZoneName};
use crate::source::rank;
use crate::view::View;
use crate::{Map, Set, Timestamp};

/// Registered entries that each zone should have, so that its leaf entries have a second source.
const REGISTERED_PER_ZONE_MIN: usize = 2;

/// Members of a zone for each of its registered entries.
const MEMBERS_PER_REGISTERED_MAX: usize = 32;

/// Time in which an appointed entry should have registered; then another one is appointed.
const APPOINTMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a follower is counted after its connection has ended. Equals the time after which
/// the registration of an entry that has exited is removed.
const MEMBER_RETENTION: Duration = Duration::from_secs(24);

/// Shortest time between two publications of the count.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1500);

/// Published count, as a multiple of the current one, above which a lower count is published.
const PUBLISH_EXCESS: f64 = 1.3;

/// Longest random part of the registration delay.
const DELAY_RANDOM_MAX: Duration = Duration::from_millis(600);

/// Head start of an entry whose VM has at least [`DELAY_CAPACITY`] over one without capacity.
const DELAY_HEAD_START: Duration = Duration::from_millis(900);

/// Capacity from which on an entry registers without leaving others a head start.
const DELAY_CAPACITY: u32 = 4000;

/// Returns how long an entry that follows the store, because there is no other source, waits before
/// it registers. `draw` is a random number from 0 to 1.
///
/// Load pattern: all entries of a zone start at the same time, and none is registered.
pub fn registration_delay(capacity: u32, draw: f64) -> Duration {
    let strength = (f64::from(capacity) / f64::from(DELAY_CAPACITY)).min(1.0);
    DELAY_RANDOM_MAX.mul_f64(draw) + DELAY_HEAD_START.mul_f64(1.0 - strength)
}

/// Returns true if the count of members should be published again.
pub fn should_publish(published: u32, current: u32, since_published: Duration) -> bool {
    let too_low = current > published;
    let too_high = f64::from(published) > f64::from(current) * PUBLISH_EXCESS;
    since_published >= PUBLISH_INTERVAL && (too_low || too_high)
}

/// An entry that follows this one.
#[value]
pub struct Follower {
    /// Name of the entry.
    pub name: EntryName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Relative capacity of its VM.
    pub capacity: u32,
}

struct FollowerState {
    follower: Follower,
    connections: u32,
    disconnected_at: Timestamp,
}

/// Followers of this entry, connected or recently disconnected.
#[derive(Default)]
pub struct Followers {
    by_name: Map<EntryName, FollowerState>,
    /// The entry that should register next, and until when.
    appointment: Option<(EntryName, Timestamp)>,
    /// Entries whose appointment timed out since all were last considered.
    passed_over: Set<EntryName>,
    /// Count that an earlier process with the same name published, and until when it applies.
    inherited: Option<(u32, Timestamp)>,
}

impl Followers {
    /// Records a connection of a follower.
    pub fn connect(&mut self, follower: Follower) {
        let state = self.by_name.entry(follower.name.clone());
        let state = state.or_insert_with(|| FollowerState {
            follower: follower.clone(),
            connections: 0,
            disconnected_at: Timestamp::ZERO,
        });
        state.follower = follower;
        state.connections += 1;
    }

    /// Records the end of a connection of a follower.
    pub fn disconnect(&mut self, now: Timestamp, name: &EntryName) {
        if let Some(state) = self.by_name.get_mut(name) {
            state.connections = state.connections.saturating_sub(1);
            state.disconnected_at = now;
        }
    }

    /// Takes over the count that an earlier process with the same name published. It is the minimum
    /// until the followers of that process have had time to find a source.
    pub fn inherit(&mut self, now: Timestamp, members: u32) {
        self.inherited = Some((members, now + MEMBER_RETENTION));
    }

    /// Returns the number of entries that the registration of this entry stands for. A follower
    /// counts for [`MEMBER_RETENTION`] after it was lost: it shares the budgets until it is certain
    /// that another entry counts it or that it has exited.
    pub fn member_count(&mut self, now: Timestamp, view: &View) -> u32 {
        self.by_name.retain(|_, state| {
            state.connections > 0 || now < state.disconnected_at + MEMBER_RETENTION
        });
        let names = self.by_name.keys();
        let leaves = names.filter(|name| view.entry(name).is_none());
        let members = 1 + leaves.count() as u32;
        let inherited = self.inherited.filter(|(_, until)| now < *until);
        inherited.map_or(members, |(minimum, _)| members.max(minimum))
    }

    /// Returns true if the follower should register.
    pub fn is_appointed(&self, name: &str) -> bool {
        let appointed = self.appointment.as_ref();
        appointed.is_some_and(|(appointed, _)| &**appointed == name)
    }

    /// Appoints a follower to register if its zone has too few registered entries and `own` is the
    /// highest-ranked of these. The follower with the greatest capacity is appointed, unless it was
    /// appointed before without success.
    pub fn update_appointment(&mut self, now: Timestamp, view: &View, own: &Entry) {
        if let Some((name, until)) = &self.appointment {
            if view.entry(name).is_some() {
                self.appointment = None;
            } else if now >= *until {
                self.passed_over.insert(name.clone());
                self.appointment = None;
            } else {
                return;
            }
        }
        let is_leaf = |state: &&FollowerState| {
            state.connections > 0
                && view.entry(&state.follower.name).is_none()
                && lacks_registered_entries(view, &state.follower.zone, own)
        };
        let leaves: Vec<&Follower> = self
            .by_name
            .values()
            .filter(is_leaf)
            .map(|state| &state.follower)
            .collect();
        if leaves
            .iter()
            .all(|leaf| self.passed_over.contains(&leaf.name))
        {
            self.passed_over.clear();
        }
        let best = leaves
            .into_iter()
            .filter(|leaf| !self.passed_over.contains(&leaf.name))
            .max_by(|a, b| (a.capacity, &b.name).cmp(&(b.capacity, &a.name)));
        if let Some(best) = best {
            self.appointment = Some((best.name.clone(), now + APPOINTMENT_TIMEOUT));
        }
    }
}

/// Returns true if more entries of the zone should register and `own` is the one to appoint them:
/// the highest-ranked one of the zone, or any entry if the zone has none.
fn lacks_registered_entries(view: &View, zone: &ZoneName, own: &Entry) -> bool {
    let registered: Vec<_> = view.entries().filter(|entry| entry.zone == *zone).collect();
    let members: usize = registered.iter().map(|entry| entry.members as usize).sum();
    let wanted = members
        .div_ceil(MEMBERS_PER_REGISTERED_MAX)
        .max(REGISTERED_PER_ZONE_MIN);
    let highest = registered.iter().min_by(|a, b| rank(a).cmp(&rank(b)));
    registered.len() < wanted && highest.is_none_or(|highest| highest.name == own.name)
}
