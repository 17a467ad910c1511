//! Rows: the one shape in which state is replicated, fed to followers and kept on disk.

use topazyard_types::ShardId;

/// A change of one row: a new value, or none where the row goes away.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RowChange {
    /// The row's key.
    pub key: String,
    /// Its new value.
    pub value: Option<bytes::Bytes>,
}

impl RowChange {
    /// A row set to the encoded value.
    ///
    /// ```
    /// let change = topazyard_wire::RowChange::put("weights/main", &70_u8);
    /// assert_eq!(topazyard_wire::rows::decode::<u8>(&change.value.unwrap()), Some(70));
    /// ```
    pub fn put<T: serde::Serialize>(key: impl Into<String>, value: &T) -> Self {
        Self { key: key.into(), value: Some(encode(value)) }
    }

    /// A row taken away.
    ///
    /// ```
    /// assert_eq!(topazyard_wire::RowChange::delete("engine/e1").value, None);
    /// ```
    pub fn delete(key: impl Into<String>) -> Self {
        Self { key: key.into(), value: None }
    }
}

/// Encodes a value as a row keeps it.
///
/// ```
/// assert_eq!(topazyard_wire::rows::encode(&5_u8).as_ref(), &[5]);
/// ```
pub fn encode<T: serde::Serialize>(value: &T) -> bytes::Bytes {
    postcard::to_stdvec(value).map(bytes::Bytes::from).unwrap_or_default()
}

/// Decodes a row's value; none where the bytes are of another shape.
///
/// ```
/// assert_eq!(topazyard_wire::rows::decode::<u64>(&[]), None);
/// ```
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// A group of rows kept together: one table on disk, one replica that replicates it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Group {
    /// What a node knows of itself; never replicated.
    Node,
    /// What a witness promised; never replicated.
    Witness,
    /// The control state.
    Control,
    /// A shard.
    Shard(ShardId),
}

impl Group {
    /// The table that keeps the group's rows.
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

    /// The group whose rows a table keeps.
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

/// Everything a disk held when a process started.
pub type LoadedRows =
    std::collections::BTreeMap<Group, std::collections::BTreeMap<String, bytes::Bytes>>;
