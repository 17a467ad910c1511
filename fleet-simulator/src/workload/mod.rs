//! The simulated workload: clients, operators and the platform, which act on the fleet from
//! outside.

mod batches;
mod orders;
mod platform;
mod prompts;
mod retirement;
mod rollouts;

use crate::world::{NodeIndex, World};
pub(crate) use orders::fingerprint;

/// An activity of a client, an operator or the platform.
#[derive(Debug, Clone)]
pub enum Activity {
    /// A client sends the next prompt; repeats.
    NextPrompt,
    /// A prompt arrives at its relay.
    PromptArrives(usize, NodeIndex),
    /// The platform checks every relay for readiness; repeats.
    CheckReady,
    /// The readiness check of a relay.
    CheckReadyDone(NodeIndex),
    /// A client submits the next batch; repeats.
    NextBatch,
    /// A client makes the next request about its batch; repeats.
    ContinueBatch(usize),
    /// A client's request about its batch, with a serial number.
    BatchCallDone(usize, u64, batches::BatchRequest),
    /// An operator takes the next step of a rollout; repeats.
    ContinueRollout(usize),
    /// A step of a rollout, with a serial number.
    RolloutCallDone(usize, u64, rollouts::Step),
    /// An operator starts the next rollout; repeats.
    NextRollout,
    /// The platform sends the newest engine list until it is acknowledged.
    PutEngines,
    /// A sent engine list.
    PutEnginesDone(usize),
    /// An operator requests the retirement of a storage node, until that is acknowledged.
    Retire(NodeIndex),
    /// The request for the retirement of a storage node.
    RetireDone(NodeIndex),
    /// An operator queries whether a storage node is retired, until it is.
    CheckRetired(NodeIndex),
    /// The query whether a storage node is retired.
    CheckRetiredDone(NodeIndex),
    /// The simulator measures the waiting batch work; repeats.
    MeasureWaiting,
    /// An activity about numbered configurations.
    Order(orders::OrderActivity),
    /// An operator reads the configuration in force; repeats.
    ReadConfiguration,
    /// A read of the configuration in force, with the time of the request.
    ReadConfigurationDone(crate::history::Micros),
}

/// The settings of the workload.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// Prompts a second.
    pub prompts_per_s: u64,
    /// Words per prompt.
    pub words: u64,
    /// New tokens per prompt.
    pub new_tokens: u64,
    /// Items per batch.
    pub items_per_batch: u64,
    /// Seconds between batches; 0 for none.
    pub batch_interval_s: u64,
    /// Seconds between rollouts; 0 for none.
    pub rollout_interval_s: u64,
    /// Milliseconds between numbered configurations; 0 for configurations that are signed off and
    /// rolled out instead.
    pub order_interval_ms: u64,
    /// The maximum number of open orders of numbered configurations.
    pub max_open_orders: usize,
    /// The percentage of responses to operators that are lost.
    pub lost_responses_percent: u64,
    /// Model routes of each configuration besides the usual ones.
    pub extra_model_routes: u64,
    /// The budget of in-flight tokens.
    pub limit_tokens: u64,
    /// The ceiling on waiting batch work.
    pub waiting_ceiling: u64,
    /// Floor, start value and ceiling of the live share, in percent.
    pub live_percents: (u8, u8, u8),
    /// Whether clients and operators start anything new.
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

/// The state of all clients, operators and the platform.
#[derive(Debug, Default)]
pub struct Workload {
    /// The settings of the workload.
    pub settings: WorkloadSettings,
    works: std::collections::BTreeMap<bytes::Bytes, usize>,
    ready: std::collections::BTreeSet<NodeIndex>,
    batches: Vec<batches::BatchClient>,
    rollouts: Vec<rollouts::RolloutOperator>,
    orders: orders::Orders,
    /// Storage nodes whose retirement was acknowledged.
    retiring: std::collections::BTreeSet<NodeIndex>,
    /// Engines that the platform lists as ready.
    pub listed_ready: std::collections::BTreeSet<String>,
}

