//! Keys of client accounts in the headers of requests.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderValue;
use wagtailbeam_adapter::http;
use wagtailbeam_decision::account::Credential;
use wagtailbeam_decision::digest::Digest;

fn credential(values: &[&[u8]]) -> Credential {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).unwrap();
        headers.append(header::AUTHORIZATION, value);
    }
    http::credential(&headers)
}

/// Guards against malformed credentials that are taken for a key.
#[test]
fn only_one_bearer_token_of_visible_characters_is_a_key() {
    let known = Credential::Key(Digest::of(b"k1"));
    for value in ["Bearer k1", "bearer k1", "BEARER   k1 "] {
        assert_eq!(credential(&[value.as_bytes()]), known, "{value}");
    }
    let longest = format!("Bearer {}", "k".repeat(4_096));
    assert_ne!(credential(&[longest.as_bytes()]), Credential::Unusable);
    let too_long = format!("Bearer {}", "k".repeat(64 * 1_024));
    let unusable: [&[&[u8]]; 10] = [
        &[],
        &[b""],
        &[b"k1"],
        &[b"Bearer"],
        &[b"Bearer "],
        &[b"Basic k1"],
        &[b"Bearer k1 k2"],
        &[b"Bearer k\xe9"],
        &[too_long.as_bytes()],
        &[b"Bearer k1", b"Bearer k1"],
    ];
    for values in unusable {
        assert_eq!(credential(values), Credential::Unusable, "{values:?}");
    }
}
