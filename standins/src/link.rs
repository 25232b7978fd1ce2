//! A loopback proxy that can delay, block or reset its connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Connections that fill the queue of a port that accepts none.
const QUEUE_FILLERS: usize = 3;
/// Time for these to reach the queue.
const FILL_TIME: Duration = Duration::from_millis(20);

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
    /// Open connections are reset, and new ones refused.
    Down,
    /// New connections are refused; open ones live on.
    Refuse,
    /// New connections are not established; no bytes arrive on open ones.
    Hang,
}

impl LinkFault {
    fn blocks(self, to_target: bool) -> bool {
        match self {
            LinkFault::Silence | LinkFault::Hang => true,
            LinkFault::CutOneWay => to_target,
            _ => false,
        }
    }

    fn resets(self) -> bool {
        matches!(self, LinkFault::Reset | LinkFault::Down)
    }

    fn closes_port(self) -> bool {
        matches!(self, LinkFault::Down | LinkFault::Refuse | LinkFault::Hang)
    }
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
            // Callers see a port that cannot be bound again as a link that stays cut.
            let _ = accept(listener, target, &it).await;
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

/// Accepts connections; the port is closed while the fault demands it.
async fn accept(
    mut listener: TcpListener,
    target: SocketAddr,
    fault: &watch::Sender<LinkFault>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut changes = fault.subscribe();
    let mut connections = JoinSet::new();
    loop {
        let closing = changes.wait_for(|it| it.closes_port());
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted?),
            _ = closing => None,
        };
        if let Some((stream, _)) = accepted {
            connections.spawn(forward(stream, target, fault.subscribe()));
            continue;
        }
        drop(listener);
        let is_hanging = *fault.borrow() == LinkFault::Hang;
        let closed_port = match is_hanging {
            true => ClosedPort::Full(FullPort::bind(address).await?),
            false => ClosedPort::Refusing(refusing_port(address)?),
        };
        let _ = changes.wait_for(|it| !it.closes_port()).await;
        drop(closed_port);
        listener = TcpListener::bind(address).await?;
    }
}

/// A port that accepts no connections; it is kept until this is dropped.
enum ClosedPort {
    Full(#[expect(dead_code, reason = "held")] FullPort),
    Refusing(#[expect(dead_code, reason = "held")] TcpSocket),
}

/// Binds a port without listening there. The system gives it to nobody else meanwhile.
fn refusing_port(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    // A port that is bound for reuse could be given away.
    socket.set_reuseaddr(false)?;
    Ok(socket)
}

/// A port whose queue of new connections is full, so that the system ignores further ones.
struct FullPort {
    _listener: TcpListener,
    _waiting: JoinSet<io::Result<TcpStream>>,
}

impl FullPort {
    async fn bind(address: SocketAddr) -> io::Result<FullPort> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(0)?;
        let mut waiting = JoinSet::new();
        for _ in 0..QUEUE_FILLERS {
            waiting.spawn(TcpStream::connect(address));
        }
        sleep(FILL_TIME).await;
        Ok(FullPort { _listener: listener, _waiting: waiting })
    }
}

async fn forward(mut stream: TcpStream, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    if fault.borrow().resets() {
        return;
    }
    let Ok(mut peer) = TcpStream::connect(target).await else {
        return;
    };
    let mut reset = fault.clone();
    let is_reset = tokio::select! {
        result = copy_both_ways(&mut stream, &mut peer, fault) => result.is_err(),
        _ = reset.wait_for(|it| it.resets()) => true,
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
        if fault.wait_for(|it| !it.blocks(to_target)).await.is_err() {
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
