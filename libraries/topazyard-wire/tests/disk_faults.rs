//! The disk code on a simulated disk that loses power, tears writes, becomes full, stalls or fails,
//! driven by seeds. No write that was reported as synced may be lost, and a database that exists is
//! never replaced by an empty one.

use rand::{Rng as _, SeedableRng as _};
use std::io::ErrorKind;
use std::sync::mpsc;
use topazyard_wire::disk::{
    DiskError, DiskEvent, DiskState, DiskWrite, OpenDisk, SyncBackend, Writer, read_all,
};
use topazyard_wire::{Group, RowChange, WriteToken};

/// The result of an operation on the disk.
type IoResult = Result<(), ErrorKind>;

/// A request to the thread that simulates the disk, with the channel for its reply.
enum DiskRequest {
    Len(mpsc::Sender<u64>),
    Read(u64, usize, mpsc::Sender<Option<Vec<u8>>>),
    SetLen(u64, mpsc::Sender<IoResult>),
    Write(u64, Vec<u8>, mpsc::Sender<IoResult>),
    Sync(mpsc::Sender<IoResult>),
    /// Removes the capacity limit and replies with the synced content.
    AddSpace(mpsc::Sender<Vec<u8>>),
    /// Completes the syncs that were held back.
    ReleaseSyncs,
    /// Loses power and replies with the content left on the disk, chosen by the seed.
    LosePower(u64, mpsc::Sender<Vec<u8>>),
}

/// The faults of a simulated disk.
#[derive(Clone, Copy, Default)]
struct DiskFaults {
    /// The number of operations after which all others fail.
    power_off_after: Option<u64>,
    /// The length beyond which the file can't grow until space is added.
    capacity: Option<u64>,
    /// The range of operations during which the disk is full.
    full_during: Option<(u64, u64)>,
    /// The first of the syncs that are held back.
    first_stalled_sync: Option<u64>,
    /// The first of the syncs that fail.
    first_failed_sync: Option<u64>,
    /// The error of failed syncs.
    sync_error: Option<ErrorKind>,
}

#[derive(Debug, Clone)]
struct Backend(mpsc::Sender<DiskRequest>);

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

/// Starts a thread that simulates a disk with the given content.
fn spawn_disk(content: Vec<u8>, faults: DiskFaults) -> Backend {
    let (sender, requests) = mpsc::channel();
    std::thread::spawn(move || run_disk(content, faults, &requests));
    Backend(sender)
}

fn run_disk(content: Vec<u8>, mut faults: DiskFaults, requests: &mpsc::Receiver<DiskRequest>) {
    let (mut synced, mut live) = (content.clone(), content);
    let mut unsynced: Vec<Unsynced> = Vec::new();
    let mut held_syncs: Vec<mpsc::Sender<IoResult>> = Vec::new();
    let (mut operations, mut syncs) = (0_u64, 0_u64);
    // A reply may fail because its receiver is gone after a power loss, which is ignored.
    while let Ok(request) = requests.recv() {
        operations += 1;
        let is_powered_off = faults.power_off_after.is_some_and(|after| operations > after);
        let power_result = if is_powered_off { Err(ErrorKind::BrokenPipe) } else { Ok(()) };
        let has_space =
            faults.full_during.is_none_or(|(from, until)| !(from..until).contains(&operations));
        match request {
            DiskRequest::Len(reply) => {
                let _ = reply.send(live.len() as u64);
            }
            DiskRequest::Read(offset, length, reply) => {
                let range = offset as usize..offset as usize + length;
                let _ = reply.send(live.get(range).filter(|_| !is_powered_off).map(<[u8]>::to_vec));
            }
            DiskRequest::SetLen(length, reply) => {
                let is_full = faults.capacity.is_some_and(|full| length > full) || !has_space;
                let done =
                    power_result.and(if is_full { Err(ErrorKind::StorageFull) } else { Ok(()) });
                if done.is_ok() {
                    live.resize(length as usize, 0);
                    unsynced.push(Unsynced::Len(length));
                }
                let _ = reply.send(done);
            }
            DiskRequest::Write(offset, data, reply) => {
                let done =
                    power_result.and(if has_space { Ok(()) } else { Err(ErrorKind::StorageFull) });
                if done.is_ok() {
                    put(&mut live, offset, &data);
                    unsynced.push(Unsynced::Write(offset, data));
                }
                let _ = reply.send(done);
            }
            DiskRequest::Sync(reply) => {
                syncs += 1;
                if faults.first_stalled_sync.is_some_and(|at| syncs >= at) {
                    held_syncs.push(reply);
                    continue;
                }
                let fails = faults.first_failed_sync.is_some_and(|at| syncs >= at);
                let failed = Err(faults.sync_error.unwrap_or(ErrorKind::BrokenPipe));
                let done = power_result.and(if fails { failed } else { Ok(()) });
                if done.is_ok() {
                    synced.clone_from(&live);
                    unsynced.clear();
                }
                let _ = reply.send(done);
            }
            DiskRequest::ReleaseSyncs => {
                synced.clone_from(&live);
                unsynced.clear();
                for reply in held_syncs.drain(..) {
                    let _ = reply.send(Ok(()));
                }
            }
            DiskRequest::AddSpace(reply) => {
                faults.capacity = None;
                let _ = reply.send(synced.clone());
            }
            DiskRequest::LosePower(seed, reply) => {
                let content = content_after_power_loss(&synced, &unsynced, seed);
                let _ = reply.send(content);
                return;
            }
        }
    }
}

