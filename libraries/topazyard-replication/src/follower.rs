//! A follower of the configuration feed. It reads on from its log position and never goes back.
//!
//! A snapshot that comes in parts is applied once all of them have arrived. It confirms nothing by
//! itself: the follower requests the changes after it at once.

use topazyard_types::{BootId, DurationMs, MonotonicMs};
use topazyard_wire::RowChange;
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::feed::{FeedMessage, Health, SnapshotPart, UpdateContent};

/// Interval between requests.
pub const REQUEST_INTERVAL: DurationMs = DurationMs(200);
/// Interval between requests while an operation waits for the next confirmation.
const FAST_REQUEST_INTERVAL: DurationMs = DurationMs(50);
/// Time to wait for a response before trying another node.
const RESPONSE_TIMEOUT: DurationMs = DurationMs(450);
/// Time to wait for a response while searching for the primary. The node may be down; a running
/// node that is not the primary redirects at once.
const DISCOVERY_TIMEOUT: DurationMs = DurationMs(100);
/// Delay before trying another node after one that knew of no primary.
const NO_PRIMARY_RETRY_DELAY: DurationMs = DurationMs(50);
/// Number of rounds over all sources after which the search uses the longer timeout.
const MAX_FAST_ROUNDS: usize = 12;
/// Maximum number of unanswered requests to remember; a late response to any of them still counts.
const MAX_PENDING_REQUESTS: usize = 8;

/// A request that has not been answered yet.
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
    /// Whether the primary has responded itself, or was only named by another node.
    primary_has_responded: bool,
    /// Unanswered requests, the newest last. One that timed out may still be answered.
    pending_requests: std::collections::VecDeque<PendingRequest>,
    /// Whether the newest request is still unanswered.
    awaits_response: bool,
    /// Number of requests that timed out since the last update.
    unanswered_requests: usize,
    last_request_at: Option<MonotonicMs>,
    last_nonce: u64,
    confirmed_at: Option<MonotonicMs>,
    /// Send time of the last request that was answered with an update, snapshot parts included.
    last_heard: Option<MonotonicMs>,
    download: Option<crate::snapshot::SnapshotDownload>,
    fast_polling: bool,
}

/// The effect of a message on the follower's copy.
#[derive(Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// No row changed.
    Unchanged,
    /// Rows changed.
    Changed,
}

impl FeedFollower {
    /// Follows the feed from any of `sources`; a source that is not the primary redirects to it.
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

    /// The rows read so far.
    pub fn copy(&self) -> &crate::Copy {
        &self.copy
    }

    /// Send time of the last request whose response brought the copy up to date. Everything
    /// acknowledged before that time is in the copy.
    pub fn confirmed_at(&self) -> Option<MonotonicMs> {
        self.confirmed_at
    }

    /// The control primary, if known.
    pub fn primary(&self) -> Option<std::net::SocketAddr> {
        self.primary
    }

    /// Whether a snapshot download is in progress. The next part should then be requested at once
    /// rather than at the next tick.
    pub fn is_fetching(&self) -> bool {
        self.download.is_some()
    }

    /// Adds sources learned from the membership.
    pub fn add_sources(&mut self, more: impl Iterator<Item = std::net::SocketAddr>) {
        for source in more {
            if !self.sources.contains(&source) {
                self.sources.push(source);
            }
        }
    }

    /// Switches to the shorter request interval while an operation waits for the next confirmation.
    pub fn set_fast_polling(&mut self, fast_polling: bool) {
        self.fast_polling = fast_polling;
    }

    /// Sends a request if one is due.
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

    /// The next node to try, skipping the primary that has just timed out.
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

    /// Whether a request is due: the interval since the last one has passed, or it timed out.
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

    /// Removes the request with this nonce and all older ones, and returns it.
    fn take_request(&mut self, nonce: u64) -> Option<PendingRequest> {
        let at = self.pending_requests.iter().position(|request| request.nonce == nonce)?;
        self.awaits_response &= at + 1 < self.pending_requests.len();
        self.pending_requests.drain(..=at).next_back()
    }

    /// Handles a message from a node.
    pub fn receive(&mut self, from: std::net::SocketAddr, message: FeedMessage) -> FollowOutcome {
        match message {
            FeedMessage::Update { nonce, position, content } => {
                let Some(request) = self.take_request(nonce) else {
                    return FollowOutcome::Unchanged;
                };
                // Never go back: a lower position comes from a primary that has been replaced.
                if position < self.copy.position() {
                    self.primary = None;
                    return FollowOutcome::Unchanged;
                }
                self.primary = Some(from);
                self.primary_has_responded = true;
                // Responses to later requests sent to other nodes are no longer needed.
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
                        // Send a request to it at once.
                        self.last_request_at = None;
                    }
                }
                FollowOutcome::Unchanged
            }
            FeedMessage::Request { .. } => FollowOutcome::Unchanged,
        }
    }

    /// Adds a part of a snapshot and applies the snapshot once it is complete. The next part, or
    /// the changes after the snapshot, are then requested at once.
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

    /// The changes that make the copy hold exactly these rows.
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
        // The second of two responses to requests sent from the same position repeats these
        // changes.
        let before = is_repeated.then(|| self.copy.digests().to_vec());
        self.copy.apply(position.epoch, position.sequence, changes);
        let is_same = before.is_none_or(|digests| digests == self.copy.digests());
        invariants::check(is_same, Invariant::FeedPositionHasOneState, || {
            format!("place={position}")
        });
        FollowOutcome::Changed
    }
}
