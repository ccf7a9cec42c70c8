//! Tests of the send buffer that a peer is taken to have.

use super::{max_bytes, DEFAULT_MAX_BYTES};

/// Guards against clients that count as still writing where the machine's send buffers hold the rest of their request: their
/// final answer would come only after its time.
#[test]
fn a_send_buffer_is_as_large_as_the_machine_lets_it_grow() {
    assert_eq!(max_bytes("4096\t16384\t33554432\n"), 33_554_432);
    assert_eq!(max_bytes("4096\t16384\t4194304\n"), DEFAULT_MAX_BYTES);
}

#[test]
fn a_send_buffer_has_the_default_size_where_the_kernel_tells_less_or_nothing() {
    for sizes in ["4096\t16384\t65536\n", "", "4096 16384", "4096 16384 many"] {
        assert_eq!(max_bytes(sizes), DEFAULT_MAX_BYTES, "{sizes:?}");
    }
}