/// The content after a power loss: some unsynced writes are present, some are missing, one is torn.
fn content_after_power_loss(synced: &[u8], unsynced: &[Unsynced], seed: u64) -> Vec<u8> {
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
    fn request<T>(
        &self,
        request: impl FnOnce(mpsc::Sender<T>) -> DiskRequest,
    ) -> std::io::Result<T> {
        let disconnected = || std::io::Error::from(std::io::ErrorKind::NotConnected);
        let (reply, response) = mpsc::channel();
        self.0.send(request(reply)).map_err(|_| disconnected())?;
        response.recv().map_err(|_| disconnected())
    }

    fn request_io(
        &self,
        request: impl FnOnce(mpsc::Sender<IoResult>) -> DiskRequest,
    ) -> std::io::Result<()> {
        self.request(request)?.map_err(std::io::Error::from)
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.request(DiskRequest::Len)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let found = self.request(|reply| DiskRequest::Read(offset, out.len(), reply))?;
        let missing = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        out.copy_from_slice(&found.ok_or(missing)?);
        Ok(())
    }
    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.request_io(|reply| DiskRequest::SetLen(length, reply))
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.request_io(DiskRequest::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.request_io(|reply| DiskRequest::Write(offset, data.to_vec(), reply))
    }
}

fn open_file_on(backend: Backend) -> Result<redb::Database, DiskError> {
    let database = redb::Builder::new().create_with_backend(SyncBackend(backend));
    database.map_err(|error| DiskError::from_database_error("node.redb".as_ref(), error))
}

fn open_on(backend: Backend) -> Result<OpenDisk, DiskError> {
    read_all(open_file_on(backend)?, std::path::PathBuf::from("node.redb"))
}

/// The content of a disk whose database has a format version and no rows.
fn formatted_image() -> Vec<u8> {
    let backend = spawn_disk(Vec::new(), DiskFaults::default());
    drop(open_on(backend.clone()).expect("a new disk"));
    backend.request(|reply| DiskRequest::LosePower(0, reply)).expect("its content")
}

const WRITES: u64 = 40;

/// A comparable copy of [`DiskEvent`].
#[derive(Debug, PartialEq, Eq)]
enum Event {
    /// The write with this number is synced.
    Written(u64),
    /// The disk became full or has free space again.
    State(DiskState),
    /// The thread has ended after an error.
    Failed,
}

/// Starts the disk thread on an open database.
fn start_on(opened: OpenDisk, backend: Backend) -> (Writer, mpsc::Receiver<Event>) {
    let (sender, events) = mpsc::channel();
    let report = move |event| {
        let event = match event {
            DiskEvent::Written(token) => Event::Written(token.number),
            DiskEvent::State(state) => Event::State(state),
            DiskEvent::Failed(_) => Event::Failed,
        };
        // The receiver is gone once the test has stopped receiving.
        let _ = sender.send(event);
    };
    let reopen = move || open_file_on(backend.clone());
    (Writer::start(opened.database, reopen, report), events)
}

