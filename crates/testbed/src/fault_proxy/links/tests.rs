use super::*;

/// A cut link loses datagrams in its direction only, and forwards them again once it is restored.
#[test]
fn links_are_cut_and_restored_by_direction() {
    let links = Links::start(2, 7).unwrap();
    let sockets: Vec<_> = (0..2).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    for (n, socket) in sockets.iter().enumerate() {
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        links.set_member_address(n, socket.local_addr().unwrap());
    }
    let send = |from: usize, text: &str| {
        sockets[from].send_to(text.as_bytes(), links.addresses[1 - from]).unwrap();
    };
    let receive = |at: usize| {
        let mut buffer = [0; 100];
        let n = sockets[at].recv(&mut buffer).expect("a datagram");
        String::from_utf8_lossy(&buffer[..n]).into_owned()
    };
    send(0, "a");
    assert_eq!(receive(1), "a");
    links.set(0, 1, CUT);
    send(0, "lost");
    send(1, "back");
    assert_eq!(receive(0), "back");
    while links.count(0, 1).1 == 0 {
        std::thread::yield_now();
    }
    links.set(0, 1, Link { doubled: 1.0, delay_ms: 5.0, ..Link::default() });
    send(0, "b");
    assert_eq!((receive(1), receive(1)), ("b".to_string(), "b".to_string()));
    assert_eq!(links.count(0, 1), (2, 1));
}
