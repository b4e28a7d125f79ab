//! Counts that entries add up along the paths on which they follow each other.
//!
//! A follower reports its own counts and those of its followers to its source. Entries that follow the
//! store report to the leader of the counts, which is the entry that ranks first. The totals return
//! on the same connections. docs/design/counts.md describes faults and alternatives.

use std::time::Duration;

use lacewingmoor_derive::{copy_value, value, wire};

use crate::model::{Entry, EntryName, Revision};
use crate::source::ranked;
use crate::view::View;
use crate::{Map, Timestamp};

/// Age at which the counts of a follower are dropped: more than four report intervals.
pub const REPORT_AGE_MAX: Duration = Duration::from_millis(1500);

/// Age above which totals are no longer used.
pub const TOTALS_AGE_MAX: Duration = Duration::from_secs(2);

/// Age of the view up to which an entry that ranks first leads without any follower's counts. Equals
/// the time without confirmation after which the entry assumes a store outage.
const VIEW_AGE_MAX: Duration = Duration::from_millis(2500);

/// Interval at which all counts are sent; in between, only those that changed. Three status
/// intervals, so that a lost change is repaired before the counts are dropped.
const FULL_INTERVAL: Duration = Duration::from_millis(900);

/// Relative change of a demand below which it is not sent before the next full set.
const CHANGE_MIN: f64 = 0.2;

/// Greatest number of entries that forward a report. Paths between entries have three hops; the
/// limit ends a cycle that exists for a moment while entries switch sources.
const DEPTH_MAX: u32 = 6;

/// Greatest number of workspaces or services in the counts of one follower.
const NAMES_MAX: usize = 4096;

/// Counts of one entry, or of several together.
#[wire]
#[derive(Default)]
pub struct Counts {
    /// Number of entries that are counted.
    pub entry_count: u32,
    /// Demand of each workspace that has a rate limit, in the order of their names.
    pub demand: Vec<WorkspaceDemand>,
    /// Counts of each service that is being moved to another version.
    pub rollouts: Vec<RolloutCounts>,
}

/// Requests of a workspace.
#[wire]
pub struct WorkspaceDemand {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests per second that arrive, admitted or not.
    pub requests_per_s: f64,
    /// Number of entries at which they arrive.
    pub entry_count: u32,
}

/// Counts of a service since the order to move it to another version.
#[wire]
pub struct RolloutCounts {
    /// Name of the service.
    pub service: String,
    /// Revision of the order.
    pub order: Revision,
    /// Number of entries whose counts these are.
    pub entry_count: u32,
    /// Lowest stage that one of the entries is at.
    pub stage_min: u8,
    /// Requests that are in flight at targets of other versions.
    pub in_flight_at_old: u32,
    /// Requests since the entries learned of the order.
    pub requests: u32,
    /// Requests of these that were sent to the new version.
    pub sent_to_new: u32,
    /// Results of requests.
    pub results: Vec<VersionResults>,
}

/// Results of requests at one version, on one route.
#[wire]
pub struct VersionResults {
    /// True for the version that the service is moved to.
    pub is_new: bool,
    /// Name of the route.
    pub route: String,
    /// Id of the target; empty for counts of the old version, which are kept together.
    pub target: String,
    /// Requests that have ended.
    pub ended: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that took much longer than the target's load let expect.
    pub slow: u32,
}

impl Counts {
    /// Returns the index of a workspace, or where it would be.
    fn find_demand(&self, workspace: &str) -> Result<usize, usize> {
        let by_name = |demand: &WorkspaceDemand| demand.workspace.as_str().cmp(workspace);
        self.demand.binary_search_by(by_name)
    }

    /// Returns the demand of a workspace.
    pub fn demand_of(&self, workspace: &str) -> Option<&WorkspaceDemand> {
        let i = self.find_demand(workspace).ok()?;
        self.demand.get(i)
    }

