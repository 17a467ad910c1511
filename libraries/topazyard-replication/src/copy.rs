//! One copy of a group's rows, with a digest kept for each of its ranges.

use topazyard_types::{Digest, Epoch, LogPosition, Sequence};
use topazyard_wire::RowChange;

/// Into how many ranges a copy is split for comparing.
pub const RANGE_COUNT: usize = 64;
/// Batches remembered for followers, and the most bytes of rows in them. A follower that is further
/// back is given everything.
const REMEMBERED: usize = 1_024;
const REMEMBERED_BYTES: usize = 4 * 1024 * 1024;
/// The row that holds the copy's place; it is not part of what is compared.
const PLACE_KEY: &str = "\u{0}place";

/// One copy of a group's rows.
#[derive(Clone)]
pub struct Copy {
    rows: std::collections::BTreeMap<String, bytes::Bytes>,
    digests: Vec<Digest>,
    position: LogPosition,
    batches: std::collections::VecDeque<(LogPosition, Vec<RowChange>)>,
    batches_bytes: usize,
    most_batches: usize,
}

/// Tells the rows by their digests: a copy may hold megabytes.
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

fn bytes_of(changes: &[RowChange]) -> usize {
    let value = |change: &RowChange| change.value.as_ref().map_or(0, |value| value.len());
    changes.iter().map(|change| change.key.len() + value(change)).sum()
}

impl Default for Copy {
    fn default() -> Self {
        Self {
            rows: std::collections::BTreeMap::new(),
            digests: vec![Digest::default(); RANGE_COUNT],
            position: LogPosition::default(),
            batches: std::collections::VecDeque::new(),
            batches_bytes: 0,
            most_batches: REMEMBERED,
        }
    }
}

fn range_of(key: &str) -> usize {
    (Digest::of(&[key.as_bytes()]).0 % RANGE_COUNT as u128) as usize
}

/// The digest of a range that holds these rows.
pub fn digest_of_rows(rows: &[(String, bytes::Bytes)]) -> Digest {
    let digests = rows.iter().map(|(key, value)| digest_of(key, value));
    digests.fold(Digest::default(), Digest::toggled)
}

fn digest_of(key: &str, value: &[u8]) -> Digest {
    Digest::of(&[key.as_bytes(), value])
}

impl Copy {
    /// The copy that a disk held.
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
        let position = rows.remove(PLACE_KEY);
        let position = position.and_then(|value| topazyard_wire::rows::decode(&value));
        let mut copy = Self { position: position.unwrap_or_default(), ..Self::default() };
        for (key, value) in rows {
            copy.set(key, Some(value));
        }
        copy
    }

    fn set(&mut self, key: String, value: Option<bytes::Bytes>) {
        let digest = &mut self.digests[range_of(&key)];
        if let Some(old) = self.rows.get(&key) {
            *digest = digest.toggled(digest_of(&key, old));
        }
        match value {
            Some(value) => {
                *digest = digest.toggled(digest_of(&key, &value));
                self.rows.insert(key, value);
            }
            None => {
                self.rows.remove(&key);
            }
        }
    }

    /// Remembers the last batch alone: nobody reads on from here.
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
        self.most_batches = 1;
    }

    /// Applies a batch and gives the rows to write, the new place among them.
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
        self.batches_bytes += bytes_of(&changes);
        self.batches.push_back((self.position, changes.clone()));
        // The last one is always known: what it touched may be in doubt.
        while self.batches.len() > 1
            && (self.batches.len() > self.most_batches || self.batches_bytes > REMEMBERED_BYTES)
        {
            let Some((_, old)) = self.batches.pop_front() else { break };
            self.batches_bytes -= bytes_of(&old);
        }
        let mut written = changes;
        written.push(RowChange::put(PLACE_KEY, &self.position));
        written
    }

    /// The changes after which a range of this copy holds these rows and no others.
    pub fn difference(&self, range: usize, rows: Vec<(String, bytes::Bytes)>) -> Vec<RowChange> {
        let keep: std::collections::BTreeSet<&str> =
            rows.iter().map(|(key, _)| key.as_str()).collect();
        let in_range = self.rows.keys().filter(|key| range_of(key) == range);
        let gone: Vec<RowChange> =
            in_range.filter(|key| !keep.contains(key.as_str())).map(RowChange::delete).collect();
        let differs =
            |(key, value): &(String, bytes::Bytes)| self.rows.get(key.as_str()) != Some(value);
        let put = rows.into_iter().filter(differs);
        let put = put.map(|(key, value)| RowChange { key, value: Some(value) });
        gone.into_iter().chain(put).collect()
    }

    /// Becomes equal to another copy by these changes, in one step: on disk as in memory this copy
    /// is either the old one whole or the new one whole. Gives the rows to write, the new place
    /// among them; they belong in one write.
    pub fn replace(&mut self, position: LogPosition, changes: Vec<RowChange>) -> Vec<RowChange> {
        for change in &changes {
            self.set(change.key.clone(), change.value.clone());
        }
        if !changes.is_empty() {
            self.batches.clear();
            self.batches_bytes = 0;
        }
        self.position = position;
        let mut written = changes;
        written.push(RowChange::put(PLACE_KEY, &self.position));
        written
    }

    /// How far this copy is.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// The digest of each range.
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// The rows of a range.
    pub fn range(&self, range: usize) -> Vec<(String, bytes::Bytes)> {
        let in_range = self.rows.iter().filter(|(key, _)| range_of(key) == range);
        in_range.map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// The keys of everything this copy has on disk.
    pub fn keys_on_disk(&self) -> Vec<String> {
        self.rows.keys().cloned().chain([PLACE_KEY.to_owned()]).collect()
    }

    /// All rows.
    pub fn rows(&self) -> &std::collections::BTreeMap<String, bytes::Bytes> {
        &self.rows
    }

    /// The rows whose keys start so.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a bytes::Bytes)> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.as_str(), value))
    }

    /// A row's value, decoded.
    pub fn get<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        topazyard_wire::rows::decode(self.rows.get(key)?)
    }

    /// The keys changed by the batch applied last, as far as it is remembered.
    pub fn last_changed_keys(&self) -> impl Iterator<Item = &str> {
        let last = self.batches.back().into_iter();
        last.flat_map(|(_, changes)| changes.iter().map(|change| change.key.as_str()))
    }

    /// The changes after a place, if this copy remembers all of them.
    pub fn changes_after(&self, after: LogPosition) -> Option<Vec<RowChange>> {
        if after == self.position {
            return Some(Vec::new());
        }
        let from = self.batches.iter().position(|(position, _)| *position == after)?;
        let later = self.batches.iter().skip(from + 1);
        Some(later.flat_map(|(_, changes)| changes.iter().cloned()).collect())
    }
}
