//! The operators' versioned bundle: lanes, pools, batch ceilings and weight bounds.

use topazyard_types::{ModelName, ModelRouteName, PoolName, Tokens};

/// Everything operators decide, rolled out as one.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Pools of engines, each with one token budget.
    #[garde(length(min = 1, max = 64), dive)]
    pub pools: Vec<Pool>,
    /// Lanes, tried in order: the first that takes a request's kind and model maps it.
    #[garde(length(max = 4096), dive)]
    #[serde(default)]
    pub lanes: Vec<ModelRoute>,
    /// Which pools requests to a host and path go to. A bundle has lanes, routes or both.
    #[garde(length(max = 65_536), dive)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<crate::Route>,
    /// What a client may send on routes, and for how long it may be idle.
    #[garde(dive)]
    #[serde(default)]
    pub clients: crate::ClientLimits,
    /// Limits on handed-in work.
    #[garde(dive)]
    #[serde(default, alias = "parcels")]
    pub batches: BatchLimits,
    /// Between which bounds the system may tune the live share.
    #[garde(dive)]
    #[serde(default)]
    pub weights: WeightBounds,
}

/// A pool of engines that share one budget of in-flight tokens.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name, which engines name too.
    #[garde(custom(crate::names::short_name))]
    pub name: PoolName,
    /// Most tokens in flight at once.
    #[garde(custom(within_tokens))]
    #[serde(default = "default_limit")]
    pub limit_tokens: Tokens,
    /// After how long a hold that nobody renews is taken back.
    #[garde(range(min = 5_000, max = 600_000))]
    #[serde(default = "default_expiry")]
    pub hold_expiry_ms: u64,
    /// How many prompts a relay lets wait briefly.
    #[garde(range(min = 0, max = 10_000))]
    #[serde(default = "default_queue")]
    pub queue_depth: u32,
    /// The most connections that all nodes together may hold to one engine; 0 where it isn't said.
    #[garde(skip)]
    #[serde(default)]
    pub max_connections: u32,
    /// What one engine of the pool can hold, where the operators know it. With it the budget is
    /// counted from the engines there are, and `limit_tokens` is not used.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineShape>,
}

/// What one engine can hold.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// Requests that it works on at once.
    #[garde(range(min = 1, max = 65_536))]
    pub slots: u32,
    /// Tokens that its memory holds.
    #[garde(range(min = 1, max = 1_000_000_000_000))]
    pub kv_tokens: u64,
}

/// Which requests a lane takes, where they may go and what they are worth.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct ModelRoute {
    /// Its name.
    #[garde(custom(crate::names::short_name))]
    pub name: ModelRouteName,
    /// Which kind of work it takes.
    #[garde(skip)]
    pub kind: ModelRouteKind,
    /// The models it takes.
    #[garde(length(min = 1, max = 256), inner(custom(crate::names::short_name)))]
    pub models: Vec<ModelName>,
    /// The pool its work may go to.
    #[garde(custom(crate::names::short_name))]
    pub pool: PoolName,
    /// What a request is worth against others that wait.
    #[garde(range(min = 1, max = 1000))]
    #[serde(default = "default_value")]
    pub value: u32,
}

/// The kinds of work a lane can take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelRouteKind {
    /// Live prompts only.
    Live,
    /// Batch items only.
    #[serde(alias = "parcel")]
    Batch,
    /// Both.
    Both,
}

/// Limits on handed-in work.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct BatchLimits {
    /// The agreed ceiling on the cost of items not yet finished.
    #[garde(custom(within_tokens))]
    pub waiting_ceiling_tokens: Tokens,
    /// Most items in a batch.
    #[garde(range(min = 1, max = 10_000))]
    pub max_items: u32,
    /// Largest item body.
    #[garde(range(min = 1, max = 1_048_576))]
    pub max_item_bytes: u32,
    /// For how long a batch is kept after its last return.
    #[garde(range(min = 60, max = 31_536_000))]
    #[serde(default = "default_keep")]
    pub keep_finished_s: u32,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self {
            waiting_ceiling_tokens: Tokens(2_000_000),
            max_items: 1_000,
            max_item_bytes: 65_536,
            keep_finished_s: default_keep(),
        }
    }
}

/// Bounds on the share of the budget kept for live prompts.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct WeightBounds {
    /// The least live share, in percent.
    #[garde(range(min = 0, max = 100))]
    pub live_floor_percent: u8,
    /// The live share before anything was measured.
    #[garde(range(min = 0, max = 100))]
    pub live_start_percent: u8,
    /// The greatest live share; below 100, so that batches are not starved.
    #[garde(range(min = 0, max = 95))]
    pub live_ceiling_percent: u8,
}

impl Default for WeightBounds {
    fn default() -> Self {
        Self { live_floor_percent: 30, live_start_percent: 50, live_ceiling_percent: 65 }
    }
}

