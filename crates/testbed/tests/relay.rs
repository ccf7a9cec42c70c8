//! The relay on sockets: faults happen as and where the script says, and are the same for the same seed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_testbed::driver::wire::listen;
use lotusdeck_testbed::fault_proxy::run::{hash, Done, Relay};
use lotusdeck_testbed::fault_proxy::script::Script;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of each test, longer than any of them takes.
const TIMEOUT: Duration = Duration::from_secs(20);
const ANSWERS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst!\
                       HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n";

fn play<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(TIMEOUT, work).await.expect("in time") };
    tokio::task::LocalSet::new().block_on(&runtime, bounded)
}

/// Starts a server that sends `greeting` on each connection and then echoes what it receives.
async fn server(greeting: &'static str) -> SocketAddr {
    let listener = listen(None).unwrap();
    let at = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let (mut read, mut write) = tcp.split();
                let _ = write.write_all(greeting.as_bytes()).await;
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    at
}

fn script(to: SocketAddr, frame: &str, faults: &str) -> Script {
    let text = format!(
        "seed = 5\n[[route]]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nto = \"{to}\"\nframe = \"{frame}\"\n{faults}"
    );
    Script::read(&text, "script").expect("a script")
}

/// Reads all bytes of a connection, and returns them with whether it was closed in an orderly way.
async fn read_all(tcp: &mut TcpStream) -> (String, bool) {
    let mut got = Vec::new();
    let ended = tcp.read_to_end(&mut got).await.is_ok();
    (String::from_utf8_lossy(&got).into_owned(), ended)
}

async fn answers_with_fault(frame: &str, fault: &str) -> (String, bool) {
    let faults = format!("[[route.fault]]\nway = \"down\"\n{fault}\n");
    let relay = Relay::start(script(server(ANSWERS).await, frame, &faults)).unwrap();
    let mut tcp = TcpStream::connect(relay.addresses[0]).await.unwrap();
    tcp.shutdown().await.unwrap();
    read_all(&mut tcp).await
}

#[test]
fn faults_happen_where_the_script_says() {
    play(async {
        let half = answers_with_fault("http", "message = 1\nplace = \"middle\"\ndo = \"half-close\"").await;
        assert!(half.0.ends_with("\r\n\r\nfir") && half.1, "{half:?}");
        let garbled = answers_with_fault(
            "http",
            "message = 2\nplace = \"chunk\"\ndo = { replace = { text = \"zz\" } }",
        )
        .await;
        assert_eq!(garbled, (ANSWERS.replace("6\r\nsecond", "zz\nsecond"), true));
        let broken = answers_with_fault("http", "message = 2\ndo = \"reset\"").await;
        assert!(
            ANSWERS.starts_with(&broken.0) && !broken.1,
            "a reset, whatever arrived before it: {broken:?}"
        );
        let twice = answers_with_fault("none", "after_bytes = 9\ndo = { repeat = { bytes = 3 } }").await;
        assert_eq!(twice.0, ANSWERS.replacen("200", "200200", 1));
        let split = answers_with_fault("none", "after_bytes = 0\ndo = { split = { bytes = 1 } }").await;
        assert_eq!(split, (ANSWERS.into(), true));
        let cut = answers_with_fault("none", "after_bytes = 4\ndo = \"cut\"").await;
        assert_eq!(cut, ("HTTP".into(), true));
    });
}

/// A word given by a fault of one route or by a caller triggers the faults of another. A blackhole gives
/// neither end a sign.
#[test]
fn words_trigger_faults_of_other_routes() {
    play(async {
        let to = server("").await;
        let mut both = script(to, "none", "[[route.fault]]\nway = \"up\"\nafter_bytes = 3\ngives = \"reached\"\ndo = { stall = { ms = 0 } }\n");
        let other = script(to, "none", "[[route.fault]]\nway = \"down\"\non = \"reached\"\ndo = \"reset\"\n[[route.fault]]\nway = \"up\"\non = \"quiet\"\ndo = \"blackhole\"\n");
        both.route.extend(other.route);
        both.route[1].name = "other".into();
        let relay = Relay::start(both).unwrap();
        let (mut a, mut b) = (
            TcpStream::connect(relay.addresses[0]).await.unwrap(),
            TcpStream::connect(relay.addresses[1]).await.unwrap(),
        );
        let mut byte = [0; 3];
        b.write_all(b"xyz").await.unwrap();
        b.read_exact(&mut byte).await.unwrap();
        a.write_all(b"abc").await.unwrap();
        a.read_exact(&mut byte).await.unwrap();
        assert!(!read_all(&mut b).await.1, "the other route's connection is reset");
        assert_eq!(
            relay.done().iter().map(|d| (&*d.route, d.fault, d.at)).collect::<Vec<_>>(),
            [("other", 0, None), ("r", 0, Some(3))]
        );
        relay.withdraw_word("reached");
        relay.give_word("quiet");
        let mut c = TcpStream::connect(relay.addresses[1]).await.unwrap();
        c.write_all(b"xyz").await.unwrap();
        while relay.done().len() < 3 {
            tokio::task::yield_now().await;
        }
        let silence = tokio::time::timeout(Duration::from_millis(100), c.read(&mut byte)).await;
        assert!(silence.is_err(), "open and silent: {silence:?}");
    });
}

/// The faults that happen depend on the seed alone, even with concurrent connections.
#[test]
fn the_same_seed_gives_the_same_faults() {
    let run = |seed: u64, together: usize| -> Vec<Done> {
        play(async move {
            let faults = "[[route.fault]]\nway = \"down\"\npart = 0.4\nafter_bytes = 10\nuntil_bytes = 70\ndo = \"cut\"\n\
                          [[route.fault]]\nway = \"down\"\npart = 0.5\nmessage = 2\nplace = \"body\"\ndo = { flip = { bytes = 1 } }\n";
            let mut script = script(server(ANSWERS).await, "http", faults);
            script.seed = seed;
            let relay = Relay::start(script).unwrap();
            let at = relay.addresses[0];
            for _ in 0..40 / together {
                let asks = (0..together).map(|_| {
                    tokio::task::spawn_local(async move {
                        let mut tcp = TcpStream::connect(at).await.unwrap();
                        tcp.shutdown().await.unwrap();
                        read_all(&mut tcp).await;
                    })
                });
                for ask in asks.collect::<Vec<_>>() {
                    ask.await.unwrap();
                }
            }
            relay.done()
        })
    };
    let (alone, beside, other) = (run(5, 1), run(5, 20), run(6, 1));
    assert!(alone.len() > 20, "{}", alone.len());
    assert_eq!((hash(&alone), &alone), (hash(&beside), &beside));
    assert_ne!(hash(&alone), hash(&other));
}

/// The relay resets clients if the destination is down, and continues to accept connections.
#[test]
fn a_connection_to_a_closed_port_is_reset() {
    play(async {
        let unused = listen(None).unwrap().local_addr().unwrap(); // the listener is dropped, so nothing listens there
        let relay = Relay::start(script(unused, "none", "")).unwrap();
        for _ in 0..2 {
            let mut tcp = TcpStream::connect(relay.addresses[0]).await.unwrap();
            assert!(!read_all(&mut tcp).await.1);
        }
        assert_eq!(relay.open(), 0);
    });
}
