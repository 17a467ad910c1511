//! The operators' versioned configuration: pools, model routes, routes, batch limits and weight
//! bounds.

use topazyard_types::{ModelName, ModelRouteName, PoolName, Tokens};

/// Everything that operators configure, put in force as a whole.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields, remote = "Bundle")]
pub struct Configuration {
    /// The pools of engines, each with one token budget.
    #[garde(length(min = 1, max = 64), dive)]
    pub pools: Vec<Pool>,
    /// Model routes, tried in order: the first one that accepts the kind and model of a request
    /// applies.
    #[garde(length(max = 4096), dive)]
    #[serde(default)]
    pub lanes: Vec<ModelRoute>,
    /// Routes from a host and path to pools. A configuration has model routes, routes or both.
    #[garde(length(max = 65_536), dive)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<crate::Route>,
    /// Limits on what clients send on routes, and on how long they may be idle.
    #[garde(dive)]
    #[serde(default)]
    pub clients: crate::ClientLimits,
    /// Limits on submitted batches.
    #[garde(dive)]
    #[serde(default, alias = "parcels")]
    pub batches: BatchLimits,
    /// Bounds between which the system tunes the live share.
    #[garde(dive)]
    #[serde(default)]
    pub weights: WeightBounds,
}

/// The name of a configuration in error texts that callers receive, such as "expected struct Bundle
/// with 6 elements". serde takes it from `remote`; with `expecting` the number of elements would be
/// missing.
type Bundle = Configuration;

impl<'de> serde::Deserialize<'de> for Configuration {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Not recursive: the derived inherent function takes precedence over the trait's.
        Self::deserialize(deserializer)
    }
}

impl serde::Serialize for Configuration {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // Not recursive: the derived inherent function takes precedence over the trait's.
        Self::serialize(self, serializer)
    }
}

/// A pool of engines that share one budget of tokens in flight.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name, which the entries of the engine list refer to.
    #[garde(custom(crate::names::short_name))]
    pub name: PoolName,
    /// The maximum number of tokens in flight.
    #[garde(custom(within_tokens))]
    #[serde(default = "default_limit")]
    pub limit_tokens: Tokens,
    /// The time after which a hold that is not renewed expires.
    #[garde(range(min = 5_000, max = 600_000))]
    #[serde(default = "default_expiry")]
    pub hold_expiry_ms: u64,
    /// The maximum number of prompts that wait at a relay for a short time.
    #[garde(range(min = 0, max = 10_000))]
    #[serde(default = "default_queue")]
    pub queue_depth: u32,
    /// The maximum number of connections from all nodes together to one engine; 0 if not set.
    #[garde(skip)]
    #[serde(default)]
    pub max_connections: u32,
    /// The capacity of one engine of the pool, if known. It makes the budget depend on the number
    /// of engines in the list, and `limit_tokens` is not used.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineShape>,
}

/// The capacity of one engine.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// The number of requests that it processes concurrently.
    #[garde(range(min = 1, max = 65_536))]
    pub slots: u32,
    /// The number of tokens that fit in its KV cache.
    #[garde(range(min = 1, max = 1_000_000_000_000))]
    pub kv_tokens: u64,
}

/// Routes requests for some models to a pool and gives their value.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields, remote = "Lane")]
pub struct ModelRoute {
    /// The name.
    #[garde(custom(crate::names::short_name))]
    pub name: ModelRouteName,
    /// The kind of work that it accepts.
    #[garde(skip)]
    pub kind: ModelRouteKind,
    /// The models that it accepts.
    #[garde(length(min = 1, max = 256), inner(custom(crate::names::short_name)))]
    pub models: Vec<ModelName>,
    /// The pool that its requests are sent to.
    #[garde(custom(crate::names::short_name))]
    pub pool: PoolName,
    /// The value of a request relative to other waiting requests.
    #[garde(range(min = 1, max = 1000))]
    #[serde(default = "default_value")]
    pub value: u32,
}

/// The name of a model route in error texts that callers receive, such as "expected struct Lane
/// with 5 elements". serde takes it from `remote`; with `expecting` the number of elements would be
/// missing.
type Lane = ModelRoute;

impl<'de> serde::Deserialize<'de> for ModelRoute {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Not recursive: the derived inherent function takes precedence over the trait's.
        Self::deserialize(deserializer)
    }
}

