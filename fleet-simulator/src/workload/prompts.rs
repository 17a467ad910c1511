//! Clients that send prompts.

use super::Activity;
use crate::history::{PromptEnd, PromptRecord};
use crate::world::{NodeIndex, World};

impl World {
    pub(super) fn next_prompt(&mut self) {
        let rate = self.workload.settings.prompts_per_s;
        if !self.workload.settings.is_active || rate == 0 {
            self.schedule_after(50_000, crate::world::Event::Activity(Activity::NextPrompt));
            return;
        }
        let gap = 1_000_000 / rate;
        let jitter = self.draw(0..gap.max(1));
        self.schedule_after(gap / 2 + jitter, crate::world::Event::Activity(Activity::NextPrompt));
        self.send_prompt();
    }

    /// Draws the model of a prompt: mostly the usual one, sometimes one that only one configuration
    /// has a model route for, sometimes one without any model route.
    fn draw_model(&mut self) -> String {
        let specs = self.history.rollouts.len() as u64;
        match self.draw(0..100) {
            0..=7 if specs > 0 => {
                let age = self.draw(0..3).min(specs - 1);
                self.history.rollouts[(specs - 1 - age) as usize].model.clone()
            }
            8..=9 => "unmapped".to_owned(),
            _ => "m".to_owned(),
        }
    }

    fn send_prompt(&mut self) {
        let settings = self.workload.settings.clone();
        let model = self.draw_model();
        let repeatable = self.draw(0..4) == 0;
        let words = self.draw(settings.words / 2..settings.words * 3 / 2 + 1);
        let work = self.new_work(&model, words, settings.new_tokens, repeatable, None);
        let relay = self.draw_relay();
        let wait = [1_500_000, 3_000_000, 8_000_000][self.draw(0..3) as usize];
        let name = relay.map_or("none".to_owned(), |relay| self.nodes[relay.0].name.clone());
        let record = PromptRecord {
            work,
            model,
            repeatable,
            sent: self.time,
            wait,
            relay: name,
            pieces: Vec::new(),
            end: None,
        };
        self.history.prompts.push(record);
        let prompt = self.history.prompts.len() - 1;
        if let Some(relay) = relay {
            let delay = self.network_delay();
            let arrives = Activity::PromptArrives(prompt, relay);
            self.schedule_after(delay, crate::world::Event::Activity(arrives));
        } else {
            self.history.prompts[prompt].end = Some((self.time, PromptEnd::ConnectionLost));
        }
    }

    pub(super) fn prompt_arrives(&mut self, prompt: usize, relay: NodeIndex) {
        if !self.nodes[relay.0].is_running() {
            self.history.prompts[prompt].end = Some((self.time, PromptEnd::ConnectionLost));
            return;
        }
        let arrival = Activity::PromptArrives(prompt, relay);
        if self.defer_if_frozen(relay, || crate::world::Event::Activity(arrival)) {
            return;
        }
        let record = &self.history.prompts[prompt];
        if record.sent + record.wait + 1_500_000 < self.time {
            // The client disconnected while its relay was frozen.
            self.history.prompts[prompt].end = Some((self.time, PromptEnd::ConnectionLost));
            return;
        }
        let pieces = if self.draw(0..4) == 0 { 8 } else { 1 };
        self.start_session(relay, prompt, pieces);
    }
}
