//! A storage node.

use clap::Parser as _;
use topazyard_wire::driver::StartError;
use topazyard_wire::message::cohort::{Duty, Member};

/// Keeps the in-flight counter and parcel shards
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::exit_code(run(Flags::parse().settings))
}

fn run(settings: topazyard_spec::Settings) -> Result<(), StartError> {
    let settings = topazyard_spec::NodeSettings::check(settings)?;
    let folder = settings.need_data()?;
    let disk = topazyard_wire::disk::open(&folder)?;
    topazyard_wire::log::start(Some(folder)).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::settled_id(&disk)?;
    let start = topazyard_storage::Start {
        member: Member {
            id: node,
            address: settings.address,
            http: settings.http,
            duty: Duty::Storage,
            domain: settings.domain.clone(),
        },
        seeds: settings.seeds.clone(),
        chance: rand::random(),
        loaded: disk.loaded,
    };
    let place =
        topazyard_wire::driver::Place { fleet: settings.fleet, node, address: settings.address };
    topazyard_wire::driver::run_process(async move {
        let (tasks, _no_tasks) = tokio::sync::mpsc::channel(1);
        let make = |_| (topazyard_storage::StorageMachine::new(start), Vec::new());
        let handle = topazyard_wire::driver::spawn(make, place, Some(disk.database), tasks)?;
        match settings.http {
            None => std::future::pending().await,
            Some(http) => {
                let listener = topazyard_wire::http::inward::bind(http).await?;
                topazyard_wire::http::inward::serve(listener, move |request| {
                    answer(handle.clone(), request)
                })
                .await;
                Ok(())
            }
        }
    })
}

/// Says how this node fares, at `GET /vitals`.
async fn answer(
    handle: topazyard_wire::driver::Handle<topazyard_storage::StorageMachine>,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<topazyard_wire::http::Body> {
    use topazyard_wire::api::{ApiError, Code};
    if request.uri().path() != "/vitals" {
        let error = ApiError::not_run(Code::NoSuchPath).at(request.uri().path());
        return topazyard_wire::http::error(&error);
    }
    match handle.call(topazyard_storage::machine::StorageCall::Vitals).await {
        Ok(vitals) => topazyard_wire::http::json(200, &vitals),
        Err(_) => topazyard_wire::http::error(&ApiError::not_run(Code::NoShard)),
    }
}
