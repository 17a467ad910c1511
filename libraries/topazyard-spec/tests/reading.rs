//! Declarations: every fault is reported with its location, and no input causes a panic.

use topazyard_spec::{
    Configuration, EngineList, Fault, FaultReason, NodeSettings, Patch, ReadError, Settings,
    SettingsError,
};

#[test]
fn all_faults_are_reported_with_their_locations() {
    let text = r#"{"pools":[{"name":"main","limit_tokens":0},{"name":"main"}],
        "lanes":[{"name":"","kind":"live","models":[],"pool":"other"}],
        "weights":{"live_floor_percent":80,"live_start_percent":50,"live_ceiling_percent":90}}"#;
    let Err(ReadError::Faults(faults)) = Configuration::read(text) else { panic!("accepted") };
    let places: Vec<&str> = faults.iter().map(|fault| fault.place.as_str()).collect();
    for place in [
        "pools[0].limit_tokens",
        "lanes[0].name",
        "lanes[0].models",
        "pools[1].name",
        "lanes[0].pool",
        "weights",
    ] {
        assert!(places.contains(&place), "{place} is missing in {places:?}");
    }
    assert!(faults.iter().any(|f| f.reason == FaultReason::UnknownPool("other".to_owned())));
}

#[test]
fn unknown_fields_are_faults() {
    let text = r#"{"pools":[{"name":"main","limit":5}],"lanes":[]}"#;
    assert!(matches!(Configuration::read(text), Err(ReadError::Faults(_))));
    let text = r#"{"engines":[],"more":1}"#;
    assert!(matches!(EngineList::read(text), Err(ReadError::Faults(_))));
}

/// Checks that the text is rejected with exactly this message, which includes names of structs.
fn assert_wrong_shape<T: std::fmt::Debug>(text: &str, read: Result<T, ReadError>, message: &str) {
    let (_, place) = message.split_once(" at ").expect("a message with a location");
    let reason = FaultReason::Shape(message.to_owned());
    let expected = ReadError::Faults(vec![Fault { place: place.to_owned(), reason }]);
    assert_eq!(read.expect_err(text), expected, "{text}");
}

