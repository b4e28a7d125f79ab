//! Replays the load patterns that the queue and the placement answer, on a small table of targets:
//! work is slower on targets that are nearly full and in slow spells. Each replay compares the
//! decisions of this package with the ones that they replaced.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use common::ms;
use lacewingmoor_control::admission::{Flow, Rank, Step, Waiting, search_for};
use lacewingmoor_control::selection::{Offer, offer};
use lacewingmoor_control::stats::{Book, Load};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(160);
const OBJECTIVE: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_millis(1500);
const CROWDED: f64 = 1.7;
const SLOW: f64 = 4.0;
const STEP_MS: u64 = 5;

/// How requests are placed.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The best of three targets gets the request at once, and queues it.
    QueueAtTarget,
    /// As below, but a target counts as slow for good when its slow reports span 1.5 s.
    SpanOfReports,
    /// As below, but late requests take the last slots too.
    LateTakesAll,
    /// The decisions of this package.
    QueueAtEntry,
}

/// A load pattern.
struct Pattern {
    entries: usize,
    targets: usize,
    per_s: f64,
    burst: f64,
    burst_s: std::ops::Range<f64>,
    slow_share: f64,
    /// Share of the reports of targets that reach this entry's books, the others go to other entries.
    seen_share: f64,
}

struct Target {
    /// Ends of the requests that run.
    running: Vec<Duration>,
    /// Requests that wait at the target, by arrival.
    queue: VecDeque<Duration>,
    slow_until: Duration,
    book: Book,
    slow_since: Option<Duration>,
}

struct Replay {
    policy: Policy,
    targets: Vec<Target>,
    /// Waiting requests by entry; an entry knows only its own.
    lines: Vec<Vec<Waiting>>,
    rng: StdRng,
    seen_share: f64,
    asked: u64,
    on_time: u64,
    arrived: u64,
}

impl Replay {
    fn new(policy: Policy, pattern: &Pattern) -> Self {
        let target = || Target {
            running: Vec::new(),
            queue: VecDeque::new(),
            slow_until: Duration::ZERO,
            book: Book::default(),
            slow_since: None,
        };
        Self {
            policy,
            targets: (0..pattern.targets).map(|_| target()).collect(),
            lines: vec![Vec::new(); pattern.entries],
            rng: StdRng::seed_from_u64(7),
            seen_share: pattern.seen_share,
            asked: 0,
            on_time: 0,
            arrived: 0,
        }
    }

    /// Plays 12 seconds and returns the share of requests that were on time.
    fn play(mut self, pattern: &Pattern) -> f64 {
        for at in (0..12_000).step_by(STEP_MS as usize) {
            let now = ms(at);
            self.spells(now, pattern);
            self.finish(now);
            let burst = pattern.burst_s.contains(&now.as_secs_f64());
            let rate = pattern.per_s * if burst { pattern.burst } else { 1.0 };
            if self.rng.random::<f64>() < rate * STEP_MS as f64 / 1000.0 {
                self.arrive(now);
            }
            self.search(now);
        }
        self.on_time as f64 / self.arrived as f64
    }

    fn spells(&mut self, now: Duration, pattern: &Pattern) {
        // A spell of 300 ms starts often enough to cover the share.
        let starts = pattern.slow_share / (1.0 - pattern.slow_share) / 300.0 * STEP_MS as f64;
        for target in &mut self.targets {
            if target.slow_until <= now && self.rng.random::<f64>() < starts {
                target.slow_until = now + ms(300);
            }
        }
    }

    fn finish(&mut self, now: Duration) {
        for i in 0..self.targets.len() {
            self.targets[i].running.retain(|end| *end > now);
            while self.targets[i].running.len() < SLOTS as usize {
                let Some(arrived) = self.targets[i].queue.pop_front() else {
                    break;
                };
                self.start(now, i, arrived);
            }
        }
    }

    fn start(&mut self, now: Duration, i: usize, arrived: Duration) {
        let target = &mut self.targets[i];
        let share = (target.running.len() + 1) as f64 / f64::from(SLOTS);
        let mut factor = if share > 0.8 { CROWDED } else { 1.0 };
        if target.slow_until > now {
            factor *= SLOW;
        }
        let end = now + WORK.mul_f64(factor);
        target.running.push(end);
        self.on_time += u64::from(end <= arrived + OBJECTIVE);
    }

    fn report(&self, now: Duration, i: usize) -> Load {
        let target = &self.targets[i];
        Load {
            running: target.running.len() as u32,
            waiting: target.queue.len() as u32,
            slots: SLOTS,
            pace: if target.slow_until > now { SLOW } else { 1.0 },
        }
    }

    fn arrive(&mut self, now: Duration) {
        self.arrived += 1;
        let waiting = Waiting {
            due: now + OBJECTIVE,
            latest: now + TIMEOUT,
            priority: 1,
            heavy: false,
        };
        if !self.try_place(now, &waiting, 3) {
            let entry = self.rng.random_range(0..self.lines.len());
            self.lines[entry].push(waiting);
        }
    }

