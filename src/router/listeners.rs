//! The listening sockets of a router.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use tokio::net::{TcpListener, TcpSocket};

use crate::router::{RouterError, RouterSettings};

/// Connections that may wait to be accepted: after an outage all callers connect at once.
const BACKLOG: u32 = 4_096;

/// Listening sockets, one for each kind of client.
#[derive(Debug)]
pub struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) entry: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `settings`. Where one has port 0, it is replaced by the port
    /// that the system assigned.
    ///
    /// # Errors
    /// Fails when an address cannot be bound.
    pub fn bind(settings: &mut RouterSettings) -> Result<Listeners, Report<RouterError>> {
        Ok(Listeners {
            callers: listen(&mut settings.callers)?,
            ready: listen(&mut settings.ready)?,
            entry: listen(&mut settings.entry)?,
            peers: listen(&mut settings.peers)?,
            metrics: listen(&mut settings.metrics)?,
        })
    }
}

fn listen(address: &mut SocketAddr) -> Result<TcpListener, Report<RouterError>> {
    let bound = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(*address)?;
        socket.listen(BACKLOG)
    };
    let listener = bound().change_context(RouterError::Bind(*address))?;
    *address = listener.local_addr().change_context(RouterError::SetUp)?;
    Ok(listener)
}
