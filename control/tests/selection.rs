//! Guards against sends where the rules or the state of a target forbid them.

mod common;

use std::time::Duration;

use common::{bundle, here, load, ms, registered, target};
use lacewingmoor_control::Map;
use lacewingmoor_control::facts::{Change, Fact, Subject, Target, TargetId};
use lacewingmoor_control::selection::{
    Offer, Place, Query, Reach, Record, WorkTime, full_speed_slots, offer, still_has_room,
};
use lacewingmoor_control::stats::{Book, Load};
use lacewingmoor_control::view::View;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;

const SOUND: Record = Record {
    error_rate: 0.0,
    cold: false,
    unhealthy: false,
    slow_for_good: false,
};

struct World {
    view: View,
    books: Map<TargetId, Book>,
    homes: &'static [&'static str],
    tried: Vec<TargetId>,
    reach: Reach,
}

impl World {
    fn new(targets: Vec<Target>) -> Self {
        let mut view = View::default();
        for (i, target) in targets.into_iter().enumerate() {
            view.apply(ms(0), registered(target, i as u64 + 1));
        }
        Self {
            view,
            books: Map::default(),
            homes: &[],
            tried: Vec::new(),
            reach: Reach::Anywhere,
        }
    }

    fn candidates(&self, now: Duration) -> Vec<String> {
        let bundle = bundle(1, self.homes);
        let query = Query {
            service: "lanes",
            route: &bundle.routes[0],
            warmup_rate: 7.0,
            tried: &self.tried,
            here: &here(),
        };
        let mut rng = StdRng::seed_from_u64(1);
        let ids = query.candidates(now, &self.view, &self.books, self.reach, 10, &mut rng);
        let mut ids: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
        ids.sort();
        ids
    }
}

fn three() -> Vec<Target> {
    vec![
        target("a", "north-a", "north"),
        target("b", "north-b", "north"),
        target("c", "south-a", "south"),
    ]
}

#[test]
fn own_region_is_asked_first() {
    let mut world = World::new(three());
    world.reach = Reach::Region;
    assert_eq!(world.candidates(ms(0)), ["a", "b"]);
    world.tried = vec!["a".into(), "b".into()];
    assert_eq!(
        world.candidates(ms(0)),
        ["c"],
        "others only when none is left"
    );
}

#[test]
fn home_regions_bind() {
    let mut world = World::new(three());
    world.homes = &["south"];
    assert_eq!(world.candidates(ms(0)), ["c"]);
    world.reach = Reach::Region;
    assert_eq!(world.candidates(ms(0)), ["c"]);
}

#[test]
fn draining_targets_and_zones_out_are_left_out() {
    let mut targets = three();
    targets[0].draining = true;
    let mut world = World::new(targets);
    world.view.apply(
        ms(0),
        Change {
            subject: Subject::ZoneOut("north-b".into()),
            revision: 99,
            fact: Some(Fact::ZoneOut),
        },
    );
    assert_eq!(world.candidates(ms(0)), ["c"]);
}

#[test]
fn cold_targets_are_used_from_their_own_zone_at_a_rate() {
    let mut world = World::new(three());
    for id in ["a", "b"] {
        let mut book = Book::default();
        book.warmup(ms(0), ms(3000));
        world.books.insert(id.into(), book);
    }
    assert_eq!(world.candidates(ms(0)), ["a", "c"]);
    let gate = &mut world.books.get_mut("a").expect("a has a book").cold_gate;
    assert!(gate.take(ms(0), 7.0));
    assert_eq!(world.candidates(ms(10)), ["c"], "not again at once");
    assert_eq!(world.candidates(ms(200)), ["a", "c"]);
    assert_eq!(world.candidates(ms(3001)), ["a", "b", "c"], "warm again");
}

