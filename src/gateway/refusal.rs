//! Answers that the gateway makes itself.

use std::time::Duration;

use crate::{code::Code, platform::headers, transport::h1::head};

/// An answer of the gateway's own.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Status, where it differs from the code's.
    pub status: u16,
    /// What happened.
    pub message: String,
    /// When the caller may come back; only with statuses that promise that nothing ran.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal with the code's own status.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            status: code.status(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Tells when the caller may come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Uses another status than the code's.
    pub fn with_status(mut self, status: u16) -> Self {
        self.status = status;
        self
    }

    /// The answer's bytes.
    ///
    /// ```
    /// use fulmarproxy::{code::Code, gateway::refusal};
    /// let bytes = refusal::Refusal::new(Code::BadKey, "the key is unknown").bytes("r1", false);
    /// assert!(bytes.starts_with(b"HTTP/1.1 401 "));
    /// ```
    pub fn bytes(&self, id: &str, close: bool) -> Vec<u8> {
        let run = match self.status {
            408 | 421 | 429 | 503 | 400..=404 => "not run",
            _ => "unknown",
        };
        let body = serde_json::json!({"error": {
            "code": self.code as u16,
            "name": self.code.to_string(),
            "message": self.message,
            "run": run,
        }});
        let body = body.to_string();
        let mut extra = head::Headers::default();
        extra.push("Content-Type", b"application/json");
        if !id.is_empty() {
            extra.push(headers::REQUEST_ID, id.as_bytes());
        }
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            extra.push(headers::RETRY_AFTER, seconds.as_bytes());
        }
        answer_bytes(self.status, &extra, Some(body.as_bytes()), close)
    }
}

/// Writes an answer's head, with its body or, without one, announcing chunks.
pub fn answer_bytes(
    status: u16,
    headers: &head::Headers,
    body: Option<&[u8]>,
    close: bool,
) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} {}\r\n", phrase(status)).into_bytes();
    super::exchange::write_headers(&mut bytes, headers);
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    match body {
        Some(_) if status == 204 || status == 304 => bytes.extend_from_slice(b"\r\n"),
        Some(body) => {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(body);
        }
        None => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
    bytes
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
