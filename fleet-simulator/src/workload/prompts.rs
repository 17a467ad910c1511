//! Clients with prompts.

use super::Activity;
use crate::history::{PromptEnd, PromptRecord};
use crate::world::{NodeIndex, World};

impl World {
    pub(super) fn next_prompt(&mut self) {
        let rate = self.workload.settings.prompts_per_s;
        if !self.workload.settings.is_active || rate == 0 {
            self.after(50_000, crate::world::Event::Activity(Activity::NextPrompt));
            return;
        }
        let gap = 1_000_000 / rate;
        let jitter = self.draw(0..gap.max(1));
        self.after(gap / 2 + jitter, crate::world::Event::Activity(Activity::NextPrompt));
        self.send_prompt();
    }

    /// Which model a client asks for: mostly the usual one, sometimes one that only some spec
    /// maps, sometimes one that none does.
    fn draw_model(&mut self) -> String {
        let specs = self.history.rollouts.len() as u64;
        match self.draw(0..100) {
            0..=7 if specs > 0 => {
                let back = self.draw(0..3).min(specs - 1);
                self.history.rollouts[(specs - 1 - back) as usize].model.clone()
            }
            8..=9 => "unmapped".to_owned(),
            _ => "m".to_owned(),
        }
    }

    fn send_prompt(&mut self) {
        let habits = self.workload.settings.clone();
        let model = self.draw_model();
        let repeatable = self.draw(0..4) == 0;
        let words = self.draw(habits.words / 2..habits.words * 3 / 2 + 1);
        let work = self.new_work(&model, words, habits.new_tokens, repeatable, None);
        let relay = self.draw_relay();
        let wait = [1_500_000, 3_000_000, 8_000_000][self.draw(0..3) as usize];
        let name = relay.map_or("none".to_owned(), |relay| self.nodes[relay.0].name.clone());
        let seen = PromptRecord {
            work,
            model,
            repeatable,
            sent: self.time,
            wait,
            relay: name,
            pieces: Vec::new(),
            end: None,
        };
        self.history.prompts.push(seen);
        let prompt = self.history.prompts.len() - 1;
        if let Some(relay) = relay {
            let way = self.way();
            let arrives = Activity::PromptArrives(prompt, relay);
            self.after(way, crate::world::Event::Activity(arrives));
        } else {
            self.history.prompts[prompt].end = Some((self.time, PromptEnd::ConnectionLost));
        }
    }

    pub(super) fn prompt_arrives(&mut self, prompt: usize, relay: NodeIndex) {
        if !self.nodes[relay.0].is_running() {
            self.history.prompts[prompt].end = Some((self.time, PromptEnd::ConnectionLost));
            return;
        }
        let again = Activity::PromptArrives(prompt, relay);
        if self.defer_if_frozen(relay, || crate::world::Event::Activity(again)) {
            return;
        }
        let seen = &self.history.prompts[prompt];
        if seen.sent + seen.wait + 1_500_000 < self.time {
            // The client hung up while its relay was frozen.
            self.history.prompts[prompt].end = Some((self.time, PromptEnd::ConnectionLost));
            return;
        }
        let pieces = if self.draw(0..4) == 0 { 8 } else { 1 };
        self.begin_session(relay, prompt, pieces);
    }
}
