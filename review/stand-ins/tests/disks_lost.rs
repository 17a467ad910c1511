//! One storage machine after the other loses its disk, each no sooner than the deployment bears: are
//! the lots there that were accepted?

mod fleet;

use fleet::{Fleet, Record, Verdict, bulk_route, configuration, lock, lot_body};
use fleet_soak::layout::Class;
use fleet_soak::processes::Action;
use std::time::{Duration, Instant};

const HOST: &str = "nony24.example";
const SERVICE: &str = "lm";
/// The link of a storage machine, as the page of the newest deployment has it; the variable
/// `LINK_MBPS` sets another.
const LINK_MBPS: f64 = 150.0;
/// For how long a machine that loses its disk is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// How long it counts as lost after its return: `catch_up_s` of the settings is 4.6. A process of
/// ours is started again a moment after the time that it is down, so a margin comes on top.
const CATCH_UP: Duration = Duration::from_millis(4_800);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
const MOST_LOTS: usize = 74;
const ITEMS: usize = 60;

fn main() -> std::process::ExitCode {
    fleet::run_case(case)
}

async fn case(program: std::path::PathBuf, mut record: Record) -> Verdict {
    let services = [SERVICE; 4];
    let link = std::env::var("LINK_MBPS").ok().and_then(|text| text.parse().ok());
    let link = link.unwrap_or(LINK_MBPS);
    let fleet = match Fleet::start_on(program, &services, Some(link)).await {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::NotRun(why),
    };
    let verdict = play(&fleet, &mut record).await;
    fleet.end().await;
    verdict.unwrap_or_else(Verdict::NotRun)
}

async fn hand_in(fleet: &Fleet) -> Vec<String> {
    let mut lots = Vec::new();
    let until = Instant::now() + Duration::from_secs(40);
    while lots.len() < MOST_LOTS && Instant::now() < until {
        let number = lots.len();
        let lot = format!("7c41e09b{number:08x}");
        let items: Vec<_> =
            (0..ITEMS).map(|n| (format!("{number:08x}{n:08x}"), format!("/pule252/{n}"))).collect();
        let relay = fleet.relays()[number % 3];
        let end =
            fleet.lot_call(relay, &format!("POST /pule252/{lot}"), HOST, &lot_body(&items)).await;
        match end.response().and_then(|answer| answer.status()) {
            Some(202) => lots.push(lot),
            _ => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
    lots
}

/// How many results of a lot are listed, read to its end; none if it can't be read.
async fn listed(fleet: &Fleet, lot: &str) -> Result<usize, String> {
    let (_, page) = fleet.read_lot(lot, HOST).await?;
    Ok(page["results"].as_array().map_or(0, Vec::len))
}

async fn play(fleet: &Fleet, record: &mut Record) -> Result<Verdict, String> {
    {
        let mut world = lock(&fleet.world);
        world.events = 61;
        world.event_bytes = 200;
        world.pause = Duration::from_millis(1);
    }
    let text = configuration(5, &[bulk_route("r-b", HOST, "/pule252/", SERVICE)], &[SERVICE]);
    if fleet.put_configuration(0, &text).await? != 200 {
        return Err("the configuration was not taken".to_owned());
    }
    fleet.all_ready().await?;
    let lots = hand_in(fleet).await;
    record.say(format!("{} lots of {ITEMS} items got 202", lots.len()));
    if lots.len() < MOST_LOTS / 2 {
        return Err("too few lots were accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = listed(fleet, &lots[0]).await?;
    record.say(format!("lot {} has {before} results on its first page", lots[0]));
    for machine in fleet.layout.machines_of(Class::Storage) {
        let name = fleet.layout.name(machine);
        if fleet::with_trouble() {
            record.say(format!("{name} loses its disk"));
            fleet.each(machine, Action::Kill { wipe: true, down: DOWN }).await;
            record.say(format!("{name} is started again, with an empty disk"));
        } else {
            tokio::time::sleep(DOWN).await;
        }
        tokio::time::sleep(CATCH_UP).await;
    }
    tokio::time::sleep(RECOVERY).await;
    let mut lost = 0;
    for lot in [&lots[0], &lots[lots.len() / 2], &lots[lots.len() - 1]] {
        match listed(fleet, lot).await {
            Ok(results) => record.say(format!("lot {lot} has {results} results on its first page")),
            Err(why) => {
                lost += 1;
                record.say(format!("lot {lot} can't be read at any relay: {why}"));
            }
        }
    }
    record.say(if lost == 0 { "LOST held" } else { "LOST is broken" });
    Ok(if lost == 0 { Verdict::Held } else { Verdict::Broken })
}
