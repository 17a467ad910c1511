//! Clients with parcels: they hand in, read, list, ask items back and end.

use super::Doing;
use crate::history::{ListedReturn, ParcelSeen, ReadSeen, ReadTold, Us};
use crate::world::{Caller, Event, Plant, World};
use topazyard_relay::{RelayCall, RelayReturn};
use topazyard_types::{DurationMs, ItemNumber, ParcelId, Tokens};
use topazyard_wire::message::parcel::{Item, ItemEnd, ParcelCall, ParcelReturn};

/// What a client asked of its parcel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// Take it.
    Submit,
    /// How does it stand?
    Read,
    /// Its returns after those already listed.
    List,
    /// An item back.
    Recall(u32),
    /// End it.
    End,
}

/// A client with a parcel.
#[derive(Debug)]
pub(super) struct ParcelClient {
    serial: u64,
    asked: Option<Us>,
    /// The list being read, page by page.
    page: Vec<ListedReturn>,
    lists_whole: u32,
    ends_at: Option<Us>,
    recalls: Option<u32>,
    turn: u64,
}

/// After how many whole lists with all returns a client is content.
const CONTENT: u32 = 3;
/// For how long after its acceptance a parcel is read at the least.
const READS_FOR_US: Us = 10_000_000;

impl World {
    pub(super) fn next_parcel(&mut self) {
        let every = self.people.habits.parcel_every_s;
        self.after(every.max(1) * 1_000_000, Event::Person(Doing::NextParcel));
        if every > 0 && self.people.habits.is_open {
            self.hand_in_parcel();
        }
    }

    /// Somebody hands in a parcel now.
    pub fn hand_in_parcel(&mut self) {
        let habits = self.people.habits.clone();
        let parcel = self.history.parcels.len();
        let first_work = self.history.works.len();
        let mut cost = 0;
        for _ in 0..habits.parcel_items {
            let repeatable = self.draw(0..2) == 0;
            let work =
                self.new_work("m", habits.words, habits.new_tokens, repeatable, Some(parcel));
            cost += self.history.works[work].cost;
        }
        let key = format!("parcel {parcel} of {}", self.time);
        self.history.parcels.push(ParcelSeen {
            id: ParcelId::from_key(&key),
            first_work,
            items: habits.parcel_items as u32,
            cost,
            sent: self.time,
            accepted: None,
            reads: Vec::new(),
            lists: Vec::new(),
            ended: None,
            recalls: Vec::new(),
        });
        let ends = self.draw(0..6) == 0;
        let ends_at = ends.then(|| self.time + 1_000_000 + 500_000 * (first_work as u64 % 7));
        let recalls =
            (self.draw(0..5) == 0).then(|| self.draw(0..habits.parcel_items.max(1)) as u32);
        self.people.parcels.push(ParcelClient {
            serial: 0,
            asked: None,
            page: Vec::new(),
            lists_whole: 0,
            ends_at,
            recalls,
            turn: 0,
        });
        self.after(0, Event::Person(Doing::Parcel(parcel)));
    }

    /// Whether every accepted parcel was listed whole.
    pub(crate) fn parcels_are_done(&self) -> bool {
        let all = self.history.parcels.iter().zip(&self.people.parcels);
        all.into_iter()
            .all(|(seen, client)| seen.accepted.is_none() || client.lists_whole >= CONTENT)
    }

    fn next_asked(&mut self, parcel: usize) -> Asked {
        let time = self.time;
        let seen = &self.history.parcels[parcel];
        let client = &mut self.people.parcels[parcel];
        if seen.accepted.is_none() {
            return Asked::Submit;
        }
        if let Some(item) = client.recalls.take() {
            return Asked::Recall(item);
        }
        if seen.ended.is_none() && client.ends_at.is_some_and(|at| time >= at) {
            return Asked::End;
        }
        client.turn += 1;
        if client.turn.is_multiple_of(4) { Asked::Read } else { Asked::List }
    }

