//! Pins the bytes of each kind of datagram, because proxies of different versions run in one fleet during an upgrade.
//! Postcard encodes fields and variants by their order, so a reordering fails here.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

use lotusdeck_fleet::load_gossip::LoadReport;
use lotusdeck_fleet::wire::{decode, encode, tag, Message};
use lotusdeck_fleet::{Amount, Identity, Limit, Node, NodeConfig, Seed};
use std::time::Duration;

const TAG: u32 = 0x0102_0304;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_bytes(message: &Message, expected: &str) {
    let bytes = encode(TAG, message);
    assert_eq!(hex(&bytes), expected);
    assert_eq!(decode(TAG, &bytes).as_ref(), Ok(message));
}

#[test]
fn membership_datagram_has_its_fixed_bytes() {
    assert_bytes(&Message::Swim(vec![1, 2, 255]), "4c4446310403020100030102ff");
}

#[test]
fn load_report_datagram_has_its_fixed_bytes() {
    let reports = vec![
        LoadReport { proxy_index: 3, reported_at: 1_700_000_000_000_000, in_flight: 42 },
        LoadReport { proxy_index: 200, reported_at: 5, in_flight: 300 },
    ];
    assert_bytes(&Message::LoadReports(reports), "4c444631040302010102038080f9c0c1c482032ac80105ac02");
}

#[test]
fn lease_request_datagram_has_its_fixed_bytes() {
    let request = Message::LeaseRequest {
        from: 7,
        generation: 1_700_000_000_000_001,
        reply_to: "10.1.2.3:7400".parse().unwrap(),
        limit: 258,
        nonce: 0xab_cdef,
        requested: Amount { rate: 12.5, slots: 6 },
    };
    let expected = "4c4446310403020102078180f9c0c1c48203000a010203e8398202ef9baf05000000000000294006";
    assert_bytes(&request, expected);
    let request = Message::LeaseRequest {
        from: 7,
        generation: 9,
        reply_to: "[2001:db8::1]:7400".parse().unwrap(),
        limit: 1,
        nonce: 1,
        requested: Amount { rate: 0.0, slots: 1 },
    };
    let expected = "4c444631040302010207090120010db8000000000000000000000001e8390101000000000000000001";
    assert_bytes(&request, expected);
}

#[test]
fn lease_grant_datagram_has_its_fixed_bytes() {
    let grant = Message::LeaseGrant { from: 3, nonce: 0xab_cdef, granted: Amount { rate: 2.5, slots: 4 } };
    assert_bytes(&grant, "4c444631040302010303ef9baf05000000000000044004");
}

#[test]
fn tag_of_a_text_is_its_crc32c() {
    assert_eq!(tag("shop 3 1s 30s []"), 0xa191_a17c);
}

/// The first datagram contains the tag of the configuration and an announcement of the membership protocol.
#[test]
fn first_announcement_of_a_node_has_its_fixed_bytes() {
    let start = Duration::from_secs(1);
    let config = NodeConfig {
        site: "shop".into(),
        identity: Identity {
            proxy_index: 1,
            generation: 1_700_000_000_000_000,
            address: "10.0.0.2:7400".parse().unwrap(),
        },
        fleet_size: 3.try_into().unwrap(),
        seeds: vec![Seed { proxy_index: 0, address: "10.0.0.1:7400".parse().unwrap() }],
        limits: vec![Limit {
            name: "all".into(),
            rate: Some(100.0),
            slots: Some(20),
            burst: Duration::from_millis(200),
        }],
        lease_duration: Duration::from_secs(1),
        max_request_duration: Duration::from_secs(30),
        rng_seed: 5,
    };
    let mut node = Node::new(config, start);
    node.tick(start);
    let (to, bytes) = node.next_datagram().unwrap();
    assert_eq!(to, "10.0.0.1:7400".parse().unwrap());
    let expected = "4c4446313476aa66001b018080f9c0c1c48203000a000002e839000000000a000001e83906";
    assert_eq!(hex(&bytes), expected);
    assert_eq!(node.next_datagram(), None);
}
