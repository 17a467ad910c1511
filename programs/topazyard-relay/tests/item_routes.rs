//! Items of accepted batches while the configuration changes: an item's route follows from its host
//! and path under the configuration in force, whatever the routes are named.

mod item_relay;

use item_relay::{Relay, batch_route, live_route, original_paths, status};
use topazyard_relay::machine::EngineOutcome;
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_spec::Route;
use topazyard_types::{EngineName, ItemNumber, Tokens};
use topazyard_wire::api::Code;
use topazyard_wire::message::batch::{
    BatchCall, BatchResponse, Progress, Run, RunEnd, WaitingCeiling,
};
use topazyard_wire::routes::RoutePaths;

/// The route under which the batch was accepted.
fn original() -> Route {
    batch_route("r", "/b/", "main")
}

/// A ready relay that has requested a lease under the original route.
fn leasing_relay() -> Relay {
    let mut relay = Relay::ready();
    relay.tick(25);
    relay.last_lease_request();
    relay.tick(500);
    relay
}

/// The routes of a lease request after a change of the configuration.
fn lease_routes_after(routes: &[Route]) -> Vec<RoutePaths> {
    let mut relay = leasing_relay();
    let (call, _) = relay.last_lease_request();
    relay.receive_shard(call, BatchResponse::Leased(Vec::new()));
    relay.receive_routes(2, routes);
    relay.tick(500);
    let (next, _, routes) = relay.last_lease();
    assert_ne!(next, call, "no lease request after the change");
    routes.to_vec()
}

/// A relay that leases an item under the original route and whose configuration then changes.
fn changed_after_lease(routes: &[Route]) -> Relay {
    let mut relay = leasing_relay();
    relay.lease_item(Progress::default());
    relay.receive_routes(2, routes);
    relay
}

/// A relay that is about to send an item when its configuration changes.
fn changed_before_dispatch(routes: &[Route]) -> (Relay, Run) {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.start_item();
    relay.tick(500);
    relay.receive_routes(2, routes);
    (relay, run)
}

/// The response to the last check before an item is sent to engine e1.
fn dispatch(relay: &mut Relay, run: Run) -> &RelayResponse {
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    relay.last_response()
}

fn engines_of_runs(relay: &Relay) -> Vec<&str> {
    relay.runs.iter().map(|run| run.target.engine.0.as_str()).collect()
}

/// Configurations in which the original route's name means something else, and its prefix has no
/// batch route.
fn name_given_away() -> Vec<(&'static str, Vec<Route>)> {
    let other_host = Route { host: "b.example".to_owned(), ..batch_route("r", "/b/", "other") };
    vec![
        ("to another prefix", vec![batch_route("r", "/c/", "other")]),
        ("to another prefix with the same pool", vec![batch_route("r", "/c/", "main")]),
        ("to another host", vec![other_host]),
        ("to a live route", vec![live_route("r", "/c/", "other")]),
        ("to a live route of the same prefix", vec![live_route("r", "/b/", "main")]),
    ]
}

// Guards against an item that runs at a service that its path never went to, once the name of its
// route was given to another route (ROUTE).
#[test]
fn item_never_runs_by_a_route_that_only_has_its_routes_name() {
    for (change, routes) in name_given_away() {
        let mut relay = leasing_relay();
        relay.receive_routes(2, &routes);
        relay.lease_item(Progress::default());
        relay.grant_hold();
        assert_eq!(engines_of_runs(&relay), Vec::<&str>::new(), "{change}");
        assert_eq!(relay.finished(), Some(&RunEnd::NotRun), "{change}");
    }
}

// Guards against the same between the lease of an item and the grant of its hold.
#[test]
fn item_whose_routes_name_is_given_away_while_it_waits_for_its_hold_is_not_started() {
    for (change, routes) in name_given_away() {
        let mut relay = changed_after_lease(&routes);
        relay.grant_hold();
        assert_eq!(engines_of_runs(&relay), Vec::<&str>::new(), "{change}");
        assert_eq!(relay.finished(), Some(&RunEnd::NotRun), "{change}");
        assert_eq!(relay.released, relay.holds, "{change}");
    }
}

// Guards against the same in the last check before an item is sent.
#[test]
fn item_whose_routes_name_is_given_away_while_it_connects_is_not_sent() {
    for (change, routes) in name_given_away() {
        let (mut relay, run) = changed_before_dispatch(&routes);
        dispatch(&mut relay, run);
        assert_eq!(relay.last_code(), Some(Code::NoLane), "{change}");
    }
}

