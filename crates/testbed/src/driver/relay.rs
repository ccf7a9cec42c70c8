//! A plain byte relay, whose cost is the least that anything between two sockets can have.

use super::wire::listen;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Copies bytes between each connection to `at` and one to the next of `to`, in turn, for as long as the process
/// runs.
pub async fn run(at: SocketAddr, to: Vec<SocketAddr>) -> std::io::Result<()> {
    let listener = listen(Some(at))?;
    let (to, turn) = (Rc::new(to), Rc::new(Cell::new(0)));
    loop {
        let (mut here, _) = listener.accept().await?;
        let (to, turn) = (to.clone(), turn.clone());
        tokio::task::spawn_local(async move {
            let next = to[turn.replace(turn.get() + 1) % to.len()];
            let Ok(mut there) = TcpStream::connect(next).await else { return };
            let _ = (here.set_nodelay(true), there.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut here, &mut there).await; // an error ends the pair like a close
        });
    }
}
