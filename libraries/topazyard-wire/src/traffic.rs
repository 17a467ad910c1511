//! Traffic of this process: frames and bytes received by kind of message, and frames that were lost
//! on the way out.
//!
//! The counts belong to the process, as several machines may share its links.

use crate::message::Message;
use crate::message::batch::{BatchBody, BatchCall};
use crate::message::replica::ReplicaBody;
use std::sync::atomic::{AtomicU64, Ordering};

/// Interval between two log lines on traffic.
const LOG_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Declares the kinds of messages with their stable names.
macro_rules! message_kinds {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A kind of message, as far as operators tell them apart.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum MessageKind {
            $($(#[$doc])* $variant,)*
        }

        impl MessageKind {
            /// All kinds.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The stable name used in logs and metrics.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

message_kinds! {
    /// Membership and failure detection.
    Membership = "membership",
    /// Epochs and records of the control group, and requests of operators.
    Control = "control",
    /// The feed of the control state.
    Feed = "feed",
    /// Holds on the token budget.
    Counter = "counter",
    /// Submissions of batches.
    Submission = "submission",
    /// Ends of runs, with the results of items.
    RunEnd = "run_end",
    /// All other calls to the primary of a batch shard.
    BatchCall = "batch_call",
    /// Responses of the primary of a batch shard.
    BatchResponse = "batch_response",
    /// Appended changes.
    Append = "append",
    /// Rows of ranges that differ.
    Range = "range",
    /// All other messages between replicas.
    Replication = "replication",
}

impl MessageKind {
    /// The kind of a message.
    pub fn of(message: &Message) -> Self {
        match message {
            Message::Membership(_) => Self::Membership,
            Message::Feed(_) => Self::Feed,
            Message::Counter(_) => Self::Counter,
            Message::Batch(batch) => Self::of_batch(&batch.body),
            Message::Replica(replica) => Self::of_replica(&replica.body),
            _ => Self::Control,
        }
    }

    fn of_batch(body: &BatchBody) -> Self {
        match body {
            BatchBody::Call(BatchCall::Submit { .. } | BatchCall::SubmitRouted(_)) => {
                Self::Submission
            }
            BatchBody::Call(BatchCall::Finish(..)) => Self::RunEnd,
            BatchBody::Response(_) => Self::BatchResponse,
            _ => Self::BatchCall,
        }
    }

    fn of_replica(body: &ReplicaBody) -> Self {
        match body {
            ReplicaBody::Append { .. } => Self::Append,
            ReplicaBody::Range(_) => Self::Range,
            _ => Self::Replication,
        }
    }
}

/// Why frames to an address were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkLoss {
    /// The queue of the link was full.
    QueueFull,
    /// No link could be opened.
    NotConnected,
    /// The link made no progress for too long.
    Stalled,
    /// The link failed.
    Failed,
}

impl LinkLoss {
    /// All reasons.
    pub const ALL: &'static [Self] =
        &[Self::QueueFull, Self::NotConnected, Self::Stalled, Self::Failed];

    /// The stable name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::NotConnected => "not_connected",
            Self::Stalled => "stalled",
            Self::Failed => "failed",
        }
    }
}

const KINDS: usize = MessageKind::ALL.len();
const LOSSES: usize = LinkLoss::ALL.len();

static RECEIVED_FRAMES: [AtomicU64; KINDS] = [const { AtomicU64::new(0) }; KINDS];
static RECEIVED_BYTES: [AtomicU64; KINDS] = [const { AtomicU64::new(0) }; KINDS];
static LOST_FRAMES: [AtomicU64; LOSSES] = [const { AtomicU64::new(0) }; LOSSES];

/// Counts a received frame.
pub fn record_received(message: &Message, bytes: usize) {
    let kind = MessageKind::of(message) as usize;
    RECEIVED_FRAMES[kind].fetch_add(1, Ordering::Relaxed);
    RECEIVED_BYTES[kind].fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Counts frames that were lost on the way out.
pub fn record_lost(reason: LinkLoss, frames: usize) {
    LOST_FRAMES[reason as usize].fetch_add(frames as u64, Ordering::Relaxed);
}

/// What was received of one kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// The kind.
    pub kind: MessageKind,
    /// Number of frames.
    pub frames: u64,
    /// Their total size, in bytes.
    pub bytes: u64,
}

/// What was received since the process began, by kind of message.
pub fn received() -> impl Iterator<Item = Received> {
    MessageKind::ALL.iter().map(|kind| Received {
        kind: *kind,
        frames: RECEIVED_FRAMES[*kind as usize].load(Ordering::Relaxed),
        bytes: RECEIVED_BYTES[*kind as usize].load(Ordering::Relaxed),
    })
}

/// The frames that were lost on the way out since the process began, by reason.
pub fn lost() -> impl Iterator<Item = (LinkLoss, u64)> {
    let count = |reason: &LinkLoss| LOST_FRAMES[*reason as usize].load(Ordering::Relaxed);
    LinkLoss::ALL.iter().map(move |reason| (*reason, count(reason)))
}

/// The traffic between two times, as one line of text; `None` if there was none.
fn describe(before: &[Received], after: &[Received]) -> Option<String> {
    let parts: Vec<String> = before
        .iter()
        .zip(after)
        .filter(|(before, after)| after.frames > before.frames)
        .map(|(before, after)| {
            let (frames, bytes) = (after.frames - before.frames, after.bytes - before.bytes);
            format!("{} {frames}/{bytes} B", after.kind.name())
        })
        .collect();
    (!parts.is_empty()).then(|| parts.join(", "))
}

/// Logs at intervals what was received and lost, until the process ends.
pub async fn log_at_intervals() {
    let mut interval = tokio::time::interval(LOG_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut received_before: Vec<Received> = received().collect();
    let mut lost_before: u64 = lost().map(|(_, frames)| frames).sum();
    loop {
        interval.tick().await;
        let received_now: Vec<Received> = received().collect();
        let lost_now: u64 = lost().map(|(_, frames)| frames).sum();
        if let Some(text) = describe(&received_before, &received_now) {
            spdlog::info!("received: {text}; frames lost: {}", lost_now - lost_before);
        }
        (received_before, lost_before) = (received_now, lost_now);
    }
}
