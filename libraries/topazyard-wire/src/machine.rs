//! State machines that perform no I/O.
//!
//! A machine takes an input and the current time and returns effects. In a process the driver actor
//! applies them; in the simulator they are applied to a simulated network, clock and disk.

use topazyard_types::{CallId, MonotonicMs, NodeId};

/// Identifies a write, so that the machine can be notified when it is synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteToken {
    /// The group whose rows are written.
    pub group: crate::Group,
    /// The number that the machine gave to the write.
    pub number: u64,
}

/// An input of a machine.
#[derive(Debug)]
pub enum Input<C> {
    /// The periodic timer fired.
    Tick,
    /// A frame arrived.
    Frame {
        /// The node that sent it.
        sender: NodeId,
        /// The address at which the sender receives frames.
        from: std::net::SocketAddr,
        /// The message that it carries.
        message: crate::Message,
    },
    /// A write is synced.
    Written(WriteToken),
    /// The disk became full or has free space again. While it is full, no write is synced.
    Disk(crate::disk::DiskState),
    /// A call from within the process.
    Call {
        /// Identifies the call in its response.
        call: CallId,
        /// The request.
        request: C,
    },
}

/// An action that a machine asks its driver to perform.
#[derive(Debug)]
pub enum Effect<R, T> {
    /// Send a frame. Delivery is not guaranteed.
    Send {
        /// The receiver's address.
        to: std::net::SocketAddr,
        /// The message that it carries.
        message: crate::Message,
    },
    /// Write and sync rows, then report it by [`Input::Written`].
    Write {
        /// Identifies the write.
        token: WriteToken,
        /// The changed rows.
        changes: Vec<crate::RowChange>,
    },
    /// Respond to a call.
    Respond {
        /// The call.
        call: CallId,
        /// The response.
        value: R,
    },
    /// Start a task outside the machine. It reports its result by a call.
    StartTask(T),
    /// Write a line to the log. An error also makes the log write out its ring buffer.
    Log {
        /// Whether the line is logged as an error.
        is_error: bool,
        /// The text of the line.
        text: String,
    },
}

/// The state of a protocol, without any I/O.
pub trait Machine: Send + 'static {
    /// A request from within the process.
    type Call: Send + std::fmt::Debug + 'static;
    /// The response to such a request.
    type Response: Send + std::fmt::Debug + 'static;
    /// A task that the machine may start outside itself.
    type Task: Send + std::fmt::Debug + 'static;

    /// Applies one input at the time `now` and returns the effects to perform.
    fn step(
        &mut self,
        input: Input<Self::Call>,
        now: MonotonicMs,
    ) -> Vec<Effect<Self::Response, Self::Task>>;
}

/// The effects of a machine.
pub type Effects<M> = Vec<Effect<<M as Machine>::Response, <M as Machine>::Task>>;

/// The task type of a machine that starts none.
#[derive(Debug)]
pub enum NoTask {}
