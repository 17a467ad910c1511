//! A bundle as a file in version control: checked without a fleet, compared with what is in force.

use crate::OperatorError;

/// A bundle read from a file, and its text.
pub(crate) struct BundleFile {
    pub(crate) text: String,
    pub(crate) bundle: topazyard_spec::Configuration,
}

/// Reads and checks a file.
pub(crate) fn read(file: &std::path::Path) -> Result<BundleFile, OperatorError> {
    let text = crate::read_file(file)?;
    let bundle = topazyard_spec::Configuration::read(&text).map_err(|error| faults(file, error))?;
    Ok(BundleFile { text, bundle })
}

/// Reads a partial change. Whether it can be made shows only beside the bundle that it changes.
pub(crate) fn read_patch(file: &std::path::Path) -> Result<topazyard_spec::Patch, OperatorError> {
    let text = crate::read_file(file)?;
    topazyard_spec::Patch::read(&text).map_err(|error| faults(file, error))
}

/// A bundle with a file's partial change made.
pub(crate) fn patched(
    file: &std::path::Path,
    before: &topazyard_spec::Configuration,
    patch: &topazyard_spec::Patch,
) -> Result<topazyard_spec::Configuration, OperatorError> {
    before.patched(patch).map_err(|error| faults(file, error))
}

/// What is wrong with a file, a line for each fault.
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

/// What a control node's answer shows as a version's bundle.
pub(crate) fn shown(answer: &serde_json::Value) -> Option<topazyard_spec::Configuration> {
    topazyard_spec::Configuration::read(&answer["bundle"].to_string()).ok()
}

/// Every place in which two bundles differ, with defaults filled in on both sides.
pub(crate) fn differences(
    old: Option<&topazyard_spec::Configuration>,
    new: &topazyard_spec::Configuration,
) -> Vec<String> {
    let value = |bundle| serde_json::to_value(bundle).unwrap_or_default();
    let mut found = Vec::new();
    let old = old.map_or(serde_json::json!({}), value);
    compare("", &old, &value(new), &mut found);
    found
}

/// Lists of named things are compared by name, so that one more lane shows as one more.
fn by_name(list: &[serde_json::Value]) -> Option<serde_json::Map<String, serde_json::Value>> {
    list.iter().map(|value| Some((value["name"].as_str()?.to_owned(), value.clone()))).collect()
}

fn compare(place: &str, old: &serde_json::Value, new: &serde_json::Value, found: &mut Vec<String>) {
    use serde_json::Value::{Array, Object};
    let named = |list: &[serde_json::Value]| by_name(list).map(Object);
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
            // The same things in another order: for lanes it counts.
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

    fn bundle(lanes: &str) -> topazyard_spec::Configuration {
        let text = format!(r#"{{"pools":[{{"name":"main"}}],"lanes":[{lanes}]}}"#);
        topazyard_spec::Configuration::read(&text).expect("a sound bundle")
    }

    const A: &str = r#"{"name":"a","kind":"live","models":["m"],"pool":"main"}"#;
    const B: &str = r#"{"name":"b","kind":"live","models":["n"],"pool":"main"}"#;

    #[test]
    fn each_change_is_shown_once_and_defaults_are_none() {
        let both = bundle(&format!("{A},{B}"));
        assert!(differences(Some(&both), &both).is_empty());
        let spelled = A.replace("\"pool\"", "\"value\":1,\"pool\"");
        assert!(differences(Some(&bundle(A)), &bundle(&spelled)).is_empty());
        let added = differences(Some(&bundle(A)), &both);
        assert!(matches!(added.as_slice(), [one] if one.starts_with("+ lanes.b")), "{added:?}");
        let changed = differences(Some(&bundle(A)), &bundle(&A.replace("\"m\"", "\"n\"")));
        assert_eq!(changed, [r#"lanes.a.models: ["m"] -> ["n"]"#]);
        let turned = differences(Some(&both), &bundle(&format!("{B},{A}")));
        assert_eq!(turned, ["lanes: another order"]);
    }
}
