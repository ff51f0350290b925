//! A request that is described to a gateway rather than sent: the head that a caller would send, as text.

use crate::{
    platform::headers,
    transport::h1::{fault, head},
};

/// What is wrong with a described request. It names the field and never contains a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{field}: expected {expected}")]
pub struct FieldError {
    /// Name of the field.
    pub field: &'static str,
    /// Description of the allowed values.
    pub expected: &'static str,
}

/// A request as its caller would send it. It may contain a key, so it has no text form but
/// [`DescribedRequest::encode`].
#[derive(Clone, Default)]
pub struct DescribedRequest {
    /// Method.
    pub method: String,
    /// Path, with the query if any.
    pub path: String,
    /// Further headers by name.
    pub headers: head::Headers,
}

impl DescribedRequest {
    /// Sets a header and replaces those of the same name.
    fn set(&mut self, name: &str, value: &str) {
        let headers = &mut self.headers;
        headers.0.retain(|it| !it.name.eq_ignore_ascii_case(name));
        headers.push(name, value.as_bytes());
    }

    /// Sets the host that the request names.
    pub fn set_host(&mut self, host: &str) {
        self.set("Host", host);
    }

    /// Sets the API key.
    pub fn set_key(&mut self, key: &str) {
        let value = format!("{}{key}", headers::KEY_SCHEME);
        self.set(headers::AUTHORIZATION, &value);
    }

    /// Whether the request has a key.
    pub fn has_key(&self) -> bool {
        self.headers.all(headers::AUTHORIZATION).next().is_some()
    }

    /// Sets the number of tokens, `INPUT,OUTPUT`.
    pub fn set_token_usage(&mut self, usage: &str) {
        self.set(headers::TOKEN_USAGE, usage);
    }

    /// Sets the parts of the prompt, `ID:TOKENS,…`.
    pub fn set_prompt_prefix(&mut self, parts: &str) {
        self.set(headers::PROMPT_PREFIX, parts);
    }

    /// Encodes the head, if it is one that a gateway can explain.
    ///
    /// # Errors
    ///
    /// [`FieldError`] names the malformed field.
    ///
    /// ```
    /// use fulmarproxy::platform::described_request::{self, DescribedRequest};
    /// let mut req = DescribedRequest::default();
    /// (req.method, req.path) = ("POST".to_owned(), "/draft/1".to_owned());
    /// assert_eq!(req.encode().unwrap_err().field, "Host");
    /// req.set_host("desk.example");
    /// req.set_token_usage("100 of 60");
    /// assert_eq!(req.encode().unwrap_err().field, "X-Token-Usage");
    /// req.set_token_usage("100,60");
    /// let head = described_request::decode(&req.encode().unwrap()).unwrap();
    /// assert_eq!(head.target, "/draft/1");
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, FieldError> {
        check_line(&self.method, &self.path)?;
        let mut bytes = format!("{} {} HTTP/1.1\r\n", self.method, self.path).into_bytes();
        for header in &self.headers.0 {
            let is_line =
                |value: &[u8]| !value.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
            if !is_line(&header.value) || !is_line(header.name.as_bytes()) {
                return Err(FieldError {
                    field: known_name(&header.name),
                    expected: "one line",
                });
            }
            bytes.extend_from_slice(header.name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(&header.value);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        decode(&bytes)?;
        Ok(bytes)
    }
}

/// The name of a header as this module writes it. Others are not repeated, since a header that is split at
/// the wrong place may have a part of a key in its name.
fn known_name(name: &str) -> &'static str {
    let known = [
        "Host",
        headers::AUTHORIZATION,
        headers::TOKEN_USAGE,
        headers::PROMPT_PREFIX,
        headers::DEADLINE_MS,
    ];
    let found = known.into_iter().find(|it| it.eq_ignore_ascii_case(name));
    found.unwrap_or("a header")
}

fn check_line(method: &str, path: &str) -> Result<(), FieldError> {
    let is_token = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_alphabetic());
    if !is_token {
        return Err(FieldError {
            field: "method",
            expected: "letters such as POST",
        });
    }
    let is_path = path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_path {
        return Err(FieldError {
            field: "path",
            expected: "a path that starts with / and has no spaces",
        });
    }
    Ok(())
}

/// Decodes and checks a described request. A field that a caller may get wrong without a refusal, such as
/// the number of tokens, is an error here.
///
/// # Errors
///
/// [`FieldError`] names the malformed field.
pub fn decode(bytes: &[u8]) -> Result<head::RequestHead, FieldError> {
    let malformed = FieldError {
        field: "head of the request",
        expected: "a request line and at most 100 headers, each on one line",
    };
    let parsed: Result<_, fault::Fault> = head::parse_request(bytes);
    let Ok(Some((head, len))) = parsed else {
        return Err(malformed);
    };
    if len < bytes.len() {
        return Err(malformed);
    }
    check_line(&head.method, &head.target)?;
    let given = &head.headers;
    let check = |field, is_valid: bool, expected| match is_valid {
        true => Ok(()),
        false => Err(FieldError { field, expected }),
    };
    let is_single = |name| given.all(name).count() <= 1;
    let host = given.text("Host").unwrap_or_default();
    check(
        "Host",
        !host.is_empty() && is_single("Host"),
        "one host name",
    )?;
    let is_valid = |name, parses: bool| is_single(name) && (given.all(name).count() == 0 || parses);
    check(
        headers::AUTHORIZATION,
        is_valid(headers::AUTHORIZATION, headers::api_key(given).is_some()),
        "Token KEY",
    )?;
    check(
        headers::TOKEN_USAGE,
        is_valid(headers::TOKEN_USAGE, headers::token_need(given).is_some()),
        "INPUT,OUTPUT, two whole numbers",
    )?;
    let parts = given.text(headers::PROMPT_PREFIX).unwrap_or_default();
    let are_parts = headers::prompt_parts(given).len() == parts.split(',').count();
    check(
        headers::PROMPT_PREFIX,
        is_valid(headers::PROMPT_PREFIX, are_parts),
        "ID:TOKENS,…, hexadecimal ids and whole numbers",
    )?;
    check(
        headers::DEADLINE_MS,
        is_valid(headers::DEADLINE_MS, headers::deadline(given).is_some()),
        "a number of milliseconds",
    )?;
    Ok(head)
}
