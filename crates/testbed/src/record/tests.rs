use super::*;

#[test]
fn ids_round_trip() {
    let id = TryId { arrival: 77, no: 2 };
    assert_eq!(TryId::parse(id.to_string().as_bytes()), Some(id));
    for bad in ["", "0000004d0000000", "0000004d0000000x", "é000004d000000x"] {
        assert_eq!(TryId::parse(bad.as_bytes()), None, "{bad}");
    }
    assert_eq!(body(id, 20), b"0000004d000000020000");
}
