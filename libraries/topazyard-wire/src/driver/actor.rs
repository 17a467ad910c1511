//! The actor that owns a machine.

use crate::{Effect, Input, Machine};
use topazyard_types::CallId;

/// A message to the actor.
pub(crate) enum Signal<M: Machine> {
    /// The periodic timer fired.
    Tick,
    /// A frame arrived.
    Frame(crate::Frame),
    /// A write is synced.
    Written(crate::WriteToken),
    /// The disk became full or has free space again.
    Disk(crate::disk::DiskState),
    /// A call from within the process, with the channel for its response if the caller waits.
    Call(M::Call, Option<tokio::sync::oneshot::Sender<M::Response>>),
}

/// Owns a machine, its links, its disk and the calls that wait for a response.
pub(crate) struct Driver<M: Machine> {
    pub(crate) machine: M,
    pub(crate) clock: super::Clock,
    pub(crate) identity: super::NodeIdentity,
    pub(crate) links: crate::link::Links,
    pub(crate) disk: Option<crate::disk::Writer>,
    pub(crate) tasks: tokio::sync::mpsc::Sender<M::Task>,
    pub(crate) calls: std::collections::HashMap<CallId, tokio::sync::oneshot::Sender<M::Response>>,
    pub(crate) last_call: CallId,
}

impl<M: Machine> kameo::Actor for Driver<M> {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(driver: Self, _: kameo::actor::ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(driver)
    }
}

impl<M: Machine> kameo::message::Message<Signal<M>> for Driver<M> {
    type Reply = ();

    async fn handle(
        &mut self,
        signal: Signal<M>,
        _: &mut kameo::message::Context<Self, Self::Reply>,
    ) {
        let input = match signal {
            Signal::Tick => {
                self.calls.retain(|_, waiting| !waiting.is_closed());
                Input::Tick
            }
            Signal::Frame(frame) => {
                Input::Frame { sender: frame.sender, from: frame.address, message: frame.message }
            }
            Signal::Written(token) => Input::Written(token),
            Signal::Disk(state) => Input::Disk(state),
            Signal::Call(request, waiting) => {
                self.last_call.0 += 1;
                if let Some(waiting) = waiting {
                    self.calls.insert(self.last_call, waiting);
                }
                Input::Call { call: self.last_call, request }
            }
        };
        let effects = self.machine.step(input, self.clock.now());
        effects.into_iter().for_each(|effect| self.perform(effect));
    }
}

impl<M: Machine> Driver<M> {
    pub(super) fn perform(&mut self, effect: Effect<M::Response, M::Task>) {
        match effect {
            Effect::Send { to, message } => {
                let frame = crate::Frame {
                    version: crate::message::FRAME_VERSION,
                    fleet: self.identity.fleet,
                    sender: self.identity.node,
                    address: self.identity.address,
                    message,
                };
                self.links.send(to, frame.encode());
            }
            Effect::Write { token, changes } => {
                let queued = self
                    .disk
                    .as_ref()
                    .map(|disk| disk.write(crate::disk::DiskWrite { token, changes }));
                if !matches!(queued, Some(Ok(()))) {
                    super::fatal::fatal_error("a write could not be queued for the disk thread");
                }
            }
            Effect::Respond { call, value } => {
                if let Some(waiting) = self.calls.remove(&call) {
                    // The caller may have stopped waiting, which is no error.
                    let _ = waiting.send(value);
                }
            }
            Effect::StartTask(task) => {
                if self.tasks.try_send(task).is_err() {
                    super::fatal::fatal_error("a task could not be queued");
                }
            }
            Effect::Log { is_error: true, text } => spdlog::error!("{text}"),
            Effect::Log { is_error: false, text } => spdlog::info!("{text}"),
        }
    }
}

/// Sends calls to the machine from the rest of the process.
pub struct Handle<M: Machine> {
    pub(crate) actor: kameo::actor::ActorRef<Driver<M>>,
    pub(crate) clock: super::Clock,
}

impl<M: Machine> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { actor: self.actor.clone(), clock: self.clock }
    }
}

/// The machine returned no response
#[derive(Debug, displaydoc::Display)]
pub struct CallError;

impl std::error::Error for CallError {}

impl<M: Machine> Handle<M> {
    /// The clock that gives the machine its times.
    pub fn clock(&self) -> super::Clock {
        self.clock
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    /// The machine has stopped, or dropped the call without a response.
    pub async fn call(&self, request: M::Call) -> Result<M::Response, CallError> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let sent = self.actor.tell(Signal::Call(request, Some(sender))).await;
        sent.map_err(|_| CallError)?;
        receiver.await.map_err(|_| CallError)
    }

    /// Sends a request without waiting for a response. It may be called from synchronous code.
    pub fn notify(&self, request: M::Call) {
        let actor = self.actor.clone();
        // Without a runtime the process is shutting down, and its machine with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { drop(actor.tell(Signal::Call(request, None)).await) });
        }
    }
}
