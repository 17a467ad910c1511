//! The real disk code over a disk that loses its power, tears writes, runs full, stalls or fails,
//! from seeds: nothing that was said to be synced is lost, and nothing is started empty instead.

use rand::{Rng as _, SeedableRng as _};
use std::sync::mpsc;
use topazyard_wire::disk::{DiskError, DiskWrite, OpenDisk, Writer, read_all};
use topazyard_wire::{Group, RowChange, WriteToken};

/// What the disk's owner is asked; each gets its return.
enum Ask {
    Len(mpsc::Sender<u64>),
    Read(u64, usize, mpsc::Sender<Option<Vec<u8>>>),
    SetLen(u64, mpsc::Sender<bool>),
    Write(u64, Vec<u8>, mpsc::Sender<bool>),
    Sync(mpsc::Sender<bool>),
    /// Syncs that were held back go through.
    Release,
    /// The power goes: what is left on the disk, by that seed.
    Crash(u64, mpsc::Sender<Vec<u8>>),
}

/// How the disk misbehaves.
#[derive(Clone, Copy, Default)]
struct Mood {
    /// After so many operations nothing works any more.
    dies_after: Option<u64>,
    /// It can't grow beyond that.
    full_at: Option<u64>,
    /// It holds syncs back from that one on.
    stalls_at: Option<u64>,
    /// Syncs fail from that one on.
    fails_at: Option<u64>,
}

#[derive(Debug, Clone)]
struct Backend(mpsc::Sender<Ask>);

enum Unsynced {
    Len(u64),
    Write(u64, Vec<u8>),
}

fn put(image: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if image.len() < end {
        image.resize(end, 0);
    }
    image[offset as usize..end].copy_from_slice(data);
}

/// A disk with that content, owned by a thread of its own.
fn disk(content: Vec<u8>, mood: Mood) -> Backend {
    let (sender, asks) = mpsc::channel();
    std::thread::spawn(move || own(content, mood, &asks));
    Backend(sender)
}

fn own(content: Vec<u8>, mood: Mood, asks: &mpsc::Receiver<Ask>) {
    let (mut synced, mut live) = (content.clone(), content);
    let mut unsynced: Vec<Unsynced> = Vec::new();
    let mut held_back: Vec<mpsc::Sender<bool>> = Vec::new();
    let (mut operations, mut syncs) = (0_u64, 0_u64);
    // Whoever asked may be gone with the power; nobody misses its return then.
    while let Ok(ask) = asks.recv() {
        operations += 1;
        let is_dead = mood.dies_after.is_some_and(|after| operations > after);
        match ask {
            Ask::Len(back) => {
                let _ = back.send(live.len() as u64);
            }
            Ask::Read(offset, length, back) => {
                let range = offset as usize..offset as usize + length;
                let _ = back.send(live.get(range).filter(|_| !is_dead).map(<[u8]>::to_vec));
            }
            Ask::SetLen(length, back) => {
                let is_full = mood.full_at.is_some_and(|full| length > full);
                if !is_dead && !is_full {
                    live.resize(length as usize, 0);
                    unsynced.push(Unsynced::Len(length));
                }
                let _ = back.send(!is_dead && !is_full);
            }
            Ask::Write(offset, data, back) => {
                if !is_dead {
                    put(&mut live, offset, &data);
                    unsynced.push(Unsynced::Write(offset, data));
                }
                let _ = back.send(!is_dead);
            }
            Ask::Sync(back) => {
                syncs += 1;
                if mood.stalls_at.is_some_and(|at| syncs >= at) {
                    held_back.push(back);
                    continue;
                }
                let works = !is_dead && mood.fails_at.is_none_or(|at| syncs < at);
                if works {
                    synced.clone_from(&live);
                    unsynced.clear();
                }
                let _ = back.send(works);
            }
            Ask::Release => {
                synced.clone_from(&live);
                unsynced.clear();
                for back in held_back.drain(..) {
                    let _ = back.send(true);
                }
            }
            Ask::Crash(seed, back) => {
                let left = after_power_loss(&synced, &unsynced, seed);
                let _ = back.send(left);
                return;
            }
        }
    }
}

/// Of what was not synced some writes are there, some are not, and one is torn.
fn after_power_loss(synced: &[u8], unsynced: &[Unsynced], seed: u64) -> Vec<u8> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut image = synced.to_vec();
    let torn = rng.random_range(0..unsynced.len().max(1));
    for (at, change) in unsynced.iter().enumerate() {
        match change {
            Unsynced::Len(length) if image.len() < *length as usize => {
                image.resize(*length as usize, 0);
            }
            Unsynced::Len(_) => {}
            Unsynced::Write(offset, data) if at == torn => {
                let part = rng.random_range(0..=data.len());
                put(&mut image, *offset, &data[..part]);
            }
            Unsynced::Write(offset, data) if rng.random_range(0..2) == 0 => {
                put(&mut image, *offset, data);
            }
            Unsynced::Write(..) => {}
        }
    }
    image
}

impl Backend {
    fn ask<T>(&self, ask: impl FnOnce(mpsc::Sender<T>) -> Ask) -> std::io::Result<T> {
        let gone = || std::io::Error::from(std::io::ErrorKind::NotConnected);
        let (back, told) = mpsc::channel();
        self.0.send(ask(back)).map_err(|_| gone())?;
        told.recv().map_err(|_| gone())
    }

