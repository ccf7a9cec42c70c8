//! Checks that the format of segments does not change, because programs of other versions read them.

use lotusdeck_ledger::{
    decode, encode, read_segment, End, Frame, Record, SegmentHeader, SegmentKind, SEGMENT_HEADER_LEN,
};

/// The frames of [`records`] with sequence numbers from 1, in hexadecimal.
const FRAMES: [&str; 8] = [
    "0f0000002b8da3b8010000000000000000ac0280d095ffbc3101690163016b",
    "1d0000008ff6845c020000000000000001ac020181d095ffbc31016903622d310c3132372e302e302e313a3830",
    "0b000000a42b37c4030000000000000002ac020182d095ffbc3100",
    "0d000000208961a9040000000000000002ac020283d095ffbc3101f703",
    "0b0000003d6b96fb050000000000000002ac020384d095ffbc3102",
    "03000000a4d202e3060000000000000003ac02",
    "05000000ed18a85007000000000000000405840703",
    "07000000c96db7f808000000000000000585d095ffbc31",
];
/// The encoded [`header`] in hexadecimal, without the zeros that pad it to [`SEGMENT_HEADER_LEN`].
const HEADER: &str = "4c444c454447455201000f004d6b424f026e30ab0180d095ffbc3103a01f01";

fn records() -> [Record; 8] {
    let at = 1_700_000_000_000;
    let ended =
        |attempt: u32, end| Record::Ended { request: 300, attempt, at: at + 1 + u64::from(attempt), end };
    [
        Record::Taken { request: 300, at, id: "i".into(), class: "c".into(), key: "k".into() },
        Record::Intent {
            request: 300,
            attempt: 1,
            at: at + 1,
            id: "i".into(),
            backend: "b-1".into(),
            address: "127.0.0.1:80".into(),
        },
        ended(1, End::NeverSent),
        ended(2, End::Answered(503)),
        ended(3, End::Unanswered),
        Record::Settled { request: 300 },
        Record::Gap { from: 5, to: 900, records: 3 },
        Record::Closed { at: at + 5 },
    ]
}

fn header() -> SegmentHeader {
    SegmentHeader {
        proxy: "n0".into(),
        generation: 0xab,
        started_at: 1_700_000_000_000,
        number: 3,
        first_sequence: 4000,
        sends_unrecorded: true,
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn frames_keep_their_bytes() {
    for (sequence, (record, expected)) in (1..).zip(records().into_iter().zip(FRAMES)) {
        let mut bytes = Vec::new();
        encode(sequence, &record, &mut bytes);
        assert_eq!(hexadecimal(&bytes), expected);
        assert_eq!(decode(&bytes), Ok((Frame { sequence, record }, bytes.len())));
    }
}

#[test]
fn segment_header_keeps_its_bytes() {
    let bytes = header().encode();
    assert_eq!(bytes.len(), SEGMENT_HEADER_LEN);
    assert_eq!(hexadecimal(&bytes), format!("{HEADER:0<width$}", width = 2 * SEGMENT_HEADER_LEN));
    assert_eq!(read_segment(&bytes).kind, SegmentKind::Segment(header()));
}
