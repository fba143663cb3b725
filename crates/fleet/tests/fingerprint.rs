//! Which requests have the same fingerprint.

use dragonflyrill_fleet::fingerprint::{Fingerprint, RequestIdentity};

const IDENTITY: RequestIdentity<'_> = RequestIdentity {
    host: "h.example",
    method: "POST",
    path: "/stream/x?a=1",
    workspace: Some("w1"),
    body: b"body",
};

#[test]
fn the_same_request_has_the_same_fingerprint() {
    assert_eq!(
        Fingerprint::of(&IDENTITY),
        Fingerprint::of(&IDENTITY.clone())
    );
}

#[test]
fn requests_that_differ_in_any_field_have_different_fingerprints() {
    let others = [
        RequestIdentity {
            host: "i.example",
            ..IDENTITY
        },
        RequestIdentity {
            method: "PUT",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/stream/x?a=2",
            ..IDENTITY
        },
        RequestIdentity {
            workspace: Some("w2"),
            ..IDENTITY
        },
        RequestIdentity {
            workspace: None,
            ..IDENTITY
        },
        RequestIdentity {
            body: b"another",
            ..IDENTITY
        },
    ];
    let mut all: Vec<Fingerprint> = others.iter().map(Fingerprint::of).collect();
    all.push(Fingerprint::of(&IDENTITY));
    all.sort();
    all.dedup();
    assert_eq!(all.len(), others.len() + 1);
}

#[test]
fn bytes_don_t_move_from_one_field_to_the_next() {
    let one = RequestIdentity {
        path: "/a",
        workspace: Some("b"),
        body: b"c",
        ..IDENTITY
    };
    for other in [
        RequestIdentity {
            path: "/ab",
            workspace: Some(""),
            body: b"c",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/a",
            workspace: Some("bc"),
            body: b"",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/a",
            workspace: None,
            body: b"bc",
            ..IDENTITY
        },
        RequestIdentity {
            workspace: Some(""),
            ..one
        },
    ] {
        assert_ne!(Fingerprint::of(&one), Fingerprint::of(&other), "{other:?}");
    }
    let none = RequestIdentity {
        workspace: None,
        ..one
    };
    let empty = RequestIdentity {
        workspace: Some(""),
        ..one
    };
    assert_ne!(Fingerprint::of(&none), Fingerprint::of(&empty));
}

#[test]
fn a_fingerprint_is_written_as_hex_and_converts_to_bytes_and_back() {
    let fingerprint = Fingerprint::of(&IDENTITY);
    let text = fingerprint.to_string();
    assert_eq!(text.len(), 32);
    assert!(text.bytes().all(|b| b.is_ascii_hexdigit()), "{text}");
    assert_eq!(Fingerprint::from(fingerprint.bytes()), fingerprint);
    assert_eq!(text.parse(), Ok(fingerprint));
    for wrong in [
        "",
        "00",
        "+0000000000000000000000000000000",
        "zz000000000000000000000000000000",
    ] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}

#[test]
fn parts_of_prompts_with_the_same_id_have_the_same_fingerprint() {
    let part = Fingerprint::of_prompt_part("5c1e07a2");
    assert_eq!(part, Fingerprint::of_prompt_part("5c1e07a2"));
    assert_ne!(part, Fingerprint::of_prompt_part("5c1e07a"));
    assert_ne!(part, Fingerprint::of_prompt_part(""));
    assert!(part.is_prompt_part());
    assert!(!Fingerprint::of(&IDENTITY).is_prompt_part());
}