#[test]
fn failing_targets_are_the_last_resort() {
    let mut world = World::new(three());
    let mut book = Book::default();
    book.failed(ms(0));
    world.books.insert("a".into(), book.clone());
    assert_eq!(world.candidates(ms(10)), ["b", "c"]);
    world.books.insert("b".into(), book.clone());
    world.books.insert("c".into(), book);
    assert_eq!(world.candidates(ms(10)), ["a", "b", "c"]);
}

#[test]
fn repeated_failures_are_avoided_longer_and_a_success_ends_it() {
    let mut book = Book::default();
    book.failed(ms(0));
    assert!(book.is_avoided(ms(200)) && !book.is_avoided(ms(300)));
    book.failed(ms(300));
    assert!(book.is_avoided(ms(700)));
    book.reached();
    assert!(!book.is_avoided(ms(700)));
}

struct OfferCase {
    load: Load,
    record: Record,
    free: bool,
    has_room: bool,
}

#[rstest]
#[case::idle(OfferCase { load: load(0, 0, 1.0), record: SOUND, free: true, has_room: true })]
#[case::last_at_full_speed(OfferCase { load: load(2, 0, 1.0), record: SOUND, free: true, has_room: true })]
#[case::one_slot_left(OfferCase { load: load(3, 0, 1.0), record: SOUND, free: false, has_room: false })]
#[case::queue(OfferCase { load: load(4, 2, 1.0), record: SOUND, free: false, has_room: false })]
#[case::slow_spell(OfferCase { load: load(0, 0, 4.0), record: SOUND, free: false, has_room: false })]
#[case::slow_for_good(OfferCase {
    load: load(0, 0, 4.0),
    record: Record { slow_for_good: true, ..SOUND },
    free: false,
    has_room: true,
})]
#[case::failing(OfferCase {
    load: load(0, 0, 1.0),
    record: Record { error_rate: 0.4, ..SOUND },
    free: false,
    has_room: true,
})]
#[case::unhealthy(OfferCase {
    load: load(0, 0, 1.0),
    record: Record { unhealthy: true, ..SOUND },
    free: false,
    has_room: true,
})]
#[case::cold(OfferCase {
    load: load(0, 0, 1.0),
    record: Record { cold: true, ..SOUND },
    free: false,
    has_room: true,
})]
fn offers_tell_free_targets_from_those_with_room(#[case] case: OfferCase) {
    let made = offer(case.load, ms(1), ms(100), case.record);
    assert_eq!((made.free, made.has_room), (case.free, case.has_room));
}

struct SpareCase {
    load: Load,
    has_spare_room: bool,
}

#[rstest]
#[case::two_at_full_speed_left(SpareCase { load: load(1, 0, 1.0), has_spare_room: true })]
#[case::last_at_full_speed(SpareCase { load: load(2, 0, 1.0), has_spare_room: false })]
#[case::slow_spell(SpareCase { load: load(0, 0, 4.0), has_spare_room: false })]
#[case::one_slot(SpareCase { load: Load { slots: 1, ..load(0, 0, 1.0) }, has_spare_room: true })]
fn late_requests_leave_the_last_slot_at_full_speed(#[case] case: SpareCase) {
    let made = offer(case.load, ms(1), ms(100), SOUND);
    assert_eq!(made.has_spare_room, case.has_spare_room);
}

#[test]
fn worse_targets_promise_later_answers() {
    let expected = |load, record| {
        let Offer { expected, .. } = offer(load, ms(1), ms(100), record);
        expected
    };
    let idle = expected(load(0, 0, 1.0), SOUND);
    let ranked = [
        expected(load(3, 0, 1.0), SOUND),
        expected(load(4, 4, 1.0), SOUND),
        expected(load(0, 0, 4.0), SOUND),
        expected(
            load(0, 0, 1.0),
            Record {
                unhealthy: true,
                ..SOUND
            },
        ),
    ];
    assert!(ranked.iter().all(|e| *e > idle));
    assert!(ranked[0] < ranked[1] && ranked[2] < ranked[3]);
}