    /// Adds the counts of other entries.
    pub fn merge(&mut self, other: &Self) {
        self.entry_count = self.entry_count.saturating_add(other.entry_count);
        for demand in &other.demand {
            match self.find_demand(&demand.workspace) {
                Ok(i) => {
                    self.demand[i].requests_per_s += demand.requests_per_s;
                    let own = &mut self.demand[i].entry_count;
                    *own = own.saturating_add(demand.entry_count);
                }
                Err(i) => self.demand.insert(i, demand.clone()),
            }
        }
        for rollout in &other.rollouts {
            let same =
                |r: &&mut RolloutCounts| r.service == rollout.service && r.order == rollout.order;
            match self.rollouts.iter_mut().find(same) {
                Some(own) => own.merge(rollout),
                None => self.rollouts.push(rollout.clone()),
            }
        }
    }
}

impl RolloutCounts {
    fn merge(&mut self, other: &Self) {
        self.entry_count = self.entry_count.saturating_add(other.entry_count);
        self.stage_min = self.stage_min.min(other.stage_min);
        self.in_flight_at_old = self.in_flight_at_old.saturating_add(other.in_flight_at_old);
        self.requests = self.requests.saturating_add(other.requests);
        self.sent_to_new = self.sent_to_new.saturating_add(other.sent_to_new);
        for results in &other.results {
            let same = |r: &&mut VersionResults| {
                (r.is_new, &r.route, &r.target) == (results.is_new, &results.route, &results.target)
            };
            match self.results.iter_mut().find(same) {
                Some(own) => {
                    own.ended = own.ended.saturating_add(results.ended);
                    own.failed = own.failed.saturating_add(results.failed);
                    own.slow = own.slow.saturating_add(results.slow);
                }
                None => self.results.push(results.clone()),
            }
        }
    }
}

/// Counts as they are sent: all, or those that changed since the last ones on the connection.
#[wire]
#[derive(Default)]
pub struct CountsUpdate {
    /// True if counts that are not named are gone.
    pub is_full: bool,
    /// Number of entries that have forwarded the counts of the farthest follower.
    pub depth: u32,
    /// Time since the totals were computed, in milliseconds; 0 in a report.
    pub age_ms: u32,
    /// True if rollouts are as in the last update.
    pub keeps_rollouts: bool,
    /// The counts. The number of entries is always set.
    pub counts: Counts,
}

impl CountsUpdate {
    /// Returns true if the numbers are finite and not negative, and the names are not too many.
    pub fn is_valid(&self) -> bool {
        let demand = &self.counts.demand;
        let valid = |d: &WorkspaceDemand| d.requests_per_s.is_finite() && d.requests_per_s >= 0.0;
        let names = demand.len().max(self.counts.rollouts.len());
        names <= NAMES_MAX && demand.iter().all(valid)
    }

    /// Applies the update to the counts that are known from the connection.
    fn apply(self, known: &mut Counts) {
        if self.is_full {
            *known = self.counts;
            known.demand.sort_by(|a, b| a.workspace.cmp(&b.workspace));
            return;
        }
        known.entry_count = self.counts.entry_count;
        if !self.keeps_rollouts {
            known.rollouts = self.counts.rollouts;
        }
        // A full update follows within a second and drops what is not in it, so names don't accumulate.
        for demand in self.counts.demand {
            match known.find_demand(&demand.workspace) {
                Ok(i) => known.demand[i] = demand,
                Err(i) => known.demand.insert(i, demand),
            }
        }
    }
}

/// Selects what is sent on one connection.
///
/// Load pattern: 75 workspaces at 217 entries. CPU time and bytes between zones are billed, so counts
/// that changed little are sent about once a second.
#[derive(Debug, Default)]
pub struct UpdateSelector {
    sent: Counts,
    full_at: Option<Timestamp>,
}

