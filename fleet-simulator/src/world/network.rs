//! The network: delays, frame loss and links blocked in one or both directions.

use super::{Event, InjectedBug, World};
use topazyard_wire::message::counter::CounterBody;
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};

/// Which links are blocked, and how lossy the others are.
#[derive(Debug, Default)]
pub struct Network {
    /// Of ten thousand frames, how many are lost.
    pub loss_per_10000: u64,
    /// Of ten thousand frames, how many are duplicated and how many are delayed.
    pub disordered_per_10000: u64,
    blocked: std::collections::BTreeSet<(std::net::SocketAddr, std::net::SocketAddr)>,
}

impl Network {
    /// Blocks frames from one address to another.
    pub fn block(&mut self, from: std::net::SocketAddr, to: std::net::SocketAddr) {
        self.blocked.insert((from, to));
    }

    /// Unblocks all links.
    pub fn unblock_all(&mut self) {
        self.blocked.clear();
    }

    /// Whether frames from one address to another are blocked.
    pub fn is_blocked(&self, from: std::net::SocketAddr, to: std::net::SocketAddr) -> bool {
        self.blocked.contains(&(from, to))
    }
}

impl World {
    /// Draws the network delay of one message, in microseconds.
    pub(crate) fn network_delay(&mut self) -> u64 {
        let usual = self.draw(150..900);
        if self.draw(0..200) == 0 { usual + self.draw(1_000..20_000) } else { usual }
    }

    pub(crate) fn send_frame(
        &mut self,
        from: std::net::SocketAddr,
        sender: topazyard_types::NodeId,
        to: std::net::SocketAddr,
        mut message: topazyard_wire::Message,
    ) {
        if self.injected_bug.is_some_and(|injected_bug| apply_bug(injected_bug, &mut message)) {
            return;
        }
        *self.sent.entry(message_kind(&message)).or_default() += 1;
        if self.network.is_blocked(from, to) || self.draw(0..10_000) < self.network.loss_per_10000 {
            return;
        }
        let disordered = self.network.disordered_per_10000;
        if disordered > 0 && self.draw(0..10_000) < disordered {
            let delay = self.network_delay() + self.draw(0..500_000);
            let message = message.clone();
            self.schedule_after(delay, Event::Frame { to, from, sender, message });
        }
        let late = disordered > 0 && self.draw(0..10_000) < disordered;
        let delay = if late { self.draw(1_000..3_000_000) } else { self.network_delay() };
        self.schedule_after(delay, Event::Frame { to, from, sender, message });
    }
}

/// Alters a frame as the injected bug would. Returns whether the frame is lost.
fn apply_bug(injected_bug: InjectedBug, message: &mut topazyard_wire::Message) -> bool {
    if let topazyard_wire::Message::Feed(FeedMessage::Update { content, .. }) = message {
        alter_update(injected_bug, content);
    }
    let topazyard_wire::Message::Counter(message) = message else { return false };
    match (injected_bug, &mut message.body) {
        (InjectedBug::AlwaysGrantBudget, CounterBody::Added { granted, .. })
        | (InjectedBug::AlwaysGrantCeiling, CounterBody::WaitingSettled { granted, .. }) => {
            *granted = true
        }
        (InjectedBug::LoseReleases, CounterBody::Release(_)) => return true,
        (InjectedBug::LoseReleases, CounterBody::Renew { up_to, .. }) => {
            *up_to = topazyard_types::HoldId(0);
        }
        _ => {}
    }
    false
}

fn alter_update(injected_bug: InjectedBug, content: &mut UpdateContent) {
    use topazyard_wire::rows::{decode, encode};
    use topazyard_wire::state::{IN_FORCE, InForceRow, ROUTES};
    let add_unmapped_model = |value: &mut bytes::Bytes| {
        if let Some(row) = decode::<InForceRow>(value) {
            let text = row.text.replacen("[\"m\"]", "[\"m\",\"unmapped\"]", 1);
            *value = encode(&InForceRow { text, ..row });
        }
    };
    match (injected_bug, content) {
        (InjectedBug::KeepOldConfiguration, UpdateContent::Changes(changes)) => {
            changes.retain(|change| change.key != IN_FORCE && !change.key.starts_with(ROUTES));
        }
        (InjectedBug::LoseRoute, UpdateContent::Changes(changes)) => {
            let position = changes.iter().position(|change| change.key.starts_with(ROUTES));
            position.map(|index| changes.remove(index));
        }
        (InjectedBug::RouteUndeclaredModel, UpdateContent::Changes(changes)) => {
            let configurations = changes.iter_mut().filter(|change| change.key == IN_FORCE);
            configurations.filter_map(|change| change.value.as_mut()).for_each(add_unmapped_model);
        }
        (InjectedBug::RouteUndeclaredModel, UpdateContent::Snapshot(rows)) => {
            let configurations = rows.iter_mut().filter(|(key, _)| key == IN_FORCE);
            configurations.for_each(|(_, value)| add_unmapped_model(value));
        }
        _ => {}
    }
}

fn message_kind(message: &topazyard_wire::Message) -> &'static str {
    use topazyard_wire::Message;
    match message {
        Message::Membership(_) => "membership",
        Message::Core(_) => "core",
        Message::Replica(_) => "replica",
        Message::Feed(_) => "feed",
        Message::ShardChangeRequest(_) => "wish",
        Message::Operate(_) => "operate",
        Message::Counter(_) => "counter",
        Message::Batch(_) => "batch",
        Message::ShardRecord(..) => "told",
        Message::Confirm(_) => "confirm",
    }
}
