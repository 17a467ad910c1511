//! Configuration files as kept in version control: checks them without a fleet and compares them
//! with the configuration in force.

use crate::OperatorError;

/// A configuration read from a file, with the text of the file.
pub(crate) struct ConfigurationFile {
    pub(crate) text: String,
    pub(crate) configuration: topazyard_spec::Configuration,
}

/// Reads and checks a configuration file.
pub(crate) fn read(file: &std::path::Path) -> Result<ConfigurationFile, OperatorError> {
    let text = crate::read_file(file)?;
    let configuration =
        topazyard_spec::Configuration::read(&text).map_err(|error| faults(file, error))?;
    Ok(ConfigurationFile { text, configuration })
}

/// Reads a partial change. Whether it applies can only be checked against the configuration that it
/// changes.
pub(crate) fn read_patch(file: &std::path::Path) -> Result<topazyard_spec::Patch, OperatorError> {
    let text = crate::read_file(file)?;
    topazyard_spec::Patch::read(&text).map_err(|error| faults(file, error))
}

/// Applies the partial change of a file to a configuration.
pub(crate) fn patched(
    file: &std::path::Path,
    before: &topazyard_spec::Configuration,
    patch: &topazyard_spec::Patch,
) -> Result<topazyard_spec::Configuration, OperatorError> {
    before.patched(patch).map_err(|error| faults(file, error))
}

/// Turns a read error into an operator error with one line for each fault.
fn faults(file: &std::path::Path, error: topazyard_spec::ReadError) -> OperatorError {
    let text = match error {
        topazyard_spec::ReadError::Faults(faults) => {
            let lines = faults.iter().map(|fault| format!("{}: {}", fault.place, fault.reason));
            lines.collect::<Vec<String>>().join("\n")
        }
        error => error.to_string(),
    };
    OperatorError::Faults(file.to_owned(), text)
}

/// The configuration in a control node's response for one version.
pub(crate) fn configuration_in(
    response: &serde_json::Value,
) -> Option<topazyard_spec::Configuration> {
    topazyard_spec::Configuration::read(&response["bundle"].to_string()).ok()
}

/// The differences between two configurations, with defaults filled in on both sides.
pub(crate) fn differences(
    old: Option<&topazyard_spec::Configuration>,
    new: &topazyard_spec::Configuration,
) -> Vec<String> {
    let value = |configuration| serde_json::to_value(configuration).unwrap_or_default();
    let mut found = Vec::new();
    let old = old.map_or(serde_json::json!({}), value);
    compare("", &old, &value(new), &mut found);
    found
}

/// Maps a list of named items by name, so that an added item shows as one addition and not as a
/// change of the list.
fn map_by_name(list: &[serde_json::Value]) -> Option<serde_json::Map<String, serde_json::Value>> {
    list.iter().map(|value| Some((value["name"].as_str()?.to_owned(), value.clone()))).collect()
}

fn compare(place: &str, old: &serde_json::Value, new: &serde_json::Value, found: &mut Vec<String>) {
    use serde_json::Value::{Array, Object};
    let named = |list: &[serde_json::Value]| map_by_name(list).map(Object);
    match (old, new) {
        (Object(old), Object(new)) => {
            let none = serde_json::Value::Null;
            let keys: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let place = if place.is_empty() { key.clone() } else { format!("{place}.{key}") };
                let (old, new) = (old.get(key).unwrap_or(&none), new.get(key).unwrap_or(&none));
                compare(&place, old, new, found);
            }
        }
        (Array(a), Array(b)) if a != b => match (named(a), named(b)) {
            // The same items in another order, which matters for model routes.
            (Some(old), Some(new)) if old == new => found.push(format!("{place}: another order")),
            (Some(old), Some(new)) => compare(place, &old, &new, found),
            _ => found.push(format!("{place}: {old} -> {new}")),
        },
        _ if old == new => {}
        (serde_json::Value::Null, new) => found.push(format!("+ {place}: {new}")),
        (old, serde_json::Value::Null) => found.push(format!("- {place}: {old}")),
        (old, new) => found.push(format!("{place}: {old} -> {new}")),
    }
}

#[cfg(test)]
mod tests {
    use super::differences;

    fn configuration(lanes: &str) -> topazyard_spec::Configuration {
        let text = format!(r#"{{"pools":[{{"name":"main"}}],"lanes":[{lanes}]}}"#);
        topazyard_spec::Configuration::read(&text).expect("a valid configuration")
    }

    const A: &str = r#"{"name":"a","kind":"live","models":["m"],"pool":"main"}"#;
    const B: &str = r#"{"name":"b","kind":"live","models":["n"],"pool":"main"}"#;

    #[test]
    fn changes_are_listed_once_and_defaults_are_ignored() {
        let both = configuration(&format!("{A},{B}"));
        assert!(differences(Some(&both), &both).is_empty());
        let explicit = A.replace("\"pool\"", "\"value\":1,\"pool\"");
        assert!(differences(Some(&configuration(A)), &configuration(&explicit)).is_empty());
        let added = differences(Some(&configuration(A)), &both);
        assert!(matches!(added.as_slice(), [one] if one.starts_with("+ lanes.b")), "{added:?}");
        let changed =
            differences(Some(&configuration(A)), &configuration(&A.replace("\"m\"", "\"n\"")));
        assert_eq!(changed, [r#"lanes.a.models: ["m"] -> ["n"]"#]);
        let reordered = differences(Some(&both), &configuration(&format!("{B},{A}")));
        assert_eq!(reordered, ["lanes: another order"]);
    }
}