impl UpdateSelector {
    /// Returns the update that makes the other side know `counts`.
    pub fn select(&mut self, now: Timestamp, counts: &Counts, depth: u32) -> CountsUpdate {
        if self.full_at.is_none_or(|at| now >= at + FULL_INTERVAL) {
            self.full_at = Some(now);
            self.sent = counts.clone();
            return CountsUpdate {
                is_full: true,
                depth,
                age_ms: 0,
                keeps_rollouts: false,
                counts: counts.clone(),
            };
        }
        let mut changed = Counts {
            entry_count: counts.entry_count,
            ..Counts::default()
        };
        for demand in &counts.demand {
            match self.sent.find_demand(&demand.workspace) {
                Ok(i) if !has_changed(&self.sent.demand[i], demand) => continue,
                Ok(i) => self.sent.demand[i] = demand.clone(),
                Err(i) => self.sent.demand.insert(i, demand.clone()),
            }
            changed.demand.push(demand.clone());
        }
        let keeps_rollouts = self.sent.rollouts == counts.rollouts;
        if !keeps_rollouts {
            self.sent.rollouts.clone_from(&counts.rollouts);
            changed.rollouts.clone_from(&counts.rollouts);
        }
        CountsUpdate {
            is_full: false,
            depth,
            age_ms: 0,
            keeps_rollouts,
            counts: changed,
        }
    }
}

fn has_changed(sent: &WorkspaceDemand, demand: &WorkspaceDemand) -> bool {
    let change = (sent.requests_per_s - demand.requests_per_s).abs();
    change > CHANGE_MIN * sent.requests_per_s
}

/// Id of a connection on which a follower reports; greater ones are newer.
pub type ConnectionId = u64;

/// Counts of one follower.
#[derive(Debug)]
struct Reported {
    connection: ConnectionId,
    at: Timestamp,
    depth: u32,
    counts: Counts,
}

/// Totals as of a time.
#[derive(Debug)]
struct Totals {
    counts: Counts,
    as_of: Timestamp,
}

/// Whether this entry leads the counts.
#[copy_value]
#[derive(Default)]
pub enum Role {
    /// It does not know yet, or another one leads.
    #[default]
    Reports,
    /// No entry that it can reach ranks before it.
    Leads,
}

/// What decides whether an entry leads the counts.
#[value]
pub struct Standing {
    /// True if all registered entries that rank before it, if any, do not answer.
    pub ranks_first: bool,
    /// Number of entries that it knows of, including itself.
    pub entry_count: usize,
    /// Age of its view if it follows the store itself.
    pub store_view_age: Option<Duration>,
}

/// Counts that this entry exchanges with others.
#[derive(Debug, Default)]
pub struct Exchange {
    own: Counts,
    has_limits: bool,
    reported: Map<EntryName, Reported>,
    role: Role,
    totals: Option<Totals>,
}

impl Exchange {
    /// Sets this entry's demand of workspaces that have a rate limit.
    pub fn set_demand(&mut self, mut demand: Vec<WorkspaceDemand>) {
        demand.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        self.own.demand = demand;
    }

    /// Sets this entry's counts of services that are being moved to another version.
    pub fn set_rollouts(&mut self, rollouts: Vec<RolloutCounts>) {
        self.own.rollouts = rollouts;
    }

    /// Sets whether workspaces have rate limits. If so, this entry also reports when none of their
    /// requests arrive, so that the number of entries in the totals is right.
    pub fn set_has_limits(&mut self, has_limits: bool) {
        self.has_limits = has_limits;
    }

    /// Returns true if counts have to be exchanged.
    pub fn is_active(&self) -> bool {
        self.has_limits || !self.own.rollouts.is_empty() || !self.reported.is_empty()
    }

