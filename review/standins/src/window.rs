//! Sockets with a small receive window, as links on the platform have.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};

const AF_INET: u16 = 2;
const SOCK_STREAM_CLOEXEC: c_int = 1 | 0o2_000_000;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

/// `sockaddr_in` of Linux.
#[repr(C)]
struct RawAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    padding: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn connect(socket: c_int, address: *const RawAddress, length: u32) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

fn checked(result: c_int) -> io::Result<c_int> {
    if result < 0 {
        Err(io::Error::last_os_error())
    } else {
        Ok(result)
    }
}

fn set_receive_buffer(socket: c_int, bytes: c_int) -> io::Result<()> {
    let value = (&raw const bytes).cast();
    // SAFETY: the value is a `c_int`, as the option demands, and outlives the call.
    checked(unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, value, 4) }).map(|_| ())
}

/// Connects with a receive buffer of about `bytes`.
///
/// # Errors
///
/// If the connection can't be established.
pub fn connect_with(to: SocketAddrV4, bytes: c_int) -> io::Result<TcpStream> {
    // SAFETY: no memory is passed.
    let raw = checked(unsafe { socket(c_int::from(AF_INET), SOCK_STREAM_CLOEXEC, 0) })?;
    // SAFETY: the descriptor was just opened and has no other owner.
    let owned = unsafe { OwnedFd::from_raw_fd(raw) };
    set_receive_buffer(raw, bytes)?;
    let address = RawAddress {
        family: AF_INET,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        padding: [0; 8],
    };
    // SAFETY: the address has the layout and the length of `sockaddr_in`.
    checked(unsafe { connect(raw, &raw const address, 16) })?;
    Ok(TcpStream::from(owned))
}

/// The IPv4 form of an address.
///
/// # Panics
///
/// If it is an IPv6 address.
#[must_use]
pub fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address} is no IPv4 address"),
    }
}
