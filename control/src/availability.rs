//! Whether a request may be sent to a target now, and why not: the one place that knows all reasons.

use std::fmt;
use std::time::Duration;

use lacewingmoor_bundle::Workspace;
use lacewingmoor_derive::value;

use crate::model::TargetId;
use crate::notice::Notice;
use crate::rendezvous::rendezvous_key;
use crate::selection::Selector;
use crate::stats::TargetStats;
use crate::view::{RegisteredTarget, View};
use crate::{Map, Timestamp};

/// How a target may be used.
#[value]
#[derive(Copy, Eq)]
pub enum Use {
    /// As any other.
    Normal,
    /// Only if there is no other: it was ejected, or leaves.
    LastResort,
}

/// Why a request must not be sent to a target now.
#[value]
#[derive(Copy)]
pub enum Exclusion {
    /// The target announced in its registration that it will shut down.
    Draining,
    /// Its zone is out of service.
    ZoneOutOfService,
    /// Its region is none of the home regions of the route or the workspace.
    OtherRegion,
    /// The request was already sent to it.
    Tried,
    /// The service is being moved to a version, and the request does not go to the one of the target.
    OtherVersion,
    /// It said in a response that it leaves.
    Leaving {
        /// Time since it said so first.
        age: Duration,
    },
    /// It said in a response that it wants no requests.
    Declined {
        /// Time since it said so last.
        age: Duration,
        /// When it may be sent to again.
        until: Timestamp,
    },
    /// It has just come back and has as many requests of this entry as it may have.
    Returning,
    /// Its limit leaves this entry no send now.
    Limited,
    /// It warms up and has had this entry's share.
    WarmingUp,
}

impl Exclusion {
    /// Returns true if waiting for the target is of no use to the request.
    pub fn is_lasting(self) -> bool {
        match self {
            Self::Draining
            | Self::ZoneOutOfService
            | Self::OtherRegion
            | Self::Tried
            | Self::OtherVersion
            | Self::Leaving { .. } => true,
            Self::Declined { .. } | Self::Returning | Self::Limited | Self::WarmingUp => false,
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Draining => write!(f, "draining"),
            Self::ZoneOutOfService => write!(f, "zone out of service"),
            Self::OtherRegion => write!(f, "other region"),
            Self::Tried => write!(f, "tried"),
            Self::OtherVersion => write!(f, "other version"),
            Self::Leaving { age } => write!(f, "leaving, said {} ms ago", age.as_millis()),
            Self::Declined { age, .. } => write!(f, "declined, said {} ms ago", age.as_millis()),
            Self::Returning => write!(f, "returning"),
            Self::Limited => write!(f, "limited"),
            Self::WarmingUp => write!(f, "warming up"),
        }
    }
}

impl Selector<'_> {
    /// Returns how the request may be sent to the target now.
    ///
    /// # Errors
    ///
    /// Returns why it must not be.
    pub fn check(
        &self,
        now: Timestamp,
        view: &View,
        registered: &RegisteredTarget,
        stats: Option<&TargetStats>,
    ) -> Result<Use, Exclusion> {
        let target = &registered.target;
        if target.draining {
            return Err(Exclusion::Draining);
        }
        if view.is_zone_out_of_service(&target.zone) {
            return Err(Exclusion::ZoneOutOfService);
        }
        let workspace_allows = |w: &Workspace| w.allows(&target.region);
        if !self.route.allows(&target.region) || !self.workspace.is_none_or(workspace_allows) {
            return Err(Exclusion::OtherRegion);
        }
        if self.excluded.contains(&target.id) {
            return Err(Exclusion::Tried);
        }
        if !self.versions.allows(target) {
            return Err(Exclusion::OtherVersion);
        }
        let Some(stats) = stats else {
            return Ok(Use::Normal);
        };
        let notice_use = self.check_notices(now, registered, stats)?;
        let next_send_at = self.next_send_at(view, target, stats);
        if next_send_at.is_none_or(|at| now < at) {
            return Err(Exclusion::Limited);
        }
        if stats.is_warming_up(now) && !self.may_warm_up(now, view, target, stats) {
            return Err(Exclusion::WarmingUp);
        }
        match stats.is_ejected(now) {
            true => Ok(Use::LastResort),
            false => Ok(notice_use),
        }
    }

    /// Returns up to `max` targets of the service that the request must not be sent to now, with the
    /// reasons, for the log.
    pub fn exclusions(
        &self,
        now: Timestamp,
        view: &View,
        target_stats: &Map<TargetId, TargetStats>,
        max: usize,
    ) -> Vec<(TargetId, Exclusion)> {
        let ids = view.service_targets(self.service).iter();
        let excluded = ids.filter_map(|id| {
            let registered = view.target(id)?;
            let exclusion = self
                .check(now, view, registered, target_stats.get(id))
                .err()?;
            Some((id.clone(), exclusion))
        });
        excluded.take(max).collect()
    }

    fn check_notices(
        &self,
        now: Timestamp,
        registered: &RegisteredTarget,
        stats: &TargetStats,
    ) -> Result<Use, Exclusion> {
        if stats.notices.is_empty() {
            return Ok(Use::Normal);
        }
        let target = &registered.target;
        let key = rendezvous_key(&self.locality.entry, &target.id);
        let spread = key as f64 / u64::MAX as f64;
        let started = target.started_unix_ms;
        match stats.notices.check(now, started, stats.in_flight, spread) {
            Notice::Allowed => Ok(Use::Normal),
            Notice::LastResort => Ok(Use::LastResort),
            Notice::Leaving { age } => Err(Exclusion::Leaving { age }),
            Notice::Declined { age, until } => Err(Exclusion::Declined { age, until }),
            Notice::Returning => Err(Exclusion::Returning),
        }
    }
}
