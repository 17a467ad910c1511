//! The feed: followers are answered once the pair has confirmed after they asked.

use super::{ControlMachine, Out, Waiting};
use topazyard_types::{DurationMs, MonotonicMs, NodeId, Place};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Matter};
use topazyard_wire::state::is_fed;

/// After how long without a return a follower that still asks counts as one that hears nothing.
const DEAF_AFTER: DurationMs = DurationMs(1_000);

impl ControlMachine {
    pub(super) fn receive_feed(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: FeedMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let FeedMessage::Ask { nonce, after, heard, vitals } = message else { return };
        if self.pair.is_serving() {
            // Who speaks but hears nothing counts as silent: it can do no duty.
            if heard.is_some_and(|age| age < DEAF_AFTER) {
                self.seen.take(sender, vitals, now);
            }
            self.submit(Vec::new(), Waiting::Follower { to: from, nonce, after });
            return;
        }
        let record = self.witness.record();
        let primary = record.map(|r| r.primary).filter(|primary| primary.id != self.me.id);
        let message = FeedMessage::Elsewhere {
            nonce,
            epoch: record.map(|record| record.epoch).unwrap_or_default(),
            primary: primary.map(|primary| primary.address),
        };
        out.push(Effect::Send { to: from, message: Message::Feed(message) });
    }

    pub(super) fn send_news(
        &self,
        to: std::net::SocketAddr,
        nonce: u64,
        after: Place,
        out: &mut Out,
    ) {
        let copy = self.pair.copy();
        let matter = match copy.changes_after(after) {
            Some(mut changes) => {
                changes.retain(|change| is_fed(&change.key));
                Matter::Changes(changes)
            }
            None => {
                let rows = copy.rows().iter().filter(|(key, _)| is_fed(key));
                Matter::View(rows.map(|(key, value)| (key.clone(), value.clone())).collect())
            }
        };
        let message = FeedMessage::News { nonce, place: copy.place(), matter };
        out.push(Effect::Send { to, message: Message::Feed(message) });
    }
}