    /// Asks a target for its load, and notes the report as far as this entry gets to see it.
    fn ask(&mut self, now: Duration, i: usize) -> Offer {
        let load = self.report(now, i);
        let seen = self.rng.random::<f64>() < self.seen_share;
        let target = &mut self.targets[i];
        if seen {
            target.book.reported(now, load);
            target.slow_since = match load.pace > 1.0 {
                true => target.slow_since.or(Some(now)),
                false => None,
            };
        }
        let mut record = target.book.record(now);
        if self.policy == Policy::SpanOfReports {
            let since = target.slow_since.unwrap_or(now);
            record.slow_for_good = now >= since + ms(1500);
        }
        offer(load, ms(1), WORK, record)
    }

    /// Asks `count` targets for a request; true if it was placed.
    fn try_place(&mut self, now: Duration, waiting: &Waiting, count: usize) -> bool {
        let asked: Vec<usize> = (0..count)
            .map(|_| self.rng.random_range(0..self.targets.len()))
            .collect();
        self.asked += count as u64;
        let offers: Vec<(usize, Offer)> =
            asked.into_iter().map(|i| (i, self.ask(now, i))).collect();
        let best = offers.into_iter().min_by_key(|(_, offer)| offer.expected);
        let Some((i, best)) = best else {
            return false;
        };
        let arrived = waiting.due - OBJECTIVE;
        match self.policy {
            Policy::QueueAtTarget if self.targets[i].running.len() < SLOTS as usize => {
                self.start(now, i, arrived);
                true
            }
            Policy::QueueAtTarget => {
                self.targets[i].queue.push_back(arrived);
                true
            }
            _ if waiting.step(now, 2, Some(&best)) == Step::Send => {
                self.start(now, i, arrived);
                true
            }
            _ => false,
        }
    }

    /// Searches for the first requests of each line.
    fn search(&mut self, now: Duration) {
        for entry in 0..self.lines.len() {
            let mut line = std::mem::take(&mut self.lines[entry]);
            line.retain(|w| now < w.give_up_at(WORK));
            line.sort_by_key(|w| w.rank(now, WORK));
            for _ in 0..self.targets.len().min(line.len()) {
                let placed = match self.policy {
                    Policy::QueueAtTarget => self.try_place(now, &line[0], 2),
                    _ => self.hand_over(now, &line[0]),
                };
                if placed {
                    line.remove(0);
                }
            }
            self.lines[entry] = line;
        }
    }

    /// Asks one target for a waiting request, which goes there if there is room.
    fn hand_over(&mut self, now: Duration, waiting: &Waiting) -> bool {
        let i = self.rng.random_range(0..self.targets.len());
        self.asked += 1;
        let offer = self.ask(now, i);
        let takes = match self.policy {
            Policy::LateTakesAll => offer.has_room,
            _ => waiting.may_take(now, &offer),
        };
        if takes {
            self.start(now, i, waiting.due - OBJECTIVE);
        }
        takes
    }
}

fn shares(pattern: &Pattern) -> (f64, f64) {
    let play = |policy| Replay::new(policy, pattern).play(pattern);
    (play(Policy::QueueAtTarget), play(Policy::QueueAtEntry))
}

#[test]
fn burst_above_crowded_capacity_is_served_on_time() {
    // Full targets answer 4 / 1.7 / 0.16 = 14.7 a second each, targets at full speed 18.8.
    let pattern = Pattern {
        entries: 1,
        targets: 10,
        per_s: 90.0,
        burst: 1.8,
        burst_s: 2.0..7.0,
        slow_share: 0.0,
        seen_share: 1.0,
    };
    let (at_target, at_entry) = shares(&pattern);
    assert!(
        at_entry > at_target + 0.1,
        "{at_target:.3} and {at_entry:.3}"
    );
    assert!(at_entry > 0.9, "{at_entry:.3}");
}

#[test]
fn slow_spells_are_waited_out() {
    let pattern = Pattern {
        entries: 1,
        targets: 10,
        per_s: 80.0,
        burst: 1.7,
        burst_s: 2.0..7.0,
        slow_share: 0.25,
        seen_share: 1.0,
    };
    let (at_target, at_entry) = shares(&pattern);
    assert!(
        at_entry > at_target + 0.1,
        "{at_target:.3} and {at_entry:.3}"
    );
}

#[test]
fn spells_that_are_seen_seldom_do_not_pass_for_a_lasting_slowness() {
    let pattern = Pattern {
        entries: 1,
        targets: 10,
        per_s: 125.0,
        burst: 1.6,
        burst_s: 1.0..4.0,
        slow_share: 0.25,
        seen_share: 0.002,
    };
    let play = |policy| Replay::new(policy, &pattern).play(&pattern);
    let by_span = play(Policy::SpanOfReports);
    let by_spells = play(Policy::QueueAtEntry);
    assert!(by_spells > by_span, "{by_span:.3} and {by_spells:.3}");
}

