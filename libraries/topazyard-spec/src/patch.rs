//! Partial changes of a declaration: fields to set, and list items to add, replace or remove by
//! name.

use crate::{Fault, FaultReason, ReadError};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A partial change of a declaration in JSON.
///
/// ```
/// let patch = topazyard_spec::Patch::read(
///     r#"{"fields": {"version": 2}, "upsert": {"pools": [{"name": "b", "size": 1}]}}"#,
/// )?;
/// let before = serde_json::json!({ "version": 1, "pools": [{ "name": "a" }] });
/// let after = patch.apply(&before).unwrap();
/// assert_eq!(after["version"], 2);
/// assert_eq!(after["pools"][1]["size"], 1);
/// # Ok::<(), topazyard_spec::ReadError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Top-level fields to set.
    #[serde(default, skip_serializing_if = "serde_json::Map::is_empty")]
    pub fields: serde_json::Map<String, Value>,
    /// By list: items to add, or to replace the item with the same `name`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub upsert: BTreeMap<String, Vec<Value>>,
    /// By list: names of items to remove.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub remove: BTreeMap<String, Vec<String>>,
}

impl Patch {
    /// Parses a patch. Its items are validated only when the declaration that results is parsed.
    ///
    /// # Errors
    /// The text is not JSON, or not a patch.
    pub fn read(text: &str) -> Result<Self, ReadError> {
        serde_json::from_str(text).map_err(|error| ReadError::of_json(&error))
    }

    /// Applies the change to a declaration. Replaced items keep their position in the list, added
    /// items are appended.
    ///
    /// # Errors
    /// Every fault with its location: an item without a name, a duplicate name or one that is both
    /// upserted and removed, a name to remove that doesn't exist, or a field that is not a list.
    pub fn apply(&self, declaration: &Value) -> Result<Value, Vec<Fault>> {
        let Value::Object(fields) = declaration else {
            return Err(vec![wrong_shape(String::new(), "a declaration is an object")]);
        };
        let mut changed = fields.clone();
        changed.extend(self.fields.clone());
        let mut faults = Vec::new();
        let names: BTreeSet<&String> = self.upsert.keys().chain(self.remove.keys()).collect();
        for name in names {
            match self.apply_to_list(name, fields.get(name)) {
                Ok(list) => drop(changed.insert(name.clone(), Value::Array(list))),
                Err(found) => faults.extend(found),
            }
        }
        if faults.is_empty() { Ok(Value::Object(changed)) } else { Err(faults) }
    }

    fn apply_to_list(&self, list: &str, before: Option<&Value>) -> Result<Vec<Value>, Vec<Fault>> {
        let mut items = match before {
            None => Vec::new(),
            Some(Value::Array(items)) => items.clone(),
            Some(_) => return Err(vec![wrong_shape(list.to_owned(), "it is no list")]),
        };
        let mut faults = Vec::new();
        let mut seen = BTreeSet::new();
        for (index, name) in self.remove.get(list).into_iter().flatten().enumerate() {
            let place = || format!("remove.{list}[{index}]");
            let position = items.iter().position(|item| name_of(item) == Some(name));
            match (seen.insert(name.as_str()), position) {
                (false, _) => faults.push(duplicate(place(), name)),
                (true, None) => faults.push(absent(place(), name)),
                (true, Some(position)) => drop(items.remove(position)),
            }
        }
        for (index, item) in self.upsert.get(list).into_iter().flatten().enumerate() {
            let place = || format!("upsert.{list}[{index}].name");
            let Some(name) = name_of(item) else {
                faults.push(wrong_shape(place(), "an item has a name"));
                continue;
            };
            if !seen.insert(name) {
                faults.push(duplicate(place(), name));
                continue;
            }
            match items.iter_mut().find(|other| name_of(other) == Some(name)) {
                Some(other) => *other = item.clone(),
                None => items.push(item.clone()),
            }
        }
        if faults.is_empty() { Ok(items) } else { Err(faults) }
    }
}

fn name_of(item: &Value) -> Option<&str> {
    item.get("name")?.as_str()
}

fn wrong_shape(place: String, reason: &str) -> Fault {
    Fault { place, reason: FaultReason::Shape(reason.to_owned()) }
}

fn duplicate(place: String, name: &str) -> Fault {
    Fault { place, reason: FaultReason::NamedTwice(name.to_owned()) }
}

fn absent(place: String, name: &str) -> Fault {
    Fault { place, reason: FaultReason::NotThere(name.to_owned()) }
}
