//! Errors of the HTTP parsers.

/// Why a message can't be parsed. A server sends the text to the client as the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head has too many bytes or headers.
    #[error("head too long")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("head is not text")]
    HeadNotText,
    /// A request line doesn't have three parts.
    #[error("malformed request line")]
    MalformedRequestLine,
    /// A method is empty or not in capital letters.
    #[error("malformed method")]
    MalformedMethod,
    /// A path doesn't begin with a slash, or contains control characters.
    #[error("malformed path")]
    MalformedPath,
    /// A request is neither HTTP/1.0 nor HTTP/1.1.
    #[error("version not supported")]
    VersionNotSupported,
    /// A response doesn't begin with HTTP/1.
    #[error("malformed status line")]
    MalformedStatusLine,
    /// The status of a response is not a number of three digits.
    #[error("malformed status")]
    MalformedStatus,
    /// A header has no colon.
    #[error("header without colon")]
    HeaderWithoutColon,
    /// A header's name is empty or contains spaces or control characters.
    #[error("malformed header name")]
    MalformedHeaderName,
    /// The length of a body is not a number.
    #[error("malformed content-length")]
    MalformedContentLength,
    /// Two headers specify different lengths.
    #[error("two lengths")]
    ConflictingLengths,
    /// The message has both a length and chunked transfer coding.
    #[error("both a length and chunks")]
    LengthAndChunks,
    /// The body has a transfer coding other than `chunked`.
    #[error("unknown transfer coding")]
    UnknownTransferCoding,
    /// The body exceeds the size limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The line with the size of a chunk exceeds the length limit.
    #[error("chunk size line too long")]
    ChunkSizeLineTooLong,
    /// The size of a chunk is not a hexadecimal number.
    #[error("malformed chunk size")]
    MalformedChunkSize,
    /// The data of a chunk is not followed by a line ending.
    #[error("chunk not ended")]
    ChunkNotEnded,
    /// The trailers after the last chunk exceed the length limit.
    #[error("trailers too long")]
    TrailersTooLong,
}

impl HttpError {
    /// HTTP status that a server responds with.
    pub fn status(self) -> u16 {
        match self {
            HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLong => 431,
            HttpError::UnknownTransferCoding => 501,
            HttpError::VersionNotSupported => 505,
            _ => 400,
        }
    }
}
