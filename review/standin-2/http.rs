//! A minimal HTTP/1.1 reader and writer on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or an answer: its first line, its headers in lower case, its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The word at `place` of the first line.
    pub fn word(&self, place: usize) -> &str {
        self.start.split(' ').nth(place).unwrap_or_default()
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Bytes of a connection that were read and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0u8; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Reads a line without its end.
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("a header"))?;
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads the next chunk of a chunked body; empty at the end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(|_| broken("a chunk"))?;
        let bytes = self.exact(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Reads the body that `message` announces; to the end of the connection if `to_end`.
    pub fn body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let bytes = self.chunk()?;
                if bytes.is_empty() {
                    return Ok(());
                }
                message.body.extend(bytes);
            }
        }
        let length = message.header("content-length").and_then(|it| it.parse().ok());
        match length {
            Some(length) => message.body = self.exact(length)?,
            None if to_end => {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        Ok(())
    }

    /// Reads a request; `None` if the connection ended before it.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, false)?;
        Ok(Some(message))
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> io::Result<Message> {
        let head = self.head()?;
        let mut message = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        self.body(&mut message, true)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a message with the length of its body.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
