//! Ends work at an engine that nobody waits for.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::runtime::Handle;

/// Time for a cancel call.
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
    /// Watches over `request` at the engine at `address`.
    pub(crate) fn new(http: &reqwest::Client, address: SocketAddr, request: &str) -> Cancel {
        Cancel { http: http.clone(), address, request: request.to_owned(), armed: true }
    }

    /// The engine has nothing left to do, or shall go on.
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
