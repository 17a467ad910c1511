//! A follower of the feed: it reads on from its place and never goes back.
//!
//! A snapshot that comes in parts is applied once all of them are there, and confirms nothing: the
//! changes after it are asked for at once.

use topazyard_types::{BootId, DurationMs, MonotonicMs};
use topazyard_wire::RowChange;
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::feed::{FeedMessage, Health, SnapshotPart, UpdateContent};

/// How often a follower asks.
pub const REQUEST_INTERVAL: DurationMs = DurationMs(200);
/// How often one asks for which something waits.
const FAST_REQUEST_INTERVAL: DurationMs = DurationMs(50);
/// How long it waits for a return before it asks elsewhere.
const RESPONSE_TIMEOUT: DurationMs = DurationMs(450);
/// How long it waits, while it looks for the primary, for one that may not run: whoever is not the
/// primary says so at once.
const DISCOVERY_TIMEOUT: DurationMs = DurationMs(100);
/// After how long another is asked where one knew of no primary.
const NO_PRIMARY_RETRY_DELAY: DurationMs = DurationMs(50);
/// After how many rounds of askings it looks less hurriedly.
const MAX_FAST_ROUNDS: usize = 12;
/// Askings whose return still counts, however late it comes.
const MAX_PENDING_REQUESTS: usize = 8;

/// An asking that waits for its return.
#[derive(Debug, Clone)]
struct PendingRequest {
    nonce: u64,
    sent_at: MonotonicMs,
}

/// Follows the feed from one of several nodes.
#[derive(Debug, Clone)]
pub struct FeedFollower {
    copy: crate::Copy,
    sources: Vec<std::net::SocketAddr>,
    source_index: usize,
    primary: Option<std::net::SocketAddr>,
    /// Whether the leader has returned news, or was only named by another node.
    primary_has_responded: bool,
    /// Askings without a return, the newest last: one that was given up may still be answered.
    pending_requests: std::collections::VecDeque<PendingRequest>,
    /// Whether the newest asking still waits for its return.
    awaits_response: bool,
    /// How many askings had no return since the last news.
    unanswered_requests: usize,
    last_request_at: Option<MonotonicMs>,
    last_nonce: u64,
    confirmed_at: Option<MonotonicMs>,
    /// When the asking was sent that was last returned, with whatever.
    last_heard: Option<MonotonicMs>,
    download: Option<crate::snapshot::SnapshotDownload>,
    fast_polling: bool,
}

/// What a return of the feed changed.
#[derive(Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// Nothing.
    Unchanged,
    /// Rows changed.
    Changed,
}

impl FeedFollower {
    /// Follows from any of these; they say where the primary is.
    ///
    /// ```
    /// use topazyard_types::BootId;
    /// let sources = vec!["127.0.0.1:9000".parse().unwrap()];
    /// let follower = topazyard_replication::FeedFollower::new(sources, BootId(1));
    /// assert!(follower.confirmed_at().is_none());
    /// ```
    pub fn new(sources: Vec<std::net::SocketAddr>, boot_id: BootId) -> Self {
        let mut copy = crate::Copy::default();
        copy.keep_only_last_batch();
        Self {
            copy,
            sources,
            source_index: 0,
            primary: None,
            primary_has_responded: false,
            pending_requests: std::collections::VecDeque::new(),
            awaits_response: false,
            unanswered_requests: 0,
            last_request_at: None,
            last_nonce: boot_id.first_number(),
            confirmed_at: None,
            last_heard: None,
            download: None,
            fast_polling: false,
        }
    }

    /// What was read so far.
    pub fn copy(&self) -> &crate::Copy {
        &self.copy
    }

    /// When the asking was sent that was last returned: all that was acknowledged before then
    /// is in the copy.
    pub fn confirmed_at(&self) -> Option<MonotonicMs> {
        self.confirmed_at
    }

    /// The control primary, as far as this follower knows.
    pub fn primary(&self) -> Option<std::net::SocketAddr> {
        self.primary
    }

    /// Whether a snapshot is being fetched: then the next part is to be asked for at once rather
    /// than at the next tick.
    pub fn is_fetching(&self) -> bool {
        self.download.is_some()
    }

    /// Asks besides at these nodes, learned from the membership.
    pub fn add_sources(&mut self, more: impl Iterator<Item = std::net::SocketAddr>) {
        for source in more {
            if !self.sources.contains(&source) {
                self.sources.push(source);
            }
        }
    }

    /// Asks more often while something waits for the next confirmation, or no longer.
    pub fn set_fast_polling(&mut self, fast_polling: bool) {
        self.fast_polling = fast_polling;
    }

    /// Asks if it is time to.
    pub fn tick(
        &mut self,
        now: MonotonicMs,
        health: impl FnOnce() -> Health,
    ) -> Option<(std::net::SocketAddr, FeedMessage)> {
        if !self.is_due(now) {
            return None;
        }
        let silent = if self.awaits_response { self.primary.take() } else { None };
        self.unanswered_requests += usize::from(self.awaits_response);
        let to = match self.primary {
            Some(primary) => primary,
            None => self.next_source(silent)?,
        };
        self.last_nonce += 1;
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests.push_back(PendingRequest { nonce: self.last_nonce, sent_at: now });
        self.awaits_response = true;
        self.last_request_at = Some(now);
        let after = self.copy.position();
        let part = self.download.as_ref().and_then(crate::snapshot::SnapshotDownload::next_request);
        let last_response_age = self.last_heard.map(|at| now.since(at));
        let nonce = self.last_nonce;
        Some((to, FeedMessage::Request { nonce, after, part, last_response_age, health: health() }))
    }

