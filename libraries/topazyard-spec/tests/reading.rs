//! Declarations: every fault is reported with its location, and no input causes a panic.

use topazyard_spec::{
    Configuration, EngineList, FaultReason, NodeSettings, ReadError, Settings, SettingsError,
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
