//! Reads the load report of the backend server on the carrier's VM, over one connection.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;

use crate::{
    coordination::placing::engine_load,
    platform::engine_report,
    transport::{
        h1::{body, conn, dial, fault, head},
        timers,
    },
};

/// Time limit for connecting to the backend server, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for a report. A late one would be of no use, since loads expire after 2 s.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest and longest time between two connections. The server may start after the carrier, and each
/// new connection costs.
const MIN_DELAY: Duration = Duration::from_millis(500);
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Why there is no report.
#[derive(Debug, Display)]
pub enum Missing {
    /// The next connection is not due yet.
    #[display("the next connection is not due yet")]
    Waiting,
    /// The backend server can't be reached, or the connection failed.
    #[display("no answer: {_0}")]
    Unreachable(String),
    /// The server answered with something else than a valid report.
    #[display("invalid report: {_0}")]
    Invalid(String),
}

/// Reader of the reports of one backend server.
pub struct ReportReader {
    address: SocketAddr,
    timers: timers::Timers,
    conn: Option<conn::Conn>,
    /// Whether the connection has brought a report.
    has_reported: bool,
    delay: Duration,
    connect_at: Duration,
}

impl ReportReader {
    /// Creates a reader, which connects when the first report is read.
    pub fn new(address: SocketAddr, timers: timers::Timers) -> Self {
        Self {
            address,
            timers,
            conn: None,
            has_reported: false,
            delay: Duration::ZERO,
            connect_at: Duration::ZERO,
        }
    }

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a report; the time is that at which it was requested.
    ///
    /// # Errors
    ///
    /// [`Missing`] names the reason why there is none.
    pub async fn read(&mut self) -> Result<(engine_load::Sample, Duration), Missing> {
        let mut conn = match self.conn.take() {
            Some(conn) if conn.is_reusable() => conn,
            _ => self.connect().await?,
        };
        let at = self.timers.now();
        let timers = self.timers.clone();
        let exchange = exchange(&mut conn, self.address);
        let received = timers.within(REPORT_TIMEOUT, exchange).await;
        let (status, bytes, is_kept) = match received {
            Some(Ok(response)) => response,
            Some(Err(fault::Fault::TooLarge(_))) => {
                return Err(Missing::Invalid("it is too large".to_owned()));
            }
            Some(Err(err)) => return Err(Missing::Unreachable(err.to_string())),
            None => return Err(Missing::Unreachable(format!("none in {REPORT_TIMEOUT:?}"))),
        };
        if is_kept {
            self.conn = Some(conn);
        }
        if status != 200 {
            return Err(Missing::Invalid(format!("status {status}")));
        }
        let sample = engine_report::decode(&bytes).map_err(Missing::Invalid)?;
        // A server that closes each connection after its report gets a new one each second.
        self.delay = match std::mem::replace(&mut self.has_reported, true) {
            true => Duration::ZERO,
            false => MIN_DELAY,
        };
        Ok((sample, at))
    }

    /// Connects, unless the last connection was made or tried a moment ago. The delay doubles with each
    /// connection that brings no report.
    async fn connect(&mut self) -> Result<conn::Conn, Missing> {
        if self.timers.now() < self.connect_at {
            return Err(Missing::Waiting);
        }
        self.delay = (self.delay * 2).clamp(MIN_DELAY, MAX_DELAY);
        self.connect_at = self.timers.now() + self.delay;
        self.has_reported = false;
        let connected = dial::connect(self.address, CONNECT_TIMEOUT, &self.timers).await;
        connected.map_err(|err| Missing::Unreachable(err.to_string()))
    }
}

/// Requests a report; returns the status, the body, and whether the connection can be used again.
async fn exchange(
    conn: &mut conn::Conn,
    address: SocketAddr,
) -> Result<(u16, Vec<u8>, bool), fault::Fault> {
    const METHOD: &str = "GET";
    let path = engine_report::PATH;
    let request = format!("{METHOD} {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    conn.write(request.as_bytes()).await?;
    let response = head::read_response(conn).await?;
    let framing = body::response_framing(&response, METHOD)?;
    let mut reader = body::Body::new(framing);
    let bytes = reader.read_all(conn, engine_report::MAX_BYTES).await?;
    let is_kept = response.keeps_alive() && framing != body::Framing::Close;
    Ok((response.status, bytes, is_kept))
}
