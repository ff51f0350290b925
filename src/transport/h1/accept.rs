//! Accepting connections, without end.

use std::time::Duration;

use crate::transport::timers;

/// Pause after a failed accept: a process out of descriptors would spin.
const PAUSE: Duration = Duration::from_millis(20);

/// Next connection of a listener; a failure is logged under the name of the `part`, and tried
/// again after a pause.
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
                tracing::warn!(part, %err, "accept: a connection was not taken");
                timers.sleep(PAUSE).await;
            }
        }
    }
}
