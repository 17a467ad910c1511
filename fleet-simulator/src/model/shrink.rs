//! Shortening of runs that cross an invariant, by delta debugging.

use super::{Action, Invariant, Settings, replay};

/// The most replays of one shortening.
const MOST_REPLAYS: usize = 4_000;

/// A run that is being shortened.
struct Shrinking {
    settings: Settings,
    invariant: Invariant,
    replays: usize,
}

impl Shrinking {
    fn still_crosses(&mut self, actions: &[Action]) -> bool {
        self.replays += 1;
        let world = replay(self.settings, actions);
        world.violation().is_some_and(|violation| violation.invariant == self.invariant)
    }

    /// Takes ever smaller pieces out, as long as the invariant is still crossed.
    fn without_pieces(&mut self, mut actions: Vec<Action>) -> Vec<Action> {
        let mut piece = actions.len().div_ceil(2);
        while piece > 0 {
            let mut at = 0;
            while at < actions.len() && self.replays < MOST_REPLAYS {
                let end = (at + piece).min(actions.len());
                let shorter = [&actions[..at], &actions[end..]].concat();
                if self.still_crosses(&shorter) {
                    actions = shorter;
                } else {
                    at = end;
                }
            }
            piece /= 2;
        }
        actions
    }
}

/// A shorter run that crosses the same invariant.
pub fn shrink(settings: Settings, actions: &[Action], invariant: Invariant) -> Vec<Action> {
    let mut shrinking = Shrinking { settings, invariant, replays: 0 };
    let mut actions = actions.to_vec();
    loop {
        let before = actions.len();
        actions = shrinking.without_pieces(actions);
        if actions.len() == before || shrinking.replays >= MOST_REPLAYS {
            return actions;
        }
    }
}
