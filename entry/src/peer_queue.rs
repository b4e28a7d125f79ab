//! Messages that wait to be sent to one peer.

use std::collections::VecDeque;
use std::mem::discriminant;
use std::sync::Mutex;

use lacewingmoor_control::Message;
use tokio::sync::Notify;

/// Messages that wait at most; the oldest one is dropped for a new one.
pub const QUEUE_MAX: usize = 64;

/// What became of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// It waits.
    Queued,
    /// It waits instead of an older one of its kind.
    Replaced,
    /// It waits, and the oldest message was dropped.
    Overflowed,
}

/// Queue between the reducer, which never waits, and the sender task of a peer.
#[derive(Default)]
pub struct Queue {
    messages: Mutex<VecDeque<Message>>,
    filled: Notify,
}

impl Queue {
    /// Adds a message. A heartbeat or demand replaces an unsent older one, because only the newest
    /// counts; a slow peer thus gets the present state instead of a history.
    pub fn push(&self, message: Message) -> Pushed {
        let mut messages = self.lock();
        let replaces = matches!(message, Message::Heartbeat(_) | Message::Demand { .. });
        let kind = discriminant(&message);
        let older = messages.iter().position(|m| discriminant(m) == kind);
        let pushed = match older.filter(|_| replaces) {
            Some(older) => {
                messages.remove(older);
                Pushed::Replaced
            }
            None if messages.len() >= QUEUE_MAX => {
                messages.pop_front();
                Pushed::Overflowed
            }
            None => Pushed::Queued,
        };
        messages.push_back(message);
        drop(messages);
        self.filled.notify_one();
        pushed
    }

    /// Waits for the oldest message and removes it.
    pub async fn pop(&self) -> Message {
        loop {
            if let Some(message) = self.lock().pop_front() {
                return message;
            }
            self.filled.notified().await;
        }
    }

    /// Drops everything but the newest heartbeat: answers and claims from before a lost connection
    /// are out of date.
    pub fn reset(&self) {
        self.lock().retain(|m| matches!(m, Message::Heartbeat(_)));
    }

    /// Returns the number of messages that wait.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// True if no message waits.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Message>> {
        self.messages.lock().expect("no holder of the lock panics")
    }
}
