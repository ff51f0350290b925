//! Mutual proof of the shared fleet key, before anything else is read from a connection.
//!
//! Each end sends a random nonce, then an HMAC-SHA256 under the key over its role and both nonces.
//! The role keeps a peer from sending back the proof that it received.

use std::time::Duration;

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{error, transport::timers};

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Role of the end that makes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Dialler,
    Listener,
}

/// Proof of the end with role `side`; its own nonce comes last.
fn proof(key: &[u8], side: Side, peer_nonce: &[u8], own_nonce: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(match side {
        Side::Dialler => b"dialler",
        Side::Listener => b"listener",
    });
    mac.update(peer_nonce);
    mac.update(own_nonce);
    mac
}

/// Exchanges nonces and proofs; returns whether the proof of the peer is valid.
async fn exchange<S>(stream: &mut S, key: &[u8], side: Side) -> std::io::Result<bool>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut own_nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut own_nonce).map_err(std::io::Error::other)?;
    let mut peer_nonce = [0; NONCE_BYTES];
    stream.write_all(&own_nonce).await?;
    stream.flush().await?;
    stream.read_exact(&mut peer_nonce).await?;
    let peer_side = match side {
        Side::Dialler => Side::Listener,
        Side::Listener => Side::Dialler,
    };
    let sent = proof(key, side, &peer_nonce, &own_nonce)
        .finalize()
        .into_bytes();
    stream.write_all(&sent).await?;
    stream.flush().await?;
    let mut received = [0; PROOF_BYTES];
    stream.read_exact(&mut received).await?;
    let expected = proof(key, peer_side, &own_nonce, &peer_nonce);
    Ok(expected.verify_slice(&received).is_ok())
}

/// Runs the exchange within [`HANDSHAKE_TIMEOUT`].
async fn authenticate<S>(
    stream: &mut S,
    key: &[u8],
    side: Side,
    peer: &str,
    timers: &timers::Timers,
) -> Result<(), error::Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let done = timers
        .within(HANDSHAKE_TIMEOUT, exchange(stream, key, side))
        .await;
    match done {
        Some(Ok(true)) => Ok(()),
        Some(Err(err)) => Err(err.into()),
        Some(Ok(false)) | None => Err(error::Error::Handshake {
            peer: peer.to_owned(),
        }),
    }
}

/// Runs the handshake as the end that opened the connection.
///
/// # Errors
///
/// [`error::Error::Handshake`] when the peer does not hold the key or is too slow.
pub async fn dial<S>(
    stream: &mut S,
    key: &[u8],
    peer: &str,
    timers: &timers::Timers,
) -> Result<(), error::Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    authenticate(stream, key, Side::Dialler, peer, timers).await
}

/// Runs the handshake as the end that accepted the connection.
///
/// # Errors
///
/// [`error::Error::Handshake`] when the peer does not hold the key or is too slow.
pub async fn listen<S>(
    stream: &mut S,
    key: &[u8],
    peer: &str,
    timers: &timers::Timers,
) -> Result<(), error::Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    authenticate(stream, key, Side::Listener, peer, timers).await
}
