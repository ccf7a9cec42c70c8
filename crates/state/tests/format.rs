//! Pins the bytes of the persisted files, because programs of other versions read them.

use lotusdeck_state::estimates::{ClassLatency, EjectedBackend, KindEstimates, WarmupSpend, WeightedMean};
use lotusdeck_state::{decode, encode, Estimates, SavedEndpoints};

/// Encoding of [`saved_endpoints`] in hexadecimal.
const SAVED_ENDPOINTS: &str = "\
     4c44535441544500010038000000d256e04e017303702d3180d095ffbc31072a7b22696e646578223a372c22736e6170\
     73686f74223a747275652c22656e64706f696e7473223a5b5d7d";
/// Encoding of [`estimates`] in hexadecimal.
const ESTIMATES: &str = "\
     4c444c4541524e000100ae000000512a5dc6017303702d3180d095ffbc317b14ae47e17a943f00000000000059400204\
     70616765000000000000e03f0000000000000840057072696e74000000000000d03f0000000000001c4002036269677b\
     14ae47e17a943f00000000000059400000000000003e40000000000000444005736d616c6c0000000000000000000000\
     000000f03f000000000000004000000000000000000203622d310203622d32ac020103622d31dc0b0000000000001040";

fn saved_endpoints() -> SavedEndpoints {
    SavedEndpoints {
        site: "s".into(),
        proxy: "p-1".into(),
        written_ms: 1_700_000_000_000,
        index: 7,
        list: br#"{"index":7,"snapshot":true,"endpoints":[]}"#.to_vec(),
    }
}

fn mean(value: f64, samples: f64) -> WeightedMean {
    WeightedMean { value, samples }
}

fn class(class: &str, latency: WeightedMean) -> ClassLatency {
    ClassLatency { class: class.into(), latency }
}

fn kind(kind: &str, latency: WeightedMean, flow: WeightedMean) -> KindEstimates {
    KindEstimates { kind: kind.into(), latency, flow }
}

fn ejected(backend: &str, consecutive_ejections: u32) -> EjectedBackend {
    EjectedBackend { backend: backend.into(), consecutive_ejections }
}

fn estimates() -> Estimates {
    Estimates {
        site: "s".into(),
        proxy: "p-1".into(),
        written_ms: 1_700_000_000_000,
        overall_latency: mean(0.02, 100.0),
        class_latency: vec![class("page", mean(0.5, 3.0)), class("print", mean(0.25, 7.0))],
        kinds: vec![
            kind("big", mean(0.02, 100.0), mean(30.0, 40.0)),
            kind("small", mean(0.0, 1.0), mean(2.0, 0.0)),
        ],
        ejected: vec![ejected("b-1", 2), ejected("b-2", 300)],
        warmup_spend: vec![WarmupSpend { backend: "b-1".into(), ago_ms: 1_500, work: 4.0 }],
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn saved_endpoints_keep_their_bytes() {
    let bytes = encode(&saved_endpoints());
    assert_eq!(hexadecimal(&bytes), SAVED_ENDPOINTS);
    assert_eq!(decode(&bytes), Ok(saved_endpoints()));
}

#[test]
fn estimates_keep_their_bytes() {
    let bytes = encode(&estimates());
    assert_eq!(hexadecimal(&bytes), ESTIMATES);
    assert_eq!(decode(&bytes), Ok(estimates()));
}
