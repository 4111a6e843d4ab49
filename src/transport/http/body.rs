//! The body of a message, delimited by its length, by chunks, or by the end of the connection.

use super::head::{find_empty_line_end, line_ending_length};
use super::{HttpError, Parsed};
use crate::constants::HTTP_HEAD_BYTES_MAX;

/// Longest line with the size of a chunk in bytes, including extensions and the line ending.
const CHUNK_SIZE_LINE_BYTES_MAX: usize = 128;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By an empty chunk (chunked transfer coding).
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A complete body.
pub(super) struct Body {
    /// The decoded bytes.
    pub bytes: Vec<u8>,
    /// Number of bytes on the wire.
    pub encoded_length: usize,
}

impl Body {
    fn plain(bytes: &[u8]) -> Body {
        Body { bytes: bytes.to_vec(), encoded_length: bytes.len() }
    }
}

/// Parses a body of at most `max` bytes; `closed` says that no more bytes will arrive.
pub(super) fn parse(input: &[u8], framing: Framing, max: usize, closed: bool) -> Parsed<Body> {
    match framing {
        Framing::Length(length) if length > max => Err(HttpError::BodyTooLarge),
        Framing::Length(length) => Ok(input.get(..length).map(Body::plain)),
        Framing::Chunked => ChunkedBody::new(input, max).parse(),
        Framing::UntilClose if input.len() > max => Err(HttpError::BodyTooLarge),
        Framing::UntilClose if closed => Ok(Some(Body::plain(input))),
        Framing::UntilClose => Ok(None),
    }
}

/// The next element expected in a chunked body.
enum ChunkState {
    /// A line with the size of a chunk.
    Size,
    /// The data of a chunk, with its length in bytes.
    Data(usize),
    /// The line ending after the data.
    DataEnd,
    /// Optional trailers and an empty line.
    Trailers,
    /// Nothing: the body is complete.
    Complete,
}

/// Decodes a chunked body.
struct ChunkedBody<'a> {
    input: &'a [u8],
    max: usize,
    /// Number of input bytes parsed.
    position: usize,
    decoded: Vec<u8>,
}

impl<'a> ChunkedBody<'a> {
    fn new(input: &'a [u8], max: usize) -> ChunkedBody<'a> {
        ChunkedBody { input, max, position: 0, decoded: Vec::new() }
    }

    fn parse(mut self) -> Parsed<Body> {
        let mut state = ChunkState::Size;
        loop {
            let next = match state {
                ChunkState::Size => self.take_size()?,
                ChunkState::Data(size) => self.take_data(size),
                ChunkState::DataEnd => self.take_data_end()?,
                ChunkState::Trailers => self.take_trailers()?,
                ChunkState::Complete => {
                    return Ok(Some(Body { bytes: self.decoded, encoded_length: self.position }));
                }
            };
            match next {
                Some(next) => state = next,
                None => return Ok(None),
            }
        }
    }

    fn rest(&self) -> &'a [u8] {
        &self.input[self.position..]
    }

    fn take_size(&mut self) -> Parsed<ChunkState> {
        let rest = self.rest();
        let window = &rest[..rest.len().min(CHUNK_SIZE_LINE_BYTES_MAX)];
        let Some(length) = window.iter().position(|byte| *byte == b'\n') else {
            let too_long = rest.len() >= CHUNK_SIZE_LINE_BYTES_MAX;
            return if too_long { Err(HttpError::ChunkSizeLineTooLong) } else { Ok(None) };
        };
        let size = parse_chunk_size(&rest[..length])?;
        if size > self.max - self.decoded.len() {
            return Err(HttpError::BodyTooLarge);
        }
        self.position += length + 1;
        Ok(Some(if size == 0 { ChunkState::Trailers } else { ChunkState::Data(size) }))
    }

    /// Parses the data of a chunk, once the byte after it has arrived too.
    fn take_data(&mut self, size: usize) -> Option<ChunkState> {
        let rest = self.rest();
        if rest.len() < size + 1 {
            return None;
        }
        self.decoded.extend_from_slice(&rest[..size]);
        self.position += size;
        Some(ChunkState::DataEnd)
    }

    fn take_data_end(&mut self) -> Parsed<ChunkState> {
        let rest = self.rest();
        match line_ending_length(rest) {
            Some(length) => self.position += length,
            None if rest == b"\r" => return Ok(None),
            None => return Err(HttpError::ChunkNotEnded),
        }
        Ok(Some(ChunkState::Size))
    }

    fn take_trailers(&mut self) -> Parsed<ChunkState> {
        let rest = self.rest();
        match line_ending_length(rest).or_else(|| find_empty_line_end(rest)) {
            Some(length) => self.position += length,
            None if rest.len() > HTTP_HEAD_BYTES_MAX => return Err(HttpError::TrailersTooLong),
            None => return Ok(None),
        }
        Ok(Some(ChunkState::Complete))
    }
}

/// Parses the line before a chunk's data; extensions after a semicolon are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let line = std::str::from_utf8(line).map_err(|_| HttpError::MalformedChunkSize)?;
    let digits = line.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(HttpError::MalformedChunkSize);
    }
    // Parsing digits fails only on overflow.
    usize::from_str_radix(digits, 16).map_err(|_| HttpError::BodyTooLarge)
}
