//! The control thread: owns the reducer's state and hands effects to the rest of the process.

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use lacewingmoor_bundle::{Bundle, Map};
use lacewingmoor_control::{Arrival, Attempt, Dispatch, Effect, Event, Refusal, RequestId, State};
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::log::DecisionLog;

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

type Query = Box<dyn FnOnce(&mut State) + Send>;

enum Input {
    Arrived(Arrival, async_mpsc::UnboundedSender<Command>),
    Finished(RequestId),
    Event(Event),
    Query(Query),
}

/// Sends events to the control thread.
#[derive(Clone)]
pub struct Control {
    inputs: mpsc::Sender<Input>,
    start: Instant,
    bundle: Arc<ArcSwapOption<Bundle>>,
}

impl Control {
    /// Returns the monotonic time that the reducer works with.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time of the reducer to the runtime's clock.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.load_full()
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

    /// Runs a function on the reducer's state and returns its result, or `None` if the control
    /// thread has ended. Only views are read this way; what happens goes through `send`.
    pub async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.input(Input::Query(Box::new(move |state| {
            let _ = sender.send(read(state));
        })));
        receiver.await.ok()
    }

    fn input(&self, input: Input) {
        // The control thread only ends with the process, so a closed channel is not an error.
        let _ = self.inputs.send(input);
    }
}

/// Starts the control thread. Decisions go to `decisions`, all other effects that do not concern
/// a single request to `effects`.
///
/// # Panics
///
/// Panics if the operating system cannot start a thread.
pub fn start(
    state: State,
    effects: async_mpsc::UnboundedSender<Effect>,
    decisions: DecisionLog,
) -> Control {
    let (inputs, receiver) = mpsc::channel();
    let start = Instant::now();
    let bundle = Arc::new(ArcSwapOption::from(state.bundle().cloned()));
    let thread = Thread {
        state,
        start,
        requests: Map::default(),
        bundle: bundle.clone(),
        effects,
        decisions,
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(move || thread.run(&receiver))
        .expect("the control thread starts");
    Control {
        inputs,
        start,
        bundle,
    }
}

struct Thread {
    state: State,
    start: Instant,
    requests: Map<RequestId, async_mpsc::UnboundedSender<Command>>,
    bundle: Arc<ArcSwapOption<Bundle>>,
    effects: async_mpsc::UnboundedSender<Effect>,
    decisions: DecisionLog,
}

impl Thread {
    fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        loop {
            let input = match self.state.next_wakeup() {
                None => inputs
                    .recv()
                    .map_err(|_| mpsc::RecvTimeoutError::Disconnected),
                Some(at) => self.wait(inputs, at),
            };
            match input {
                Ok(Input::Arrived(arrival, commands)) => {
                    self.requests.insert(arrival.request, commands);
                    self.apply(Event::Arrived(arrival));
                }
                Ok(Input::Finished(request)) => {
                    self.requests.remove(&request);
                }
                Ok(Input::Event(event)) => {
                    let bundle = matches!(event, Event::Bundle(_));
                    self.apply(event);
                    if bundle {
                        self.bundle.store(self.state.bundle().cloned());
                    }
                }
                Ok(Input::Query(query)) => query(&mut self.state),
                Err(mpsc::RecvTimeoutError::Timeout) => self.apply(Event::Tick),
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Waits for the next input, but not past `at`. A due timer goes first, so that a steady
    /// stream of requests cannot delay it.
    fn wait(
        &self,
        inputs: &mpsc::Receiver<Input>,
        at: Duration,
    ) -> Result<Input, mpsc::RecvTimeoutError> {
        match at.saturating_sub(self.start.elapsed()) {
            Duration::ZERO => Err(mpsc::RecvTimeoutError::Timeout),
            left => inputs.recv_timeout(left),
        }
    }

    fn apply(&mut self, event: Event) {
        for effect in self.state.apply(self.start.elapsed(), event) {
            match effect {
                Effect::Dispatch(d) => self.command(d.request, Command::Dispatch(d)),
                Effect::Cancel { request, attempt } => {
                    self.command(request, Command::Cancel(attempt));
                }
                Effect::Refuse(r) => self.command(r.request, Command::Refuse(r)),
                Effect::Log(decision) => self.decisions.write(decision),
                other => {
                    let _ = self.effects.send(other);
                }
            }
        }
    }

    /// Passes a command on. A request whose caller has gone has no receiver left.
    fn command(&self, request: RequestId, command: Command) {
        if let Some(sender) = self.requests.get(&request) {
            let _ = sender.send(command);
        }
    }
}
