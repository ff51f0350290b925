//! `fulmarctl explain`: asks a gateway where a request would go.

use std::{fs, io::Write, net::SocketAddr, time::Duration};

use crate::{
    ctl::{self, explanation_text},
    error,
    gateway::{explanation, pages},
    platform::described_request,
    transport::{
        h1::{body, conn, dial, fault, head},
        timers,
    },
};

/// Time limit of a call.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of an explanation in bytes; a gateway lists a bounded number of servers in about 100 KB.
const MAX_EXPLANATION_BYTES: usize = 1 << 20;

/// Flags that describe the gateway and the request, with the form of their values.
pub const FLAGS: [(&str, &str); 9] = [
    ("gateway", "IP:PORT"),
    ("headers", "PATH"),
    ("method", "METHOD"),
    ("host", "HOST"),
    ("path", "PATH"),
    ("key", "KEY"),
    ("workspace", "NAME"),
    ("token-usage", "IN,OUT"),
    ("prompt-prefix", "ID:TOKENS,..."),
];

/// A call that asks a gateway for an explanation.
#[derive(Clone)]
pub struct Call {
    gateway: SocketAddr,
    /// Encoded head of the request; it may contain a key.
    request: Vec<u8>,
    workspace: Option<String>,
}

fn argument_error(message: impl Into<String>) -> error::Error {
    let message = message.into();
    error::Error::Argument { message }
}

impl Call {
    /// Takes the call from flags and environment variables, which `find` looks up.
    ///
    /// # Errors
    ///
    /// [`error::Error::Argument`] names a flag, file line or field of the request that is missing or malformed,
    /// without its value if that may be a key. [`error::Error::File`] when the file cannot be read.
    pub fn parse(find: impl Fn(&str, &str) -> Option<String>) -> Result<Self, error::Error> {
        let gateway = find("gateway", "FULMAR_GATEWAY")
            .ok_or_else(|| argument_error("--gateway or FULMAR_GATEWAY must be set"))?;
        let gateway = gateway.parse().map_err(|_| {
            let message = format!("invalid value {gateway:?} for --gateway: expected IP:PORT");
            argument_error(message)
        })?;
        let flag = |name| find(name, "");
        let mut req = described_request::DescribedRequest {
            method: flag("method").unwrap_or_else(|| "POST".to_owned()),
            path: flag("path").ok_or_else(|| argument_error("--path must be set"))?,
            headers: match flag("headers") {
                Some(path) => read_headers(&path)?,
                None => head::Headers::default(),
            },
        };
        let workspace = flag("workspace");
        if workspace.is_some() && flag("key").is_some() {
            return Err(argument_error("--key and --workspace exclude each other"));
        }
        if workspace.as_deref().is_some_and(|name| !is_line(name)) {
            return Err(argument_error("--workspace: expected a name on one line"));
        }
        if let Some(host) = flag("host") {
            req.set_host(&host);
        }
        // A key in the environment is not meant when the request names another identity.
        let has_key = workspace.is_some() || req.has_key();
        if let Some(key) = flag("key").or_else(|| find("key", "FULMAR_KEY").filter(|_| !has_key)) {
            req.set_key(&key);
        }
        if let Some(usage) = flag("token-usage") {
            req.set_token_usage(&usage);
        }
        if let Some(parts) = flag("prompt-prefix") {
            req.set_prompt_prefix(&parts);
        }
        let request = req
            .encode()
            .map_err(|err| argument_error(err.to_string()))?;
        Ok(Self {
            gateway,
            request,
            workspace,
        })
    }

    /// Asks the gateway and prints the explanation.
    ///
    /// # Errors
    ///
    /// [`error::Error::Argument`] when the gateway finds a malformed field, [`error::Error::Http`] when it gives
    /// no explanation.
    pub async fn run(&self, json: bool, out: &mut impl Write) -> Result<(), error::Error> {
        let timers = timers::Timers::default();
        let called = timers.within(TIMEOUT, self.post(&timers)).await;
        let (status, body) = match called {
            Some(Ok(answer)) => answer,
            Some(Err(err)) => return Err(self.failure(err.to_string())),
            None => return Err(self.failure("no answer in time".to_owned())),
        };
        let message = String::from_utf8_lossy(&body).trim().to_owned();
        match status {
            200 => (),
            400 | 413 => return Err(argument_error(message)),
            404 => {
                let message = "it does not know the page: no gateway, or one of an earlier version";
                return Err(self.failure(message.to_owned()));
            }
            _ => return Err(self.failure(format!("status {status}: {message}"))),
        }
        if json {
            let explained: serde_json::Value =
                serde_json::from_slice(&body).map_err(|err| self.failure(err.to_string()))?;
            return ctl::print_json(out, &explained);
        }
        let explained: explanation::Explanation =
            serde_json::from_slice(&body).map_err(|err| self.failure(err.to_string()))?;
        Ok(explanation_text::write(&explained, out)?)
    }

    fn failure(&self, message: String) -> error::Error {
        error::Error::Http {
            what: "the explanation",
            url: format!("http://{}{}", self.gateway, pages::EXPLAIN_PATH),
            message,
        }
    }

    /// Sends the call; returns status and body of the response.
    async fn post(&self, timers: &timers::Timers) -> Result<(u16, Vec<u8>), fault::Fault> {
        let mut conn: conn::Conn = dial::connect(self.gateway, TIMEOUT, timers).await?;
        let mut bytes = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n",
            pages::EXPLAIN_PATH,
            self.gateway,
            self.request.len()
        );
        if let Some(workspace) = &self.workspace {
            bytes.push_str(&format!("{}: {workspace}\r\n", pages::EXPLAIN_WORKSPACE));
        }
        bytes.push_str("\r\n");
        let bytes = [bytes.as_bytes(), &self.request].concat();
        conn.write(&bytes).await?;
        let head = head::read_response(&mut conn).await?;
        let framing = body::response_framing(&head, "POST")?;
        let mut reader = body::Body::new(framing);
        let body = reader.read_all(&mut conn, MAX_EXPLANATION_BYTES).await?;
        Ok((head.status, body))
    }
}

fn is_line(value: &str) -> bool {
    !value.is_empty() && !value.contains(char::is_control)
}

/// Reads a file of headers. Errors name the line and not what it contains, which may be a key.
fn read_headers(path: &str) -> Result<head::Headers, error::Error> {
    let text = fs::read_to_string(path).map_err(|source| error::Error::File {
        path: path.to_owned(),
        source,
    })?;
    let mut headers = head::Headers::default();
    for (at, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let header = line
            .split_once(':')
            .filter(|(name, _)| !name.trim().is_empty());
        let Some((name, value)) = header else {
            let message = format!("{path} line {}: expected NAME: VALUE", at + 1);
            return Err(argument_error(message));
        };
        headers.push(name.trim(), value.trim().as_bytes());
    }
    Ok(headers)
}
