//! The end of chunked bodies that arrive in pieces.

use super::*;

/// Guards against an end of a body that is missed, or bytes after it that are miscounted, if the body arrives
/// in two pieces.
#[test]
fn the_end_of_a_body_is_found_at_every_cut() {
    let bodies: [&[u8]; 4] = [
        b"0\r\n\r\n",
        b"4\r\ncash\r\n0\r\n\r\n",
        b"0a;x=\"0\"\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\nA: 1\r\nB: 2\r\n\r\n",
        b"1A \r\nabcdefghijklmnopqrstuvwxyz\r\n000\r\n\r\n",
    ];
    for body in bodies {
        let message = [body, b"GET / HTTP/1.1"].concat();
        for cut in 0..message.len() {
            let mut scanner = ChunkedBodyScanner::default();
            let after = scanner.count_bytes_after(&message[..cut]);
            assert_eq!(after, cut.saturating_sub(body.len()), "{cut}");
            assert_eq!(after + scanner.count_bytes_after(&message[cut..]), 14, "{cut}");
        }
    }
}
