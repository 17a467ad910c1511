//! Clients, operators and the platform, as they act on the fleet from outside.

mod batches;
mod orders;
mod platform;
mod prompts;
mod retirement;
mod rollouts;

use crate::world::{NodeIndex, World};
pub(crate) use orders::fingerprint;

/// Something that somebody outside does.
#[derive(Debug, Clone)]
pub enum Activity {
    /// Send the next prompt, and so on.
    NextPrompt,
    /// A prompt arrives at its relay.
    PromptArrives(usize, NodeIndex),
    /// Ask every relay whether it is ready, and so on.
    AskReady,
    /// A relay was asked whether it is ready.
    Ready(NodeIndex),
    /// Hand in the next batch, and so on.
    NextBatch,
    /// Look after a batch.
    Batch(usize),
    /// A batch's call, by its serial number.
    BatchCall(usize, u64, batches::Asked),
    /// Look after a spec.
    Spec(usize),
    /// A spec's step, by its serial number.
    SpecCall(usize, u64, rollouts::Step),
    /// Begin the next spec, and so on.
    NextSpec,
    /// Send the newest engine list until it is taken.
    PutEngines,
    /// The engine list was sent.
    EnginesSent(usize),
    /// Ask for a storage node to be retired, until that is acknowledged.
    Retire(NodeIndex),
    /// That was answered.
    RetireAnswered(NodeIndex),
    /// Ask whether a storage node is retired, until it is.
    AskRetired(NodeIndex),
    /// That was answered.
    RetiredAnswered(NodeIndex),
    /// Weigh the waiting batch work, and so on.
    WeighWaiting,
    /// Something about numbered configurations.
    Configuration(orders::OrderActivity),
    /// Read the spec in force, and so on.
    ReadSpec,
    /// The spec in force was asked for.
    SpecAsked(crate::history::Micros),
}

/// How much people do.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// Prompts a second.
    pub prompts_per_s: u64,
    /// Words of a prompt.
    pub words: u64,
    /// New tokens of a prompt.
    pub new_tokens: u64,
    /// Items of a batch.
    pub items_per_batch: u64,
    /// Seconds between batches; 0 for none.
    pub batch_interval_s: u64,
    /// Seconds between specs; 0 for none.
    pub rollout_interval_s: u64,
    /// Milliseconds between numbered configurations; 0 for specs that are signed off instead.
    pub order_interval_ms: u64,
    /// The most orders of numbered configurations under way at once.
    pub max_open_orders: usize,
    /// Of a hundred answers to operators so many are lost.
    pub lost_responses_percent: u64,
    /// Lanes that specs have besides the usual ones.
    pub extra_model_routes: u64,
    /// The budget of in-flight tokens.
    pub limit_tokens: u64,
    /// The ceiling on waiting batch work.
    pub waiting_ceiling: u64,
    /// Floor, start and ceiling of the live share, in percent.
    pub live_percents: (u8, u8, u8),
    /// Whether anybody still begins something.
    pub is_active: bool,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        Self {
            prompts_per_s: 0,
            words: 40,
            new_tokens: 32,
            items_per_batch: 20,
            batch_interval_s: 0,
            rollout_interval_s: 0,
            order_interval_ms: 0,
            max_open_orders: 8,
            lost_responses_percent: 0,
            extra_model_routes: 0,
            limit_tokens: 40_000,
            waiting_ceiling: 60_000,
            live_percents: (40, 70, 90),
            is_active: true,
        }
    }
}

/// Everybody outside.
#[derive(Debug, Default)]
pub struct Workload {
    /// How much they do.
    pub settings: WorkloadSettings,
    works: std::collections::BTreeMap<bytes::Bytes, usize>,
    ready: std::collections::BTreeSet<NodeIndex>,
    batches: Vec<batches::BatchClient>,
    specs: Vec<rollouts::SpecOperator>,
    orders: orders::Orders,
    /// Storage nodes whose retirement was acknowledged.
    retiring: std::collections::BTreeSet<NodeIndex>,
    /// Engines that the platform wants listed as ready.
    pub listed_ready: std::collections::BTreeSet<String>,
}

impl Workload {
    /// Which work a body is, if anybody handed it in.
    pub(crate) fn work_of(&self, body: &bytes::Bytes) -> Option<usize> {
        self.works.get(body).copied()
    }
}

impl World {
    /// Whether operators order numbered configurations.
    pub(crate) fn has_orders(&self) -> bool {
        self.workload.settings.order_interval_ms > 0
    }

