//! Shortens runs that violate an invariant by delta debugging.

use super::{Action, Invariant, Settings, replay};

/// Maximum number of replays per run.
const MAX_REPLAYS: usize = 4_000;

/// A run being shortened.
struct Shrinking {
    settings: Settings,
    invariant: Invariant,
    replays: usize,
}

impl Shrinking {
    fn reproduces(&mut self, actions: &[Action]) -> bool {
        self.replays += 1;
        let world = replay(self.settings, actions);
        world.violation().is_some_and(|violation| violation.invariant == self.invariant)
    }

    /// Removes ever smaller chunks as long as the invariant is still violated.
    fn remove_chunks(&mut self, mut actions: Vec<Action>) -> Vec<Action> {
        let mut chunk = actions.len().div_ceil(2);
        while chunk > 0 {
            let mut start = 0;
            while start < actions.len() && self.replays < MAX_REPLAYS {
                let end = (start + chunk).min(actions.len());
                let shorter = [&actions[..start], &actions[end..]].concat();
                if self.reproduces(&shorter) {
                    actions = shorter;
                } else {
                    start = end;
                }
            }
            chunk /= 2;
        }
        actions
    }
}

/// Returns a shorter run that violates the same invariant.
pub fn shrink(settings: Settings, actions: &[Action], invariant: Invariant) -> Vec<Action> {
    let mut shrinking = Shrinking { settings, invariant, replays: 0 };
    let mut actions = actions.to_vec();
    loop {
        let before = actions.len();
        actions = shrinking.remove_chunks(actions);
        if actions.len() == before || shrinking.replays >= MAX_REPLAYS {
            return actions;
        }
    }
}
