//! Rows: the common format in which state is replicated, sent in the feed and stored on disk.

use topazyard_types::ShardId;

/// A change of one row: a new value, or none to delete the row.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RowChange {
    /// The row's key.
    pub key: String,
    /// The new value.
    pub value: Option<bytes::Bytes>,
}

impl RowChange {
    /// Sets a row to the encoded value.
    ///
    /// ```
    /// let change = topazyard_wire::RowChange::put("weights/main", &70_u8);
    /// assert_eq!(topazyard_wire::rows::decode::<u8>(&change.value.unwrap()), Some(70));
    /// ```
    pub fn put<T: serde::Serialize>(key: impl Into<String>, value: &T) -> Self {
        Self { key: key.into(), value: Some(encode(value)) }
    }

    /// Deletes a row.
    ///
    /// ```
    /// assert_eq!(topazyard_wire::RowChange::delete("engine/e1").value, None);
    /// ```
    pub fn delete(key: impl Into<String>) -> Self {
        Self { key: key.into(), value: None }
    }
}

/// Encodes the value of a row.
///
/// ```
/// assert_eq!(topazyard_wire::rows::encode(&5_u8).as_ref(), &[5]);
/// ```
pub fn encode<T: serde::Serialize>(value: &T) -> bytes::Bytes {
    postcard::to_stdvec(value).map(bytes::Bytes::from).unwrap_or_default()
}

/// Decodes the value of a row; none if the bytes don't match the type.
///
/// ```
/// assert_eq!(topazyard_wire::rows::decode::<u64>(&[]), None);
/// ```
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// A group of rows that are stored in one table and replicated together.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Group {
    /// The node's own state. It is never replicated.
    Node,
    /// The promises of a witness. They are never replicated.
    Witness,
    /// The control state.
    Control,
    /// The state of a shard.
    Shard(ShardId),
}

impl Group {
    /// The name of the table with the group's rows.
    ///
    /// ```
    /// assert_eq!(topazyard_wire::Group::Control.table(), "control");
    /// ```
    pub fn table(self) -> String {
        match self {
            Self::Node => "node".to_owned(),
            Self::Witness => "witness".to_owned(),
            Self::Control => "control".to_owned(),
            Self::Shard(shard) => format!("shard-{shard}"),
        }
    }

    /// The group whose rows are in a table.
    ///
    /// ```
    /// use topazyard_wire::Group;
    /// assert_eq!(Group::of_table("witness"), Some(Group::Witness));
    /// assert_eq!(Group::of_table("shard-x"), None);
    /// ```
    pub fn of_table(table: &str) -> Option<Self> {
        match table {
            "node" => Some(Self::Node),
            "witness" => Some(Self::Witness),
            "control" => Some(Self::Control),
            _ => Some(Self::Shard(ShardId(table.strip_prefix("shard-")?.parse().ok()?))),
        }
    }
}

/// All rows that were on disk when the process started.
pub type LoadedRows =
    std::collections::BTreeMap<Group, std::collections::BTreeMap<String, bytes::Bytes>>;
