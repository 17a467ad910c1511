//! Parsing of client requests: whatever they contain, the malformed field is named.

use topazyard_relay::front::{batches::parse_items, prompt_request::parse};
use topazyard_types::{DurationMs, Tokens};
use topazyard_wire::api::Code;

fn head(pairs: &[(&'static str, &str)]) -> hyper::HeaderMap {
    let mut head = hyper::HeaderMap::new();
    for (name, value) in pairs {
        head.insert(*name, value.parse().expect("a header value"));
    }
    head
}

const BODY: &[u8] = br#"{"inputs":"one two","parameters":{"max_new_tokens":8}}"#;

#[test]
fn headers_are_parsed_and_the_greater_token_count_applies() {
    let head = head(&[
        ("topazyard-model", "m"),
        ("topazyard-token-count", "90"),
        ("topazyard-time-remaining", "1500"),
        ("topazyard-prefix", "house, checks"),
        ("topazyard-repeatable", "true"),
    ]);
    let metadata = parse(&head, BODY).expect("a proper request");
    assert_eq!(metadata.cost, Tokens(98));
    assert_eq!(metadata.timeout, DurationMs(1_500));
    assert_eq!(metadata.prefix, ["house", "checks"]);
    assert!(metadata.repeatable);
}

#[test]
fn malformed_headers_and_bodies_are_named() {
    for (name, value) in [
        ("topazyard-token-count", "many"),
        ("topazyard-time-remaining", "-1"),
        ("topazyard-repeatable", "yes"),
    ] {
        let error = parse(&head(&[("topazyard-model", "m"), (name, value)]), BODY).unwrap_err();
        assert_eq!(error.code, Code::Malformed);
        assert_eq!(error.field.map(|field| field.to_lowercase()).as_deref(), Some(name));
    }
    let error = parse(&head(&[]), BODY).unwrap_err();
    assert_eq!(error.field.as_deref(), Some("Topazyard-Model"));
    let error = parse(&head(&[("topazyard-model", "m")]), b"not json").unwrap_err();
    assert_eq!(error.field.as_deref(), Some("body"));
}

#[test]
fn arbitrary_headers_and_bodies_are_parsed_or_refused() {
    bolero::check!().with_type::<(Vec<u8>, Vec<u8>, Vec<u8>)>().with_iterations(3_000).for_each(
        |(model, count, body)| {
            let mut head = hyper::HeaderMap::new();
            if let Ok(value) = hyper::header::HeaderValue::from_bytes(model) {
                head.insert("topazyard-model", value);
            }
            if let Ok(value) = hyper::header::HeaderValue::from_bytes(count) {
                head.insert("topazyard-token-count", value);
            }
            if let Err(error) = parse(&head, body) {
                assert_eq!(error.code.status(), 400);
                assert!(error.field.is_some());
            }
            if let Err(error) = parse_items(body) {
                assert!(error.field.is_some());
            }
        },
    );
}

#[test]
fn malformed_item_body_is_named_by_its_index() {
    let text = br#"{"items":[{"model":"m","body":{"inputs":"a"}},{"model":"m","body":{}}]}"#;
    assert_eq!(parse_items(text).unwrap_err().field.as_deref(), Some("items[1].body"));
}