// Guards against items that are handed back again and again, once their route has another name.
#[test]
fn item_runs_on_under_its_routes_new_name() {
    let renamed = [batch_route("renamed", "/b/", "main")];
    let mut relay = leasing_relay();
    relay.receive_routes(2, &renamed);
    relay.lease_item(Progress::default());
    relay.grant_hold();
    assert_eq!(engines_of_runs(&relay), ["e1"]);

    let mut relay = changed_after_lease(&renamed);
    relay.grant_hold();
    assert_eq!(engines_of_runs(&relay), ["e1"]);

    let (mut relay, run) = changed_before_dispatch(&renamed);
    assert!(matches!(dispatch(&mut relay, run), RelayResponse::SendBefore(_)));
}

// Guards against items that change places when two routes swap their names in one version.
#[test]
fn item_stays_on_its_path_when_two_routes_swap_names() {
    let swapped = [batch_route("r", "/c/", "other"), batch_route("s", "/b/", "main")];
    let mut relay = leasing_relay();
    relay.receive_routes(2, &swapped);
    relay.lease_item(Progress::default());
    relay.grant_hold();
    assert_eq!(engines_of_runs(&relay), ["e1"]);
}

// Guards against an item that runs by a shorter prefix than the longest that begins its path.
#[test]
fn item_follows_a_longer_prefix_that_takes_its_path() {
    let taken = [original(), batch_route("longer", "/b/3/", "other")];
    let mut relay = leasing_relay();
    relay.receive_routes(2, &taken);
    relay.lease_item(Progress::default());
    relay.grant_hold();
    assert_eq!(engines_of_runs(&relay), ["e2"]);

    let (mut relay, run) = changed_before_dispatch(&taken);
    dispatch(&mut relay, run);
    assert_eq!(relay.last_code(), Some(Code::NoLane), "it was started for another pool");
}

// Guards against an item that runs as a batch item where its path has become a live route's.
#[test]
fn item_whose_path_a_live_route_takes_is_handed_back() {
    let taken = [original(), live_route("longer", "/b/3/", "main")];
    let mut relay = leasing_relay();
    relay.receive_routes(2, &taken);
    relay.lease_item(Progress::default());
    relay.grant_hold();
    assert_eq!(engines_of_runs(&relay), Vec::<&str>::new());
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
}

// Guards against an item that is sent to the old service of its route.
#[test]
fn item_is_not_sent_to_a_service_that_its_route_left() {
    let (mut relay, run) = changed_before_dispatch(&[batch_route("r", "/b/", "other")]);
    dispatch(&mut relay, run);
    assert_eq!(relay.last_code(), Some(Code::NoLane));
}

// Guards against items that wait for a lease that no relay requests, once their route has another
// name (LOST).
#[test]
fn leases_are_requested_for_the_same_paths_under_any_name() {
    for name in ["r", "renamed"] {
        let routes = lease_routes_after(&[batch_route(name, "/b/", "main")]);
        assert_eq!(routes, [original_paths()], "{name}");
    }
}

// Guards against leases of items whose paths belong to a longer prefix of another route.
#[test]
fn leases_leave_out_longer_prefixes_of_other_routes() {
    let routes = lease_routes_after(&[
        original(),
        batch_route("x", "/b/x/", "other"),
        live_route("y", "/b/long/", "other"),
        live_route("z", "/z/", "main"),
    ]);
    let excluded = vec!["/b/long/".to_owned(), "/b/x/".to_owned()];
    let inner = RoutePaths { prefix: "/b/x/".to_owned(), ..original_paths() };
    assert_eq!(routes, [inner, RoutePaths { excluded, ..original_paths() }]);
}

// Guards against a relay that still requests leases for a route that is gone.
#[test]
fn no_lease_is_requested_without_a_batch_route() {
    let mut relay = leasing_relay();
    let (call, _) = relay.last_lease_request();
    relay.receive_shard(call, BatchResponse::Leased(Vec::new()));
    relay.receive_routes(2, &[live_route("r", "/b/", "main")]);
    relay.tick(500);
    assert_eq!(relay.last_lease().0, call);
}