// Callers receive these texts. serde builds them from names of structs, so a renamed struct would
// change them.
#[test]
fn configurations_of_the_wrong_json_type_are_rejected_with_stable_texts() {
    for (text, message) in [
        ("3", "invalid type: integer `3`, expected struct Bundle at line 1 column 1"),
        (r#""x""#, r#"invalid type: string "x", expected struct Bundle at line 1 column 3"#),
        ("null", "invalid type: null, expected struct Bundle at line 1 column 4"),
        ("[]", "invalid length 0, expected struct Bundle with 6 elements at line 1 column 2"),
        (r#"{"lanes":[3]}"#, "invalid type: integer `3`, expected struct Lane at line 1 column 11"),
        (
            r#"{"lanes":[[]]}"#,
            "invalid length 0, expected struct Lane with 5 elements at line 1 column 12",
        ),
        (
            r#"{"lanes":[["a"]]}"#,
            "invalid length 1, expected struct Lane with 5 elements at line 1 column 15",
        ),
        (
            r#"{"lanes":[{"name":3}]}"#,
            "invalid type: integer `3`, expected a string at line 1 column 19",
        ),
        (
            r#"{"lanes":[{"kind":"x"}]}"#,
            "unknown variant `x`, expected one of `live`, `batch`, `parcel`, `both` \
             at line 1 column 21",
        ),
        (
            r#"{"lanes":[{"kind":{"live":3}}]}"#,
            "invalid type: integer `3`, expected unit at line 1 column 27",
        ),
        (r#"{"pools":[3]}"#, "invalid type: integer `3`, expected struct Pool at line 1 column 11"),
        (
            r#"{"pools":[[]]}"#,
            "invalid length 0, expected struct Pool with 6 elements at line 1 column 12",
        ),
        (
            r#"{"pools":[{"engine":3}]}"#,
            "invalid type: integer `3`, expected struct EngineShape at line 1 column 21",
        ),
        (
            r#"{"routes":[3]}"#,
            "invalid type: integer `3`, expected struct Route at line 1 column 12",
        ),
        (
            r#"{"routes":[[]]}"#,
            "invalid length 0, expected struct Route with 13 elements at line 1 column 13",
        ),
        (
            r#"{"routes":[{"kind":"x"}]}"#,
            "unknown variant `x`, expected one of `safe`, `unsafe`, `streaming`, `batch` \
             at line 1 column 22",
        ),
        (
            r#"{"routes":[{"pools":[3]}]}"#,
            "invalid type: integer `3`, expected struct PoolShare at line 1 column 22",
        ),
        (
            r#"{"routes":[{"batch":3}]}"#,
            "invalid type: integer `3`, expected struct BatchTerms at line 1 column 21",
        ),
        (
            r#"{"clients":3}"#,
            "invalid type: integer `3`, expected struct ClientLimits at line 1 column 12",
        ),
        (
            r#"{"batches":3}"#,
            "invalid type: integer `3`, expected struct BatchLimits at line 1 column 12",
        ),
        (
            r#"{"weights":3}"#,
            "invalid type: integer `3`, expected struct WeightBounds at line 1 column 12",
        ),
    ] {
        assert_wrong_shape(text, Configuration::read(text), message);
    }
    // A kind that is neither a string nor an object counts as a syntax error.
    for (text, column) in [(r#"{"lanes":[{"kind":3}]}"#, 19), (r#"{"routes":[{"kind":3}]}"#, 20)] {
        let expected = ReadError::NotJson { line: 1, column };
        assert_eq!(Configuration::read(text), Err(expected), "{text}");
    }
}

// Like configurations: these texts contain names of structs too.
#[test]
fn engine_lists_and_patches_of_the_wrong_json_type_are_rejected_with_stable_texts() {
    for (text, message) in [
        ("3", "invalid type: integer `3`, expected struct EngineList at line 1 column 1"),
        ("[]", "invalid length 0, expected struct EngineList with 1 element at line 1 column 2"),
        (
            r#"{"engines":[3]}"#,
            "invalid type: integer `3`, expected struct Engine at line 1 column 13",
        ),
        (
            r#"{"engines":[[]]}"#,
            "invalid length 0, expected struct Engine with 7 elements at line 1 column 14",
        ),
        (
            r#"{"engines":[{"state":"x"}]}"#,
            "unknown variant `x`, expected one of `ready`, `cold`, `leaving` at line 1 column 24",
        ),
    ] {
        assert_wrong_shape(text, EngineList::read(text), message);
    }
    for (text, message) in [
        ("3", "invalid type: integer `3`, expected struct Patch at line 1 column 1"),
        (r#"{"upsert":3}"#, "invalid type: integer `3`, expected a map at line 1 column 11"),
    ] {
        assert_wrong_shape(text, Patch::read(text), message);
    }
}

#[test]
fn any_text_gives_a_declaration_or_a_typed_error() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(3_000).for_each(|bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert!(Configuration::read(&text).is_err());
        if let Ok(list) = EngineList::read(&text) {
            assert!(list.engines.len() <= 4_096);
        }
    });
}

fn flags() -> Settings {
    Settings {
        fleet: Some(7),
        address: Some("127.0.0.1:1".into()),
        zone: Some("north".into()),
        seeds: Some(["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(str::to_owned).into()),
        ..Settings::default()
    }
}

#[test]
fn invalid_settings_are_reported_by_name() {
    assert!(NodeSettings::check(flags()).is_ok());
    let seeds = Some(vec!["127.0.0.1:1".to_owned(); 3]);
    let repeated = NodeSettings::check(Settings { seeds, ..flags() });
    assert_eq!(repeated, Err(SettingsError::Seeds(1)));
    let named = NodeSettings::check(Settings { address: Some("here:1".into()), ..flags() });
    assert!(matches!(named, Err(SettingsError::NotAnAddress { setting: "address", .. })));
    let file = Some("/nonexistent/settings.json".into());
    let missing = NodeSettings::check(Settings { settings: file, ..flags() });
    assert!(matches!(missing, Err(SettingsError::Unreadable(_))));
}

// Stored configurations may still use the former field name `parcels` and kind `parcel`.
#[test]
fn configurations_with_the_former_field_names_can_be_read() {
    let configuration = |kind: &str, limits: &str| {
        let text = format!(
            r#"{{"pools":[{{"name":"main","limit_tokens":1000}}],
            "lanes":[{{"name":"l","kind":"{kind}","models":["m"],"pool":"main"}}],
            "{limits}":{{"waiting_ceiling_tokens":1000,"max_items":7,"max_item_bytes":1000}}}}"#
        );
        Configuration::read(&text).expect("a configuration")
    };
    let older = configuration("parcel", "parcels");
    assert_eq!(older.batches.max_items, 7);
    assert_eq!(older, configuration("batch", "batches"));
}
