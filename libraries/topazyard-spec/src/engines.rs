//! The platform's list of engines.

use topazyard_types::{EngineName, ModelName, PoolName};

/// All engines known to the platform. Each list replaces the previous one.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct EngineList {
    /// The engines.
    #[garde(length(max = 4096))]
    pub engines: Vec<Engine>,
}

/// An engine.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The name.
    pub name: EngineName,
    /// The address of its HTTP server.
    pub address: std::net::SocketAddr,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The models that it serves.
    pub models: Vec<ModelName>,
    /// Whether it accepts work.
    pub state: EngineState,
    /// The failure zone that it runs in, if the platform gives one.
    #[serde(default)]
    pub zone: Option<topazyard_types::ZoneName>,
    /// The number of requests that it processes concurrently; 0 if unknown.
    #[serde(default)]
    pub slots: u32,
}

/// Whether an engine accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It accepts work.
    Ready,
    /// It is still loading and doesn't accept work yet.
    Cold,
    /// It accepts no new work and finishes what it has.
    Leaving,
}

impl crate::faults::CrossCheck for EngineList {
    fn cross_check(&self, faults: &mut Vec<crate::Fault>) {
        crate::faults::check_unique_names(
            "engines",
            self.engines.iter().map(|e| e.name.0.as_str()),
            faults,
        );
    }
}

impl EngineList {
    /// Parses and validates the platform's list.
    ///
    /// ```
    /// let list = topazyard_spec::EngineList::read(r#"{"engines":[{"name":"e1",
    ///     "address":"127.0.0.1:9000","pool":"main","models":["m"],"state":"ready"}]}"#)?;
    /// assert_eq!(list.engines.len(), 1);
    /// # Ok::<(), topazyard_spec::ReadError>(())
    /// ```
    ///
    /// # Errors
    /// The text is not JSON, or the list has faults.
    pub fn read(text: &str) -> Result<Self, crate::ReadError> {
        crate::faults::read(text)
    }
}