    /// The node to ask next, which is another one than the leader that was just silent.
    fn next_source(
        &mut self,
        silent: Option<std::net::SocketAddr>,
    ) -> Option<std::net::SocketAddr> {
        let source_count = self.sources.len().max(1);
        self.source_index = (self.source_index + 1) % source_count;
        if silent.is_some() && silent == self.sources.get(self.source_index).copied() {
            self.source_index = (self.source_index + 1) % source_count;
        }
        self.sources.get(self.source_index).copied()
    }

    /// Whether it is time to ask: the newest asking was returned a while ago, or waited long enough.
    fn is_due(&self, now: MonotonicMs) -> bool {
        let is_searching = self.primary.is_none() || !self.primary_has_responded;
        let others = self.sources.len().saturating_sub(1);
        let is_fast = self.unanswered_requests <= (MAX_FAST_ROUNDS * others).max(1);
        let interval = match (self.awaits_response, is_searching) {
            (true, true) if is_fast => DISCOVERY_TIMEOUT,
            (true, _) => RESPONSE_TIMEOUT,
            (false, true) => NO_PRIMARY_RETRY_DELAY,
            (false, false) if self.fast_polling => FAST_REQUEST_INTERVAL,
            (false, false) => REQUEST_INTERVAL,
        };
        self.last_request_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Takes the asking of that nonce, and with it those before it.
    fn take_request(&mut self, nonce: u64) -> Option<PendingRequest> {
        let at = self.pending_requests.iter().position(|request| request.nonce == nonce)?;
        self.awaits_response &= at + 1 < self.pending_requests.len();
        self.pending_requests.drain(..=at).next_back()
    }

    /// Takes a return from a node.
    pub fn receive(&mut self, from: std::net::SocketAddr, message: FeedMessage) -> FollowOutcome {
        match message {
            FeedMessage::Update { nonce, position, content } => {
                let Some(request) = self.take_request(nonce) else {
                    return FollowOutcome::Unchanged;
                };
                // Never back: a lower place comes from a node that was overtaken.
                if position < self.copy.position() {
                    self.primary = None;
                    return FollowOutcome::Unchanged;
                }
                self.primary = Some(from);
                self.primary_has_responded = true;
                // What was asked of others since needs no return any more.
                self.awaits_response = false;
                self.unanswered_requests = 0;
                self.last_heard = Some(request.sent_at);
                let changes = match content {
                    UpdateContent::Part(part) => return self.receive_part(position, &part),
                    UpdateContent::Changes(changes) => changes,
                    UpdateContent::Snapshot(rows) => self.changes_to_match(rows),
                };
                self.download = None;
                self.confirmed_at = Some(request.sent_at);
                self.apply(position, changes)
            }
            FeedMessage::Redirect { nonce, primary, .. } => {
                let is_newest =
                    self.pending_requests.back().is_some_and(|request| request.nonce == nonce);
                if is_newest {
                    self.pending_requests.pop_back();
                    self.awaits_response = false;
                    self.primary = primary.filter(|primary| *primary != from);
                    self.primary_has_responded = false;
                    if self.primary.is_some() {
                        // Ask there at once.
                        self.last_request_at = None;
                    }
                }
                FollowOutcome::Unchanged
            }
            FeedMessage::Request { .. } => FollowOutcome::Unchanged,
        }
    }

    /// Takes a part of a snapshot, and the snapshot once it is whole. What comes next, another part
    /// or the changes after it, is asked for at once.
    fn receive_part(
        &mut self,
        position: topazyard_types::LogPosition,
        part: &SnapshotPart,
    ) -> FollowOutcome {
        let download = self.download.take().filter(|download| download.is_next(position, part));
        let download =
            download.or_else(|| crate::snapshot::SnapshotDownload::start(position, part));
        let Some(mut download) = download.filter(|download| download.is_next(position, part))
        else {
            return FollowOutcome::Unchanged;
        };
        download.add(part);
        if download.next_request().is_some() {
            self.download = Some(download);
            self.last_request_at = None;
            return FollowOutcome::Unchanged;
        }
        let Some(rows) = download.rows() else { return FollowOutcome::Unchanged };
        self.last_request_at = None;
        let changes = self.changes_to_match(rows);
        self.apply(position, changes)
    }

    /// The changes that make the copy hold these rows and no others.
    fn changes_to_match(&self, rows: Vec<crate::snapshot::Row>) -> Vec<RowChange> {
        let keep: std::collections::BTreeSet<&str> =
            rows.iter().map(|(key, _)| key.as_str()).collect();
        let stale = self.copy.rows().keys().filter(|key| !keep.contains(key.as_str()));
        let deletions: Vec<RowChange> = stale.map(RowChange::delete).collect();
        let puts = rows.into_iter().map(|(key, value)| RowChange { key, value: Some(value) });
        deletions.into_iter().chain(puts).collect()
    }

    fn apply(
        &mut self,
        position: topazyard_types::LogPosition,
        changes: Vec<RowChange>,
    ) -> FollowOutcome {
        let is_repeated = position == self.copy.position();
        if changes.is_empty() && is_repeated {
            return FollowOutcome::Unchanged;
        }
        // Of two askings that were both returned the later brings what is here already.
        let before = is_repeated.then(|| self.copy.digests().to_vec());
        self.copy.apply(position.epoch, position.sequence, changes);
        let is_same = before.is_none_or(|digests| digests == self.copy.digests());
        invariants::check(is_same, Invariant::FeedPlaceHasOneState, || format!("place={position}"));
        FollowOutcome::Changed
    }
}
