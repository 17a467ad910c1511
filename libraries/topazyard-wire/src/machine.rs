//! Machines without input or output of their own.
//!
//! A machine takes an input and the present moment and says what should happen. The driver actor
//! makes it happen in a process, the simulator on a seeded network, clock and disk.

use topazyard_types::{CallId, MonotonicMs, NodeId};

/// Marks a write, so that the machine hears when it is synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteToken {
    /// The group written.
    pub group: crate::Group,
    /// The machine's own number for the write.
    pub number: u64,
}

/// What a machine is told.
#[derive(Debug)]
pub enum Input<C> {
    /// Time has passed.
    Tick,
    /// A frame arrived.
    Frame {
        /// Who sent it.
        sender: NodeId,
        /// Where the sender takes frames.
        from: std::net::SocketAddr,
        /// What it says.
        message: crate::Message,
    },
    /// A write is synced.
    Written(WriteToken),
    /// The disk is full, or has room again. Until it has, nothing that was written is synced.
    Disk(crate::disk::DiskState),
    /// A call from within the process.
    Call {
        /// Marks its return.
        call: CallId,
        /// What is asked.
        request: C,
    },
}

/// What a machine wants done.
#[derive(Debug)]
pub enum Effect<R, T> {
    /// Send a frame; it may be lost.
    Send {
        /// Where to.
        to: std::net::SocketAddr,
        /// What it says.
        message: crate::Message,
    },
    /// Write and sync rows, then say so.
    Write {
        /// Marks the write.
        token: WriteToken,
        /// The rows.
        changes: Vec<crate::RowChange>,
    },
    /// Give a call its return.
    Respond {
        /// The call.
        call: CallId,
        /// Its return.
        value: R,
    },
    /// Begin a task outside the machine, which reports by a call.
    StartTask(T),
    /// Put a line into the log's ring; a grave one writes the ring out.
    Log {
        /// Whether something went wrong.
        is_error: bool,
        /// The line.
        text: String,
    },
}

/// A protocol's state without any input or output of its own.
pub trait Machine: Send + 'static {
    /// What may be asked from within the process.
    type Call: Send + std::fmt::Debug + 'static;
    /// What such a call returns.
    type Response: Send + std::fmt::Debug + 'static;
    /// What it may begin outside.
    type Task: Send + std::fmt::Debug + 'static;

    /// Takes one input at one moment and says what should happen.
    fn step(
        &mut self,
        input: Input<Self::Call>,
        now: MonotonicMs,
    ) -> Vec<Effect<Self::Response, Self::Task>>;
}

/// The effects of a machine.
pub type Effects<M> = Vec<Effect<<M as Machine>::Response, <M as Machine>::Task>>;

/// The machine in which no task is ever begun.
#[derive(Debug)]
pub enum NoTask {}
