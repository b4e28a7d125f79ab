//! A listener for salvo that closes on request, before the connections it has accepted are done.

use std::io;
use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Closes the listener of a [`ClosingAcceptor`].
#[derive(Clone, Default)]
pub struct Closer(Arc<Notify>);

impl Closer {
    /// Closes the listener. New connections are refused from then on.
    pub fn close(&self) {
        self.0.notify_one();
    }
}

/// Accepts connections until it is closed. salvo keeps its acceptor until the last connection is
/// done, which would leave new callers waiting in the backlog during a graceful shutdown.
pub struct ClosingAcceptor {
    inner: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    closer: Closer,
}

impl ClosingAcceptor {
    /// Wraps a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no local address.
    pub fn new(listener: TcpListener, closer: Closer) -> io::Result<Self> {
        let inner = TcpAcceptor::try_from(listener)?;
        Ok(Self {
            holdings: inner.holdings().to_vec(),
            inner: Some(inner),
            closer,
        })
    }
}

impl Acceptor for ClosingAcceptor {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(inner) = &mut self.inner {
            tokio::select! {
                accepted = inner.accept(fuse_policy) => return accepted,
                () = self.closer.0.notified() => {}
            }
            self.inner = None;
        }
        std::future::pending().await
    }
}