fn start(backend: Backend) -> Option<(Writer, mpsc::Receiver<Event>)> {
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

/// Writes rows one after another until the disk fails. Returns the writes reported as synced.
fn write_until_failure(backend: Backend, max_writes: u64) -> Vec<u64> {
    let Some((writer, events)) = start(backend) else { return Vec::new() };
    let mut synced = Vec::new();
    for number in 1..=max_writes {
        if !write_one(&writer, number) || events.recv() != Ok(Event::Written(number)) {
            break;
        }
        synced.push(number);
    }
    synced
}

/// Opens the content left by a power loss and checks that it has every write reported as synced.
fn assert_synced_rows_survive(image: Vec<u8>, synced: &[u64], seed: u64) {
    let opened = open_on(spawn_disk(image, DiskFaults::default()));
    let opened = opened.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let rows = opened.loaded.get(&Group::Control).cloned().unwrap_or_default();
    for number in synced {
        let row = rows.get(&format!("row/{number}"));
        let value = row.and_then(|row| topazyard_wire::rows::decode::<Vec<u64>>(row));
        assert_eq!(value, Some(vec![*number; 300]), "seed {seed}: write {number}");
    }
    let newest = rows.get("newest").and_then(|row| topazyard_wire::rows::decode::<u64>(row));
    assert!(newest >= synced.last().copied(), "seed {seed}: went back to {newest:?}");
}

#[test]
fn synced_writes_survive_a_power_loss() {
    let blank = formatted_image();
    let mut max_synced = 0;
    for seed in 0..60 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let power_off_after = Some(rng.random_range(30..900));
        let backend =
            spawn_disk(blank.clone(), DiskFaults { power_off_after, ..DiskFaults::default() });
        let synced = write_until_failure(backend.clone(), WRITES);
        max_synced = max_synced.max(synced.len());
        let image = backend
            .request(|reply| DiskRequest::LosePower(seed, reply))
            .expect("the remaining content");
        assert_synced_rows_survive(image, &synced, seed);
    }
    assert!(max_synced > 10, "power was always lost before enough was written");
}

#[test]
fn full_disk_is_reported_and_writes_continue_in_order_with_new_space() {
    let blank = formatted_image();
    let capacity = Some(blank.len() as u64 + 200_000);
    let backend = spawn_disk(blank, DiskFaults { capacity, ..DiskFaults::default() });
    let (writer, events) = start(backend.clone()).expect("a disk with some free space");
    // These are far more rows than fit: the writer must report a full disk and sync nothing more.
    let full = (1..2_000).find(|number| {
        assert!(write_one(&writer, *number));
        match events.recv().expect("an event") {
            Event::Written(written) => assert_eq!(written, *number),
            other => {
                assert_eq!(other, Event::State(DiskState::Full));
                return true;
            }
        }
        false
    });
    let full = full.expect("the disk never ran full");
    assert!(full > 1);
    let last = full + 20;
    assert!((full + 1..=last).all(|number| write_one(&writer, number)));
    assert_eq!(events.try_recv().ok(), None, "no event while the disk is full");
    // The content that a power loss would leave at this time.
    let image = backend.request(DiskRequest::AddSpace).expect("the synced content");
    assert_synced_rows_survive(image, &(1..full).collect::<Vec<_>>(), 1);
    assert_eq!(events.recv(), Ok(Event::State(DiskState::Healthy)));
    for number in full..=last {
        assert_eq!(events.recv(), Ok(Event::Written(number)), "in the order of the writes");
    }
    let image =
        backend.request(|reply| DiskRequest::LosePower(1, reply)).expect("the remaining content");
    assert_synced_rows_survive(image, &(1..=last).collect::<Vec<_>>(), 1);
}

/// Writes to a disk that is full during a random range of operations. Returns how often it could
/// not be opened for that reason, and how often the writer reported it as full.
fn write_while_temporarily_full(blank: &[u8], seed: u64) -> (usize, usize) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let from = rng.random_range(1..250);
    let full_during = Some((from, from + rng.random_range(1..90)));
    let backend = spawn_disk(blank.to_vec(), DiskFaults { full_during, ..DiskFaults::default() });
    let (mut refused, mut full) = (0, 0);
    let opened = loop {
        match open_on(backend.clone()) {
            Ok(opened) => break opened,
            Err(DiskError::Full(_)) => refused += 1,
            Err(other) => panic!("seed {seed}: a full disk is reported as: {other}"),
        }
    };
    let (writer, events) = start_on(opened, backend.clone());
    let mut synced = Vec::new();
    for number in 1..=WRITES {
        assert!(write_one(&writer, number));
        // Up to three writes are queued at once, none after the last one.
        let max_queued = if number == WRITES { 0 } else { 2 };
        while (synced.len() as u64) < number - max_queued.min(number) {
            match events.recv().expect("an event") {
                Event::Written(number) => synced.push(number),
                Event::State(DiskState::Full) => full += 1,
                Event::State(_) => {}
                Event::Failed => panic!("seed {seed}: the writer stopped"),
            }
        }
    }
    assert_eq!(synced, (1..=WRITES).collect::<Vec<_>>(), "seed {seed}");
    let image = backend
        .request(|reply| DiskRequest::LosePower(seed, reply))
        .expect("the remaining content");
    assert_synced_rows_survive(image, &synced, seed);
    (refused, full)
}

