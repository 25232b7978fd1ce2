//! What the kernel knows of a TCP connection (`TCP_INFO`, Linux 4.6 and newer).

use std::io;
use std::mem::{offset_of, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

use nix::libc::{IPPROTO_TCP, TCP_INFO, getsockopt, socklen_t, tcp_info};
use tokio::net::TcpStream;

use crate::decide::SendState;

/// Bytes of `tcp_info` up to the last field that is read.
const MIN_LENGTH: usize = offset_of!(tcp_info, tcpi_notsent_bytes) + size_of::<u32>();

/// Reads what became of the bytes that were written to `stream`.
///
/// # Errors
/// Fails where the system does not support it.
pub(crate) fn read_send_state(stream: &TcpStream) -> io::Result<SendState> {
    // SAFETY: all fields are integers, for which zero bytes are valid.
    let mut info: tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<tcp_info>() as socklen_t;
    // SAFETY: `info` is valid for writes of `length` bytes, and the descriptor is open.
    let status = unsafe {
        getsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_INFO, (&raw mut info).cast(), &mut length)
    };
    if status != 0 {
        return Err(io::Error::last_os_error());
    }
    if (length as usize) < MIN_LENGTH {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(SendState {
        acked_bytes: info.tcpi_bytes_acked,
        unacked_segments: info.tcpi_unacked,
        unsent_bytes: info.tcpi_notsent_bytes,
        unanswered_probes: info.tcpi_probes,
        since_ack: Duration::from_millis(info.tcpi_last_ack_recv.into()),
    })
}
