//! The control thread: owns the reducer's state and hands effects to the rest of the process.

use std::collections::VecDeque;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use lacewingmoor_bundle::Map;
use lacewingmoor_control::{Arrival, Attempt, Dispatch, Effect, Event, Refusal, RequestId, State};
use tokio::sync::mpsc as async_mpsc;

/// What the traffic side is told about one request.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    Dispatch(Dispatch),
    /// Cancel an attempt.
    Cancel(Attempt),
    /// Answer the request without a target. No command follows.
    Refuse(Refusal),
}

/// Commands of one request.
pub type Commands = async_mpsc::UnboundedReceiver<Command>;

enum Input {
    Arrived(Arrival, async_mpsc::UnboundedSender<Command>),
    Finished(RequestId),
    Event(Event),
}

/// Sends events to the control thread.
#[derive(Clone)]
pub struct Control {
    inputs: mpsc::Sender<Input>,
    start: Instant,
}

impl Control {
    /// Returns the monotonic time that the reducer works with.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Announces a request and returns the commands for it.
    pub fn arrive(&self, arrival: Arrival) -> Commands {
        let (commands, receiver) = async_mpsc::unbounded_channel();
        self.input(Input::Arrived(arrival, commands));
        receiver
    }

    /// Tells that the traffic side handles no more commands for a request.
    pub fn finish(&self, request: RequestId) {
        self.input(Input::Finished(request));
    }

    /// Sends any other event.
    pub fn send(&self, event: Event) {
        self.input(Input::Event(event));
    }

    fn input(&self, input: Input) {
        // The control thread only ends with the process, so a closed channel is not an error.
        let _ = self.inputs.send(input);
    }
}

/// Starts the control thread. Effects that do not concern a single request go to `effects`.
///
/// # Panics
///
/// Panics if the operating system cannot start a thread.
pub fn start(state: State, effects: async_mpsc::UnboundedSender<Effect>) -> Control {
    let (inputs, receiver) = mpsc::channel();
    let start = Instant::now();
    thread::Builder::new()
        .name("control".into())
        .spawn(move || run(state, &receiver, start, &effects))
        .expect("the control thread starts");
    Control { inputs, start }
}

fn run(
    mut state: State,
    inputs: &mpsc::Receiver<Input>,
    start: Instant,
    effects: &async_mpsc::UnboundedSender<Effect>,
) {
    let mut requests: Map<RequestId, async_mpsc::UnboundedSender<Command>> = Map::default();
    loop {
        let input = match state.next_wakeup() {
            None => inputs
                .recv()
                .map_err(|_| mpsc::RecvTimeoutError::Disconnected),
            Some(at) => inputs.recv_timeout(at.saturating_sub(start.elapsed())),
        };
        let event = match input {
            Ok(Input::Arrived(arrival, commands)) => {
                requests.insert(arrival.request, commands);
                Event::Arrived(arrival)
            }
            Ok(Input::Finished(request)) => {
                requests.remove(&request);
                continue;
            }
            Ok(Input::Event(event)) => event,
            Err(mpsc::RecvTimeoutError::Timeout) => Event::Tick,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        };
        let mut todo = VecDeque::from(state.apply(start.elapsed(), event));
        while let Some(effect) = todo.pop_front() {
            match effect {
                Effect::Dispatch(d) => command(&requests, d.request, Command::Dispatch(d)),
                Effect::Cancel { request, attempt } => {
                    command(&requests, request, Command::Cancel(attempt));
                }
                Effect::Refuse(r) => command(&requests, r.request, Command::Refuse(r)),
                other => {
                    let _ = effects.send(other);
                }
            }
        }
    }
}

/// Passes a command on. A request whose caller has gone has no receiver left.
fn command(
    requests: &Map<RequestId, async_mpsc::UnboundedSender<Command>>,
    request: RequestId,
    command: Command,
) {
    if let Some(sender) = requests.get(&request) {
        let _ = sender.send(command);
    }
}
