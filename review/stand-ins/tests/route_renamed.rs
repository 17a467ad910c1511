//! A bulk route gets another name and stays otherwise as it is: do the items that were accepted
//! before it run?

mod fleet;

use fleet::{Fleet, Record, Verdict, bulk_route, configuration, live_route, lock, lot_body};
use std::time::Duration;

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const SERVICE: &str = "lm";
const LOT: &str = "7c41e09b52d6a3f8";
const SECOND_LOT: &str = "8d52f1ac63e7b409";
const ITEMS: usize = 20;
/// Lots have so long once traffic has ended.
const FINISH: Duration = Duration::from_secs(10);
/// For so long before the judgement nothing else happens.
const CALM_MS: u64 = 5_000;

fn main() -> std::process::ExitCode {
    fleet::run_case(case)
}

async fn case(program: std::path::PathBuf, mut record: Record) -> Verdict {
    let fleet = match Fleet::start(program, &[SERVICE, SERVICE]).await {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::NotRun(why),
    };
    let verdict = play(&fleet, &mut record).await;
    fleet.end().await;
    verdict.unwrap_or_else(Verdict::NotRun)
}

fn items(lot: &str) -> Vec<(String, String)> {
    (0..ITEMS).map(|n| (format!("{}{n:04x}", &lot[..8]), format!("{PREFIX}3/{n:04}"))).collect()
}

async fn play(fleet: &Fleet, record: &mut Record) -> Result<Verdict, String> {
    let routes = |bulk: &str| {
        [live_route("r-live", HOST, "/lohu930/", SERVICE), bulk_route(bulk, HOST, PREFIX, SERVICE)]
    };
    let first = configuration(5, &routes("r-digest"), &[SERVICE]);
    let status = fleet.put_configuration(0, &first).await?;
    record.say(format!("configuration 5, bulk route r-digest: {status}"));
    if status != 200 {
        return Err("the first configuration was not taken".to_owned());
    }
    fleet.all_ready().await?;
    tokio::time::sleep(Duration::from_secs(4)).await;

    // The engines are full for a moment, so that the items wait.
    lock(&fleet.world).turns_away = true;
    let relay = fleet.relays()[0];
    let head = format!("POST {PREFIX}{LOT}");
    let end = fleet.lot_call(relay, &head, HOST, &lot_body(&items(LOT))).await;
    let status = end.response().and_then(|answer| answer.status());
    record.say(format!("lot {LOT} of {ITEMS} items: {status:?}"));
    if status != Some(202) {
        return Err("the lot was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Both ways the configuration changes once; only with the trouble the name does too.
    let name = if fleet::with_trouble() { "r-digest-2" } else { "r-digest" };
    let second = configuration(7, &routes(name), &[SERVICE]);
    let status = fleet.put_configuration(5, &second).await?;
    record.say(format!("configuration 7, bulk route {name}, otherwise the same: {status}"));
    if status != 200 {
        return Err("the second configuration was not taken".to_owned());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    lock(&fleet.world).turns_away = false;
    record.say("engines have room from now on");
    tokio::time::sleep(Duration::from_secs(3)).await;

    // A lot that comes now shows that the route works.
    let head = format!("POST {PREFIX}{SECOND_LOT}");
    let end = fleet.lot_call(relay, &head, HOST, &lot_body(&items(SECOND_LOT))).await;
    let status = end.response().and_then(|answer| answer.status());
    record.say(format!("lot {SECOND_LOT} of {ITEMS} items: {status:?}; traffic has ended"));
    tokio::time::sleep(FINISH).await;

    let now = fleet.now();
    let mut is_broken = false;
    for lot in [SECOND_LOT, LOT] {
        let (_, page) = fleet.read_lot(lot, HOST).await?;
        let results = page["results"].as_array().cloned().unwrap_or_default();
        let of = |state: &str| results.iter().filter(|result| result["state"] == state).count();
        let (completed, abandoned) = (of("completed"), of("abandoned"));
        let unlisted = ITEMS - results.len();
        record.say(format!(
            "lot {lot}: total {}, {completed} completed, {abandoned} abandoned, {unlisted} not listed",
            page["total"]
        ));
        let runs: Vec<_> = items(lot).iter().flat_map(|(id, _)| fleet.runs_of(id)).collect();
        let last = runs.iter().map(|run| run.ended.unwrap_or(now)).max();
        record
            .say(format!("lot {lot}: {} runs at engines, the last ended at {last:?}", runs.len()));
        if lot == SECOND_LOT && unlisted > 0 {
            return Err("the lot that came after the change did not run".to_owned());
        }
        let was_calm = last.is_none_or(|last| last + CALM_MS <= now);
        is_broken |= lot == LOT && unlisted > 0 && was_calm;
    }
    let waits = std::env::var("WAIT").is_ok();
    if waits {
        tokio::time::sleep(Duration::from_secs(28)).await;
        let (_, page) = fleet.read_lot(LOT, HOST).await?;
        let results = page["results"].as_array().cloned().unwrap_or_default();
        let abandoned = results.iter().filter(|result| result["state"] == "abandoned").count();
        record.say(format!("28 s later: {} listed, {abandoned} of them abandoned", results.len()));
    }
    record.say(if is_broken { "LOST is broken" } else { "LOST held" });
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
