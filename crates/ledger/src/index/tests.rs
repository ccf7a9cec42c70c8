use super::{encode, hash, Index};

#[test]
fn index_finds_its_ids_and_is_not_read_when_damaged() {
    let ids: Vec<String> = (0..100).map(|i| format!("id-{i}")).collect();
    let mut bytes = encode(&ids.iter().map(|id| hash(id)).collect(), 77);
    let index = Index::read(&bytes).unwrap();
    assert!(
        ids.iter().all(|id| index.contains(id)) && !index.contains("another") && index.last_sequence == 77
    );
    bytes[9] ^= 4;
    assert!(Index::read(&bytes).is_none() && Index::read(&bytes[..7]).is_none());
}
