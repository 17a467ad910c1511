//! Partial changes of a configuration: their result, and the kinds of changes that are rejected.

use topazyard_spec::{Configuration, Fault, FaultReason, Patch, ReadError};

fn route(name: &str, prefix: &str, pool: &str) -> serde_json::Value {
    serde_json::json!({ "name": name, "host": "a.example", "path_prefix": prefix, "kind": "safe",
        "pools": [{ "pool": pool, "weight": 1 }], "timeout_ms": 500, "max_attempts": 1 })
}

fn configuration() -> Configuration {
    let text = serde_json::json!({ "pools": [{ "name": "main" }, { "name": "other" }],
        "routes": [route("a", "/a/", "main"), route("b", "/b/", "main"), route("c", "/c/", "other")] });
    Configuration::read(&text.to_string()).expect("a valid configuration")
}

fn patched(patch: serde_json::Value) -> Result<Configuration, ReadError> {
    configuration().patched(&Patch::read(&patch.to_string())?)
}

fn faults(patch: serde_json::Value) -> Vec<Fault> {
    match patched(patch) {
        Err(ReadError::Faults(faults)) => faults,
        other => panic!("not rejected with faults: {other:?}"),
    }
}

fn names(configuration: &Configuration) -> Vec<&str> {
    configuration.routes.iter().map(|route| route.name.0.as_str()).collect()
}

#[test]
fn replaced_items_keep_their_position_and_added_items_come_last() {
    let after = patched(serde_json::json!({
        "upsert": { "routes": [route("d", "/d/", "main"), route("b", "/new/", "main")] },
        "remove": { "routes": ["a"] } }))
    .expect("a valid change");
    assert_eq!(names(&after), ["b", "c", "d"]);
    assert_eq!(after.routes[0].path_prefix, "/new/");
    assert_eq!(after.pools, configuration().pools);
}

#[test]
fn unnamed_items_do_not_change() {
    assert_eq!(patched(serde_json::json!({})).expect("an empty change"), configuration());
    let same = serde_json::json!({ "upsert": { "routes": [route("b", "/b/", "main")] } });
    assert_eq!(patched(same).expect("a valid change"), configuration());
}

#[test]
fn fields_are_replaced_as_a_whole() {
    let clients = serde_json::json!({ "fields": { "weights": { "live_floor_percent": 10,
        "live_start_percent": 20, "live_ceiling_percent": 30 } } });
    let after = patched(clients).expect("a valid change");
    assert_eq!(after.weights.live_ceiling_percent, 30);
    assert_eq!(after.routes, configuration().routes);
}

#[test]
fn a_pool_can_be_removed_only_together_with_its_last_route() {
    let alone = faults(serde_json::json!({ "remove": { "pools": ["other"] } }));
    assert!(alone.iter().any(|f| f.reason == FaultReason::UnknownPool("other".to_owned())));
    let both = serde_json::json!({ "remove": { "pools": ["other"], "routes": ["c"] } });
    assert_eq!(names(&patched(both).expect("a valid change")), ["a", "b"]);
}

#[test]
fn an_invalid_change_reports_the_location_of_each_fault() {
    let found = faults(serde_json::json!({
        "upsert": { "routes": [{ "host": "a" }, route("b", "/b/", "main"), route("b", "/x/", "main"),
            route("a", "/a/", "main")] },
        "remove": { "routes": ["a", "nobody", "c", "c"] } }));
    let places: Vec<&str> = found.iter().map(|fault| fault.place.as_str()).collect();
    assert_eq!(
        places,
        [
            "remove.routes[1]",
            "remove.routes[3]",
            "upsert.routes[0].name",
            "upsert.routes[2].name",
            "upsert.routes[3].name"
        ]
    );
    assert_eq!(found[0].reason, FaultReason::NotThere("nobody".to_owned()));
}

#[test]
fn changes_to_an_invalid_configuration_are_rejected() {
    for patch in [
        serde_json::json!({ "upsert": { "weights": [{ "name": "x" }] } }),
        serde_json::json!({ "upsert": { "unheard": [{ "name": "x" }] } }),
        serde_json::json!({ "fields": { "unheard": 1 } }),
        serde_json::json!({ "upsert": { "routes": [route("b", "/c/", "main"),
            route("c", "/c/", "main")] } }),
    ] {
        assert!(!faults(patch.clone()).is_empty(), "{patch}");
    }
    assert!(matches!(Patch::read(r#"{"insert": {}}"#), Err(ReadError::Faults(_))));
    assert!(matches!(Patch::read("{"), Err(ReadError::NotJson { .. })));
}