    /// Hands in a kind of work with a body of its own.
    pub(crate) fn new_work(
        &mut self,
        model: &str,
        words: u64,
        new_tokens: u64,
        repeatable: bool,
        batch: Option<usize>,
    ) -> usize {
        let work = self.history.works.len();
        let text = format!("work {work} {}", "word ".repeat(words as usize));
        let cost = topazyard_types::Tokens::estimate(
            &text,
            None,
            Some(topazyard_types::Tokens(new_tokens)),
        );
        let body = bytes::Bytes::from(format!("{{\"inputs\":\"work {work}\"}}"));
        self.workload.works.insert(body.clone(), work);
        let model = model.to_owned();
        self.history.works.push(crate::history::Work {
            body,
            repeatable,
            model,
            cost: cost.0,
            batch,
        });
        work
    }

    /// A process of a kind that runs and is not frozen, drawn by chance.
    pub(crate) fn draw_node(&mut self, kind: crate::world::NodeKind) -> Option<NodeIndex> {
        let time = self.time;
        let nodes: Vec<NodeIndex> = (0..self.nodes.len())
            .filter(|at| {
                let node = &self.nodes[*at];
                let awake = node.frozen_until.is_none_or(|until| until <= time);
                node.kind == kind && node.is_running() && awake
            })
            .map(NodeIndex)
            .collect();
        if nodes.is_empty() {
            return None;
        }
        let at = self.draw(0..nodes.len() as u64) as usize;
        Some(nodes[at])
    }

    /// The relay that the platform hands a client to: a ready one, or any if none is.
    fn draw_relay(&mut self) -> Option<NodeIndex> {
        let ready: Vec<NodeIndex> = self.workload.ready.iter().copied().collect();
        if ready.is_empty() {
            return self.draw_node(crate::world::NodeKind::Relay);
        }
        let at = self.draw(0..ready.len() as u64) as usize;
        Some(ready[at])
    }

    pub(crate) fn person_does(&mut self, doing: Activity) {
        match doing {
            Activity::NextPrompt => self.next_prompt(),
            Activity::PromptArrives(prompt, relay) => self.prompt_arrives(prompt, relay),
            Activity::AskReady => self.ask_ready(),
            Activity::NextBatch => self.next_batch(),
            Activity::Batch(batch) => self.look_after_batch(batch),
            Activity::NextSpec => self.next_spec(),
            Activity::Spec(spec) => self.look_after_spec(spec),
            Activity::PutEngines => self.put_engines(),
            Activity::Configuration(doing) => self.order_doing(doing),
            Activity::ReadSpec => self.read_spec(),
            Activity::WeighWaiting => {
                self.after(250_000, crate::world::Event::Activity(Activity::WeighWaiting));
                let waiting = self.waiting_work();
                self.history.waiting.push((self.time, waiting));
            }
            Activity::Retire(node) => self.retire(node),
            Activity::AskRetired(node) => self.ask_retired(node),
            Activity::Ready(_)
            | Activity::RetireAnswered(_)
            | Activity::RetiredAnswered(_)
            | Activity::BatchCall(..)
            | Activity::SpecCall(..)
            | Activity::EnginesSent(_)
            | Activity::SpecAsked(_) => {}
        }
    }

    /// A relay returned a call that somebody outside made.
    pub(crate) fn relay_told(&mut self, doing: Activity, value: topazyard_relay::RelayResponse) {
        match doing {
            Activity::Ready(relay) => self.ready_told(relay, &value),
            Activity::BatchCall(batch, serial, asked) => {
                self.batch_told(batch, serial, &asked, value);
            }
            _ => {}
        }
    }

    /// A control node returned a call that somebody outside made.
    pub(crate) fn control_told(
        &mut self,
        doing: Activity,
        outcome: topazyard_wire::message::operate::OperatorOutcome,
    ) {
        match doing {
            Activity::SpecCall(spec, serial, step) => self.spec_told(spec, serial, step, &outcome),
            Activity::RetireAnswered(node) => self.retire_told(node, &outcome),
            Activity::RetiredAnswered(node) => self.retired_told(node, &outcome),
            Activity::EnginesSent(list) => self.engines_told(list, &outcome),
            Activity::SpecAsked(asked) => self.spec_read(asked, &outcome),
            Activity::Configuration(doing) => self.order_told(doing, outcome),
            _ => {}
        }
    }
}
