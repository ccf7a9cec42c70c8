use super::{GenerationEntry, Manifest, StoredManifest, MAX_LOST_GENERATIONS};
use crate::options::{Mode, OnFailure, Options};
use crate::segment_name::SegmentName;
use std::collections::BTreeSet;

/// The encoded [`manifest`] in hexadecimal. Programs of other versions read it.
const BYTES: &str =
    "4c444c45444d414e01001a000000a1229b6580d095ffbc3101020301ab0180d095ffbc31808040040301904e";

fn entry(newest_segment: u32, oldest_kept: u32) -> GenerationEntry {
    GenerationEntry {
        started_at: 1_700_000_000_000,
        segment_bytes: 1 << 20,
        newest_segment,
        oldest_kept,
        last_sequence: Some(10_000),
    }
}

fn manifest() -> Manifest {
    let mut manifest = Manifest::new(1_700_000_000_000, true);
    manifest.dropped_generations = 2;
    manifest.lost_generations = 3;
    manifest.generations.insert(0xab, entry(4, 3));
    manifest
}

fn options() -> Options {
    Options::new("n0", Mode::Process, OnFailure::RejectRequests)
}

#[test]
fn manifest_keeps_its_bytes() {
    let bytes = manifest().encode();
    let hexadecimal: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hexadecimal, BYTES);
    assert_eq!(StoredManifest::decode(&bytes), StoredManifest::Intact(manifest()));
}

#[test]
fn every_flipped_bit_and_cut_of_a_manifest_is_detected() {
    let bytes = manifest().encode();
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let stored = StoredManifest::decode(&flipped);
        assert!(!matches!(stored, StoredManifest::Intact(_)), "bit {bit}: {stored:?}");
    }
    for cut in 0..bytes.len() {
        assert_eq!(StoredManifest::decode(&bytes[..cut]), StoredManifest::Damaged, "cut at {cut}");
    }
}

#[test]
fn generations_without_segments_are_counted_and_no_longer_listed() {
    let mut manifest = Manifest::new(0, false);
    manifest.generations.insert(1, entry(4, 5));
    manifest.generations.insert(2, entry(4, 4));
    manifest.generations.insert(3, entry(4, 5));
    let started_at = entry(0, 0).started_at;
    let present = BTreeSet::from([3]);
    manifest.forget_absent(&present, &options(), started_at + 1);
    assert_eq!(manifest.generations.keys().copied().collect::<Vec<_>>(), [2, 3], "2 is lost, 3 is present");
    assert_eq!((manifest.dropped_generations, manifest.lost_generations), (1, 0));
    manifest.forget_absent(&present, &options(), started_at + options().keep_unresolved);
    assert_eq!(manifest.generations.keys().copied().collect::<Vec<_>>(), [3]);
    assert_eq!((manifest.dropped_generations, manifest.lost_generations), (1, 1));
}

#[test]
fn number_of_lost_generations_that_are_listed_is_bounded() {
    let mut manifest = Manifest::new(0, false);
    let lost = MAX_LOST_GENERATIONS as u64 + 500;
    for generation in 0..lost {
        manifest.add_segment(SegmentName { generation, number: 0 }, 0, 1 << 20);
    }
    manifest.forget_absent(&BTreeSet::from([7]), &options(), 1);
    assert_eq!(manifest.generations.len(), MAX_LOST_GENERATIONS + 1);
    assert!(manifest.generations.contains_key(&7) && manifest.generations.contains_key(&(lost - 1)));
    assert_eq!(manifest.lost_generations, lost - 1 - MAX_LOST_GENERATIONS as u64);
}
