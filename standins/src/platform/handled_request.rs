//! A request that a backend server ran.

use std::io;
use std::time::Instant;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// One request that the server ran.
#[derive(Debug, Clone)]
pub struct HandledRequest {
    /// When it arrived.
    pub at: Instant,
    /// Request line: method, path and version.
    pub line: String,
    /// Headers, one per line; their names are in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl HandledRequest {
    /// Reads a request; `None` if the connection ends before one.
    ///
    /// # Errors
    /// Fails when the connection breaks off inside a request.
    pub(crate) async fn read(
        stream: &mut BufReader<TcpStream>,
    ) -> io::Result<Option<HandledRequest>> {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let mut request =
            HandledRequest { at: Instant::now(), line, head: String::new(), body: Vec::new() };
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).await?;
            if line.trim().is_empty() {
                break;
            }
            request.head.push_str(line.trim_end());
            request.head.push('\n');
        }
        let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        request.body = vec![0; length];
        stream.read_exact(&mut request.body).await?;
        Ok(Some(request))
    }

    /// Value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Whether its prompt has the part `id`, the last one excepted.
    pub fn has_part(&self, id: u64) -> bool {
        let prompt = self.header("prompt-prefix").unwrap_or_default();
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        shared.split(',').filter_map(|it| it.split_once(':')).any(|(it, _)| it == format!("{id:x}"))
    }

    /// Request id.
    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }
}
