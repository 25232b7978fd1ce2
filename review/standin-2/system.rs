//! Calls of the operating system that the standard library does not have.

#![allow(dead_code)] // Not every case uses all of it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, signal: i32) {
    unsafe { kill(process as i32, signal) };
}

/// Makes the end of a connection a reset.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let value = (&raw const linger).cast();
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, value, 8) };
}

/// Sets the size of the buffer for received bytes.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    let value = (&raw const bytes).cast();
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, value, 4) };
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const u8, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// An address as the kernel takes it.
fn raw(address: SocketAddrV4) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    bytes
}

/// Connects from the loopback address `source`, with a buffer for received bytes of a given size.
pub fn connect_from(
    source: Ipv4Addr,
    address: SocketAddr,
    receive_buffer: Option<i32>,
) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let (source, address) = (raw(SocketAddrV4::new(source, 0)), raw(address));
    unsafe {
        let stream = TcpStream::from_raw_fd(socket(2, 1, 0));
        if let Some(bytes) = receive_buffer {
            set_receive_buffer(&stream, bytes);
        }
        if bind(stream.as_raw_fd(), source.as_ptr(), 16) != 0
            || connect(stream.as_raw_fd(), address.as_ptr(), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
