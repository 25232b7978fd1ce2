//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Head of a request or an answer; names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> Option<u16> {
        self.line.split(' ').nth(1)?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    if stream.read_line(&mut head.line)? == 0 {
        return Ok(None);
    }
    head.line = head.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk; empty at the end of the body.
pub fn read_chunk(stream: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size + 2];
    stream.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok(bytes)
}

/// Reads a whole body.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let chunk = read_chunk(stream)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    stream.read_exact(&mut body)?;
    Ok(body)
}
