//! The witness: what it has promised and accepted for the epoch after the newest one it knows.

use topazyard_wire::RowChange;
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::control::{Ballot, CoreMessage, EpochRecord};

const RECORD_KEY: &str = "record";
const VOTE_KEY: &str = "vote";
const BOOTSTRAP_KEY: &str = "genesis";

/// The promised ballot, and the accepted ballot with its record, in the open decision.
type Vote = (Ballot, Option<(Ballot, EpochRecord)>);

/// A witness. Its responses must be held back until the rows it returned with them are synced.
#[derive(Debug, Clone, Default)]
pub struct Witness {
    record: Option<EpochRecord>,
    vote: Vote,
    /// The record that the first record of a fleet follows, if this witness may vote on that one.
    bootstrap_base: Option<EpochRecord>,
}

impl Witness {
    /// Loads a witness from the rows found on disk.
    ///
    /// ```
    /// let empty = topazyard_replication::Witness::from_rows(&Default::default());
    /// assert!(empty.record().is_none());
    /// ```
    pub fn from_rows(rows: &std::collections::BTreeMap<String, bytes::Bytes>) -> Self {
        let row = |key: &str| rows.get(key);
        let record = row(RECORD_KEY).and_then(|v| topazyard_wire::rows::decode(v));
        let vote = row(VOTE_KEY).and_then(|v| topazyard_wire::rows::decode(v));
        let bootstrap_base = row(BOOTSTRAP_KEY).and_then(|v| topazyard_wire::rows::decode(v));
        Self { record, vote: vote.unwrap_or_default(), bootstrap_base }
    }

    /// Allows this witness to vote on the first record of a fleet. Returns the row to write, or
    /// `None` if it was allowed before or already knows a record. Only a witness with an empty disk
    /// may be allowed this.
    pub fn allow_bootstrap(&mut self, bootstrap_base: EpochRecord) -> Option<RowChange> {
        if self.bootstrap_base.is_some() || self.record.is_some() {
            return None;
        }
        let row = RowChange::put(BOOTSTRAP_KEY, &bootstrap_base);
        self.bootstrap_base = Some(bootstrap_base);
        Some(row)
    }

    /// The record that the first record follows, if this witness may vote on that one.
    pub fn bootstrap_base(&self) -> Option<&EpochRecord> {
        self.bootstrap_base.as_ref()
    }

    /// The newest record known to be decided.
    pub fn record(&self) -> Option<&EpochRecord> {
        self.record.as_ref()
    }

    /// Whether `epoch` is the newest one known to this witness and it has accepted no later record.
    /// As long as a majority of the epoch's witnesses confirms this, the next epoch is not decided.
    pub fn confirms(&self, epoch: topazyard_types::Epoch) -> bool {
        let is_newest = self.record.as_ref().is_some_and(|known| known.epoch == epoch);
        is_newest && self.vote.1.is_none()
    }

    /// Learns a decided record and returns the rows to write, or `None` if it is not newer.
    pub fn learn(&mut self, record: &EpochRecord) -> Option<Vec<RowChange>> {
        if let Some(known) = self.record.as_ref().filter(|known| known.epoch >= record.epoch) {
            let is_same = known.epoch > record.epoch || known == record;
            invariants::check(is_same, Invariant::EpochHasOneRecord, || {
                format!("epoch={} known={known:?} learned={record:?}", record.epoch)
            });
            return None;
        }
        self.record = Some(record.clone());
        self.vote = Vote::default();
        Some(vec![RowChange::put(RECORD_KEY, record), RowChange::put(VOTE_KEY, &self.vote)])
    }

    /// Whether `base` is the newest record known to this witness; proposals on any other are
    /// ignored.
    fn is_next(&self, base: &EpochRecord) -> bool {
        self.record.as_ref().or(self.bootstrap_base.as_ref()).is_some_and(|known| known == base)
    }

    /// Handles a prepare request: returns the rows to write and the response to send once they are
    /// synced. If `base` was new to this witness, the caller has let it learn that record first.
    pub fn prepare(
        &mut self,
        base: &EpochRecord,
        ballot: Ballot,
    ) -> Option<(Vec<RowChange>, CoreMessage)> {
        if !self.is_next(base) {
            return None;
        }
        let epoch = base.epoch.next();
        if ballot < self.vote.0 {
            let outbid = CoreMessage::Rejected { epoch, promised: self.vote.0 };
            return Some((Vec::new(), outbid));
        }
        self.vote.0 = ballot;
        let promise = CoreMessage::Promise { epoch, ballot, accepted: self.vote.1.clone() };
        Some((vec![RowChange::put(VOTE_KEY, &self.vote)], promise))
    }

    /// Handles an accept request in the same way.
    pub fn accept(
        &mut self,
        base: &EpochRecord,
        ballot: Ballot,
        record: EpochRecord,
    ) -> Option<(Vec<RowChange>, CoreMessage)> {
        if !self.is_next(base) || record.epoch != base.epoch.next() {
            return None;
        }
        let epoch = record.epoch;
        if ballot < self.vote.0 {
            let outbid = CoreMessage::Rejected { epoch, promised: self.vote.0 };
            return Some((Vec::new(), outbid));
        }
        self.vote = (ballot, Some((ballot, record)));
        Some((vec![RowChange::put(VOTE_KEY, &self.vote)], CoreMessage::Accepted { epoch, ballot }))
    }
}
