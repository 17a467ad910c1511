//! One copy of a group's rows, with a digest of each range of keys.

use topazyard_types::{Digest, Epoch, LogPosition, Sequence};
use topazyard_wire::RowChange;

/// Number of ranges that the keys are hashed into; two copies are compared range by range.
pub const RANGE_COUNT: usize = 64;
/// Limits of the batch history kept for followers, in batches and in bytes of rows. A follower that
/// is further behind receives a full snapshot.
const MAX_HISTORY_BATCHES: usize = 1_024;
const MAX_HISTORY_BYTES: usize = 4 * 1024 * 1024;
/// Key of the row that stores the log position; it is not part of the compared rows.
const POSITION_KEY: &str = "\u{0}place";

/// Rows with their keys, by their digests.
pub type DigestedRows = std::collections::BTreeMap<Digest, (String, bytes::Bytes)>;

/// The rows of a range, each with its key.
pub type RangeRows = Vec<(String, bytes::Bytes)>;

/// What a follower needs of a range.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeContent {
    /// The rows that it lacks, or all of them if it told none.
    pub rows: RangeRows,
    /// The digests of rows that it has and the range doesn't; `None` if the rows are the whole range.
    pub stale: Option<Vec<Digest>>,
}

/// One copy of a group's rows at a log position.
#[derive(Clone)]
pub struct Copy {
    rows: std::collections::BTreeMap<String, bytes::Bytes>,
    /// The key of each row of each range, by the row's digest.
    keys: Vec<std::collections::BTreeMap<Digest, String>>,
    digests: Vec<Digest>,
    position: LogPosition,
    batches: std::collections::VecDeque<(LogPosition, Vec<RowChange>)>,
    batch_bytes: usize,
    max_batches: usize,
    /// The size of all keys and values.
    bytes: u64,
}

/// Prints the digests in place of the rows, which may be megabytes.
impl std::fmt::Debug for Copy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let positions: Vec<LogPosition> =
            self.batches.iter().map(|(position, _)| *position).collect();
        f.debug_struct("Copy")
            .field("place", &self.position)
            .field("digests", &self.digests)
            .field("batches", &positions)
            .finish_non_exhaustive()
    }
}

/// Total size of keys and values.
pub(crate) fn size_of_changes(changes: &[RowChange]) -> usize {
    let value = |change: &RowChange| change.value.as_ref().map_or(0, |value| value.len());
    changes.iter().map(|change| change.key.len() + value(change)).sum()
}

impl Default for Copy {
    fn default() -> Self {
        Self {
            rows: std::collections::BTreeMap::new(),
            keys: vec![std::collections::BTreeMap::new(); RANGE_COUNT],
            digests: vec![Digest::default(); RANGE_COUNT],
            position: LogPosition::default(),
            batches: std::collections::VecDeque::new(),
            batch_bytes: 0,
            max_batches: MAX_HISTORY_BATCHES,
            bytes: 0,
        }
    }
}

fn range_index(key: &str) -> usize {
    (Digest::of(&[key.as_bytes()]).0 % RANGE_COUNT as u128) as usize
}

/// The digest of a row.
pub fn row_digest(key: &str, value: &[u8]) -> Digest {
    Digest::of(&[key.as_bytes(), value])
}

fn row_size(key: &str, value: &[u8]) -> u64 {
    (key.len() + value.len()) as u64
}

impl Copy {
    /// Loads a copy from the rows found on disk.
    ///
    /// ```
    /// use topazyard_replication::Copy;
    /// use topazyard_wire::RowChange;
    /// let mut copy = Copy::default();
    /// let written = copy.apply(topazyard_types::Epoch(1), topazyard_types::Sequence(1),
    ///     vec![RowChange::put("a", &1_u8)]);
    /// let rows = written.into_iter().map(|c| (c.key, c.value.unwrap())).collect();
    /// assert_eq!(Copy::from_rows(rows).digests(), copy.digests());
    /// ```
    pub fn from_rows(mut rows: std::collections::BTreeMap<String, bytes::Bytes>) -> Self {
        let position = rows.remove(POSITION_KEY);
        let position = position.and_then(|value| topazyard_wire::rows::decode(&value));
        let mut copy = Self { position: position.unwrap_or_default(), ..Self::default() };
        for (key, value) in rows {
            copy.set(key, Some(value));
        }
        copy
    }

    fn set(&mut self, key: String, value: Option<bytes::Bytes>) {
        let range = range_index(&key);
        let (digest, keys) = (&mut self.digests[range], &mut self.keys[range]);
        if let Some(old) = self.rows.get(&key) {
            let old_digest = row_digest(&key, old);
            *digest = digest.toggled(old_digest);
            keys.remove(&old_digest);
            self.bytes -= row_size(&key, old);
        }
        match value {
            Some(value) => {
                let new_digest = row_digest(&key, &value);
                *digest = digest.toggled(new_digest);
                keys.insert(new_digest, key.clone());
                self.bytes += row_size(&key, &value);
                self.rows.insert(key, value);
            }
            None => {
                self.rows.remove(&key);
            }
        }
    }

    /// Keeps only the last batch in the history, for a copy that no follower reads from.
    ///
    /// ```
    /// use topazyard_replication::Copy;
    /// use topazyard_types::{Epoch, LogPosition, Sequence};
    /// let mut copy = Copy::default();
    /// copy.keep_only_last_batch();
    /// (1..=3).for_each(|n| drop(copy.apply(Epoch(1), Sequence(n), Vec::new())));
    /// let second = LogPosition { epoch: Epoch(1), sequence: Sequence(2) };
    /// assert_eq!(copy.changes_after(second), None);
    /// ```
    pub fn keep_only_last_batch(&mut self) {
        self.max_batches = 1;
    }

