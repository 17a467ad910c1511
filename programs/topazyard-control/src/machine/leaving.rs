//! Graceful shutdown: a node that is about to stop has itself replaced first, so that as many
//! copies and witnesses as before remain for the next loss.

use super::{ControlMachine, Effects};
use topazyard_types::{CallId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::CoreMessage;
use topazyard_wire::message::operate::OperatorOutcome;

/// How often the node repeats that it is leaving.
const SEND_INTERVAL: DurationMs = DurationMs(100);

/// A shutdown that waits for a record that does not name this node.
#[derive(Debug, Clone)]
pub(crate) struct Leaving {
    call: CallId,
    started_at: MonotonicMs,
    last_sent: MonotonicMs,
}

impl ControlMachine {
    /// Handles the process's request to shut down.
    pub(super) fn begin_shutdown(&mut self, call: CallId, now: MonotonicMs, effects: &mut Effects) {
        self.leaving = Some(Leaving { call, started_at: now, last_sent: now });
        self.send_leaving(now, effects);
        self.leaving_tick(now, effects);
    }

    /// Repeats the announcement, or lets the process end once the node is replaced or can't be.
    pub(super) fn leaving_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let Some(leaving) = &mut self.leaving else { return };
        let (call, waited) = (leaving.call, now.since(leaving.started_at));
        let is_due = now.since(leaving.last_sent) >= SEND_INTERVAL;
        if is_due {
            leaving.last_sent = now;
        }
        if waited >= self.timeouts.leaving || !self.is_in_record() || !self.can_be_replaced(now) {
            self.leaving = None;
            let value = OperatorOutcome::Done(String::new());
            effects.push(Effect::Respond { call, value });
        } else if is_due {
            self.send_leaving(now, effects);
        }
    }

    pub(super) fn send_leaving(&self, now: MonotonicMs, effects: &mut Effects) {
        for node in self.reachable_others(now) {
            let message = Message::Core(CoreMessage::Leaving);
            effects.push(Effect::Send { to: node.address, message });
        }
    }

    /// Whether the current record names this node.
    fn is_in_record(&self) -> bool {
        let record = self.witness.record();
        record.is_some_and(|r| r.is_member(self.me.id) || r.is_witness(self.me.id))
    }

    /// Whether enough others are reachable to name as many witnesses without this node.
    fn can_be_replaced(&self, now: MonotonicMs) -> bool {
        self.reachable_others(now).count() > 2 * self.backups()
    }

    /// Handles another node's announcement that it is leaving. It counts as gone at once rather
    /// than after its timeout. The witnesses decide on the next primary, so a late announcement
    /// does no harm.
    pub(super) fn receive_leaving(
        &mut self,
        sender: NodeId,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        self.peers.note_leaving(sender, now);
        self.epoch_change_tick(now, effects);
    }
}
