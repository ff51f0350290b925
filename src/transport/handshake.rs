//! Proof of the shared fleet key, before anything else is read from a connection.

use std::time::Duration;

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{error, transport::timers};

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const LIMIT: Duration = Duration::from_secs(2);

/// Which end of the connection proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Dialler,
    Listener,
}

fn proof(key: &[u8], side: Side, theirs: &[u8], ours: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(match side {
        Side::Dialler => b"dialler",
        Side::Listener => b"listener",
    });
    mac.update(theirs);
    mac.update(ours);
    mac
}

async fn exchange<S>(stream: &mut S, key: &[u8], side: Side) -> std::io::Result<bool>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut ours = [0; NONCE_BYTES];
    getrandom::fill(&mut ours).map_err(std::io::Error::other)?;
    let mut theirs = [0; NONCE_BYTES];
    stream.write_all(&ours).await?;
    stream.flush().await?;
    stream.read_exact(&mut theirs).await?;
    let other = match side {
        Side::Dialler => Side::Listener,
        Side::Listener => Side::Dialler,
    };
    let sent = proof(key, side, &theirs, &ours).finalize().into_bytes();
    stream.write_all(&sent).await?;
    stream.flush().await?;
    let mut received = [0; PROOF_BYTES];
    stream.read_exact(&mut received).await?;
    let expected = proof(key, other, &ours, &theirs);
    Ok(expected.verify_slice(&received).is_ok())
}

async fn prove<S>(
    stream: &mut S,
    key: &[u8],
    side: Side,
    peer: &str,
    timers: &timers::Timers,
) -> Result<(), error::Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let done = timers.within(LIMIT, exchange(stream, key, side)).await;
    match done {
        Some(Ok(true)) => Ok(()),
        Some(Err(err)) => Err(err.into()),
        Some(Ok(false)) | None => Err(error::Error::Handshake {
            peer: peer.to_owned(),
        }),
    }
}

/// Proves the key as the end that dialled.
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
    prove(stream, key, Side::Dialler, peer, timers).await
}

/// Proves the key as the end that listened.
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
    prove(stream, key, Side::Listener, peer, timers).await
}