#[test]
fn late_requests_leave_room_for_those_that_can_be_on_time_at_other_entries() {
    let pattern = Pattern {
        entries: 20,
        targets: 10,
        per_s: 125.0,
        burst: 1.6,
        burst_s: 1.0..4.0,
        slow_share: 0.25,
        seen_share: 1.0,
    };
    let play = |policy| Replay::new(policy, &pattern).play(&pattern);
    let takes_all = play(Policy::LateTakesAll);
    let leaves_room = play(Policy::QueueAtEntry);
    assert!(
        leaves_room > takes_all,
        "{takes_all:.3} and {leaves_room:.3}"
    );
}

#[test]
fn nothing_is_lost_on_a_quiet_day() {
    let pattern = Pattern {
        entries: 1,
        targets: 10,
        per_s: 30.0,
        burst: 1.0,
        burst_s: 0.0..0.0,
        slow_share: 0.25,
        seen_share: 1.0,
    };
    let (at_target, at_entry) = shares(&pattern);
    assert!(at_entry >= at_target, "{at_target:.3} and {at_entry:.3}");
}

#[test]
fn on_time_goes_before_late_and_urgent_before_the_rest() {
    let waiting = |due, latest, priority| Waiting {
        due: ms(due),
        latest: ms(latest),
        priority,
        heavy: false,
    };
    let mut line = [
        waiting(100, 900, 0),
        waiting(800, 2000, 2),
        waiting(700, 2000, 2),
        waiting(900, 2000, 1),
        waiting(50, 800, 0),
    ];
    line.sort_by_key(|w| w.rank(ms(200), ms(100)));
    let order: Vec<u64> = line.iter().map(|w| w.due.as_millis() as u64).collect();
    assert_eq!(order, [900, 700, 800, 50, 100]);
}

#[test]
fn end_of_a_line_that_cannot_be_served_is_refused_at_once_with_its_turn() {
    let mut flow = Flow::default();
    for i in 0..100 {
        flow.moved(ms(i * 50), 10);
    }
    let waiting = Waiting {
        due: ms(5400),
        latest: ms(6500),
        priority: 1,
        heavy: false,
    };
    let join = |ahead| waiting.join(ms(5000), ahead, &flow, WORK);
    assert_eq!(join(10), Ok(()), "its turn comes after 550 ms");
    let turn = join(40).expect_err("its turn comes after 2 s, its time is over before");
    assert!((ms(2000)..ms(2100)).contains(&turn), "{turn:?}");
    assert_eq!(join(2), Ok(()), "a short line never refuses");
}

#[test]
fn line_that_moves_again_takes_requests_again() {
    let mut flow = Flow::default();
    for i in 0..50 {
        flow.moved(ms(i * 1000), 10);
    }
    let slow = flow.expected_wait(10);
    for i in 0..50 {
        flow.moved(ms(50_000 + i * 10), 10);
    }
    assert!(flow.expected_wait(10) < slow / 10);
    // The time without anybody waiting does not count.
    flow.moved(ms(60_000), 0);
    flow.moved(ms(90_000), 5);
    assert!(flow.expected_wait(1) < ms(1000));
}

#[test]
fn search_is_made_for_every_waiting_request_and_most_often_for_the_first() {
    let ranks = [
        Rank::Late(ms(900)),
        Rank::OnTime(1, ms(500)),
        Rank::OnTime(0, ms(700)),
        Rank::OnTime(1, ms(400)),
    ];
    let mut counts = [0; 4];
    for turn in 0..16 {
        counts[search_for(&ranks, turn).expect("requests wait")] += 1;
    }
    assert_eq!(counts, [2, 2, 10, 2]);
    assert_eq!(search_for(&[], 3), None);
}

#[test]
fn callers_whose_request_was_rejected_come_back_in_time_unless_others_wait() {
    let deadline = ms(3000);
    let waiting = Waiting {
        due: OBJECTIVE,
        latest: deadline,
        priority: 1,
        heavy: false,
    };
    // Targets reject 40% of the requests; callers come back twice.
    let play = |retry_after: &dyn Fn(Duration) -> Duration| {
        let mut rng = StdRng::seed_from_u64(7);
        let mut on_time = 0;
        for _ in 0..1000 {
            let mut at = ms(0);
            for _ in 0..3 {
                if rng.random::<f64>() >= 0.4 {
                    on_time += u32::from(at + WORK <= waiting.due);
                    break;
                }
                at += retry_after(at);
            }
        }
        on_time
    };
    let as_in_a_burst = play(&|at| waiting.retry_after(at, deadline));
    let soon = play(&|at| waiting.retry_after_rejection(at, deadline, 0));
    assert!(soon > as_in_a_burst, "{as_in_a_burst} and {soon}");
    assert_eq!(
        waiting.retry_after_rejection(ms(0), deadline, 5),
        waiting.retry_after(ms(0), deadline)
    );
}
