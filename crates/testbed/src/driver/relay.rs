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
    let (to, next_index) = (Rc::new(to), Rc::new(Cell::new(0)));
    loop {
        let (mut client, _) = listener.accept().await?;
        let (to, next_index) = (to.clone(), next_index.clone());
        tokio::task::spawn_local(async move {
            let next = to[next_index.replace(next_index.get() + 1) % to.len()];
            let Ok(mut server) = TcpStream::connect(next).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            // An error ends the pair like a close.
            let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
        });
    }
}
