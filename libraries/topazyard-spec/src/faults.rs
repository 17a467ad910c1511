//! Faults in a declaration, such as a configuration or an engine list, with their location.

/// A fault in a declaration.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// The path of the faulty field, such as `lanes[2].pool`.
    pub place: String,
    /// What is wrong with it.
    pub reason: FaultReason,
}

/// Why a declaration is invalid.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, displaydoc::Display,
)]
#[serde(rename_all = "snake_case", tag = "kind", content = "detail")]
pub enum FaultReason {
    /// out of bounds: {0}
    OutOfBounds(String),
    /// the name {0:?} is given twice
    NamedTwice(String),
    /// no pool is named {0:?}
    UnknownPool(String),
    /// nothing is named {0:?}
    NotThere(String),
    /// not of the expected shape: {0}
    Shape(String),
    /// {0:?} is not an address of the form IP:PORT
    NotAnAddress(String),
}

/// Why a declaration could not be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ReadError {
    /// not JSON, at line {line} column {column}
    NotJson {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
    },
    /// {0:?}
    Faults(Vec<Fault>),
}

impl std::error::Error for ReadError {}

impl ReadError {
    /// Converts an error of serde's: text that is not JSON, or JSON of another structure.
    pub(crate) fn of_json(error: &serde_json::Error) -> Self {
        match error.classify() {
            serde_json::error::Category::Data => Self::Faults(vec![Fault {
                place: format!("line {} column {}", error.line(), error.column()),
                reason: FaultReason::Shape(error.to_string()),
            }]),
            _ => Self::NotJson { line: error.line(), column: error.column() },
        }
    }
}

/// Parses JSON and validates it as a declaration. On failure it returns every fault with its
/// location.
///
/// ```
/// let refused = topazyard_spec::faults::read::<topazyard_spec::EngineList>("{\"engines\": 3}");
/// assert!(matches!(refused, Err(topazyard_spec::ReadError::Faults(_))));
/// ```
///
/// # Errors
/// The text is not JSON, or not a valid declaration.
pub fn read<T>(text: &str) -> Result<T, ReadError>
where
    T: serde::de::DeserializeOwned + garde::Validate<Context = ()> + CrossCheck,
{
    let declaration: T = serde_json::from_str(text).map_err(|error| ReadError::of_json(&error))?;
    let mut faults = Vec::new();
    if let Err(report) = declaration.validate() {
        faults.extend(report.iter().map(|(path, error)| Fault {
            place: path.to_string(),
            reason: FaultReason::OutOfBounds(error.message().to_owned()),
        }));
    }
    declaration.cross_check(&mut faults);
    if faults.is_empty() { Ok(declaration) } else { Err(ReadError::Faults(faults)) }
}

/// Checks that involve several fields.
pub trait CrossCheck {
    /// Adds a fault for each inconsistency between fields.
    fn cross_check(&self, faults: &mut Vec<Fault>);
}

/// Adds a fault for each name that occurs again in a list.
pub(crate) fn check_unique_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
    faults: &mut Vec<Fault>,
) {
    let mut seen = std::collections::BTreeSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            faults.push(Fault {
                place: format!("{list}[{index}].name"),
                reason: FaultReason::NamedTwice(name.to_owned()),
            });
        }
    }
}