    pub(super) fn look_after_parcel(&mut self, parcel: usize) {
        let accepted = self.history.parcels[parcel].accepted;
        let reads_on = accepted.is_some_and(|at| self.time < at + READS_FOR_US);
        if self.people.parcels[parcel].lists_whole >= CONTENT && !reads_on {
            return;
        }
        self.after(400_000, Event::Person(Doing::Parcel(parcel)));
        let asked = self.people.parcels[parcel].asked;
        if asked.is_some_and(|asked| self.time - asked < 6_000_000) {
            return;
        }
        let Some(relay) = self.draw_relay() else { return };
        let asked = self.next_asked(parcel);
        let seen = &self.history.parcels[parcel];
        let id = seen.id;
        let limit = DurationMs(5_000);
        let request = match &asked {
            Asked::Submit => {
                let works = seen.first_work..seen.first_work + seen.items as usize;
                let items = self.history.works[works].iter().map(|work| Item {
                    model: work.model.as_str().into(),
                    body: work.body.clone(),
                    repeatable: work.repeatable,
                    cost: Tokens(work.cost),
                    directions: None,
                });
                RelayCall::Submit(id, items.collect())
            }
            Asked::Read => RelayCall::Parcel(ParcelCall::Read(id), limit),
            Asked::List => {
                let after = self.people.parcels[parcel].page.len() as u32;
                RelayCall::Parcel(ParcelCall::Returns { parcel: id, after }, limit)
            }
            Asked::Recall(item) => {
                RelayCall::Parcel(ParcelCall::Recall(id, ItemNumber(*item)), limit)
            }
            Asked::End => RelayCall::Parcel(ParcelCall::End(id), limit),
        };
        let time = self.time;
        if matches!(asked, Asked::Read | Asked::List) {
            let relay = self.nodes[relay.0].name.clone();
            let read = ReadSeen { asked: time, relay, told: None };
            self.history.parcels[parcel].reads.push(read);
        }
        let client = &mut self.people.parcels[parcel];
        client.serial += 1;
        client.asked = Some(time);
        let doing = Doing::ParcelCall(parcel, client.serial, asked);
        self.call_relay(relay, request, Caller::Person(doing));
    }

    pub(super) fn parcel_told(
        &mut self,
        parcel: usize,
        serial: u64,
        asked: &Asked,
        value: RelayReturn,
    ) {
        if self.people.parcels[parcel].serial != serial {
            return;
        }
        self.people.parcels[parcel].asked = None;
        let time = self.time;
        if matches!(asked, Asked::Read | Asked::List) {
            let told = match &value {
                RelayReturn::Parcel(ParcelReturn::Unknown) => ReadTold::Unknown,
                RelayReturn::Parcel(ParcelReturn::Standing(_) | ParcelReturn::Returns(_)) => {
                    ReadTold::Given
                }
                _ => ReadTold::Refused,
            };
            if let Some(read) = self.history.parcels[parcel].reads.last_mut() {
                read.told = Some((time, told));
            }
        }
        let RelayReturn::Parcel(value) = value else { return };
        let shard = self.history.parcels[parcel].id.shard;
        self.note_parcel_told(parcel, asked, value);
        self.parcel_answered(shard);
    }

    fn note_parcel_told(&mut self, parcel: usize, asked: &Asked, value: ParcelReturn) {
        let time = self.time;
        match (asked, value) {
            (Asked::Submit, ParcelReturn::Accepted(_)) => {
                self.history.parcels[parcel].accepted.get_or_insert(time);
            }
            (Asked::List, ParcelReturn::Returns(returns)) => self.listed(parcel, &returns),
            (Asked::Recall(item), ParcelReturn::Recalled) => {
                self.history.parcels[parcel].recalls.push((time, *item, true));
            }
            (Asked::Recall(item), ParcelReturn::TooLate { .. }) => {
                self.history.parcels[parcel].recalls.push((time, *item, false));
            }
            (Asked::End, ParcelReturn::Standing(_)) => {
                self.history.parcels[parcel].ended.get_or_insert(time);
            }
            _ => {}
        }
    }

    /// A page of the list: an empty one ends the list, and the next is read from the start.
    fn listed(&mut self, parcel: usize, returns: &[topazyard_wire::message::parcel::ItemReturn]) {
        let changes = self.plant == Some(Plant::ChangeReturn) && self.draw(0..30) == 0;
        let client = &mut self.people.parcels[parcel];
        for item_return in returns {
            let (text, body) = match &item_return.end {
                ItemEnd::Whole { status, body } => (format!("whole {status}"), Some(body.clone())),
                ItemEnd::OutcomeUnknown => ("outcome unknown".to_owned(), None),
                ItemEnd::Recalled => ("recalled".to_owned(), None),
                ItemEnd::Ended => ("ended".to_owned(), None),
                ItemEnd::Abandoned => ("abandoned".to_owned(), None),
            };
            let item = item_return.item.0 + u32::from(changes);
            client.page.push(ListedReturn { position: item_return.position, item, text, body });
        }
        if returns.is_empty() {
            let list = std::mem::take(&mut client.page);
            if list.len() as u32 >= self.history.parcels[parcel].items {
                client.lists_whole += 1;
            }
            let time = self.time;
            self.history.parcels[parcel].lists.push((time, list));
        }
    }
}
