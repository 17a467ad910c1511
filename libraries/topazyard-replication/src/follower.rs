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
const HURRIED_EVERY: DurationMs = DurationMs(50);
/// How long it waits for a return before it asks elsewhere.
const TIMEOUT: DurationMs = DurationMs(450);
/// How long it waits, while it looks for the primary, for one that may not run: whoever is not the
/// primary says so at once.
const LOOKING_TIMEOUT: DurationMs = DurationMs(100);
/// After how long another is asked where one knew of no primary.
const TURNED_AWAY: DurationMs = DurationMs(50);
/// After how many rounds of askings it looks less hurriedly.
const HURRIED_ROUNDS: usize = 12;
/// Askings whose return still counts, however late it comes.
const MOST_ASKED: usize = 8;

/// An asking that waits for its return.
#[derive(Debug, Clone)]
struct Asked {
    nonce: u64,
    at: MonotonicMs,
}

/// Follows the feed from one of several nodes.
#[derive(Debug, Clone)]
pub struct FeedFollower {
    copy: crate::Copy,
    sources: Vec<std::net::SocketAddr>,
    next_source: usize,
    leader: Option<std::net::SocketAddr>,
    /// Whether the leader has returned news, or was only named by another node.
    leader_is_proven: bool,
    /// Askings without a return, the newest last: one that was given up may still be answered.
    asked: std::collections::VecDeque<Asked>,
    /// Whether the newest asking still waits for its return.
    waits: bool,
    /// How many askings had no return since the last news.
    unanswered: usize,
    last_asked: Option<MonotonicMs>,
    last_nonce: u64,
    confirmed: Option<MonotonicMs>,
    /// When the asking was sent that was last returned, with whatever.
    heard: Option<MonotonicMs>,
    fetch: Option<crate::snapshot::Fetch>,
    hurried: bool,
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
            next_source: 0,
            leader: None,
            leader_is_proven: false,
            asked: std::collections::VecDeque::new(),
            waits: false,
            unanswered: 0,
            last_asked: None,
            last_nonce: boot_id.first_number(),
            confirmed: None,
            heard: None,
            fetch: None,
            hurried: false,
        }
    }

    /// What was read so far.
    pub fn copy(&self) -> &crate::Copy {
        &self.copy
    }

    /// When the asking was sent that was last returned: all that was acknowledged before then
    /// is in the copy.
    pub fn confirmed_at(&self) -> Option<MonotonicMs> {
        self.confirmed
    }

    /// The control primary, as far as this follower knows.
    pub fn primary(&self) -> Option<std::net::SocketAddr> {
        self.leader
    }

    /// Whether a snapshot is being fetched: then the next part is to be asked for at once rather
    /// than at the next tick.
    pub fn is_fetching(&self) -> bool {
        self.fetch.is_some()
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
    pub fn set_fast_polling(&mut self, hurried: bool) {
        self.hurried = hurried;
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
        let silent = if self.waits { self.leader.take() } else { None };
        self.unanswered += usize::from(self.waits);
        let to = match self.leader {
            Some(leader) => leader,
            None => self.next_source(silent)?,
        };
        self.last_nonce += 1;
        if self.asked.len() >= MOST_ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back(Asked { nonce: self.last_nonce, at: now });
        self.waits = true;
        self.last_asked = Some(now);
        let after = self.copy.position();
        let part = self.fetch.as_ref().and_then(crate::snapshot::Fetch::wanted);
        let last_response_age = self.heard.map(|at| now.since(at));
        let nonce = self.last_nonce;
        Some((to, FeedMessage::Request { nonce, after, part, last_response_age, health: health() }))
    }

    /// The node to ask next, which is another one than the leader that was just silent.
    fn next_source(
        &mut self,
        silent: Option<std::net::SocketAddr>,
    ) -> Option<std::net::SocketAddr> {
        let known = self.sources.len().max(1);
        self.next_source = (self.next_source + 1) % known;
        if silent.is_some() && silent == self.sources.get(self.next_source).copied() {
            self.next_source = (self.next_source + 1) % known;
        }
        self.sources.get(self.next_source).copied()
    }

    /// Whether it is time to ask: the newest asking was returned a while ago, or waited long enough.
    fn is_due(&self, now: MonotonicMs) -> bool {
        let looks = self.leader.is_none() || !self.leader_is_proven;
        let others = self.sources.len().saturating_sub(1);
        let is_hurried = self.unanswered <= (HURRIED_ROUNDS * others).max(1);
        let every = match (self.waits, looks) {
            (true, true) if is_hurried => LOOKING_TIMEOUT,
            (true, _) => TIMEOUT,
            (false, true) => TURNED_AWAY,
            (false, false) if self.hurried => HURRIED_EVERY,
            (false, false) => REQUEST_INTERVAL,
        };
        self.last_asked.is_none_or(|at| now.since(at) >= every)
    }

    /// Takes the asking of that nonce, and with it those before it.
    fn take_asked(&mut self, nonce: u64) -> Option<Asked> {
        let at = self.asked.iter().position(|asked| asked.nonce == nonce)?;
        self.waits &= at + 1 < self.asked.len();
        self.asked.drain(..=at).next_back()
    }

    /// Takes a return from a node.
    pub fn receive(&mut self, from: std::net::SocketAddr, message: FeedMessage) -> FollowOutcome {
        match message {
            FeedMessage::Update { nonce, position, content } => {
                let Some(asked) = self.take_asked(nonce) else { return FollowOutcome::Unchanged };
                // Never back: a lower place comes from a node that was overtaken.
                if position < self.copy.position() {
                    self.leader = None;
                    return FollowOutcome::Unchanged;
                }
                self.leader = Some(from);
                self.leader_is_proven = true;
                // What was asked of others since needs no return any more.
                self.waits = false;
                self.unanswered = 0;
                self.heard = Some(asked.at);
                let changes = match content {
                    UpdateContent::Part(part) => return self.take_part(position, &part),
                    UpdateContent::Changes(changes) => changes,
                    UpdateContent::Snapshot(rows) => self.changes_to(rows),
                };
                self.fetch = None;
                self.confirmed = Some(asked.at);
                self.apply(position, changes)
            }
            FeedMessage::Redirect { nonce, primary, .. } => {
                let is_newest = self.asked.back().is_some_and(|asked| asked.nonce == nonce);
                if is_newest {
                    self.asked.pop_back();
                    self.waits = false;
                    self.leader = primary.filter(|primary| *primary != from);
                    self.leader_is_proven = false;
                    if self.leader.is_some() {
                        // Ask there at once.
                        self.last_asked = None;
                    }
                }
                FollowOutcome::Unchanged
            }
            FeedMessage::Request { .. } => FollowOutcome::Unchanged,
        }
    }

    /// Takes a part of a snapshot, and the snapshot once it is whole. What comes next, another part
    /// or the changes after it, is asked for at once.
    fn take_part(
        &mut self,
        position: topazyard_types::LogPosition,
        part: &SnapshotPart,
    ) -> FollowOutcome {
        let fetch = self.fetch.take().filter(|fetch| fetch.fits(position, part));
        let fetch = fetch.or_else(|| crate::snapshot::Fetch::begin(position, part));
        let Some(mut fetch) = fetch.filter(|fetch| fetch.fits(position, part)) else {
            return FollowOutcome::Unchanged;
        };
        fetch.add(part);
        if fetch.wanted().is_some() {
            self.fetch = Some(fetch);
            self.last_asked = None;
            return FollowOutcome::Unchanged;
        }
        let Some(rows) = fetch.rows() else { return FollowOutcome::Unchanged };
        self.last_asked = None;
        let changes = self.changes_to(rows);
        self.apply(position, changes)
    }

    /// The changes that make the copy hold these rows and no others.
    fn changes_to(&self, rows: Vec<crate::snapshot::Row>) -> Vec<RowChange> {
        let keep: std::collections::BTreeSet<&str> =
            rows.iter().map(|(key, _)| key.as_str()).collect();
        let old = self.copy.rows().keys().filter(|key| !keep.contains(key.as_str()));
        let gone: Vec<RowChange> = old.map(RowChange::delete).collect();
        let put = rows.into_iter().map(|(key, value)| RowChange { key, value: Some(value) });
        gone.into_iter().chain(put).collect()
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
        invariants::check(is_same, Invariant::FeedPositionHasOneState, || {
            format!("place={position}")
        });
        FollowOutcome::Changed
    }
}
