//! Builders shared by the tests of this crate.

#![allow(dead_code, reason = "each test file uses a part")]

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{
    Bundle, Field, RawBundle, RawDestination, RawLimits, RawRepeat, RawRoute, RawService,
};
use lacewingmoor_control::model::{Change, Entry, Era, RecordKey, RecordValue, Revision, Target};
use lacewingmoor_control::selection::Locality;
use lacewingmoor_control::stats::LoadReport;

/// Returns a duration of `ms` milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a bundle with one service `lanes` and a route restricted to `home_regions`.
pub fn bundle(version: u64, home_regions: &[&str]) -> Rc<Bundle> {
    let raw = RawBundle {
        version,
        services: vec![RawService {
            name: "lanes".into(),
            health_path: "/health".into(),
            connections_max: 100,
            warmup_ms: 3000,
            warmup_per_s: 7.0,
        }],
        routes: vec![RawRoute {
            name: "read".into(),
            host: "pool.example".into(),
            path_prefix: "/read/".into(),
            repeat: RawRepeat::Idempotent,
            timeout_ms: 2000,
            objective_ms: 400,
            attempts_max: 2,
            priority: 1,
            public: false,
            destinations: vec![RawDestination {
                service: "lanes".into(),
                weight: 1,
            }],
            home_regions: home_regions.iter().map(|h| (*h).to_owned()).collect(),
        }],
        workspaces: Field::Absent,
        limits: RawLimits {
            head_bytes_max: 16_384,
            body_bytes_max: 1 << 20,
            head_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    };
    Rc::new(Bundle::try_from(raw).expect("the bundle is valid"))
}

/// Returns a target of the service `lanes`.
pub fn target(id: &str, zone: &str, region: &str) -> Target {
    Target {
        id: id.into(),
        service: "lanes".into(),
        addr: ([127, 0, 0, 1], 8000).into(),
        zone: zone.into(),
        region: region.into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: Some(1),
    }
}

/// Returns a revision of the first era.
pub fn rev(number: u64) -> Revision {
    in_era(1, number)
}

/// Returns a revision of an era.
pub fn in_era(era: Era, number: u64) -> Revision {
    Revision { era, number }
}

/// Returns the registration of a target at a revision of the first era.
pub fn registered(target: Target, number: u64) -> Change {
    Change {
        key: RecordKey::Target(target.id.clone()),
        revision: rev(number),
        value: Some(RecordValue::Target(Rc::new(target))),
    }
}

/// Returns the removal of a target at a revision of the first era.
pub fn removed(id: &str, number: u64) -> Change {
    Change {
        key: RecordKey::Target(id.into()),
        revision: rev(number),
        value: None,
    }
}

/// Returns an entry.
pub fn entry(name: &str, zone: &str, region: &str, capacity: u32) -> Entry {
    Entry {
        name: name.into(),
        zone: zone.into(),
        region: region.into(),
        addr: ([127, 0, 0, 1], 7000).into(),
        capacity,
        members: Vec::new(),
    }
}

/// Returns the registration of an entry at a revision of the first era.
pub fn entry_registered(entry: Entry, number: u64) -> Change {
    Change {
        key: RecordKey::Entry(entry.name.clone()),
        revision: rev(number),
        value: Some(RecordValue::Entry(Rc::new(entry))),
    }
}

/// Returns the locality of the entry under test.
pub fn locality() -> Locality {
    Locality {
        zone: "north-a".into(),
        region: "north".into(),
        entry: "n".into(),
    }
}

/// Returns a load report of a target with four slots.
pub fn load(running: u32, queued: u32, slowdown: f64) -> LoadReport {
    LoadReport {
        running,
        queued,
        slots: 4,
        slowdown,
    }
}
