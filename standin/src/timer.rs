//! Sleeps with a resolution well below a millisecond.
//!
//! The runtime's timer rounds up to the next millisecond. At a mean service time of 10 ms that
//! would lower the capacity of a target by several percent.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::OnceLock;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

struct Alarm {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due.cmp(&other.due)
    }
}

/// Sleeps for a time.
///
/// # Panics
///
/// Panics if the operating system cannot start a thread.
pub async fn sleep(time: Duration) {
    static ALARMS: OnceLock<mpsc::Sender<Alarm>> = OnceLock::new();
    if time.is_zero() {
        return;
    }
    let alarms = ALARMS.get_or_init(|| {
        let (sender, receiver) = mpsc::channel();
        thread::Builder::new()
            .name("timer".into())
            .spawn(move || run(&receiver))
            .expect("the timer thread starts");
        sender
    });
    let (wake, woken) = oneshot::channel();
    let due = Instant::now() + time;
    // The thread never ends, so neither the channel nor an alarm is ever dropped.
    let _ = alarms.send(Alarm { due, wake });
    let _ = woken.await;
}

fn run(alarms: &mpsc::Receiver<Alarm>) {
    let mut waiting: BinaryHeap<Reverse<Alarm>> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while waiting.peek().is_some_and(|next| next.0.due <= now) {
            if let Some(Reverse(alarm)) = waiting.pop() {
                // The sleeper may have been cancelled.
                let _ = alarm.wake.send(());
            }
        }
        let received = match waiting.peek() {
            None => alarms.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(next) => alarms.recv_timeout(next.0.due.saturating_duration_since(now)),
        };
        match received {
            Ok(alarm) => waiting.push(Reverse(alarm)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
