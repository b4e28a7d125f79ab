//! Counts events in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Timestamp;

/// A sliding window.
#[value]
#[derive(Copy)]
pub struct Window {
    /// Length of the window.
    pub length: Duration,
    /// Number of buckets in it; counts expire one bucket at a time.
    pub bucket_count: u32,
}

impl Window {
    fn bucket_width(&self) -> Duration {
        self.length / self.bucket_count
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Timestamp,
    count: u32,
}

/// Number of events in a sliding window. Never less than the true number: a bucket may hold counts up
/// to its width after its start, so it expires that much later.
#[derive(Clone, Debug, Default)]
pub struct SlidingCount {
    buckets: VecDeque<Bucket>,
}

impl SlidingCount {
    /// Counts an event.
    pub fn add(&mut self, now: Timestamp, window: &Window) {
        self.drop_expired(now, window);
        match self.buckets.back_mut() {
            Some(last) if last.started_at + window.bucket_width() > now => last.count += 1,
            _ => self.buckets.push_back(Bucket {
                started_at: now,
                count: 1,
            }),
        }
    }

    /// Takes back one of the latest events.
    pub fn take_back(&mut self) {
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.count -= 1;
            if bucket.count == 0 {
                self.buckets.pop_back();
            }
        }
    }

    /// Returns the number of events in the window.
    pub fn get(&mut self, now: Timestamp, window: &Window) -> u32 {
        self.drop_expired(now, window);
        self.buckets.iter().map(|bucket| bucket.count).sum()
    }

    /// Returns when the oldest events expire; `None` if there are none.
    pub fn oldest_expires_at(&self, window: &Window) -> Option<Timestamp> {
        let oldest = self.buckets.front()?;
        Some(oldest.started_at + window.length + window.bucket_width())
    }

    fn drop_expired(&mut self, now: Timestamp, window: &Window) {
        while self.oldest_expires_at(window).is_some_and(|at| at < now) {
            self.buckets.pop_front();
        }
    }
}
