//! The name of a bulk route is given to a route of another path and service: where do the items run
//! that were accepted before it?

mod fleet;

use fleet::{Fleet, Record, Verdict, bulk_route, configuration, live_route, lock, lot_body};
use std::time::Duration;

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const OTHER_PREFIX: &str = "/kolo118/";
const SERVICE: &str = "lm-digest";
const OTHER_SERVICE: &str = "lm-summary";
const LOT: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 20;

fn main() -> std::process::ExitCode {
    fleet::run_case(case)
}

async fn case(program: std::path::PathBuf, mut record: Record) -> Verdict {
    let fleet = match Fleet::start(program, &[SERVICE, OTHER_SERVICE]).await {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::NotRun(why),
    };
    let verdict = play(&fleet, &mut record).await;
    fleet.end().await;
    verdict.unwrap_or_else(Verdict::NotRun)
}

fn items() -> Vec<(String, String)> {
    (0..ITEMS).map(|n| (format!("{}{n:04x}", &LOT[..8]), format!("{PREFIX}3/{n:04}"))).collect()
}

async fn play(fleet: &Fleet, record: &mut Record) -> Result<Verdict, String> {
    let services = [SERVICE, OTHER_SERVICE];
    let live = live_route("r-live", HOST, "/lohu930/", SERVICE);
    let before = [live.clone(), bulk_route("r-bulk", HOST, PREFIX, SERVICE)];
    let after = [live, bulk_route("r-bulk", HOST, OTHER_PREFIX, OTHER_SERVICE)];
    let status = fleet.put_configuration(0, &configuration(5, &before, &services)).await?;
    record.say(format!("configuration 5, r-bulk: {PREFIX} goes to {SERVICE}: {status}"));
    if status != 200 {
        return Err("the first configuration was not taken".to_owned());
    }
    fleet.all_ready().await?;
    tokio::time::sleep(Duration::from_secs(4)).await;

    // The engines are full for a moment, so that the items wait.
    lock(&fleet.world).turns_away = true;
    let head = format!("POST {PREFIX}{LOT}");
    let end = fleet.lot_call(fleet.relays()[0], &head, HOST, &lot_body(&items())).await;
    let status = end.response().and_then(|answer| answer.status());
    record.say(format!("lot {LOT} of {ITEMS} items with paths under {PREFIX}: {status:?}"));
    if status != Some(202) {
        return Err("the lot was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Both ways the configuration changes once; without the trouble only its version does.
    let (text, says) = match fleet::with_trouble() {
        true => (&after, format!("{OTHER_PREFIX} goes to {OTHER_SERVICE}, {PREFIX} has no route")),
        false => (&before, format!("{PREFIX} goes to {SERVICE}")),
    };
    let status = fleet.put_configuration(5, &configuration(7, text, &services)).await?;
    let acknowledged = fleet.now();
    record.say(format!("configuration 7, r-bulk: {says}: {status}, at {acknowledged}"));
    if status != 200 {
        return Err("the second configuration was not taken".to_owned());
    }
    // Whatever an older configuration allows is over by then.
    tokio::time::sleep(Duration::from_secs(3)).await;
    lock(&fleet.world).turns_away = false;
    record.say("engines have room from now on");
    tokio::time::sleep(Duration::from_secs(10)).await;

    let mut foreign = 0;
    let mut at_home = 0;
    for (id, path) in items() {
        for run in fleet.runs_of(&id) {
            let is_foreign = run.service != SERVICE;
            foreign += usize::from(is_foreign);
            at_home += usize::from(!is_foreign);
            if is_foreign && foreign <= 3 {
                record.say(format!(
                    "item {id} with path {path} ran at {} of {} from {} to {:?}",
                    run.engine, run.service, run.began, run.ended
                ));
            }
        }
    }
    record.say(format!("runs at {SERVICE}: {at_home}, at {OTHER_SERVICE}: {foreign}"));
    if let Ok((_, page)) = fleet.read_lot(LOT, HOST).await {
        let results = page["results"].as_array().cloned().unwrap_or_default();
        let shown = results.first().map(|result| result["text"].to_string());
        let shown: String = shown.unwrap_or_default().chars().take(60).collect();
        let is_foreign = |text: &str| text.contains(OTHER_SERVICE);
        let wrong = results.iter().filter(|r| r["text"].as_str().is_some_and(is_foreign)).count();
        record.say(format!(
            "the client reads {} results, {wrong} of them with text of {OTHER_SERVICE}: {shown}...",
            results.len()
        ));
    }
    if !fleet::with_trouble() && at_home < ITEMS {
        return Err("the items did not run without the trouble either".to_owned());
    }
    record.say(if foreign > 0 { "ROUTE is broken" } else { "ROUTE held" });
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
