//! Guards against bursts that exhaust memory and file descriptors with idle connections.

use std::time::Duration;

use http::Response;
use lacewingmoor_standin::http_server::Server;
use lacewingmoord::connection::{Connection, Pool};
use tokio::task::LocalSet;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn idle_connections_are_bounded_and_the_oldest_is_closed() {
    LocalSet::new().run_until(check_pool_bounds()).await;
}

async fn check_pool_bounds() {
    let mut servers = Vec::new();
    for _ in 0..150 {
        let server = Server::start(LOOPBACK.into(), |_| async { Ok(Response::new("".into())) });
        servers.push(server.await.expect("the server starts"));
    }
    let pool = Pool::default();
    for server in &servers {
        let connection = Connection::open(server.addr(), TIMEOUT).await;
        pool.put(connection.expect("the server accepts"));
        // A connection can be taken from the pool only after its task has run.
        tokio::task::yield_now().await;
    }
    // `IDLE_TOTAL_MAX`.
    assert!(pool.len() <= 128, "{} idle connections", pool.len());
    let (first, last) = (servers[0].addr(), servers[149].addr());
    assert!(pool.take(first).is_none(), "the oldest is closed");
    assert!(pool.take(last).is_some(), "the newest is kept");
}
