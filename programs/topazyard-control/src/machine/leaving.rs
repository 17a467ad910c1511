//! Leaving in order: a node that is about to end has itself replaced before it goes, so that the next
//! loss meets as many copies and witnesses as before.

use super::{ControlMachine, Out};
use topazyard_types::{CallId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::CoreMessage;
use topazyard_wire::message::operate::OperatorOutcome;

/// How often it is said again.
const SAY_EVERY: DurationMs = DurationMs(100);

/// A process's wish to end, while it waits for a record that does without this node.
#[derive(Debug, Clone)]
pub(crate) struct Leaving {
    call: CallId,
    since: MonotonicMs,
    said: MonotonicMs,
}

impl ControlMachine {
    /// The process is about to end.
    pub(super) fn begin_leaving(&mut self, call: CallId, now: MonotonicMs, out: &mut Out) {
        self.leaving = Some(Leaving { call, since: now, said: now });
        self.say_leaving(now, out);
        self.leaving_tick(now, out);
    }

    /// Says so again, or lets the process end once it is replaced, or can't be.
    pub(super) fn leaving_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(leaving) = &mut self.leaving else { return };
        let (call, waited) = (leaving.call, now.since(leaving.since));
        let is_due = now.since(leaving.said) >= SAY_EVERY;
        if is_due {
            leaving.said = now;
        }
        if waited >= self.timeouts.leaving || !self.is_needed() || !self.can_be_replaced(now) {
            self.leaving = None;
            let value = OperatorOutcome::Done(String::new());
            out.push(Effect::Respond { call, value });
        } else if is_due {
            self.say_leaving(now, out);
        }
    }

    pub(super) fn say_leaving(&self, now: MonotonicMs, out: &mut Out) {
        for node in self.others_heard(now) {
            let message = Message::Core(CoreMessage::Leaving);
            out.push(Effect::Send { to: node.address, message });
        }
    }

    /// Whether the present record names this node.
    fn is_needed(&self) -> bool {
        let record = self.witness.record();
        record.is_some_and(|r| r.is_member(self.me.id) || r.is_witness(self.me.id))
    }

    /// Whether enough others are heard to name as many witnesses without this node.
    fn can_be_replaced(&self, now: MonotonicMs) -> bool {
        self.others_heard(now).count() > 2 * self.backups()
    }

    /// Another node ends: it counts as gone at once, rather than after its silence. Whoever leads
    /// next, the witnesses decide, so that a word that comes late does no harm.
    pub(super) fn hear_leaving(&mut self, sender: NodeId, now: MonotonicMs, out: &mut Out) {
        self.core.take_leaving(sender, now);
        self.claim_tick(now, out);
    }
}
