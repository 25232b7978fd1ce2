//! The listening sockets of a router.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use tokio::net::{TcpListener, TcpSocket};

use crate::router::{RouterError, RouterSettings};

/// Listen backlog; large because all callers connect at once after an outage.
const BACKLOG: u32 = 4_096;

/// Listening sockets, one for each purpose.
#[derive(Debug)]
pub struct Listeners {
    /// Requests of callers.
    pub(crate) callers: TcpListener,
    /// Readiness requests of the platform.
    pub(crate) ready: TcpListener,
    /// Callers that ask for router addresses.
    pub(crate) entry: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `settings`. For port 0 the system assigns a free port, which
    /// then replaces the 0 in `settings`.
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
