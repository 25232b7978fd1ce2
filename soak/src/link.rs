//! A loopback proxy that can delay, block or reset its connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    None,
    /// Bytes arrive after this delay.
    Delay(Duration),
    /// No bytes arrive in either direction; connections stay open.
    Silence,
    /// No bytes arrive at the target.
    CutOneWay,
    /// Open connections are reset, and new ones closed at once.
    Reset,
}

/// A running proxy; it stops when dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    fault: Arc<watch::Sender<LinkFault>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a proxy in front of `target` on a free port.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(watch::Sender::new(LinkFault::None));
        let it = Arc::clone(&fault);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(forward(stream, target, it.subscribe()));
            }
        });
        Ok(Link { address, fault, task })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the link.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(mut stream: TcpStream, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    if *fault.borrow() == LinkFault::Reset {
        return;
    }
    let Ok(mut peer) = TcpStream::connect(target).await else {
        return;
    };
    let mut reset = fault.clone();
    let is_reset = tokio::select! {
        result = copy_both_ways(&mut stream, &mut peer, fault) => result.is_err(),
        _ = reset.wait_for(|it| *it == LinkFault::Reset) => true,
    };
    if is_reset {
        // Both ends must see a reset, not an orderly close.
        set_zero_linger(&stream);
        set_zero_linger(&peer);
    }
}

fn set_zero_linger(stream: &TcpStream) {
    stream.set_zero_linger().expect("an open socket takes the option");
}

async fn copy_both_ways(
    stream: &mut TcpStream,
    peer: &mut TcpStream,
    fault: watch::Receiver<LinkFault>,
) -> io::Result<()> {
    let (from_caller, to_caller) = stream.split();
    let (from_peer, to_peer) = peer.split();
    let forwards = copy(from_caller, to_peer, fault.clone(), true);
    let backwards = copy(from_peer, to_caller, fault, false);
    // The end of either direction closes the connection, as when a caller disconnects.
    tokio::select! {
        result = forwards => result,
        result = backwards => result,
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<LinkFault>,
    to_target: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        let is_blocked = |it: &LinkFault| {
            *it == LinkFault::Silence || (to_target && *it == LinkFault::CutOneWay)
        };
        if fault.wait_for(|it| !is_blocked(it)).await.is_err() {
            // The link itself is gone.
            return Ok(());
        }
        let delay = match *fault.borrow() {
            LinkFault::Delay(time) => time,
            _ => Duration::ZERO,
        };
        if !delay.is_zero() {
            sleep(delay).await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}
