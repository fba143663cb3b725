//! Which requests count as the same one.

use dragonflyrill_fleet::fingerprint::{Asked, Fingerprint};

const ASKED: Asked<'_> = Asked {
    host: "h.example",
    method: "POST",
    path: "/stream/x?a=1",
    workspace: Some("w1"),
    body: b"body",
};

#[test]
fn the_same_request_has_the_same_fingerprint() {
    assert_eq!(Fingerprint::of(&ASKED), Fingerprint::of(&ASKED.clone()));
}

#[test]
fn whatever_differs_in_what_is_asked_for_tells_requests_apart() {
    let others = [
        Asked {
            host: "i.example",
            ..ASKED
        },
        Asked {
            method: "PUT",
            ..ASKED
        },
        Asked {
            path: "/stream/x?a=2",
            ..ASKED
        },
        Asked {
            workspace: Some("w2"),
            ..ASKED
        },
        Asked {
            workspace: None,
            ..ASKED
        },
        Asked {
            body: b"another",
            ..ASKED
        },
    ];
    let mut all: Vec<Fingerprint> = others.iter().map(Fingerprint::of).collect();
    all.push(Fingerprint::of(&ASKED));
    all.sort();
    all.dedup();
    assert_eq!(all.len(), others.len() + 1);
}

#[test]
fn bytes_don_t_move_from_one_part_to_the_next() {
    let one = Asked {
        path: "/a",
        workspace: Some("b"),
        body: b"c",
        ..ASKED
    };
    for other in [
        Asked {
            path: "/ab",
            workspace: Some(""),
            body: b"c",
            ..ASKED
        },
        Asked {
            path: "/a",
            workspace: Some("bc"),
            body: b"",
            ..ASKED
        },
        Asked {
            path: "/a",
            workspace: None,
            body: b"bc",
            ..ASKED
        },
        Asked {
            workspace: Some(""),
            ..one
        },
    ] {
        assert_ne!(Fingerprint::of(&one), Fingerprint::of(&other), "{other:?}");
    }
    let none = Asked {
        workspace: None,
        ..one
    };
    let empty = Asked {
        workspace: Some(""),
        ..one
    };
    assert_ne!(Fingerprint::of(&none), Fingerprint::of(&empty));
}

#[test]
fn it_is_spelled_as_hex_and_goes_through_its_bytes() {
    let it = Fingerprint::of(&ASKED);
    let spelled = it.to_string();
    assert_eq!(spelled.len(), 32);
    assert!(spelled.bytes().all(|b| b.is_ascii_hexdigit()), "{spelled}");
    assert_eq!(Fingerprint::from(it.bytes()), it);
    assert_eq!(spelled.parse(), Ok(it));
    for wrong in [
        "",
        "00",
        "+0000000000000000000000000000000",
        "zz000000000000000000000000000000",
    ] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}