    /// Records the report of a follower. An older connection of it no longer counts.
    ///
    /// # Errors
    ///
    /// Returns the reason if the report is not valid.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        follower: &EntryName,
        connection: ConnectionId,
        update: CountsUpdate,
    ) -> Result<(), &'static str> {
        if !update.is_valid() {
            return Err("counts are out of range");
        }
        if update.depth > DEPTH_MAX {
            return Ok(());
        }
        let known = self.reported.get(follower).map(|known| known.connection);
        // A part of the counts says nothing without the rest of them.
        let is_usable = known == Some(connection)
            || (update.is_full && known.is_none_or(|known| connection > known));
        if !is_usable {
            return Ok(());
        }
        let reported = self.reported.entry(follower.clone());
        let reported = reported.or_insert_with(|| Reported {
            connection,
            at: now,
            depth: 0,
            counts: Counts::default(),
        });
        reported.connection = connection;
        reported.at = now;
        reported.depth = update.depth;
        update.apply(&mut reported.counts);
        Ok(())
    }

    /// Drops the counts of a follower whose connection ended.
    pub fn remove_follower(&mut self, follower: &EntryName, connection: ConnectionId) {
        let is_same = |r: &Reported| r.connection == connection;
        if self.reported.get(follower).is_some_and(is_same) {
            self.reported.remove(follower);
        }
    }

    /// Returns this entry's counts and those of its followers except `receiver`, with the depth of the
    /// farthest; `None` if there is nothing to report.
    ///
    /// Fault: two entries that follow each other for a moment would count each other's counts again
    /// and again, so nothing returns to the entry that it came from.
    pub fn report(&self, now: Timestamp, receiver: &str) -> Option<(Counts, u32)> {
        (self.is_active() && self.role == Role::Reports).then(|| self.sum(now, receiver))
    }

    fn sum(&self, now: Timestamp, receiver: &str) -> (Counts, u32) {
        let mut sum = self.own.clone();
        sum.entry_count = 1;
        let mut depth = 0;
        for (name, reported) in &self.reported {
            if **name != *receiver && now <= reported.at + REPORT_AGE_MAX {
                sum.merge(&reported.counts);
                depth = depth.max(reported.depth + 1);
            }
        }
        (sum, depth)
    }

    /// Sets whether this entry leads the counts, drops old reports, and computes the totals if it
    /// leads.
    ///
    /// Fault: an entry that is cut off from all others would take its own counts for the totals. It
    /// leads only while it hears of followers, or of the store, or knows no other entry.
    pub fn refresh(&mut self, now: Timestamp, standing: &Standing) {
        self.reported
            .retain(|_, reported| now <= reported.at + REPORT_AGE_MAX);
        let hears_store = standing
            .store_view_age
            .is_some_and(|age| age <= VIEW_AGE_MAX);
        let is_alone = standing.entry_count <= 1;
        let leads = standing.ranks_first && (is_alone || hears_store || !self.reported.is_empty());
        let was_leading = self.role == Role::Leads;
        self.role = match leads {
            true => Role::Leads,
            false => Role::Reports,
        };
        if leads && self.is_active() {
            self.totals = Some(Totals {
                counts: self.sum(now, "").0,
                as_of: now,
            });
        } else if was_leading || !self.is_active() {
            // What it computed as leader may have missed others.
            self.totals = None;
        }
    }

    /// Records totals that the source, or the leader, sent. The first update on a connection is a full
    /// one, so updates of different leaders are not mixed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the totals are not valid.
    pub fn record_totals(
        &mut self,
        now: Timestamp,
        update: CountsUpdate,
    ) -> Result<(), &'static str> {
        if !update.is_valid() {
            return Err("counts are out of range");
        }
        if self.role == Role::Leads {
            return Ok(());
        }
        let as_of = now.saturating_sub(Duration::from_millis(update.age_ms.into()));
        let totals = match &mut self.totals {
            Some(totals) => totals,
            None if update.is_full => self.totals.insert(Totals {
                counts: Counts::default(),
                as_of,
            }),
            None => return Ok(()),
        };
        totals.as_of = as_of;
        update.apply(&mut totals.counts);
        Ok(())
    }

    /// Returns the role of this entry.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the counts of all entries if this entry leads the counts; `None` if another one does.
    pub fn led_totals(&self, now: Timestamp) -> Option<Counts> {
        (self.role == Role::Leads).then(|| self.sum(now, "").0)
    }

    /// Returns the counts of all entries with their age, if this entry has been told any.
    pub fn totals(&self, now: Timestamp) -> Option<(&Counts, Duration)> {
        let totals = self.totals.as_ref()?;
        Some((&totals.counts, now.saturating_sub(totals.as_of)))
    }
}

/// Returns the registered entries that rank before `own`, the first one first; all of them if `own` is not
/// registered.
pub fn entries_before<'a>(view: &'a View, own: &Entry) -> Vec<&'a Entry> {
    let entries = ranked(view).into_iter();
    entries.take_while(|entry| entry.name != own.name).collect()
}
