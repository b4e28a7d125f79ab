//! Demand: what this entry asks of the owners of targets, and the credits it gets.

use std::time::Duration;

use lacewingmoor_bundle::{NodeId, TargetId};

use crate::{DemandItem, Effect, GRANT_TTL, GrantItem, Message, State, TargetState};

/// Shortest time between two rounds of demands.
pub(crate) const FLUSH_INTERVAL: Duration = Duration::from_millis(4);

/// Time after which an unanswered demand may be followed by another one.
const REPLY_MAX: Duration = Duration::from_millis(60);

/// Time without arrivals after which a service keeps no slots in store.
const QUIET: Duration = Duration::from_secs(2);

/// Queueing time after which targets of other regions are asked: about two crossings of a link
/// between regions, so that waiting is no longer the faster way.
const REMOTE_AFTER: Duration = Duration::from_millis(30);

/// Queueing time by which two more targets are asked.
const WIDEN_AFTER: Duration = Duration::from_millis(5);

/// Credits of this entry on one target, and what it has told the owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Credit {
    slots: u32,
    expires: Duration,
    /// Owner that was asked last.
    owner: Option<NodeId>,
    asked: Duration,
    unanswered: bool,
    extra: u32,
    spare: u32,
    /// Most slots that the owner has to reckon with.
    bound: u32,
    /// Successful answers not told yet.
    pub answered: u32,
}

impl Credit {
    /// Returns the credits that have not expired.
    pub fn slots(&self, now: Duration) -> u32 {
        if now < self.expires { self.slots } else { 0 }
    }

    /// Returns the credits with the expiry left out of account.
    pub fn slots_ever(&self) -> u32 {
        self.slots
    }

    /// Returns when the credits expire.
    pub fn expires(&self) -> Duration {
        self.expires
    }

    /// True if the owner has answered within the time that grants last.
    pub fn owner_present(&self, now: Duration) -> bool {
        now < self.expires
    }

    /// True if the owner has owed an answer for a while.
    pub fn overdue(&self, now: Duration) -> bool {
        self.unanswered && now.saturating_sub(self.asked) > REPLY_MAX
    }

    /// True if slots have become free that the owner does not know of.
    pub fn shrunk(&self, now: Duration, in_flight: u32) -> bool {
        self.slots(now).max(in_flight) < self.bound
    }

    /// Takes a grant if it answers the last demand; later demands make earlier grants void.
    fn grant(&mut self, from: NodeId, demand_sent: Duration, slots: u32) -> bool {
        if self.owner != Some(from) || self.asked != demand_sent {
            return false;
        }
        self.slots = slots;
        self.expires = demand_sent + GRANT_TTL;
        self.unanswered = false;
        self.bound = self.bound.max(slots);
        true
    }

    /// Notes a demand and returns its item; credits beyond it are given up.
    fn ask(
        &mut self,
        now: Duration,
        owner: NodeId,
        target: TargetId,
        in_flight: u32,
        wish: &Wish,
    ) -> DemandItem {
        let wanted = in_flight + wish.extra;
        let held = self.slots(now).min(wanted + wish.spare);
        if now < self.expires {
            self.slots = held;
        }
        self.owner = Some(owner);
        self.asked = now;
        self.unanswered = true;
        self.extra = wish.extra;
        self.spare = wish.spare;
        self.bound = held.max(in_flight);
        DemandItem {
            target,
            in_use: in_flight,
            wanted,
            spare: wish.spare,
            held,
            answered: std::mem::take(&mut self.answered),
        }
    }
}

/// What this entry wants of a target beyond what it uses.
#[derive(Clone, Debug, Default)]
struct Wish {
    extra: u32,
    spare: u32,
}

impl State {
    /// Sends the demands that are due: of services that changed, or all when `renew` is set.
    pub(crate) fn send_demands(&mut self, now: Duration, renew: bool, out: &mut Vec<Effect>) {
        let mut items: Vec<(NodeId, DemandItem)> = Vec::new();
        for service in 0..self.fleet.services.len() {
            if renew || self.fleet.services[service].dirty {
                self.fleet.services[service].dirty = false;
                self.plan(now, service, renew, &mut items);
            }
        }
        items.sort_by_key(|(owner, _)| *owner);
        for chunk in items.chunk_by(|a, b| a.0 == b.0) {
            let to = chunk[0].0;
            let items: Vec<DemandItem> = chunk.iter().map(|(_, item)| item.clone()).collect();
            if to == self.node {
                let me = (self.node, self.setup.incarnation);
                self.take_demand(now, me, now, &items, out);
                continue;
            }
            out.push(Effect::Send {
                to,
                message: Message::Demand { sent: now, items },
            });
        }
    }

    /// Collects the demands of one service.
    fn plan(
        &mut self,
        now: Duration,
        service: usize,
        renew: bool,
        items: &mut Vec<(NodeId, DemandItem)>,
    ) {
        let range = self.fleet.services[service].targets.clone();
        let len = range.len();
        if len == 0 {
            return;
        }
        let asks = self.asks(now, service);
        let offset = self.fleet.services[service].offset % len;
        let mut asked = 0;
        for step in 0..len {
            let index = range.start + (offset + step) % len;
            let near = Some(self.fleet.targets[index].region) == self.region;
            let open = self.fleet.targets[index].open();
            let mut wish = Wish::default();
            if open && near {
                wish.spare = asks.spare.min(self.fleet.targets[index].slots);
            }
            if open && (near || asks.remote) && asked < asks.targets {
                asked += 1;
                wish.extra = asks.extra;
            }
            self.plan_target(now, index, &wish, renew, items);
        }
    }

