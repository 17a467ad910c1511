//! A follower of the feed: it reads on from its place and never goes back.
//!
//! A snapshot that comes in parts is applied once all of them are there, and confirms nothing: the
//! changes after it are asked for at once.

use topazyard_types::{DurationMs, Life, MonotonicMs};
use topazyard_wire::RowChange;
use topazyard_wire::message::feed::{FeedMessage, Matter, SnapshotPart, Vitals};

/// How often a follower asks.
pub const ASK_EVERY: DurationMs = DurationMs(200);
/// How often one asks for which something waits.
const HURRIED_EVERY: DurationMs = DurationMs(50);
/// How long it waits for a return before it asks elsewhere.
const PATIENCE: DurationMs = DurationMs(450);
/// How long it waits, while it looks for the primary, for one that may not run: whoever is not the
/// primary says so at once. After each was asked so it waits longer, as the primary may be slow.
const LOOKING_PATIENCE: DurationMs = DurationMs(150);

/// An asking that waits for its return.
#[derive(Debug, Clone)]
struct Asked {
    nonce: u64,
    at: MonotonicMs,
    patience: DurationMs,
}

/// Follows the feed from one of several nodes.
#[derive(Debug, Clone)]
pub struct Follower {
    copy: crate::Copy,
    sources: Vec<std::net::SocketAddr>,
    next_source: usize,
    leader: Option<std::net::SocketAddr>,
    asked: Option<Asked>,
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
pub enum Followed {
    /// Nothing.
    Nothing,
    /// Rows changed.
    Changed,
}

impl Follower {
    /// Follows from any of these; they say where the primary is.
    ///
    /// ```
    /// use topazyard_types::Life;
    /// let sources = vec!["127.0.0.1:9000".parse().unwrap()];
    /// let follower = topazyard_replication::Follower::new(sources, Life(1));
    /// assert!(follower.confirmed_at().is_none());
    /// ```
    pub fn new(sources: Vec<std::net::SocketAddr>, life: Life) -> Self {
        let mut copy = crate::Copy::default();
        copy.remember_only_last();
        Self {
            copy,
            sources,
            next_source: 0,
            leader: None,
            asked: None,
            unanswered: 0,
            last_asked: None,
            last_nonce: life.first_number(),
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
    pub fn leader(&self) -> Option<std::net::SocketAddr> {
        self.leader
    }

    /// Whether a snapshot is being fetched: then the next part is to be asked for at once rather
    /// than at the next beat.
    pub fn is_fetching(&self) -> bool {
        self.fetch.is_some()
    }

    /// Asks besides at these nodes, learned from the membership.
    pub fn learn_sources(&mut self, more: impl Iterator<Item = std::net::SocketAddr>) {
        for source in more {
            if !self.sources.contains(&source) {
                self.sources.push(source);
            }
        }
    }

    /// Asks more often while something waits for the next confirmation, or no longer.
    pub fn hurry(&mut self, hurried: bool) {
        self.hurried = hurried;
    }

    /// Asks if it is time to.
    pub fn beat(
        &mut self,
        now: MonotonicMs,
        vitals: impl FnOnce() -> Vitals,
    ) -> Option<(std::net::SocketAddr, FeedMessage)> {
        if let Some(asked) = &self.asked {
            if now.since(asked.at) < asked.patience {
                return None;
            }
            self.unanswered += 1;
            self.leader = None;
            self.asked = None;
        } else {
            let every = if self.hurried { HURRIED_EVERY } else { ASK_EVERY };
            if self.last_asked.is_some_and(|at| now.since(at) < every) {
                return None;
            }
        }
        let looks = self.leader.is_none() && self.confirmed.is_some();
        let patience = match looks && self.unanswered <= self.sources.len() {
            true => LOOKING_PATIENCE,
            false => PATIENCE,
        };
        let to = match self.leader {
            Some(leader) => leader,
            None => {
                self.next_source = (self.next_source + 1) % self.sources.len().max(1);
                *self.sources.get(self.next_source)?
            }
        };
        self.last_nonce += 1;
        self.asked = Some(Asked { nonce: self.last_nonce, at: now, patience });
        self.last_asked = Some(now);
        let after = self.copy.place();
        let part = self.fetch.as_ref().and_then(crate::snapshot::Fetch::wanted);
        let heard = self.heard.map(|at| now.since(at));
        let nonce = self.last_nonce;
        Some((to, FeedMessage::Ask { nonce, after, part, heard, vitals: vitals() }))
    }

    /// Takes a return from a node.
    pub fn receive(&mut self, from: std::net::SocketAddr, message: FeedMessage) -> Followed {
        match message {
            FeedMessage::News { nonce, place, matter } => {
                let Some(asked) = self.asked.take_if(|asked| asked.nonce == nonce) else {
                    return Followed::Nothing;
                };
                // Never back: a lower place comes from a node that was overtaken.
                if place < self.copy.place() {
                    self.leader = None;
                    return Followed::Nothing;
                }
                self.leader = Some(from);
                self.unanswered = 0;
                self.heard = Some(asked.at);
                let changes = match matter {
                    Matter::Part(part) => return self.take_part(place, &part),
                    Matter::Changes(changes) => changes,
                    Matter::View(rows) => self.changes_to(rows),
                };
                self.fetch = None;
                self.confirmed = Some(asked.at);
                self.apply(place, changes)
            }
            FeedMessage::Elsewhere { nonce, primary, .. } => {
                if self.asked.take_if(|asked| asked.nonce == nonce).is_some() {
                    self.leader = primary.filter(|primary| *primary != from);
                    if self.leader.is_some() {
                        // Ask there at once.
                        self.last_asked = None;
                    }
                }
                Followed::Nothing
            }
            FeedMessage::Ask { .. } => Followed::Nothing,
        }
    }

    /// Takes a part of a snapshot, and the snapshot once it is whole. What comes next, another part
    /// or the changes after it, is asked for at once.
    fn take_part(&mut self, place: topazyard_types::Place, part: &SnapshotPart) -> Followed {
        let fetch = self.fetch.take().filter(|fetch| fetch.fits(place, part));
        let fetch = fetch.or_else(|| crate::snapshot::Fetch::begin(place, part));
        let Some(mut fetch) = fetch.filter(|fetch| fetch.fits(place, part)) else {
            return Followed::Nothing;
        };
        fetch.add(part);
        if fetch.wanted().is_some() {
            self.fetch = Some(fetch);
            self.last_asked = None;
            return Followed::Nothing;
        }
        let Some(rows) = fetch.rows() else { return Followed::Nothing };
        self.last_asked = None;
        let changes = self.changes_to(rows);
        self.apply(place, changes)
    }

    /// The changes that make the copy hold these rows and no others.
    fn changes_to(&self, rows: Vec<crate::snapshot::Row>) -> Vec<RowChange> {
        let keep: std::collections::BTreeSet<&str> =
            rows.iter().map(|(key, _)| key.as_str()).collect();
        let old = self.copy.rows().keys().filter(|key| !keep.contains(key.as_str()));
        let gone: Vec<RowChange> = old.map(RowChange::gone).collect();
        let put = rows.into_iter().map(|(key, value)| RowChange { key, value: Some(value) });
        gone.into_iter().chain(put).collect()
    }

    fn apply(&mut self, place: topazyard_types::Place, changes: Vec<RowChange>) -> Followed {
        if changes.is_empty() && place == self.copy.place() {
            return Followed::Nothing;
        }
        self.copy.apply(place.epoch, place.sequence, changes);
        Followed::Changed
    }
}
