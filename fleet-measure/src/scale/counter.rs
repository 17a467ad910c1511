//! Holds that come and go at a counter where many others stand.

use super::fleet::Fleet;
use super::meter::Meter;
use topazyard_types::{DurationMs, Epoch, HoldId, ShardId, Tokens};
use topazyard_wire::Message;
use topazyard_wire::message::counter::{CounterBody, CounterMessage, Hold, HoldKind, Terms};

/// Clients that hold; a relay each.
const CLIENTS: usize = 10;
/// Holds added, and as many let go, in a measurement.
const PASSING: usize = 1_000;
/// Between two renewals of a client, as in a relay.
const RENEW_MS: u64 = 500;

/// A row for each size: what one hold costs from its asking to its release.
pub fn run(sizes: &[usize], times: usize) {
    println!(
        "| holds in flight | primary us a hold | backup us a hold | frames a hold, client | \
         bytes a hold, client | bytes a hold, backup | primary us for each hold in flight and s | \
         bytes in for each hold in flight and s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let row = super::medians(times, || measure(*size));
        println!(
            "| {size} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.2} | {:.1} |",
            row[0], row[1], row[2], row[3], row[4], row[5], row[6],
        );
    }
}

struct Clients {
    epoch: Epoch,
    to: std::net::SocketAddr,
    numbers: Vec<usize>,
    standing: Vec<Vec<Hold>>,
    last_renewal: u64,
    last_hold: u64,
}

impl Clients {
    fn say(&self, fleet: &mut Fleet, client: usize, body: CounterBody) {
        let message = Message::Counter(CounterMessage { epoch: self.epoch, body });
        fleet.send(self.numbers[client], self.to, message);
    }

    fn new_hold(&mut self) -> Hold {
        self.last_hold += 1;
        let terms = Terms {
            limit: Tokens(1_000_000_000_000),
            part: Tokens(1_000_000_000_000),
            expiry: DurationMs(60_000),
        };
        let (id, kind) = (HoldId(self.last_hold), HoldKind::Live);
        Hold { id, pool: "main".into(), cost: Tokens(2_400), kind, terms }
    }

    fn renew_all(&mut self, fleet: &mut Fleet) {
        self.last_renewal += 1;
        for client in 0..self.numbers.len() {
            let holds = self.standing[client].clone();
            let up_to = holds.last().map_or(HoldId(0), |hold| hold.id);
            let asked = Vec::new();
            let body = CounterBody::Renew { number: self.last_renewal, up_to, holds, asked };
            self.say(fleet, client, body);
        }
    }
}

fn measure(size: usize) -> [f64; 7] {
    let mut fleet = Fleet::start(0);
    let numbers: Vec<usize> = (0..CLIENTS).map(|_| fleet.add_client()).collect();
    fleet.settle();
    let counter = ShardId::COUNTER;
    let (Some(primary), Some(backup)) = (fleet.shard_primary(counter), fleet.shard_backup(counter))
    else {
        return [0.0; 7];
    };
    // A counter without any history gathers before it grants.
    fleet.run_ms(5_000);
    let to = fleet.nodes[primary].address;
    let standing = vec![Vec::new(); CLIENTS];
    let (epoch, last_renewal, last_hold) = (Epoch(0), 0, 0);
    let mut clients = Clients { epoch, to, numbers, standing, last_renewal, last_hold };
    // Refused under a lower epoch, with the present one.
    clients.say(&mut fleet, 0, CounterBody::Release(HoldId(0)));
    fleet.run_ms(50);
    for message in fleet.take_received(clients.numbers[0]) {
        if let Message::Counter(CounterMessage { epoch, .. }) = message {
            clients.epoch = epoch;
        }
    }
    for number in 0..size {
        let hold = clients.new_hold();
        clients.standing[number % CLIENTS].push(hold);
    }
    clients.renew_all(&mut fleet);
    fleet.run_ms(RENEW_MS);

    // What the standing holds cost by themselves.
    let idle = window(&mut fleet, &mut clients, (primary, backup), false);
    let busy = window(&mut fleet, &mut clients, (primary, backup), true);
    let of_client = |meters: &Window| meters.client.bytes_in + meters.client.bytes_out;
    let each = |busy: f64, idle: f64| (busy - idle) / PASSING as f64;
    let seconds = RENEW_MS as f64 / 1_000.0;
    let standing = size as f64 * seconds;
    [
        each(busy.primary.processor_us(), idle.primary.processor_us()),
        each(busy.backup.processor_us(), idle.backup.processor_us()),
        each(
            (busy.client.frames_in + busy.client.frames_out) as f64,
            (idle.client.frames_in + idle.client.frames_out) as f64,
        ),
        each(of_client(&busy) as f64, of_client(&idle) as f64),
        each(busy.backup.bytes_in as f64, idle.backup.bytes_in as f64),
        idle.primary.processor_us() / standing,
        idle.client.bytes_out as f64 / standing,
    ]
}

struct Window {
    primary: Meter,
    backup: Meter,
    client: Meter,
}

/// One renewal by each client, and holds that come and go if `passing` says so.
fn window(
    fleet: &mut Fleet,
    clients: &mut Clients,
    (primary, backup): (usize, usize),
    passing: bool,
) -> Window {
    fleet.reset();
    clients.renew_all(fleet);
    let steps = RENEW_MS as usize;
    for step in 0..steps {
        let due = PASSING * (step + 1) / steps - PASSING * step / steps;
        for number in 0..if passing { due } else { 0 } {
            let client = (step + number) % CLIENTS;
            let hold = clients.new_hold();
            let id = hold.id;
            clients.say(fleet, client, CounterBody::Add(hold));
            clients.say(fleet, client, CounterBody::Release(id));
        }
        fleet.run_ms(1);
    }
    let meters = clients.numbers.iter().map(|number| fleet.nodes[*number].meter);
    let client = meters.fold(Meter::default(), |mut sum, meter| {
        sum.frames_in += meter.frames_in;
        sum.frames_out += meter.frames_out;
        sum.bytes_in += meter.bytes_in;
        sum.bytes_out += meter.bytes_out;
        sum
    });
    Window { primary: fleet.nodes[primary].meter, backup: fleet.nodes[backup].meter, client }
}
