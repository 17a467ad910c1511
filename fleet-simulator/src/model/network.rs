//! Messages in flight, in the order in which they were sent.

use super::{MessageRef, Party};
use topazyard_types::NodeId;
use topazyard_wire::Message;
use topazyard_wire::message::control::CoreMessage;
use topazyard_wire::message::feed::FeedMessage;
use topazyard_wire::message::operate::{OperatorMessage, OperatorOutcome, OperatorRequest};
use topazyard_wire::message::replica::ReplicaBody;

/// The content of a message in flight.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A frame between processes.
    Frame {
        /// The node id of the sender.
        sender: NodeId,
        /// The sender's address.
        from: std::net::SocketAddr,
        /// The receiver's address.
        to: std::net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// An operator's call.
    Call {
        /// Index of the call.
        call_index: usize,
        /// The request.
        request: OperatorRequest,
    },
    /// The response to an operator's call.
    Response {
        /// Index of the call.
        call_index: usize,
        /// The outcome.
        outcome: OperatorOutcome,
    },
}

/// A message in flight.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Number of the event in which it was sent.
    pub event_number: u64,
    /// The sender.
    pub from: Party,
    /// The receiver.
    pub to: Party,
    /// The content.
    pub payload: Payload,
}

impl Envelope {
    /// Whether the reference names a message of this kind between these two.
    pub fn matches(&self, message: &MessageRef) -> bool {
        self.from == message.from && self.to == message.to && self.label() == message.label
    }

    /// The kind of message.
    pub fn label(&self) -> &'static str {
        match &self.payload {
            Payload::Frame { message, .. } => label_of(message),
            Payload::Call { request: OperatorRequest::Command(_), .. } => "Order",
            Payload::Call { request: OperatorRequest::Query(_), .. } => "Read",
            Payload::Response { .. } => "Answer",
        }
    }
}

fn label_of(message: &Message) -> &'static str {
    match message {
        Message::Core(message) => match message {
            CoreMessage::Heartbeat { .. } => "Tick",
            CoreMessage::Prepare { .. } => "Prepare",
            CoreMessage::Promise { .. } => "Promise",
            CoreMessage::Accept { .. } => "Accept",
            CoreMessage::Accepted { .. } => "Accepted",
            CoreMessage::Leaving => "Leaving",
            CoreMessage::Rejected { .. } => "Outbid",
        },
        Message::Replica(message) => match &message.body {
            ReplicaBody::Append { .. } => "Append",
            ReplicaBody::Appended { .. } => "Appended",
            ReplicaBody::OutOfSync => "OutOfStep",
            ReplicaBody::NotHeld => "NotHeld",
            ReplicaBody::Digests { .. } => "Digests",
            ReplicaBody::Differ { .. } => "Differ",
            ReplicaBody::CheckAppended { .. } => "CheckAppended",
            ReplicaBody::AppendMissing { .. } => "AppendMissing",
            ReplicaBody::RangeReceived { .. } => "RangeReceived",
            ReplicaBody::Range { .. } => "Range",
            ReplicaBody::InSync { .. } => "InStep",
            ReplicaBody::Synced { .. } => "Synced",
        },
        Message::Feed(FeedMessage::Request { .. }) => "FeedAsk",
        Message::Feed(FeedMessage::Update { .. }) => "FeedNews",
        Message::Feed(FeedMessage::Redirect { .. }) => "FeedElsewhere",
        Message::Operate(OperatorMessage::Request { .. }) => "PassedOn",
        Message::Operate(OperatorMessage::Response { .. }) => "PassedBack",
        Message::Membership(_) => "Membership",
        _ => "Other",
    }
}

/// References to all messages in flight, oldest first.
pub fn message_refs(envelopes: &[Envelope]) -> Vec<MessageRef> {
    let mut counts: std::collections::BTreeMap<(Party, Party, &'static str), usize> =
        std::collections::BTreeMap::new();
    let message_refs = envelopes.iter().map(|envelope| {
        let (from, to, label) = (envelope.from, envelope.to, envelope.label());
        let count = counts.entry((from, to, label)).or_default();
        *count += 1;
        MessageRef { from, to, label, nth: *count - 1 }
    });
    message_refs.collect()
}

/// Index of the message that a reference names.
pub fn find(envelopes: &[Envelope], message: &MessageRef) -> Option<usize> {
    let matching = envelopes.iter().enumerate().filter(|(_, envelope)| envelope.matches(message));
    matching.map(|(at, _)| at).nth(message.nth)
}
