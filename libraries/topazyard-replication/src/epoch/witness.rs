//! The witness: what it promised and accepted for the epoch after the one it knows.

use topazyard_wire::RowChange;
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::control::{Ballot, CoreMessage, EpochRecord};

const RECORD_KEY: &str = "record";
const VOTE_KEY: &str = "vote";
const GENESIS_KEY: &str = "genesis";

/// What a witness promised and accepted in the decision that is open.
type Vote = (Ballot, Option<(Ballot, EpochRecord)>);

/// A witness. All it says must wait until what it wrote is synced.
#[derive(Debug, Clone, Default)]
pub struct Witness {
    record: Option<EpochRecord>,
    vote: Vote,
    /// What the first record of a fleet follows, if this witness may vote on it.
    genesis: Option<EpochRecord>,
}

impl Witness {
    /// The witness that a disk held.
    ///
    /// ```
    /// let empty = topazyard_replication::Witness::from_rows(&Default::default());
    /// assert!(empty.record().is_none());
    /// ```
    pub fn from_rows(rows: &std::collections::BTreeMap<String, bytes::Bytes>) -> Self {
        let decode = |key: &str| rows.get(key);
        let record = decode(RECORD_KEY).and_then(|v| topazyard_wire::rows::decode(v));
        let vote = decode(VOTE_KEY).and_then(|v| topazyard_wire::rows::decode(v));
        let genesis = decode(GENESIS_KEY).and_then(|v| topazyard_wire::rows::decode(v));
        Self { record, vote: vote.unwrap_or_default(), genesis }
    }

    /// Lets this witness vote on the first record of a fleet; gives the row to write if it could
    /// not before. Only a witness whose disk is empty may be let.
    pub fn allow_bootstrap(&mut self, genesis: EpochRecord) -> Option<RowChange> {
        if self.genesis.is_some() || self.record.is_some() {
            return None;
        }
        let row = RowChange::put(GENESIS_KEY, &genesis);
        self.genesis = Some(genesis);
        Some(row)
    }

    /// What the first record follows, if this witness may vote on it.
    pub fn bootstrap_base(&self) -> Option<&EpochRecord> {
        self.genesis.as_ref()
    }

    /// The newest record known to be decided.
    pub fn record(&self) -> Option<&EpochRecord> {
        self.record.as_ref()
    }

    /// Whether this witness knows that epoch as the newest one and has accepted none after it. As
    /// long as a majority of its witnesses say so, the next epoch is not decided.
    pub fn confirms(&self, epoch: topazyard_types::Epoch) -> bool {
        let is_newest = self.record.as_ref().is_some_and(|known| known.epoch == epoch);
        is_newest && self.vote.1.is_none()
    }

    /// Learns a decided record; gives the rows to write if it is newer.
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

    /// Whether a proposal follows the record this witness knows; anything lower is refused.
    fn is_next(&self, base: &EpochRecord) -> bool {
        self.record.as_ref().or(self.genesis.as_ref()).is_some_and(|known| known == base)
    }

    /// Answers a prepare: what to write, and what to say once that is synced. The base was
    /// learned first, if it was news.
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

    /// Answers an accept, likewise.
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
