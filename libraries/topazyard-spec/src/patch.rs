//! Partial changes of a declaration: fields that are set, and items of its lists that are added,
//! replaced or removed by name.

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
    /// Fields of the declaration itself that are set.
    #[serde(default, skip_serializing_if = "serde_json::Map::is_empty")]
    pub fields: serde_json::Map<String, Value>,
    /// By list: items to add, or to put in the place of the one of the same `name`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub upsert: BTreeMap<String, Vec<Value>>,
    /// By list: names of items to remove.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub remove: BTreeMap<String, Vec<String>>,
}

impl Patch {
    /// Reads a patch. Whether its items make a sound declaration shows only once it is applied.
    ///
    /// # Errors
    /// Text that is no JSON, or JSON that is no patch.
    pub fn read(text: &str) -> Result<Self, ReadError> {
        serde_json::from_str(text).map_err(|error| ReadError::of_json(&error))
    }

    /// The declaration with the change made. What is replaced keeps its place in its list, what is
    /// added comes after the others.
    ///
    /// # Errors
    /// Each fault with its place: an item without a name, a name that is given twice or both
    /// upserted and removed, a name to remove that is not there, or something that is no list.
    pub fn apply(&self, declaration: &Value) -> Result<Value, Vec<Fault>> {
        let Value::Object(fields) = declaration else {
            return Err(vec![shape(String::new(), "a declaration is an object")]);
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
            Some(_) => return Err(vec![shape(list.to_owned(), "it is no list")]),
        };
        let mut faults = Vec::new();
        let mut named = BTreeSet::new();
        for (index, name) in self.remove.get(list).into_iter().flatten().enumerate() {
            let place = || format!("remove.{list}[{index}]");
            let position = items.iter().position(|item| name_of(item) == Some(name));
            match (named.insert(name.as_str()), position) {
                (false, _) => faults.push(twice(place(), name)),
                (true, None) => faults.push(not_there(place(), name)),
                (true, Some(position)) => drop(items.remove(position)),
            }
        }
        for (index, item) in self.upsert.get(list).into_iter().flatten().enumerate() {
            let place = || format!("upsert.{list}[{index}].name");
            let Some(name) = name_of(item) else {
                faults.push(shape(place(), "an item has a name"));
                continue;
            };
            if !named.insert(name) {
                faults.push(twice(place(), name));
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

fn shape(place: String, reason: &str) -> Fault {
    Fault { place, reason: FaultReason::Shape(reason.to_owned()) }
}

fn twice(place: String, name: &str) -> Fault {
    Fault { place, reason: FaultReason::NamedTwice(name.to_owned()) }
}

fn not_there(place: String, name: &str) -> Fault {
    Fault { place, reason: FaultReason::NotThere(name.to_owned()) }
}
