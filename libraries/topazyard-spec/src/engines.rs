//! The platform's list of engines.

use topazyard_types::{EngineName, ModelName, PoolName};

/// All engines the platform knows; each list replaces the one before.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct EngineList {
    /// The engines.
    #[garde(length(max = 4096))]
    pub engines: Vec<Engine>,
}

/// One engine.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Its name.
    pub name: EngineName,
    /// Where its HTTP listens.
    pub address: std::net::SocketAddr,
    /// The pool it serves.
    pub pool: PoolName,
    /// The models it serves.
    pub models: Vec<ModelName>,
    /// Whether it may be given work.
    pub state: EngineState,
    /// The failure zone that it runs in, where the platform says so.
    #[serde(default)]
    pub zone: Option<topazyard_types::ZoneName>,
    /// Requests that it works on at once; 0 where nobody says it.
    #[serde(default)]
    pub slots: u32,
}

/// Whether an engine may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It may.
    Ready,
    /// Not yet: it is still loading.
    Cold,
    /// No longer: it finishes what it has.
    Leaving,
}

impl crate::faults::CrossCheck for EngineList {
    fn cross_check(&self, faults: &mut Vec<crate::Fault>) {
        crate::faults::names_once(
            "engines",
            self.engines.iter().map(|e| e.name.0.as_str()),
            faults,
        );
    }
}

impl EngineList {
    /// Reads the platform's list.
    ///
    /// ```
    /// let list = topazyard_spec::EngineList::read(r#"{"engines":[{"name":"e1",
    ///     "address":"127.0.0.1:9000","pool":"main","models":["m"],"state":"ready"}]}"#)?;
    /// assert_eq!(list.engines.len(), 1);
    /// # Ok::<(), topazyard_spec::ReadError>(())
    /// ```
    ///
    /// # Errors
    /// Text that is no JSON, or a list with faults.
    pub fn read(text: &str) -> Result<Self, crate::ReadError> {
        crate::faults::read(text)
    }
}