fn default_keep() -> u32 {
    604_800
}
fn default_limit() -> Tokens {
    Tokens(40_000)
}
fn default_expiry() -> u64 {
    60_000
}
fn default_queue() -> u32 {
    100
}
fn default_value() -> u32 {
    1
}

fn within_tokens(tokens: &Tokens, _: &()) -> garde::Result {
    if (1..=1_000_000_000).contains(&tokens.0) {
        Ok(())
    } else {
        Err(garde::Error::new("tokens are from 1 to 1000000000"))
    }
}

impl crate::faults::CrossCheck for Configuration {
    fn cross_check(&self, faults: &mut Vec<crate::Fault>) {
        crate::faults::names_once("pools", self.pools.iter().map(|p| p.name.0.as_str()), faults);
        crate::faults::names_once("lanes", self.lanes.iter().map(|l| l.name.0.as_str()), faults);
        for (index, lane) in self.lanes.iter().enumerate() {
            if self.pool(&lane.pool).is_none() {
                faults.push(crate::Fault {
                    place: format!("lanes[{index}].pool"),
                    reason: crate::FaultReason::UnknownPool(lane.pool.0.clone()),
                });
            }
        }
        if self.lanes.is_empty() && self.routes.is_empty() {
            let reason = crate::FaultReason::OutOfBounds("a bundle has lanes or routes".to_owned());
            faults.push(crate::Fault { place: "lanes".to_owned(), reason });
        }
        crate::routes::cross_check(self, faults);
        let bounds = &self.weights;
        let ordered = bounds.live_floor_percent <= bounds.live_start_percent
            && bounds.live_start_percent <= bounds.live_ceiling_percent;
        if !ordered {
            faults.push(crate::Fault {
                place: "weights".to_owned(),
                reason: crate::FaultReason::OutOfBounds(
                    "floor, start and ceiling must rise in that order".to_owned(),
                ),
            });
        }
    }
}

impl Pool {
    /// A pool of that name with the project's own figures.
    ///
    /// ```
    /// let pool = topazyard_spec::Pool::named("main".into());
    /// assert_eq!(pool.limit_tokens, topazyard_types::Tokens(40_000));
    /// ```
    pub fn named(name: PoolName) -> Self {
        Self {
            name,
            limit_tokens: default_limit(),
            hold_expiry_ms: default_expiry(),
            queue_depth: default_queue(),
            max_connections: 0,
            engine: None,
        }
    }
}

impl Configuration {
    /// Reads a bundle, or gives every fault with its place.
    ///
    /// ```
    /// let text = r#"{"pools":[{"name":"main"}],
    ///     "lanes":[{"name":"checks","kind":"live","models":["m"],"pool":"main"}]}"#;
    /// let bundle = topazyard_spec::Configuration::read(text)?;
    /// assert_eq!(bundle.pools[0].limit_tokens, topazyard_types::Tokens(40_000));
    /// # Ok::<(), topazyard_spec::ReadError>(())
    /// ```
    ///
    /// # Errors
    /// Text that is no JSON, or a bundle with faults.
    pub fn read(text: &str) -> Result<Self, crate::ReadError> {
        crate::faults::read(text)
    }

    /// This bundle with a partial change made, checked as a whole one is.
    ///
    /// # Errors
    /// Every fault of the change, or of the bundle that it would make.
    pub fn patched(&self, patch: &crate::Patch) -> Result<Self, crate::ReadError> {
        let before = serde_json::to_value(self).map_err(|e| crate::ReadError::of_json(&e))?;
        let after = patch.apply(&before).map_err(crate::ReadError::Faults)?;
        Self::read(&after.to_string())
    }

    /// The pool of that name.
    ///
    /// ```
    /// # let text = r#"{"pools":[{"name":"main"}],
    /// #     "lanes":[{"name":"checks","kind":"live","models":["m"],"pool":"main"}]}"#;
    /// # let bundle = topazyard_spec::Configuration::read(text).unwrap();
    /// assert!(bundle.pool(&"main".into()).is_some());
    /// ```
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// The lane that takes work of this kind for this model.
    ///
    /// ```
    /// # let text = r#"{"pools":[{"name":"main"}],
    /// #     "lanes":[{"name":"checks","kind":"live","models":["m"],"pool":"main"}]}"#;
    /// # let bundle = topazyard_spec::Configuration::read(text).unwrap();
    /// use topazyard_spec::ModelRouteKind;
    /// assert!(bundle.model_route_for(ModelRouteKind::Live, &"m".into()).is_some());
    /// assert!(bundle.model_route_for(ModelRouteKind::Batch, &"m".into()).is_none());
    /// ```
    pub fn model_route_for(&self, kind: ModelRouteKind, model: &ModelName) -> Option<&ModelRoute> {
        self.lanes.iter().find(|lane| {
            (lane.kind == kind || lane.kind == ModelRouteKind::Both) && lane.models.contains(model)
        })
    }
}
