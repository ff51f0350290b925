//! Accepts TCP connections and retries after a failure.

use std::time::Duration;

use crate::transport::timers;

/// Delay after a failed accept; without it, a process that is out of file descriptors would retry
/// in a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the next connection of a listener. A failed accept is logged with the name of the
/// `part` that listens, and retried after a delay.
///
/// ```
/// use fulmarproxy::transport::{h1::accept, timers};
/// smol::block_on(async {
///     let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
///     let address = listener.local_addr().unwrap();
///     let _caller = async_net::TcpStream::connect(address).await.unwrap();
///     accept::next(&listener, "front", &timers::Timers::default()).await;
/// });
/// ```
pub async fn next(
    listener: &async_net::TcpListener,
    part: &str,
    timers: &timers::Timers,
) -> async_net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                tracing::warn!(part, %err, "accept: cannot accept a connection; retrying");
                timers.sleep(RETRY_DELAY).await;
            }
        }
    }
}