    fn does(&self, ask: impl FnOnce(mpsc::Sender<bool>) -> Ask) -> std::io::Result<()> {
        let failed = std::io::Error::from(std::io::ErrorKind::StorageFull);
        if self.ask(ask)? { Ok(()) } else { Err(failed) }
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.ask(Ask::Len)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let found = self.ask(|back| Ask::Read(offset, out.len(), back))?;
        let missing = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        out.copy_from_slice(&found.ok_or(missing)?);
        Ok(())
    }
    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.does(|back| Ask::SetLen(length, back))
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.does(Ask::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.does(|back| Ask::Write(offset, data.to_vec(), back))
    }
}

fn open_on(backend: Backend) -> Result<OpenDisk, DiskError> {
    let file = std::path::PathBuf::from("node.redb");
    let damaged = |error: redb::DatabaseError| DiskError::Damaged(file.clone(), error.to_string());
    let database = redb::Builder::new().create_with_backend(backend).map_err(damaged)?;
    read_all(database, file)
}

/// A disk with a format and nothing else.
fn formatted() -> Vec<u8> {
    let backend = disk(Vec::new(), Mood::default());
    drop(open_on(backend.clone()).expect("a new disk"));
    backend.ask(|back| Ask::Crash(0, back)).expect("its content")
}

const WRITES: u64 = 40;

/// Starts the disk's thread; what is heard is the number of each write, or none once it failed.
fn start(backend: Backend) -> Option<(Writer, mpsc::Receiver<Option<u64>>)> {
    let opened = open_on(backend).ok()?;
    let (sender, told) = mpsc::channel();
    let failed = sender.clone();
    // A test that has seen enough hears no more.
    let writer = Writer::start(
        opened.database,
        move |token| {
            let _ = sender.send(Some(token.number));
        },
        move |_| {
            let _ = failed.send(None);
        },
    );
    Some((writer, told))
}

fn write_one(writer: &Writer, number: u64) -> bool {
    let token = WriteToken { group: Group::Control, number };
    let changes = vec![
        RowChange::put(format!("row/{number}"), &vec![number; 300]),
        RowChange::put("newest", &number),
    ];
    writer.write(DiskWrite { token, changes }).is_ok()
}

/// Writes rows one after another until the disk fails; gives those said to be synced.
fn write_until_it_fails(backend: Backend, most: u64) -> Vec<u64> {
    let Some((writer, told)) = start(backend) else { return Vec::new() };
    let write = |number| write_one(&writer, number).then(|| told.recv().ok().flatten()).flatten();
    (1..=most).map_while(write).collect()
}

/// Opens what a crash left and checks that all that was said to be synced is there.
fn holds(image: Vec<u8>, synced: &[u64], seed: u64) {
    let opened = open_on(disk(image, Mood::default()));
    let opened = opened.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let rows = opened.loaded.get(&Group::Control).cloned().unwrap_or_default();
    for number in synced {
        let row = rows.get(&format!("row/{number}"));
        let value = row.and_then(|row| topazyard_wire::rows::decode::<Vec<u64>>(row));
        assert_eq!(value, Some(vec![*number; 300]), "seed {seed}: write {number}");
    }
    let newest = rows.get("newest").and_then(|row| topazyard_wire::rows::decode::<u64>(row));
    assert!(newest >= synced.last().copied(), "seed {seed}: back to {newest:?}");
}

#[test]
fn nothing_that_was_said_to_be_synced_is_lost_with_the_power() {
    let blank = formatted();
    let mut most = 0;
    for seed in 0..60 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let dies_after = Some(rng.random_range(30..900));
        let backend = disk(blank.clone(), Mood { dies_after, ..Mood::default() });
        let synced = write_until_it_fails(backend.clone(), WRITES);
        most = most.max(synced.len());
        let image = backend.ask(|back| Ask::Crash(seed, back)).expect("what is left");
        holds(image, &synced, seed);
    }
    assert!(most > 10, "the power went before anything was written");
}

#[test]
fn a_disk_that_runs_full_says_no_and_keeps_what_it_has() {
    let blank = formatted();
    let full_at = Some(blank.len() as u64 + 200_000);
    let backend = disk(blank, Mood { full_at, ..Mood::default() });
    // Far more than fits: the writer must say that it failed, and go on no more.
    let all = write_until_it_fails(backend.clone(), 2_000);
    assert!((1..2_000).contains(&all.len()), "{} writes", all.len());
    let image = backend.ask(|back| Ask::Crash(1, back)).expect("what is left");
    holds(image, &all, 1);
}

#[test]
fn a_sync_that_fails_or_stalls_is_not_said() {
    let blank = formatted();
    let backend = disk(blank.clone(), Mood { fails_at: Some(6), ..Mood::default() });
    let synced = write_until_it_fails(backend.clone(), WRITES);
    let image = backend.ask(|back| Ask::Crash(2, back)).expect("what is left");
    assert!((synced.len() as u64) < WRITES);
    holds(image, &synced, 2);

    let backend = disk(blank, Mood { stalls_at: Some(4), ..Mood::default() });
    let (writer, told) = start(backend.clone()).expect("three syncs suffice to open");
    let patience = std::time::Duration::from_millis(200);
    let stalled = (1..10).find(|number| {
        assert!(write_one(&writer, *number));
        told.recv_timeout(patience).is_err()
    });
    assert!(stalled.is_some(), "the disk never stalled");
    backend.0.send(Ask::Release).expect("a disk");
    assert_eq!(told.recv(), Ok(stalled), "said once the disk goes on");
}
