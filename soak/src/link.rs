//! A loopback proxy whose connections can be harmed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What happens to bytes on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// They arrive late.
    Delay(Duration),
    /// None arrive in either direction; connections stay open.
    Silence,
    /// None arrive towards the listener.
    CutOneWay,
    /// Connections end, and new ones too.
    Reset,
}

/// A running proxy; it stops when dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    harm: Arc<watch::Sender<Harm>>,
    task: JoinHandle<()>,
}

impl Link {
    /// A proxy before `target`, on a free port.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let harm = Arc::new(watch::Sender::new(Harm::None));
        let it = Arc::clone(&harm);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(carry(stream, target, it.subscribe()));
            }
        });
        Ok(Link { address, harm, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms bytes so from now on.
    pub fn set_harm(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(stream: TcpStream, target: SocketAddr, harm: watch::Receiver<Harm>) {
    if *harm.borrow() == Harm::Reset {
        return;
    }
    let Ok(peer) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_peer, to_peer) = peer.into_split();
    let mut reset = harm.clone();
    tokio::select! {
        () = both(from_caller, to_peer, from_peer, to_caller, harm) => {}
        _ = reset.wait_for(|it| *it == Harm::Reset) => {}
    }
}

async fn both(
    from_caller: OwnedReadHalf,
    to_peer: OwnedWriteHalf,
    from_peer: OwnedReadHalf,
    to_caller: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
) {
    let there = copy(from_caller, to_peer, harm.clone(), true);
    let back = copy(from_peer, to_caller, harm, false);
    // The end of either direction ends the connection, as for callers that leave.
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    there: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(count) if count > 0 => count,
            _ => return,
        };
        let stopped = |it: &Harm| *it == Harm::Silence || (there && *it == Harm::CutOneWay);
        if harm.wait_for(|it| !stopped(it)).await.is_err() {
            return;
        }
        let delay = match *harm.borrow() {
            Harm::Delay(time) => time,
            _ => Duration::ZERO,
        };
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
