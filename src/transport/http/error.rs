//! Why bytes are no message, or one that is not taken.

/// Why a message can't be parsed; the text is the reason that a server's answer gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head has too many bytes or headers.
    #[error("head too long")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("head is not text")]
    HeadNotText,
    /// A request line has not three parts.
    #[error("malformed request line")]
    MalformedRequestLine,
    /// A method is not in capital letters.
    #[error("malformed method")]
    MalformedMethod,
    /// A path doesn't begin with a slash, or has control characters.
    #[error("malformed path")]
    MalformedPath,
    /// A request is neither HTTP/1.0 nor HTTP/1.1.
    #[error("version not supported")]
    VersionNotSupported,
    /// A response doesn't begin with HTTP/1.
    #[error("malformed status line")]
    MalformedStatusLine,
    /// A response's status is no number of three digits.
    #[error("malformed status")]
    MalformedStatus,
    /// A header has no colon.
    #[error("header without colon")]
    HeaderWithoutColon,
    /// A header's name is empty or has spaces or control characters.
    #[error("malformed header name")]
    MalformedHeaderName,
    /// The length of a body is no number.
    #[error("malformed content-length")]
    MalformedContentLength,
    /// Two headers give different lengths.
    #[error("two lengths")]
    ConflictingLengths,
    /// The body's end is given in two ways.
    #[error("both a length and chunks")]
    LengthAndChunks,
    /// The body is coded otherwise than in chunks.
    #[error("unknown transfer coding")]
    UnknownTransferCoding,
    /// The body is over the limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The line with a chunk's size doesn't end.
    #[error("chunk size line too long")]
    ChunkSizeLineTooLong,
    /// A chunk's size is no hexadecimal number.
    #[error("malformed chunk size")]
    MalformedChunkSize,
    /// A chunk's data is not followed by the end of the line.
    #[error("chunk not ended")]
    ChunkNotEnded,
    /// The trailers behind the last chunk don't end.
    #[error("trailers too long")]
    TrailersTooLong,
}

impl HttpError {
    /// HTTP status that a server answers with.
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
