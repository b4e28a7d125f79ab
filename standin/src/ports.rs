//! Reserved ports for processes that are started later.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

use crate::ANY_PORT;

/// A port on loopback that nothing else gets while this value lives.
///
/// The port is held by a bound socket that does not listen. Another socket with `SO_REUSEADDR` can
/// bind the same port and listen, but the operating system gives the port to no connection and to
/// no listener that asks for any port.
#[derive(Debug)]
pub struct Reserved {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl Reserved {
    /// Reserves a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(ANY_PORT)?;
        Ok(Self {
            addr: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Returns the reserved address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