#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(4, 3)]
#[case(6, 4)]
#[case(10, 8)]
fn last_slots_are_left_free(#[case] slots: u32, #[case] full_speed: u32) {
    assert_eq!(full_speed_slots(slots), full_speed);
}

#[test]
fn work_time_follows_answers_without_jumping() {
    let mut work = WorkTime::new(ms(1000));
    assert_eq!(work.get(), ms(400));
    work.learn(ms(40_000), ms(400));
    assert!(work.get() < ms(500), "one outlier counts little");
    for _ in 0..200 {
        let expected = work.get();
        work.learn(ms(100), expected);
    }
    assert!(work.get() < ms(150));
}

#[rstest]
#[case::own_region("north-a", "north")]
#[case::no_target_in_own_region("south-a", "south")]
fn entry_asks_few_targets_of_many_and_each_entry_others(#[case] zone: &str, #[case] region: &str) {
    let targets = (0..60)
        .map(|i| target(&format!("t{i}"), zone, region))
        .collect();
    let mut world = World::new(targets);
    world.reach = Reach::Region;
    let bundle = bundle(1, &[]);
    let asked = |node: &str| {
        let place = Place {
            node: node.into(),
            ..here()
        };
        let query = Query {
            service: "lanes",
            route: &bundle.routes[0],
            warmup_rate: 7.0,
            tried: &[],
            here: &place,
        };
        let mut rng = StdRng::seed_from_u64(1);
        let mut asked = std::collections::BTreeSet::new();
        for _ in 0..200 {
            let ids = query.candidates(ms(0), &world.view, &world.books, world.reach, 3, &mut rng);
            asked.extend(ids);
        }
        asked
    };
    let all: std::collections::BTreeSet<TargetId> =
        (0..40).flat_map(|i| asked(&format!("n{i}"))).collect();
    assert!(asked("n1").len() <= 8);
    assert!(asked("n1") != asked("n2"));
    assert_eq!(all.len(), 60, "together they ask every target");
}

#[rstest]
#[case::room(1, 0, 1, true)]
#[case::taken_since_the_report(1, 2, 1, false)]
#[case::report_overtook_a_send(1, 0, 3, false)]
#[case::others_fill_it(3, 0, 0, false)]
fn room_counts_what_the_report_does_not_know(
    #[case] running: u32,
    #[case] sends: u32,
    #[case] in_flight: u32,
    #[case] room: bool,
) {
    assert_eq!(
        still_has_room(load(running, 0, 1.0), sends, in_flight),
        room
    );
}

struct SlowCase {
    /// Times and paces of the reports.
    reports: Vec<(u64, f64)>,
    slow_for_good: bool,
}

#[rstest]
#[case::one_spell(SlowCase { reports: (0..30).map(|i| (i * 10, 4.0)).collect(), slow_for_good: false })]
#[case::two_spells_seen_seldom(SlowCase { reports: vec![(0, 4.0), (3000, 4.0)], slow_for_good: false })]
#[case::asked_often_for_two_seconds(SlowCase { reports: (0..40).map(|i| (i * 50, 4.0)).collect(), slow_for_good: true })]
#[case::slow_whenever_it_is_asked(SlowCase { reports: (0..5).map(|i| (i * 3000, 4.0)).collect(), slow_for_good: true })]
#[case::usual_speed_in_between(SlowCase {
    reports: vec![(0, 4.0), (600, 4.0), (1200, 1.0), (1800, 4.0), (2400, 4.0), (3000, 4.0)],
    slow_for_good: false,
})]
fn slow_spells_are_told_from_a_lasting_slowness(#[case] case: SlowCase) {
    let mut book = Book::default();
    for (at_ms, pace) in case.reports {
        book.reported(ms(at_ms), load(0, 0, pace));
    }
    assert_eq!(book.is_slow_for_good(), case.slow_for_good);
}