    /// Applies a batch and returns the rows to write, including the new log position.
    pub fn apply(
        &mut self,
        epoch: Epoch,
        sequence: Sequence,
        changes: Vec<RowChange>,
    ) -> Vec<RowChange> {
        for change in &changes {
            self.set(change.key.clone(), change.value.clone());
        }
        self.position = LogPosition { epoch, sequence };
        self.batch_bytes += size_of_changes(&changes);
        self.batches.push_back((self.position, changes.clone()));
        // The last batch always stays, because callers need its keys while it may be uncommitted.
        while self.batches.len() > 1
            && (self.batches.len() > self.max_batches || self.batch_bytes > MAX_HISTORY_BYTES)
        {
            let Some((_, old)) = self.batches.pop_front() else { break };
            self.batch_bytes -= size_of_changes(&old);
        }
        let mut written = changes;
        written.push(RowChange::put(POSITION_KEY, &self.position));
        written
    }

    /// The changes that make a range of this copy equal to one with these rows.
    pub fn difference(&self, range: u16, rows: RangeRows) -> Vec<RowChange> {
        let Some(own_keys) = self.keys.get(usize::from(range)) else { return Vec::new() };
        let new_keys: std::collections::BTreeSet<&str> =
            rows.iter().map(|(key, _)| key.as_str()).collect();
        let removed = own_keys.values().filter(|key| !new_keys.contains(key.as_str()));
        let deletions: Vec<RowChange> = removed.map(RowChange::delete).collect();
        let is_different =
            |(key, value): &(String, bytes::Bytes)| self.rows.get(key.as_str()) != Some(value);
        let puts = rows.into_iter().filter(is_different);
        let puts = puts.map(|(key, value)| RowChange { key, value: Some(value) });
        deletions.into_iter().chain(puts).collect()
    }

    /// Makes this copy equal to another one in a single step and returns the rows to write,
    /// including the new log position. The caller must write them atomically, so that both in
    /// memory and on disk the copy is either entirely old or entirely new.
    pub fn replace(&mut self, position: LogPosition, changes: Vec<RowChange>) -> Vec<RowChange> {
        for change in &changes {
            self.set(change.key.clone(), change.value.clone());
        }
        if !changes.is_empty() {
            self.batches.clear();
            self.batch_bytes = 0;
        }
        self.position = position;
        let mut written = changes;
        written.push(RowChange::put(POSITION_KEY, &self.position));
        written
    }

    /// The log position up to which batches were applied.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// The digests of all ranges, in order.
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// The rows in a range, by their digests.
    pub fn range_rows(&self, range: u16) -> DigestedRows {
        let keys = self.keys.get(usize::from(range)).into_iter().flatten();
        let row = |key: &String| Some((key.clone(), self.rows.get(key)?.clone()));
        keys.filter_map(|(digest, key)| Some((*digest, row(key)?))).collect()
    }

    /// What a follower needs of a range in which it has these rows. `None` if there is no such range.
    pub fn range_content(&self, range: u16, known: Option<&[Digest]>) -> Option<RangeContent> {
        let keys = self.keys.get(usize::from(range))?;
        let row = |key: &String| Some((key.clone(), self.rows.get(key)?.clone()));
        let known_digests: std::collections::BTreeSet<Digest> =
            known.into_iter().flatten().copied().collect();
        let missing = keys.iter().filter(|(digest, _)| !known_digests.contains(digest));
        let rows = missing.filter_map(|(_, key)| row(key)).collect();
        let is_stale = |digest: &Digest| !keys.contains_key(digest);
        let stale = known.map(|known| known.iter().copied().filter(is_stale).collect());
        Some(RangeContent { rows, stale })
    }

    /// All keys that this copy has on disk, including that of the log position.
    pub fn keys_on_disk(&self) -> Vec<String> {
        self.rows.keys().cloned().chain([POSITION_KEY.to_owned()]).collect()
    }

    /// The size of all keys and values, in bytes.
    ///
    /// ```
    /// use topazyard_replication::Copy;
    /// use topazyard_wire::RowChange;
    /// let mut copy = Copy::default();
    /// let (epoch, sequence) = (topazyard_types::Epoch(1), topazyard_types::Sequence(1));
    /// copy.apply(epoch, sequence, vec![RowChange::put("ab", &1_u8), RowChange::put("c", &2_u8)]);
    /// assert_eq!(copy.bytes(), 5);
    /// copy.apply(epoch, sequence, vec![RowChange::delete("ab")]);
    /// assert_eq!(copy.bytes(), 2);
    /// ```
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// All rows.
    pub fn rows(&self) -> &std::collections::BTreeMap<String, bytes::Bytes> {
        &self.rows
    }

    /// The rows whose keys start with `prefix`.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a bytes::Bytes)> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.as_str(), value))
    }

    /// The decoded value of a row.
    pub fn get<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        topazyard_wire::rows::decode(self.rows.get(key)?)
    }

    /// The keys changed by the last applied batch, if it is still in the history.
    pub fn last_changed_keys(&self) -> impl Iterator<Item = &str> {
        let last = self.batches.back().into_iter();
        last.flat_map(|(_, changes)| changes.iter().map(|change| change.key.as_str()))
    }

    /// The changes after a log position; `None` if the history does not reach back that far.
    pub fn changes_after(&self, after: LogPosition) -> Option<Vec<RowChange>> {
        if after == self.position {
            return Some(Vec::new());
        }
        let from = self.batches.iter().position(|(position, _)| *position == after)?;
        let newer = self.batches.iter().skip(from + 1);
        Some(newer.flat_map(|(_, changes)| changes.iter().cloned()).collect())
    }
}