#[test]
fn temporarily_full_disk_neither_loses_nor_reorders_writes() {
    let blank = &formatted_image();
    let counts = std::thread::scope(|scope| {
        let seeds: Vec<_> = (0..60)
            .map(|seed| scope.spawn(move || write_while_temporarily_full(blank, seed)))
            .collect();
        seeds.into_iter().map(|seed| seed.join().expect("a seed")).collect::<Vec<_>>()
    });
    let refused: usize = counts.iter().map(|(refused, _)| refused).sum();
    let full: usize = counts.iter().map(|(_, full)| full).sum();
    assert!(refused > 0 && full > 5, "{refused} failed to open on a full disk, {full} became full");
}

#[test]
fn synced_writes_survive_a_power_loss_on_a_full_disk() {
    let blank = formatted_image();
    for seed in 0..40 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let from = rng.random_range(40..400);
        let faults = DiskFaults { full_during: Some((from, u64::MAX)), ..DiskFaults::default() };
        let backend = spawn_disk(blank.clone(), faults);
        let synced = write_until_failure(backend.clone(), WRITES);
        let image = backend
            .request(|reply| DiskRequest::LosePower(seed, reply))
            .expect("the remaining content");
        assert_synced_rows_survive(image, &synced, seed);
    }
}

#[test]
fn file_with_a_format_version_opens_without_a_write_transaction() {
    let image = formatted_image();
    let backend = spawn_disk(image, DiskFaults::default());
    drop(open_on(backend.clone()).expect("a disk"));
    let (read, format) = (backend.clone(), redb::TableDefinition::<&str, u32>::new("format"));
    let database = open_file_on(read).expect("a disk");
    // A write transaction blocks any other, so reading must not start one.
    let transaction = database.begin_write().expect("a transaction");
    drop(transaction.open_table(format).expect("a table"));
    let (sender, outcome) = mpsc::channel();
    std::thread::scope(|scope| {
        scope.spawn(move || sender.send(read_all(database, "node.redb".into()).is_ok()));
        assert_eq!(outcome.recv_timeout(std::time::Duration::from_secs(5)), Ok(true));
        drop(transaction);
    });
}

#[test]
fn sync_that_fails_on_a_full_disk_stops_the_writer() {
    // After a failed sync it is unknown which pages the operating system has discarded.
    let sync_error = Some(ErrorKind::StorageFull);
    let faults = DiskFaults { first_failed_sync: Some(6), sync_error, ..DiskFaults::default() };
    let backend = spawn_disk(formatted_image(), faults);
    let (writer, events) = start(backend).expect("five syncs suffice to open");
    let failed = (1..10).find(|number| {
        write_one(&writer, *number);
        events.recv() != Ok(Event::Written(*number))
    });
    assert!(failed.is_some());
    assert_eq!(events.recv().ok(), None, "no event after the failure");
}

#[test]
fn failed_or_stalled_sync_is_not_reported_as_written() {
    let blank = formatted_image();
    let backend = spawn_disk(
        blank.clone(),
        DiskFaults { first_failed_sync: Some(6), ..DiskFaults::default() },
    );
    let synced = write_until_failure(backend.clone(), WRITES);
    let image =
        backend.request(|reply| DiskRequest::LosePower(2, reply)).expect("the remaining content");
    assert!((synced.len() as u64) < WRITES);
    assert_synced_rows_survive(image, &synced, 2);

    let backend =
        spawn_disk(blank, DiskFaults { first_stalled_sync: Some(4), ..DiskFaults::default() });
    let (writer, events) = start(backend.clone()).expect("three syncs suffice to open");
    let timeout = std::time::Duration::from_millis(200);
    let stalled = (1..10).find(|number| {
        assert!(write_one(&writer, *number));
        events.recv_timeout(timeout).is_err()
    });
    assert!(stalled.is_some(), "the disk never stalled");
    backend.0.send(DiskRequest::ReleaseSyncs).expect("a disk");
    assert_eq!(events.recv().ok(), stalled.map(Event::Written), "reported once the disk continues");
}
