//! Messages under way, in the order in which they were sent.

use super::{MessageRef, Party};
use topazyard_types::NodeId;
use topazyard_wire::Message;
use topazyard_wire::message::control::CoreMessage;
use topazyard_wire::message::feed::FeedMessage;
use topazyard_wire::message::operate::{OperatorMessage, OperatorOutcome, OperatorRequest};
use topazyard_wire::message::replica::ReplicaBody;

/// What is under way.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A frame between processes.
    Frame {
        /// The id of the sender.
        sender: NodeId,
        /// Its address.
        from: std::net::SocketAddr,
        /// The address it goes to.
        to: std::net::SocketAddr,
        /// What it says.
        message: Message,
    },
    /// An operator's call.
    Call {
        /// Which asking.
        call_index: usize,
        /// What is asked.
        request: OperatorRequest,
    },
    /// The return of one.
    Response {
        /// Which asking.
        call_index: usize,
        /// What came of it.
        outcome: OperatorOutcome,
    },
}

/// A message under way.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// When it was sent, among all events.
    pub event_number: u64,
    /// Who sent it.
    pub from: Party,
    /// Who is to take it.
    pub to: Party,
    /// What it is.
    pub payload: Payload,
}

impl Envelope {
    /// Whether the letter names a message of this kind between these two.
    pub fn matches(&self, message: &MessageRef) -> bool {
        self.from == message.from && self.to == message.to && self.label() == message.label
    }

    /// What kind of message it is.
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

/// The names of all messages under way, the oldest first.
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

/// Where the message that a letter names stands.
pub fn find(envelopes: &[Envelope], message: &MessageRef) -> Option<usize> {
    let matching = envelopes.iter().enumerate().filter(|(_, envelope)| envelope.matches(message));
    matching.map(|(at, _)| at).nth(message.nth)
}
