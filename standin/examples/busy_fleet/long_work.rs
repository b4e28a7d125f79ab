//! Services beside the one whose targets get faults: one with long responses, one with long work, and one
//! whose only target sends bytes without end.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::model::Target;
use lacewingmoor_standin::fleet::{Fleet, ServiceSpec, ZONES};
use lacewingmoor_standin::raw_target::{RawTarget, Script};

/// Time from the head of a download, which comes at once, to its end. Downloads that are under way when a
/// shutdown begins end at any time of its grace period.
const DOWNLOAD_TIME: Duration = Duration::from_millis(5200);

/// Length of a download, more than an entry reads before it forwards a head.
pub const DOWNLOAD_BYTES: usize = 200_000;

/// Time that targets work on an order.
const ORDER_TIME: Duration = Duration::from_millis(1200);

const SUCCESS_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\
     X-Lacewingmoor-Server-Seal: seal\r\n";

/// Service for orders, which may run only once.
pub fn orders() -> ServiceSpec {
    ServiceSpec {
        targets_per_zone: 3,
        service_time: ORDER_TIME,
        response_bytes: 2000,
        ..ServiceSpec::small("orders")
    }
}

/// Service of downloads, whose target is a raw one.
pub fn downloads() -> ServiceSpec {
    ServiceSpec {
        targets_per_zone: 0,
        ..ServiceSpec::small("downloads")
    }
}

/// Service whose target, a raw one, sends bytes without end.
pub fn endless() -> ServiceSpec {
    ServiceSpec {
        targets_per_zone: 0,
        ..ServiceSpec::small("endless")
    }
}

/// The raw targets.
pub struct RawTargets {
    _download: RawTarget,
    _endless: RawTarget,
}

impl RawTargets {
    /// Starts and registers them. The seed selects what the endless one sends.
    pub async fn start(fleet: &Fleet, seed: u64) -> io::Result<Self> {
        let head = format!(
            "{SUCCESS_HEAD}Content-Length: {DOWNLOAD_BYTES}\r\n\r\n{}",
            "d".repeat(DOWNLOAD_BYTES - 1)
        );
        let parts = vec![(Duration::ZERO, head), (DOWNLOAD_TIME, String::new())];
        let download = Script::Paced(parts, Box::new(Script::Once("d".into())));
        Ok(Self {
            _download: start(fleet, "downloads", download).await?,
            _endless: start(fleet, "endless", endless_bytes(seed)).await?,
        })
    }
}

fn endless_bytes(seed: u64) -> Script {
    let signed = |fields: &str| format!("{SUCCESS_HEAD}{fields}\r\n");
    let (start, repeated) = match seed % 6 {
        0 => (
            signed("Transfer-Encoding: chunked\r\n"),
            "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
        ),
        1 => ("HTTP/1.1 200 OK\r\nX-Long: ".into(), "aaaaaaaaaaaaaaaa"),
        2 => ("HTTP/1.1 200 OK\r\n".into(), "X-More: aaaaaaaaaaaaaaaa\r\n"),
        3 => (String::new(), "no response at all. "),
        4 => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
        _ => (signed(""), "a body that ends with its connection. "),
    };
    Script::Endless(start, repeated)
}

async fn start(fleet: &Fleet, service: &str, script: Script) -> io::Result<RawTarget> {
    let target = RawTarget::start(([127, 0, 0, 1], 0).into(), service, script).await?;
    let (zone, region) = ZONES[0];
    fleet.store.put_target(&Target {
        id: service.into(),
        service: service.to_owned(),
        addr: target.addr(),
        zone: Rc::from(zone),
        region: Rc::from(region),
        version: Rc::from("v1"),
        slots: 64,
        draining: false,
        warmup_left: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: Some(1),
    });
    Ok(target)
}
