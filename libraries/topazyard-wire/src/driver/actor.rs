//! The actor itself.

use crate::{Effect, Input, Machine};
use topazyard_types::CallId;

/// What the actor is told.
pub(crate) enum Signal<M: Machine> {
    /// Time has passed.
    Tick,
    /// A frame arrived.
    Frame(crate::Frame),
    /// A write is synced.
    Written(crate::WriteToken),
    /// The disk is full, or has room again.
    Disk(crate::disk::DiskState),
    /// A call from within the process, with where its return goes if anyone waits for it.
    Call(M::Call, Option<tokio::sync::oneshot::Sender<M::Response>>),
}

/// Owns a machine, its links, its disk and the calls that wait for a return.
pub(crate) struct Driver<M: Machine> {
    pub(crate) machine: M,
    pub(crate) clock: super::Clock,
    pub(crate) place: super::NodeIdentity,
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
        effects.into_iter().for_each(|effect| self.make_happen(effect));
    }
}

impl<M: Machine> Driver<M> {
    pub(super) fn make_happen(&mut self, effect: Effect<M::Response, M::Task>) {
        match effect {
            Effect::Send { to, message } => {
                let frame = crate::Frame {
                    version: crate::message::FRAME_VERSION,
                    fleet: self.place.fleet,
                    sender: self.place.node,
                    address: self.place.address,
                    message,
                };
                self.links.send(to, frame.encode());
            }
            Effect::Write { token, changes } => {
                let taken = self
                    .disk
                    .as_ref()
                    .map(|disk| disk.write(crate::disk::DiskWrite { token, changes }));
                if !matches!(taken, Some(Ok(()))) {
                    super::give_up::give_up("a write could not be handed to the disk");
                }
            }
            Effect::Respond { call, value } => {
                if let Some(waiting) = self.calls.remove(&call) {
                    // Whoever asked may have gone; nothing depends on it.
                    let _ = waiting.send(value);
                }
            }
            Effect::StartTask(task) => {
                if self.tasks.try_send(task).is_err() {
                    super::give_up::give_up("a task could not be handed on");
                }
            }
            Effect::Log { is_error: true, text } => spdlog::error!("{text}"),
            Effect::Log { is_error: false, text } => spdlog::info!("{text}"),
        }
    }
}

/// How the rest of a process reaches its machine.
pub struct Handle<M: Machine> {
    pub(crate) actor: kameo::actor::ActorRef<Driver<M>>,
    pub(crate) clock: super::Clock,
}

impl<M: Machine> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { actor: self.actor.clone(), clock: self.clock }
    }
}

/// The machine gave no return
#[derive(Debug, displaydoc::Display)]
pub struct CallError;

impl std::error::Error for CallError {}

impl<M: Machine> Handle<M> {
    /// The clock that the machine's moments are counted on.
    pub fn clock(&self) -> super::Clock {
        self.clock
    }

    /// Asks and waits for the return.
    ///
    /// # Errors
    /// The machine has ended, or let the call go.
    pub async fn call(&self, request: M::Call) -> Result<M::Response, CallError> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let sent = self.actor.tell(Signal::Call(request, Some(sender))).await;
        sent.map_err(|_| CallError)?;
        receiver.await.map_err(|_| CallError)
    }

    /// Tells without waiting for a return, even from where nothing can be awaited.
    pub fn notify(&self, request: M::Call) {
        let actor = self.actor.clone();
        // Without a runtime the process is ending, and its machine with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { drop(actor.tell(Signal::Call(request, None)).await) });
        }
    }
}
