//! The targets and services of the bundle in force, with what this entry knows about them.

use std::ops::Range;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Map, NodeId, TargetId, node_id, target_id};

use crate::budget::Tokens;
use crate::latency::Quantile;
use crate::queue::{Place, Queue};
use crate::target::Target;
use crate::{Vm, VmRole};

/// An entry as the VM list shows it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EntryVm {
    pub node: NodeId,
    pub zone: String,
    pub region: String,
    pub leaving: bool,
}

/// State of a service at this entry.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    pub name: String,
    /// Indices of the targets.
    pub targets: Range<usize>,
    pub queue: Queue,
    pub latency: Quantile,
    pub retries: Tokens,
    pub hedges: Tokens,
    /// Running mean of the time between two services from the queue, in seconds.
    pub drain_interval: f64,
    pub drained_at: Duration,
    /// Time of the last arrival.
    pub arrived_at: Duration,
    /// Time since which requests wait.
    pub waiting_since: Option<Duration>,
    /// First target that is asked for requests that wait.
    pub offset: usize,
    /// True if demands have to be looked at.
    pub dirty: bool,
}

impl ServiceState {
    /// Notes that a request left the queue for a target.
    pub fn drained(&mut self, now: Duration, place: Place) {
        self.queue.remove(place, true);
        let gap = now.saturating_sub(self.drained_at).as_secs_f64();
        self.drained_at = now;
        // Long gaps come from times without a queue and say nothing about its speed.
        self.drain_interval += (gap.min(1.0) - self.drain_interval) * 0.1;
        self.queue_changed(now);
    }

    /// Notes that the length of the queue has changed.
    pub fn queue_changed(&mut self, now: Duration) {
        self.dirty = true;
        if self.queue.is_empty() {
            self.waiting_since = None;
        } else {
            self.waiting_since.get_or_insert(now);
        }
    }
}

/// Targets and services by index.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub targets: Vec<Target>,
    pub services: Vec<ServiceState>,
    pub entries: Vec<EntryVm>,
    by_id: Map<TargetId, usize>,
    leaving: Vec<TargetId>,
    loaded: bool,
}

impl Fleet {
    /// Returns the index of a target.
    pub fn index(&self, id: TargetId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Returns a target.
    pub fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        let index = self.index(id)?;
        Some(&mut self.targets[index])
    }

    /// Takes the services, targets and zone states of a bundle; knowledge of what stays is kept.
    pub fn load(&mut self, now: Duration, bundle: &Bundle) {
        let mut old: Map<TargetId, Target> = self.targets.drain(..).map(|t| (t.id, t)).collect();
        let mut old_services: Map<String, ServiceState> = self
            .services
            .drain(..)
            .map(|s| (s.name.clone(), s))
            .collect();
        for (id, spec) in bundle.services.iter().enumerate() {
            let first = self.targets.len();
            for target in &spec.targets {
                let fresh = Target::new(now, id, spec, target, !self.loaded);
                let kept = old.remove(&target.id).map(|mut t| {
                    t.update(now, &fresh);
                    t
                });
                self.targets.push(kept.unwrap_or(fresh));
            }
            let mut service = old_services.remove(&spec.name).unwrap_or_default();
            service.name.clone_from(&spec.name);
            service.targets = first..self.targets.len();
            self.services.push(service);
        }
        // The last service has no targets; requests without rules in this bundle refer to it.
        let end = self.targets.len();
        self.services.push(ServiceState {
            targets: end..end,
            ..ServiceState::default()
        });
        self.by_id = self
            .targets
            .iter()
            .enumerate()
            .map(|(i, t)| (t.id, i))
            .collect();
        for target in &mut self.targets {
            target.set_in_service(now, bundle.zones[target.zone].in_service);
        }
        self.mark_leaving(now);
        self.loaded = true;
    }

    /// Takes the VM list. A target that the list does not show is not treated as leaving, because
    /// the list lags.
    pub fn take_vm_list(&mut self, now: Duration, vms: &[Vm]) {
        self.entries.clear();
        self.leaving.clear();
        for vm in vms {
            match vm.role {
                VmRole::Entry => self.entries.push(EntryVm {
                    node: node_id(&vm.name),
                    zone: vm.zone.clone(),
                    region: vm.region.clone(),
                    leaving: vm.leaving,
                }),
                VmRole::Target if vm.leaving => {
                    if let Some((service, target)) = vm.name.split_once('/') {
                        self.leaving.push(target_id(service, target));
                    }
                }
                VmRole::Target => {}
            }
        }
        self.mark_leaving(now);
    }

    fn mark_leaving(&mut self, now: Duration) {
        for target in &mut self.targets {
            target.set_leaving(now, self.leaving.contains(&target.id));
        }
    }

    /// Returns the service that requests without rules refer to.
    pub fn orphans(&self) -> usize {
        self.services.len() - 1
    }

    /// Returns the entries of a region that share its targets, at least 1.
    pub fn entries_of(&self, region: &str) -> u32 {
        let live = self
            .entries
            .iter()
            .filter(|e| e.region == region && !e.leaving)
            .count();
        (live as u32).max(1)
    }

    /// Returns the entries of all regions, at least 1.
    pub fn entries_all(&self) -> u32 {
        (self.entries.len() as u32).max(1)
    }
}
