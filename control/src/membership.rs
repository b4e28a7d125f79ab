//! Decides which entries register in the store, and counts the others.
//!
//! Every call to the store is billed, and a registration takes a lease, a write and its renewals. So
//! only a few entries of each zone register: those that others may follow. The others are leaf
//! entries. They are known only to the entry that they follow, which names them as members in its own
//! registration, so that they count as users of shared budgets. The number of calls therefore grows
//! with the number of zones.
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

/// Time for which a follower stays a member after its connection has ended. Equals the time after
/// which the registration of an entry that has exited is removed.
const MEMBER_RETENTION: Duration = Duration::from_secs(24);

/// Number of published members that have left above which the list is published again.
const FORMER_MEMBERS_MAX: usize = 4;

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

/// Number of entries that a source has told, with the time for which it counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedCount {
    count: usize,
    until: Timestamp,
}

impl ReportedCount {
    /// Records the number that a source tells. A greater one from another source counts for as long as a
    /// former follower does.
    pub fn record(&mut self, now: Timestamp, count: usize) {
        if count >= self.get(now) {
            *self = Self {
                count,
                until: now + MEMBER_RETENTION,
            };
        }
    }

    /// Returns the number; 0 if no source has told one recently.
    pub fn get(&self, now: Timestamp) -> usize {
        match now < self.until {
            true => self.count,
            false => 0,
        }
    }
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
    /// The follower that should register now, and until when.
    appointment: Option<(EntryName, Timestamp)>,
    /// Entries whose appointment timed out since all were last considered.
    passed_over: Set<EntryName>,
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

    /// Takes over the members that an earlier process with the same name published. They stay members
    /// until they have had time to find a source.
    pub fn inherit(&mut self, now: Timestamp, members: &[EntryName], zone: &ZoneName) {
        for name in members {
            let state = FollowerState {
                follower: Follower {
                    name: name.clone(),
                    zone: zone.clone(),
                    capacity: 0,
                },
                connections: 0,
                disconnected_at: now,
            };
            self.by_name.entry(name.clone()).or_insert(state);
        }
    }

    /// Returns the leaf entries of `zone`, that of this entry, to name as members, in the order of their
    /// names. Those of other zones soon return to a source of their zone. A follower stays a member
    /// for [`MEMBER_RETENTION`] after it was lost: it shares the budgets until it is certain that
    /// another entry names it or that it has exited.
    pub fn members(&mut self, now: Timestamp, view: &View, zone: &ZoneName) -> Vec<EntryName> {
        self.drop_former(now);
        let followers = self.by_name.values().map(|state| &state.follower);
        let leaves = followers.filter(|f| f.zone == *zone && view.entry(&f.name).is_none());
        let mut members: Vec<EntryName> = leaves.map(|leaf| leaf.name.clone()).collect();
        members.sort();
        members
    }

    /// Returns the number of entries that follow this one, or did so recently, and that no registration
    /// names.
    pub fn uncounted(&mut self, now: Timestamp, view: &View) -> usize {
        self.drop_former(now);
        let names = self.by_name.keys();
        names.filter(|name| !view.counts_entry(name)).count()
    }

    fn drop_former(&mut self, now: Timestamp) {
        self.by_name.retain(|_, state| {
            state.connections > 0 || now < state.disconnected_at + MEMBER_RETENTION
        });
    }

    /// Returns true if the list of members should be published: a connected follower is not counted
    /// yet by any entry, or several published members have left.
    ///
    /// Load pattern: leaf entries go from source to source while the store is unavailable. They are
    /// counted already, so nothing is published.
    pub fn should_publish(
        &mut self,
        now: Timestamp,
        view: &View,
        zone: &ZoneName,
        published: &[EntryName],
    ) -> bool {
        let members = self.members(now, view, zone);
        let former = published.iter().filter(|name| !members.contains(name));
        let has_uncounted = members.iter().any(|name| {
            let is_connected = self.by_name.get(name).is_some_and(|s| s.connections > 0);
            is_connected && !view.counts_entry(name)
        });
        has_uncounted || former.count() > FORMER_MEMBERS_MAX
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
    let wanted = view
        .entry_count_in_zone(zone)
        .div_ceil(MEMBERS_PER_REGISTERED_MAX)
        .max(REGISTERED_PER_ZONE_MIN);
    let highest = registered.iter().min_by(|a, b| rank(a).cmp(&rank(b)));
    registered.len() < wanted && highest.is_none_or(|highest| highest.name == own.name)
}