impl Workload {
    /// The work that a request body belongs to, if a client submitted it.
    pub(crate) fn work_of(&self, body: &bytes::Bytes) -> Option<usize> {
        self.works.get(body).copied()
    }
}

impl World {
    /// Whether operators submit numbered configurations.
    pub(crate) fn has_orders(&self) -> bool {
        self.workload.settings.order_interval_ms > 0
    }

    /// Creates work with a unique request body.
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

    /// Draws a running process of a kind that is not frozen.
    pub(crate) fn draw_node(&mut self, kind: crate::world::NodeKind) -> Option<NodeIndex> {
        let time = self.time;
        let nodes: Vec<NodeIndex> = (0..self.nodes.len())
            .filter(|index| {
                let node = &self.nodes[*index];
                let is_awake = node.frozen_until.is_none_or(|until| until <= time);
                node.kind == kind && node.is_running() && is_awake
            })
            .map(NodeIndex)
            .collect();
        if nodes.is_empty() {
            return None;
        }
        let index = self.draw(0..nodes.len() as u64) as usize;
        Some(nodes[index])
    }

    /// Draws the relay that the platform sends a client to: a ready one, or any if none is ready.
    fn draw_relay(&mut self) -> Option<NodeIndex> {
        let ready: Vec<NodeIndex> = self.workload.ready.iter().copied().collect();
        if ready.is_empty() {
            return self.draw_node(crate::world::NodeKind::Relay);
        }
        let index = self.draw(0..ready.len() as u64) as usize;
        Some(ready[index])
    }

    pub(crate) fn perform(&mut self, activity: Activity) {
        match activity {
            Activity::NextPrompt => self.next_prompt(),
            Activity::PromptArrives(prompt, relay) => self.prompt_arrives(prompt, relay),
            Activity::CheckReady => self.check_ready(),
            Activity::NextBatch => self.next_batch(),
            Activity::ContinueBatch(batch) => self.continue_batch(batch),
            Activity::NextRollout => self.next_rollout(),
            Activity::ContinueRollout(rollout) => self.continue_rollout(rollout),
            Activity::PutEngines => self.put_engines(),
            Activity::Order(activity) => self.perform_order(activity),
            Activity::ReadConfiguration => self.read_configuration(),
            Activity::MeasureWaiting => {
                self.schedule_after(
                    250_000,
                    crate::world::Event::Activity(Activity::MeasureWaiting),
                );
                let waiting = self.waiting_work();
                self.history.waiting.push((self.time, waiting));
            }
            Activity::Retire(node) => self.retire(node),
            Activity::CheckRetired(node) => self.check_retired(node),
            Activity::CheckReadyDone(_)
            | Activity::RetireDone(_)
            | Activity::CheckRetiredDone(_)
            | Activity::BatchCallDone(..)
            | Activity::RolloutCallDone(..)
            | Activity::PutEnginesDone(_)
            | Activity::ReadConfigurationDone(_) => {}
        }
    }

    /// Handles the response of a relay to a call from outside.
    pub(crate) fn relay_response(
        &mut self,
        activity: Activity,
        value: topazyard_relay::RelayResponse,
    ) {
        match activity {
            Activity::CheckReadyDone(relay) => self.ready_response(relay, &value),
            Activity::BatchCallDone(batch, serial, request) => {
                self.batch_response(batch, serial, &request, value);
            }
            _ => {}
        }
    }

    /// Handles the response of a control node to a call from outside.
    pub(crate) fn control_response(
        &mut self,
        activity: Activity,
        outcome: topazyard_wire::message::operate::OperatorOutcome,
    ) {
        match activity {
            Activity::RolloutCallDone(rollout, serial, step) => {
                self.rollout_response(rollout, serial, step, &outcome)
            }
            Activity::RetireDone(node) => self.retire_response(node, &outcome),
            Activity::CheckRetiredDone(node) => self.retirement_response(node, &outcome),
            Activity::PutEnginesDone(list) => self.put_engines_response(list, &outcome),
            Activity::ReadConfigurationDone(asked) => self.configuration_read(asked, &outcome),
            Activity::Order(activity) => self.order_response(activity, outcome),
            _ => {}
        }
    }
}