/// The ceilings that a submission of an item below `/b/3/` carries under these routes.
fn submitted_ceilings(routes: &[Route]) -> Vec<WaitingCeiling> {
    let mut relay = leasing_relay();
    relay.receive_routes(2, routes);
    relay.submit();
    let submitted = relay.calls.iter().find_map(|(_, call)| match call {
        BatchCall::SubmitRouted(routed) => Some(routed.ceilings.clone()),
        _ => None,
    });
    submitted.expect("the batch is sent")
}

// Guards against a ceiling that counts other items than those of the route in force.
#[test]
fn submission_carries_the_ceiling_of_the_route_that_takes_its_items() {
    let longer = Route { name: "longer".into(), ..batch_route("x", "/b/3/", "main") };
    let inner = RoutePaths { prefix: "/b/3/".to_owned(), ..original_paths() };
    let ceiling = |paths| WaitingCeiling { paths, tokens: Tokens(700) };
    assert_eq!(submitted_ceilings(&[original()]), [ceiling(original_paths())]);
    assert_eq!(submitted_ceilings(&[original(), longer]), [ceiling(inner)]);
}

// Guards against a limit of no tokens where the route has no limit.
#[test]
fn submission_carries_no_ceiling_where_the_route_has_none() {
    let mut unlimited = original();
    unlimited.batch.as_mut().expect("batch terms").ceiling_tokens = Tokens(0);
    assert_eq!(submitted_ceilings(&[unlimited]), []);
}

// Guards against a batch that is refused with 404, or accepted under the terms of another route,
// because its route's name changed between its admission and its submission.
#[test]
fn batch_is_submitted_on_the_route_that_has_its_path_under_any_name() {
    let other_terms = Route { max_attempts: 9, ..batch_route("r", "/c/", "other") };
    let mut relay = leasing_relay();
    relay.receive_routes(2, &[other_terms, batch_route("renamed", "/b/", "main")]);
    relay.submit();
    let submitted = relay.calls.iter().find_map(|(_, call)| match call {
        BatchCall::SubmitRouted(routed) => Some(&routed.terms),
        _ => None,
    });
    assert_eq!(submitted.map(|terms| terms.max_attempts), Some(2));
}

// Guards against a batch that is kept until its client gives up, or accepted and never run, because
// an item's path has no batch route.
#[test]
fn batch_with_an_item_without_a_batch_route_is_refused_unless_it_is_known() {
    let taken = [original(), live_route("longer", "/b/3/", "main")];
    let refused = BatchResponse::Unrouted(ItemNumber(0));
    for (response, status) in [(refused, Some(404)), (BatchResponse::Accepted(status()), None)] {
        let mut relay = leasing_relay();
        relay.receive_routes(2, &taken);
        relay.submit();
        let submitted = relay.calls.iter().find_map(|(call, body)| match body {
            BatchCall::SubmitRouted(routed) => Some((*call, routed.unrouted_item)),
            _ => None,
        });
        let (call, unrouted_item) = submitted.expect("the shard decides whether it is known");
        assert_eq!(unrouted_item, Some(ItemNumber(0)));
        relay.receive_shard(call, response);
        assert_eq!(relay.last_code().map(Code::status), status);
    }
}

// Guards against a result that joins the output of two services, because the route moved while an
// interrupted item waited for its next run.
#[test]
fn item_resumes_only_in_the_pool_in_which_it_was_interrupted() {
    for (pool, resumes) in [("main", true), ("other", false)] {
        let mut relay = Relay::ready();
        relay.tick(25);
        let run = relay.start_item();
        let progress = Progress { last_event: Some(7), text: "more".to_owned(), pool: None };
        let end = RunEnd::Interrupted(progress.clone());
        relay.call(RelayCall::RoutedItemEnded(run, end, EngineOutcome::Aborted));
        let Some(RunEnd::Interrupted(reported)) = relay.finished().cloned() else {
            panic!("{:?}", relay.finished());
        };
        assert_eq!(reported, Progress { pool: Some("main".into()), ..progress });

        let mut relay = leasing_relay();
        relay.receive_routes(2, &[batch_route("r", "/b/", pool)]);
        relay.lease_item(reported.clone());
        relay.grant_hold();
        let started = relay.runs.first().map(|run| run.progress.clone());
        assert_eq!(started, Some(if resumes { reported } else { Progress::default() }), "{pool}");
    }
}
