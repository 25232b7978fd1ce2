//! Cancels requests at an engine when no caller waits for them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::runtime::Handle;

/// Time limit of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Cancels a request at its engine when dropped, unless disarmed.
#[derive(Debug)]
pub(crate) struct Cancel {
    http: reqwest::Client,
    address: SocketAddr,
    request: String,
    armed: bool,
}

impl Cancel {
    /// Cancels `request` at the engine at `address` when dropped.
    pub(crate) fn new(http: &reqwest::Client, address: SocketAddr, request: &str) -> Cancel {
        Cancel { http: http.clone(), address, request: request.to_owned(), armed: true }
    }

    /// Keeps the request running: the engine is done, or is to continue.
    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for Cancel {
    fn drop(&mut self) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if !self.armed {
            return;
        }
        let url = format!("http://{}/v1/requests/{}", self.address, self.request);
        let call = self.http.delete(url).timeout(CANCEL_TIMEOUT).send();
        runtime.spawn(async move {
            let _ = call.await;
        });
    }
}
