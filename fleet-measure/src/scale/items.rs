//! Batch items in one shard, from submission to their last result.

use super::fleet::Fleet;
use super::meter::{Meter, process_us, resident_bytes};
use topazyard_types::{BatchId, Epoch, ShardId, Tokens};
use topazyard_wire::Message;
use topazyard_wire::message::batch::{
    BatchBody, BatchCall, BatchMessage, BatchReturn, Item, RunEnd,
};

const SHARD: ShardId = ShardId(1);
/// Items in a batch that is handed in.
const IN_A_BATCH: usize = 500;
/// Items leased at once.
const LEASED: u32 = 100;
/// Bytes of an item's body.
const BODY_BYTES: usize = 1_000;
/// Bytes of its result.
const RESULT_BYTES: usize = 400;

/// A row for each size: what one item costs. Memory is told by the first measurement of a process,
/// so each size is best given alone.
pub fn run(sizes: &[usize], times: usize) {
    println!(
        "| items | submit: primary us an item | backup us | run: primary us an item | backup us | \
         bytes to the backup an item | row bytes written an item | memory bytes an item and copy | \
         redb us an item | redb bytes an item | commits |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let mut memory = None;
        let row = super::medians(times, || {
            let (row, _) = measure(*size, false);
            memory.get_or_insert(row[6]);
            row
        });
        let disk = super::medians(times, || replay(*size, measure(*size, true).1));
        println!(
            "| {size} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} |",
            row[0],
            row[1],
            row[2],
            row[3],
            row[4],
            row[5],
            memory.unwrap_or(0.0),
            disk[0],
            disk[1],
            disk[2],
        );
    }
}

type Writes = Vec<(topazyard_wire::WriteToken, Vec<topazyard_wire::RowChange>)>;

struct Client {
    number: usize,
    to: std::net::SocketAddr,
    epoch: Epoch,
    last_call: u64,
}

impl Client {
    fn call(&mut self, fleet: &mut Fleet, call: BatchCall) {
        self.last_call += 1;
        let (epoch, call_id) = (self.epoch, self.last_call);
        let body = BatchBody::Call(call);
        let message = BatchMessage { shard: SHARD, epoch, call: call_id, body };
        fleet.send(self.number, self.to, Message::Batch(message));
    }

    /// What came back; a higher epoch that it tells of is used from then on.
    fn returns(&mut self, fleet: &mut Fleet) -> Vec<BatchReturn> {
        let mut returns = Vec::new();
        for message in fleet.take_received(self.number) {
            if let Message::Batch(BatchMessage { epoch, body, .. }) = message {
                self.epoch = self.epoch.max(epoch);
                if let BatchBody::Return(value) = body {
                    returns.push(value);
                }
            }
        }
        returns
    }
}

fn measure(size: usize, keep: bool) -> ([f64; 7], Writes) {
    let mut fleet = Fleet::start(0);
    let number = fleet.add_client();
    fleet.settle();
    let (Some(primary), Some(backup)) = (fleet.shard_primary(SHARD), fleet.shard_backup(SHARD))
    else {
        return ([0.0; 7], Vec::new());
    };
    // A counter without any history gathers before it says what may wait.
    fleet.run_ms(5_000);
    let to = fleet.nodes[primary].address;
    let mut client = Client { number, to, epoch: Epoch(0), last_call: 0 };
    client.call(&mut fleet, BatchCall::Read(BatchId { shard: SHARD, number: 0 }));
    fleet.run_ms(50);
    client.returns(&mut fleet);

    let memory = resident_bytes();
    fleet.nodes[primary].kept_writes = keep.then(Vec::new);
    fleet.reset();
    let mut accepted = 0;
    let batches = size.div_ceil(IN_A_BATCH);
    for index in 0..batches {
        let batch = BatchId { shard: SHARD, number: index as u64 + 1 };
        let items = (0..IN_A_BATCH.min(size - index * IN_A_BATCH)).map(|item| Item {
            directions: None,
            model: "m".into(),
            body: body_of(BODY_BYTES, item),
            repeatable: true,
            cost: Tokens(1_200),
        });
        let ceiling = Tokens(1_000_000_000_000);
        let call = BatchCall::Submit { batch, items: items.collect(), ceiling };
        client.call(&mut fleet, call);
        for _ in 0..3_000 {
            fleet.run_ms(1);
            let is_accepted = |value: &BatchReturn| matches!(value, BatchReturn::Accepted(_));
            accepted += client.returns(&mut fleet).iter().filter(|v| is_accepted(v)).count();
            if accepted > index {
                break;
            }
        }
    }
    let submitted = [fleet.nodes[primary].meter, fleet.nodes[backup].meter];
    fleet.reset();
    let ended = run_all(&mut fleet, &mut client, size);
    let ran = [fleet.nodes[primary].meter, fleet.nodes[backup].meter];
    if accepted < batches || ended < size {
        eprintln!("{accepted} of {batches} batches were accepted, {ended} of {size} items ended");
        std::process::exit(1);
    }
    let memory = resident_bytes().saturating_sub(memory);
    let each = |value: f64| value / size as f64;
    let both =
        |pick: fn(&Meter) -> u64, of: usize| each((pick(&submitted[of]) + pick(&ran[of])) as f64);
    let row = [
        each(submitted[0].processor_us()),
        each(submitted[1].processor_us()),
        each(ran[0].processor_us()),
        each(ran[1].processor_us()),
        both(|meter| meter.bytes_in, 1),
        both(|meter| meter.written_bytes, 0),
        each(memory as f64) / 2.0,
    ];
    (row, fleet.nodes[primary].kept_writes.take().unwrap_or_default())
}