impl serde::Serialize for ModelRoute {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // Not recursive: the derived inherent function takes precedence over the trait's.
        Self::serialize(self, serializer)
    }
}

/// The kinds of work that a model route can accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelRouteKind {
    /// Only live prompts.
    Live,
    /// Only batch items.
    #[serde(alias = "parcel")]
    Batch,
    /// Live prompts and batch items.
    Both,
}

/// Limits on submitted batches.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct BatchLimits {
    /// The maximum total cost of unfinished items.
    #[garde(custom(within_tokens))]
    pub waiting_ceiling_tokens: Tokens,
    /// The maximum number of items in a batch.
    #[garde(range(min = 1, max = 10_000))]
    pub max_items: u32,
    /// The maximum size of an item's body.
    #[garde(range(min = 1, max = 1_048_576))]
    pub max_item_bytes: u32,
    /// How long a batch is kept after its last result.
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

/// Bounds on the share of the budget that is reserved for live prompts.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct WeightBounds {
    /// The minimum live share, in percent.
    #[garde(range(min = 0, max = 100))]
    pub live_floor_percent: u8,
    /// The live share before there are any measurements.
    #[garde(range(min = 0, max = 100))]
    pub live_start_percent: u8,
    /// The maximum live share. It is below 100, so that batches are not starved.
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
        crate::faults::check_unique_names(
            "pools",
            self.pools.iter().map(|p| p.name.0.as_str()),
            faults,
        );
        crate::faults::check_unique_names(
            "lanes",
            self.lanes.iter().map(|r| r.name.0.as_str()),
            faults,
        );
        for (index, model_route) in self.lanes.iter().enumerate() {
            if self.pool(&model_route.pool).is_none() {
                faults.push(crate::Fault {
                    place: format!("lanes[{index}].pool"),
                    reason: crate::FaultReason::UnknownPool(model_route.pool.0.clone()),
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
    /// A pool with this name and the default values.
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
    /// Parses and validates a configuration. On failure it returns every fault with its location.
    ///
    /// ```
    /// let text = r#"{"pools":[{"name":"main"}],
    ///     "lanes":[{"name":"checks","kind":"live","models":["m"],"pool":"main"}]}"#;
    /// let configuration = topazyard_spec::Configuration::read(text)?;
    /// assert_eq!(configuration.pools[0].limit_tokens, topazyard_types::Tokens(40_000));
    /// # Ok::<(), topazyard_spec::ReadError>(())
    /// ```
    ///
    /// # Errors
    /// The text is not JSON, or the configuration has faults.
    pub fn read(text: &str) -> Result<Self, crate::ReadError> {
        crate::faults::read(text)
    }

    /// This configuration with a partial change applied. The result is validated like a complete
    /// configuration.
    ///
    /// # Errors
    /// Every fault of the change, or of the configuration that results from it.
    pub fn patched(&self, patch: &crate::Patch) -> Result<Self, crate::ReadError> {
        let before = serde_json::to_value(self).map_err(|e| crate::ReadError::of_json(&e))?;
        let after = patch.apply(&before).map_err(crate::ReadError::Faults)?;
        Self::read(&after.to_string())
    }

    /// The pool with this name.
    ///
    /// ```
    /// # let text = r#"{"pools":[{"name":"main"}],
    /// #     "lanes":[{"name":"checks","kind":"live","models":["m"],"pool":"main"}]}"#;
    /// # let configuration = topazyard_spec::Configuration::read(text).unwrap();
    /// assert!(configuration.pool(&"main".into()).is_some());
    /// ```
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// The model route that accepts work of this kind for this model.
    ///
    /// ```
    /// # let text = r#"{"pools":[{"name":"main"}],
    /// #     "lanes":[{"name":"checks","kind":"live","models":["m"],"pool":"main"}]}"#;
    /// # let configuration = topazyard_spec::Configuration::read(text).unwrap();
    /// use topazyard_spec::ModelRouteKind;
    /// assert!(configuration.model_route_for(ModelRouteKind::Live, &"m".into()).is_some());
    /// assert!(configuration.model_route_for(ModelRouteKind::Batch, &"m".into()).is_none());
    /// ```
    pub fn model_route_for(&self, kind: ModelRouteKind, model: &ModelName) -> Option<&ModelRoute> {
        self.lanes.iter().find(|route| {
            (route.kind == kind || route.kind == ModelRouteKind::Both)
                && route.models.contains(model)
        })
    }
}
