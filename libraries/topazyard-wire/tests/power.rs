//! The real disk code over a disk that loses its power, tears writes, runs full, stalls or fails,
//! from seeds: nothing that was said to be synced is lost, and nothing is started empty instead.

use rand::{Rng as _, SeedableRng as _};
use std::io::ErrorKind;
use std::sync::mpsc;
use topazyard_wire::disk::{
    DiskError, DiskEvent, DiskState, DiskWrite, OpenDisk, SyncBackend, Writer, read_all,
};
use topazyard_wire::{Group, RowChange, WriteToken};

/// What becomes of an operation.
type Done = Result<(), ErrorKind>;

/// What the disk's owner is asked; each gets its return.
enum Ask {
    Len(mpsc::Sender<u64>),
    Read(u64, usize, mpsc::Sender<Option<Vec<u8>>>),
    SetLen(u64, mpsc::Sender<Done>),
    Write(u64, Vec<u8>, mpsc::Sender<Done>),
    Sync(mpsc::Sender<Done>),
    /// There is room again; what is on the disk by then.
    Room(mpsc::Sender<Vec<u8>>),
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
    /// It can't grow beyond that, until it is given room.
    full_at: Option<u64>,
    /// It takes no byte from one operation to another.
    no_room: Option<(u64, u64)>,
    /// It holds syncs back from that one on.
    stalls_at: Option<u64>,
    /// Syncs fail from that one on.
    fails_at: Option<u64>,
    /// How they fail.
    fails_by: Option<ErrorKind>,
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

fn own(content: Vec<u8>, mut mood: Mood, asks: &mpsc::Receiver<Ask>) {
    let (mut synced, mut live) = (content.clone(), content);
    let mut unsynced: Vec<Unsynced> = Vec::new();
    let mut held_back: Vec<mpsc::Sender<Done>> = Vec::new();
    let (mut operations, mut syncs) = (0_u64, 0_u64);
    // Whoever asked may be gone with the power; nobody misses its return then.
    while let Ok(ask) = asks.recv() {
        operations += 1;
        let is_dead = mood.dies_after.is_some_and(|after| operations > after);
        let dead = if is_dead { Err(ErrorKind::BrokenPipe) } else { Ok(()) };
        let has_room =
            mood.no_room.is_none_or(|(from, until)| !(from..until).contains(&operations));
        match ask {
            Ask::Len(back) => {
                let _ = back.send(live.len() as u64);
            }
            Ask::Read(offset, length, back) => {
                let range = offset as usize..offset as usize + length;
                let _ = back.send(live.get(range).filter(|_| !is_dead).map(<[u8]>::to_vec));
            }
            Ask::SetLen(length, back) => {
                let is_full = mood.full_at.is_some_and(|full| length > full) || !has_room;
                let done = dead.and(if is_full { Err(ErrorKind::StorageFull) } else { Ok(()) });
                if done.is_ok() {
                    live.resize(length as usize, 0);
                    unsynced.push(Unsynced::Len(length));
                }
                let _ = back.send(done);
            }
            Ask::Write(offset, data, back) => {
                let done = dead.and(if has_room { Ok(()) } else { Err(ErrorKind::StorageFull) });
                if done.is_ok() {
                    put(&mut live, offset, &data);
                    unsynced.push(Unsynced::Write(offset, data));
                }
                let _ = back.send(done);
            }
            Ask::Sync(back) => {
                syncs += 1;
                if mood.stalls_at.is_some_and(|at| syncs >= at) {
                    held_back.push(back);
                    continue;
                }
                let fails = mood.fails_at.is_some_and(|at| syncs >= at);
                let failed = Err(mood.fails_by.unwrap_or(ErrorKind::BrokenPipe));
                let done = dead.and(if fails { failed } else { Ok(()) });
                if done.is_ok() {
                    synced.clone_from(&live);
                    unsynced.clear();
                }
                let _ = back.send(done);
            }
            Ask::Release => {
                synced.clone_from(&live);
                unsynced.clear();
                for back in held_back.drain(..) {
                    let _ = back.send(Ok(()));
                }
            }
            Ask::Room(back) => {
                mood.full_at = None;
                let _ = back.send(synced.clone());
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

    fn does(&self, ask: impl FnOnce(mpsc::Sender<Done>) -> Ask) -> std::io::Result<()> {
        self.ask(ask)?.map_err(std::io::Error::from)
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

fn open_file_on(backend: Backend) -> Result<redb::Database, DiskError> {
    let database = redb::Builder::new().create_with_backend(SyncBackend(backend));
    database.map_err(|error| DiskError::from_database_error("node.redb".as_ref(), error))
}

fn open_on(backend: Backend) -> Result<OpenDisk, DiskError> {
    read_all(open_file_on(backend)?, std::path::PathBuf::from("node.redb"))
}

/// A disk with a format and nothing else.
fn formatted() -> Vec<u8> {
    let backend = disk(Vec::new(), Mood::default());
    drop(open_on(backend.clone()).expect("a new disk"));
    backend.ask(|back| Ask::Crash(0, back)).expect("its content")
}

const WRITES: u64 = 40;

/// What the disk's thread says.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    /// The write of that number is synced.
    Written(u64),
    /// The disk is full, or has room again.
    State(DiskState),
    /// The thread gave up.
    Failed,
}

/// Starts the disk's thread on a file that was opened.
fn start_on(opened: OpenDisk, backend: Backend) -> (Writer, mpsc::Receiver<Told>) {
    let (sender, told) = mpsc::channel();
    let tell = move |event| {
        let told = match event {
            DiskEvent::Written(token) => Told::Written(token.number),
            DiskEvent::State(state) => Told::State(state),
            DiskEvent::Failed(_) => Told::Failed,
        };
        // A test that has seen enough hears no more.
        let _ = sender.send(told);
    };
    let reopen = move || open_file_on(backend.clone());
    (Writer::start(opened.database, reopen, tell), told)
}

fn start(backend: Backend) -> Option<(Writer, mpsc::Receiver<Told>)> {
    let opened = open_on(backend.clone()).ok()?;
    Some(start_on(opened, backend))
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
    let mut synced = Vec::new();
    for number in 1..=most {
        if !write_one(&writer, number) || told.recv() != Ok(Told::Written(number)) {
            break;
        }
        synced.push(number);
    }
    synced
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
fn a_disk_that_runs_full_says_so_and_goes_on_in_order_once_there_is_room() {
    let blank = formatted();
    let full_at = Some(blank.len() as u64 + 200_000);
    let backend = disk(blank, Mood { full_at, ..Mood::default() });
    let (writer, told) = start(backend.clone()).expect("a disk with some room");
    // Far more than fits: the writer must say that the disk is full, and nothing more is synced.
    let full = (1..2_000).find(|number| {
        assert!(write_one(&writer, *number));
        match told.recv().expect("a word") {
            Told::Written(written) => assert_eq!(written, *number),
            other => {
                assert_eq!(other, Told::State(DiskState::Full));
                return true;
            }
        }
        false
    });
    let full = full.expect("the disk never ran full");
    assert!(full > 1);
    let last = full + 20;
    assert!((full + 1..=last).all(|number| write_one(&writer, number)));
    assert_eq!(told.try_recv().ok(), None, "nothing is said while there is no room");
    // What a loss of power would leave just then.
    let image = backend.ask(Ask::Room).expect("what is synced");
    holds(image, &(1..full).collect::<Vec<_>>(), 1);
    assert_eq!(told.recv(), Ok(Told::State(DiskState::Healthy)));
    for number in full..=last {
        assert_eq!(told.recv(), Ok(Told::Written(number)), "in the order they came");
    }
    let image = backend.ask(|back| Ask::Crash(1, back)).expect("what is left");
    holds(image, &(1..=last).collect::<Vec<_>>(), 1);
}

/// Writes over a disk that takes no byte for a while, from any operation on; gives how often it
/// could not be opened for that, and how often it ran full.
fn write_without_room_for_a_while(blank: &[u8], seed: u64) -> (usize, usize) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let from = rng.random_range(1..250);
    let no_room = Some((from, from + rng.random_range(1..90)));
    let backend = disk(blank.to_vec(), Mood { no_room, ..Mood::default() });
    let (mut refused, mut full) = (0, 0);
    let opened = loop {
        match open_on(backend.clone()) {
            Ok(opened) => break opened,
            Err(DiskError::Full(_)) => refused += 1,
            Err(other) => panic!("seed {seed}: a full disk is said to be: {other}"),
        }
    };
    let (writer, told) = start_on(opened, backend.clone());
    let mut synced = Vec::new();
    for number in 1..=WRITES {
        assert!(write_one(&writer, number));
        // Up to three wait together, none after the last.
        let may_wait = if number == WRITES { 0 } else { 2 };
        while (synced.len() as u64) < number - may_wait.min(number) {
            match told.recv().expect("a word") {
                Told::Written(number) => synced.push(number),
                Told::State(DiskState::Full) => full += 1,
                Told::State(_) => {}
                Told::Failed => panic!("seed {seed}: the writer gave up"),
            }
        }
    }
    assert_eq!(synced, (1..=WRITES).collect::<Vec<_>>(), "seed {seed}");
    let image = backend.ask(|back| Ask::Crash(seed, back)).expect("what is left");
    holds(image, &synced, seed);
    (refused, full)
}

#[test]
fn a_disk_without_room_from_any_operation_to_any_other_loses_and_reorders_nothing() {
    let blank = &formatted();
    let counts = std::thread::scope(|scope| {
        let seeds: Vec<_> = (0..60)
            .map(|seed| scope.spawn(move || write_without_room_for_a_while(blank, seed)))
            .collect();
        seeds.into_iter().map(|seed| seed.join().expect("a seed")).collect::<Vec<_>>()
    });
    let refused: usize = counts.iter().map(|(refused, _)| refused).sum();
    let full: usize = counts.iter().map(|(_, full)| full).sum();
    assert!(refused > 0 && full > 5, "{refused} opened without room, {full} ran full");
}

#[test]
fn power_that_goes_while_there_is_no_room_takes_nothing_that_was_said() {
    let blank = formatted();
    for seed in 0..40 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let from = rng.random_range(40..400);
        let mood = Mood { no_room: Some((from, u64::MAX)), ..Mood::default() };
        let backend = disk(blank.clone(), mood);
        let synced = write_until_it_fails(backend.clone(), WRITES);
        let image = backend.ask(|back| Ask::Crash(seed, back)).expect("what is left");
        holds(image, &synced, seed);
    }
}

#[test]
fn a_file_that_holds_its_format_opens_without_a_transaction() {
    let image = formatted();
    let backend = disk(image, Mood::default());
    drop(open_on(backend.clone()).expect("a disk"));
    let (read, format) = (backend.clone(), redb::TableDefinition::<&str, u32>::new("format"));
    let database = open_file_on(read).expect("a disk");
    // A transaction that is under way holds up any other: reading must not begin one.
    let writing = database.begin_write().expect("a transaction");
    drop(writing.open_table(format).expect("a table"));
    let (sender, told) = mpsc::channel();
    std::thread::scope(|scope| {
        scope.spawn(move || sender.send(read_all(database, "node.redb".into()).is_ok()));
        assert_eq!(told.recv_timeout(std::time::Duration::from_secs(5)), Ok(true));
        drop(writing);
    });
}

#[test]
fn a_sync_that_fails_for_want_of_room_ends_the_writer() {
    // What the operating system dropped then can't be told from what it kept.
    let fails_by = Some(ErrorKind::StorageFull);
    let mood = Mood { fails_at: Some(6), fails_by, ..Mood::default() };
    let backend = disk(formatted(), mood);
    let (writer, told) = start(backend).expect("five syncs suffice to open");
    let failed = (1..10).find(|number| {
        write_one(&writer, *number);
        told.recv() != Ok(Told::Written(*number))
    });
    assert!(failed.is_some());
    assert_eq!(told.recv().ok(), None, "nothing more is said");
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
    let timeout = std::time::Duration::from_millis(200);
    let stalled = (1..10).find(|number| {
        assert!(write_one(&writer, *number));
        told.recv_timeout(timeout).is_err()
    });
    assert!(stalled.is_some(), "the disk never stalled");
    backend.0.send(Ask::Release).expect("a disk");
    assert_eq!(told.recv().ok(), stalled.map(Told::Written), "said once the disk goes on");
}
