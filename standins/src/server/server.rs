//! Accept loop with a switch that closes every open connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use warp::{Filter, Reply};

/// Closes the connections of one server and refuses new ones.
#[derive(Debug, Default)]
pub struct Switch {
    down: AtomicBool,
    cut: Notify,
}

impl Switch {
    /// Closes every open connection and resets new ones until `up`.
    pub fn down(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.cut.notify_waiters();
    }

    /// Accepts connections again.
    pub fn up(&self) {
        self.down.store(false, Ordering::SeqCst);
    }

    /// Whether new connections are refused.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }
}

/// A running HTTP server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    switch: Arc<Switch>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` (port 0 picks a free one) and serves `routes`.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start<F>(addr: SocketAddr, switch: Arc<Switch>, routes: F) -> io::Result<Server>
    where
        F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let service = TowerToHyperService::new(warp::service(routes));
        let gate = Arc::clone(&switch);
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                if gate.is_down() {
                    reset(stream);
                    continue;
                }
                let service = service.clone();
                let gate = Arc::clone(&gate);
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let conn =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = conn => {}
                        () = gate.cut.notified() => {}
                    }
                });
            }
        });
        Ok(Server { addr, switch, task })
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Switch of this server.
    pub fn switch(&self) -> &Switch {
        &self.switch
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
        self.switch.down();
    }
}

/// Closes a connection with a TCP reset instead of a FIN.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
    drop(stream);
}
