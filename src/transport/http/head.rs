//! The head of a message: its first line, and the headers that determine how the body ends and whether the
//! connection stays open.

use super::{HttpError, Parsed};
use crate::constants::{HTTP_HEADERS_MAX, HTTP_HEAD_BYTES_MAX};

/// The parts of a head that the parsers need.
#[derive(Default)]
pub(super) struct Head<'a> {
    /// Request line or status line.
    pub first_line: &'a str,
    /// Index of the first byte after the head.
    pub end: usize,
    pub content_length: Option<usize>,
    pub is_chunked: bool,
    pub asks_close: bool,
    pub asks_keep_alive: bool,
    pub expects_continue: bool,
}

impl<'a> Head<'a> {
    /// Parses the head at the front of the buffer.
    pub(super) fn parse(buffer: &'a [u8]) -> Parsed<Head<'a>> {
        let window = &buffer[..buffer.len().min(HTTP_HEAD_BYTES_MAX)];
        let Some(end) = find_empty_line_end(window) else {
            return if buffer.len() >= HTTP_HEAD_BYTES_MAX {
                Err(HttpError::HeadTooLong)
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&buffer[..end]).map_err(|_| HttpError::HeadNotText)?;
        let mut lines = text.split('\n').map(|line| line.strip_suffix('\r').unwrap_or(line));
        let first_line = lines.next().unwrap_or("");
        let mut head = Head { first_line, end, ..Head::default() };
        for (index, line) in lines.take_while(|line| !line.is_empty()).enumerate() {
            if index >= HTTP_HEADERS_MAX {
                return Err(HttpError::HeadTooLong);
            }
            let (name, value) = split_header(line)?;
            head.apply_header(name, value)?;
        }
        if head.is_chunked && head.content_length.is_some() {
            return Err(HttpError::LengthAndChunks);
        }
        Ok(Some(head))
    }

    /// Whether the connection stays open after the message; HTTP/1.0 has to request that.
    pub(super) fn keeps_alive(&self, is_http_1_0: bool) -> bool {
        !self.asks_close && (!is_http_1_0 || self.asks_keep_alive)
    }

    fn apply_header(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        if is("content-length") {
            self.apply_content_length(value)?;
        } else if is("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::UnknownTransferCoding);
            }
            self.is_chunked = true;
        } else if is("connection") {
            self.apply_connection(value);
        } else if is("expect") {
            self.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
        Ok(())
    }

    fn apply_content_length(&mut self, value: &str) -> Result<(), HttpError> {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(HttpError::MalformedContentLength);
        }
        // Parsing digits fails only on overflow.
        let length: usize = value.parse().map_err(|_| HttpError::BodyTooLarge)?;
        if self.content_length.is_some_and(|earlier| earlier != length) {
            return Err(HttpError::ConflictingLengths);
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn apply_connection(&mut self, value: &str) {
        for token in value.split(',').map(str::trim) {
            self.asks_close |= token.eq_ignore_ascii_case("close");
            self.asks_keep_alive |= token.eq_ignore_ascii_case("keep-alive");
        }
    }
}

/// Splits a header line into its name and its trimmed value.
fn split_header(line: &str) -> Result<(&str, &str), HttpError> {
    let (name, value) = line.split_once(':').ok_or(HttpError::HeaderWithoutColon)?;
    if name.is_empty() || name.bytes().any(|byte| byte <= b' ') {
        return Err(HttpError::MalformedHeaderName);
    }
    Ok((name, value.trim()))
}

/// Index after the first empty line, which ends a head or trailers. Lines may end with or without a
/// carriage return.
pub(super) fn find_empty_line_end(buffer: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(offset) = buffer[from..].iter().position(|byte| *byte == b'\n') {
        let next_line = from + offset + 1;
        if let Some(length) = line_ending_length(&buffer[next_line..]) {
            return Some(next_line + length);
        }
        from = next_line;
    }
    None
}

/// Length of the line ending at the front of the buffer, if there is one.
pub(super) fn line_ending_length(buffer: &[u8]) -> Option<usize> {
    match buffer {
        [b'\n', ..] => Some(1),
        [b'\r', b'\n', ..] => Some(2),
        _ => None,
    }
}