    /// Adds the demand for one target if it has changed or is to be renewed.
    fn plan_target(
        &mut self,
        now: Duration,
        index: usize,
        wish: &Wish,
        renew: bool,
        items: &mut Vec<(NodeId, DemandItem)>,
    ) {
        let Some(owner) = self.owner_of(now, index) else {
            return;
        };
        let target = &mut self.fleet.targets[index];
        let credit = &mut target.credit;
        let used = target.in_flight + credit.slots(now) + credit.bound;
        let interest = used + wish.extra + wish.spare + credit.extra + credit.spare > 0;
        let changed = wish.extra != credit.extra
            || wish.spare != credit.spare
            || credit.shrunk(now, target.in_flight);
        if !(changed || (renew && interest)) {
            return;
        }
        // A demand before the answer to the last one would make that answer void.
        if credit.unanswered && credit.owner == Some(owner) && !credit.overdue(now) {
            self.fleet.services[target.service].dirty = true;
            return;
        }
        let in_flight = target.in_flight;
        items.push((owner, credit.ask(now, owner, target.id, in_flight, wish)));
    }

    /// Decides how many targets of a service are asked for how many slots.
    fn asks(&mut self, now: Duration, service: usize) -> Asks {
        let draining = self.draining;
        let state = &mut self.fleet.services[service];
        let waiting = state.queue.len();
        let active = waiting > 0 || now.saturating_sub(state.arrived_at) < QUIET;
        let spare = if active && !draining { u32::MAX } else { 0 };
        let Some(since) = state.waiting_since else {
            return Asks {
                spare,
                ..Asks::default()
            };
        };
        let elapsed = now.saturating_sub(since);
        let widen = (elapsed.as_millis() / WIDEN_AFTER.as_millis()) as usize * 2;
        let len = state.targets.len();
        if 2 * waiting + widen < 2 * len {
            state.dirty = true;
        }
        Asks {
            spare,
            remote: elapsed >= REMOTE_AFTER,
            targets: waiting + 1 + widen,
            // Rounded, so that not every change of the queue is told to every owner.
            extra: waiting.next_power_of_two() as u32,
        }
    }

    /// Tells a new claimant what this entry has running on targets.
    pub(crate) fn report_use(
        &mut self,
        now: Duration,
        claimant: NodeId,
        targets: &[TargetId],
        out: &mut Vec<Effect>,
    ) {
        let mut items = Vec::new();
        for id in targets {
            let Some(target) = self.fleet.get_mut(*id) else {
                continue;
            };
            let credit = &mut target.credit;
            let used = target.in_flight + credit.slots(now);
            let served = credit.owner == Some(claimant) && credit.owner_present(now);
            if served || used == 0 {
                continue;
            }
            let wish = Wish {
                extra: credit.extra,
                spare: credit.spare,
            };
            items.push(credit.ask(now, claimant, *id, target.in_flight, &wish));
        }
        if !items.is_empty() {
            out.push(Effect::Send {
                to: claimant,
                message: Message::Demand { sent: now, items },
            });
        }
    }

    /// Takes grants and serves the queues they are for.
    pub(crate) fn take_grant(
        &mut self,
        now: Duration,
        from: NodeId,
        demand_sent: Duration,
        items: &[GrantItem],
        out: &mut Vec<Effect>,
    ) {
        for item in items {
            let Some(index) = self.fleet.index(item.target) else {
                continue;
            };
            let target = &mut self.fleet.targets[index];
            let taken = target.credit.grant(from, demand_sent, item.slots);
            if !taken || from == self.node {
                continue;
            }
            if demand_sent < target.since {
                continue;
            }
            match target.unconfirmed.take() {
                // The owner still believes in a state that this entry has seen refuted.
                Some(observation) if item.state == TargetState::Warm => {
                    let target = item.target;
                    out.push(Effect::Send {
                        to: from,
                        message: Message::Observe {
                            target,
                            observation,
                        },
                    });
                }
                _ => target.told(now, demand_sent, item.state),
            }
        }
        for item in items {
            if let Some(index) = self.fleet.index(item.target) {
                let target = &self.fleet.targets[index];
                let service = target.service;
                if target.credit.shrunk(now, target.in_flight) {
                    self.fleet.services[service].dirty = true;
                }
                if !self.fleet.services[service].queue.is_empty() {
                    self.pump(now, service, out);
                }
            }
        }
    }
}

/// Demand of a service as a whole.
#[derive(Clone, Debug, Default)]
struct Asks {
    /// Slots wanted in store of each target of the region.
    spare: u32,
    /// True if targets of other regions are asked too.
    remote: bool,
    /// Number of targets asked for requests that wait.
    targets: usize,
    /// Slots asked of each of them.
    extra: u32,
}