/// Leases, starts and ends every item; gives how many ends were noted.
fn run_all(fleet: &mut Fleet, client: &mut Client, size: usize) -> usize {
    let mut ended = 0;
    let mut idle = 0;
    while ended < size && idle < 3_000 {
        client.call(
            fleet,
            BatchCall::Lease { most: LEASED, models: vec!["m".into()], routes: Vec::new() },
        );
        let mut leased = Vec::new();
        for _ in 0..20 {
            fleet.run_ms(1);
            for value in client.returns(fleet) {
                if let BatchReturn::Leased(items) = value {
                    leased = items;
                }
            }
            if !leased.is_empty() {
                break;
            }
        }
        idle = if leased.is_empty() { idle + 1 } else { 0 };
        for item in &leased {
            client.call(fleet, BatchCall::Start(item.run));
        }
        fleet.run_ms(10);
        for item in &leased {
            let body = body_of(RESULT_BYTES, item.run.item.0 as usize);
            client.call(fleet, BatchCall::Finish(item.run, RunEnd::Whole { status: 200, body }));
        }
        fleet.run_ms(10);
        let noted = |value: &BatchReturn| matches!(value, BatchReturn::Noted);
        ended += client.returns(fleet).iter().filter(|value| noted(value)).count();
    }
    ended
}

fn body_of(bytes: usize, number: usize) -> bytes::Bytes {
    let text = format!("{{\"inputs\":\"{number} ");
    let mut body = text.into_bytes();
    body.resize(bytes, b'x');
    body.into()
}

/// Gives the same writes to a file, each synced before the next.
fn replay(size: usize, writes: Writes) -> [f64; 3] {
    let name = format!("fleet-measure-items-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    // A folder left by an earlier process of the same number would be read as this one's.
    let _ = std::fs::remove_dir_all(&folder);
    let commits = writes.len() as f64;
    let opened = topazyard_wire::disk::open(&folder);
    let Ok(disk) = opened else {
        eprintln!("the folder {folder:?} can't be used");
        std::process::exit(1);
    };
    let begun = process_us();
    let (sender, synced) = std::sync::mpsc::channel();
    let place = folder.clone();
    let reopen = move || topazyard_wire::disk::open::reopen(&place);
    let writer = topazyard_wire::disk::Writer::start(disk.database, reopen, move |event| {
        let _ = sender.send(event);
    });
    for (token, changes) in writes {
        let write = topazyard_wire::disk::DiskWrite { token, changes };
        let told = writer.write(write).ok().and_then(|()| synced.recv().ok());
        if !matches!(told, Some(topazyard_wire::disk::DiskEvent::Written(_))) {
            eprintln!("a write was not synced: {told:?}");
            std::process::exit(1);
        }
    }
    let took = process_us() - begun;
    let bytes = std::fs::metadata(folder.join("node.redb")).map_or(0, |file| file.len());
    drop(writer);
    let _ = std::fs::remove_dir_all(&folder);
    [took / size as f64, bytes as f64 / size as f64, commits]
}
