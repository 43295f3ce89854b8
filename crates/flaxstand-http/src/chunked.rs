//! Incremental decoder of the chunked transfer coding (RFC 9112, section 7.1).

use crate::{MAX_FIELDS, MAX_HEAD_BYTES, MessageError};

/// Maximum number of hex digits in a chunk size; 16 digits fit a 64-bit number.
const MAX_SIZE_DIGITS: u8 = 16;

/// Incremental decoder of one chunked body.
#[derive(Debug)]
pub(crate) struct ChunkedDecoder {
    body: Vec<u8>,
    /// Maximum length of the decoded body, bytes.
    max_body_bytes: usize,
    state: DecoderState,
}

/// Element of the coding that the next byte belongs to.
#[derive(Debug)]
enum DecoderState {
    SizeLine(SizeLine),
    Data {
        remaining: usize,
    },
    /// The line end after a chunk's data; `first` is its first byte once received.
    DataEnd {
        first: Option<u8>,
    },
    Trailers,
}

/// Result of [`ChunkedDecoder::decode`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Number of input bytes consumed. The caller passes the rest again, together with further input.
    pub consumed: usize,
    /// Whether the body is complete.
    pub is_complete: bool,
}

impl ChunkedDecoder {
    /// Creates a decoder for a body of at most `max_body_bytes` bytes.
    pub fn new(max_body_bytes: usize) -> Self {
        ChunkedDecoder {
            body: Vec::new(),
            max_body_bytes,
            state: DecoderState::SizeLine(SizeLine::default()),
        }
    }

    /// Takes the bytes decoded so far.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Decodes the next part of the body. Examines each byte once, except in incomplete trailers: these are
    /// at most [`MAX_HEAD_BYTES`] long and are not consumed until they are complete.
    ///
    /// # Errors
    /// The chunked coding is malformed, or the decoded body exceeds the limit.
    pub fn decode(&mut self, input: &[u8]) -> Result<Progress, MessageError> {
        let mut at = 0;
        while at < input.len() {
            let rest = &input[at..];
            at += match &mut self.state {
                DecoderState::SizeLine(_) => self.decode_size_line(rest)?,
                DecoderState::Data { .. } => self.decode_data(rest),
                DecoderState::DataEnd { .. } => self.decode_data_end(rest[0])?,
                DecoderState::Trailers => {
                    let trailers = trailers_length(rest)?;
                    let consumed = at + trailers.unwrap_or(0);
                    return Ok(Progress { consumed, is_complete: trailers.is_some() });
                }
            };
        }
        match &self.state {
            DecoderState::SizeLine(line) if line.length > MAX_HEAD_BYTES => Err(MessageError::InvalidChunk),
            _ => Ok(Progress { consumed: at, is_complete: false }),
        }
    }

    fn decode_size_line(&mut self, input: &[u8]) -> Result<usize, MessageError> {
        let DecoderState::SizeLine(line) = &mut self.state else { return Ok(0) };
        for (index, byte) in input.iter().enumerate() {
            if let Some(size) = line.push(*byte)? {
                self.state = self.state_after_size_line(size)?;
                return Ok(index + 1);
            }
        }
        Ok(input.len())
    }

    fn state_after_size_line(&self, size: u64) -> Result<DecoderState, MessageError> {
        if size == 0 {
            return Ok(DecoderState::Trailers);
        }
        if size > (self.max_body_bytes - self.body.len()) as u64 {
            return Err(MessageError::BodyTooLong);
        }
        Ok(DecoderState::Data { remaining: size as usize })
    }

    fn decode_data(&mut self, input: &[u8]) -> usize {
        let DecoderState::Data { remaining } = &mut self.state else { return 0 };
        let length = input.len().min(*remaining);
        self.body.extend_from_slice(&input[..length]);
        *remaining -= length;
        if *remaining == 0 {
            self.state = DecoderState::DataEnd { first: None };
        }
        length
    }

    /// Decodes a byte of the line end after a chunk's data. Fails only when both of its bytes are received.
    fn decode_data_end(&mut self, byte: u8) -> Result<usize, MessageError> {
        self.state = match self.state {
            DecoderState::DataEnd { first: None } => DecoderState::DataEnd { first: Some(byte) },
            DecoderState::DataEnd { first: Some(b'\r') } if byte == b'\n' => {
                DecoderState::SizeLine(SizeLine::default())
            }
            _ => return Err(MessageError::InvalidChunk),
        };
        Ok(1)
    }
}

/// Returns the length of the trailers including the empty line after them, or `None` if they are incomplete.
fn trailers_length(bytes: &[u8]) -> Result<Option<usize>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    match httparse::parse_headers(bytes, &mut fields)? {
        httparse::Status::Complete((length, _)) => Ok(Some(length)),
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        httparse::Status::Partial => Err(MessageError::HeadTooLong),
    }
}

/// Parser of the line before a chunk's data. It contains the chunk size and extensions, which are ignored.
#[derive(Debug, Default)]
struct SizeLine {
    size: u64,
    digits: u8,
    /// Number of bytes of the line parsed so far.
    length: usize,
    state: SizeLineState,
}

/// Element of a size line that the next byte belongs to.
#[derive(Clone, Copy, Debug, Default)]
enum SizeLineState {
    #[default]
    Digits,
    /// White space between the size and the extensions.
    WhiteSpace,
    Extensions,
    /// The second byte of the line end.
    LineFeed,
}

impl SizeLine {
    /// Parses the next byte. Returns the chunk size once the line is complete. Accepts the same lines as
    /// [`httparse::parse_chunk_size`].
    fn push(&mut self, byte: u8) -> Result<Option<u64>, MessageError> {
        self.length += 1;
        self.state = match (self.state, byte) {
            (SizeLineState::LineFeed, b'\n') => return Ok(Some(self.size)),
            (SizeLineState::LineFeed, _) => return Err(MessageError::InvalidChunk),
            (_, b'\r') => SizeLineState::LineFeed,
            (SizeLineState::Extensions, _) | (_, b';') => SizeLineState::Extensions,
            (_, b'\t' | b' ') => SizeLineState::WhiteSpace,
            (SizeLineState::Digits, digit) => {
                self.push_digit(digit)?;
                SizeLineState::Digits
            }
            (SizeLineState::WhiteSpace, _) => return Err(MessageError::InvalidChunk),
        };
        Ok(None)
    }

    fn push_digit(&mut self, digit: u8) -> Result<(), MessageError> {
        let value = char::from(digit).to_digit(16).ok_or(MessageError::InvalidChunk)?;
        if self.digits == MAX_SIZE_DIGITS {
            return Err(MessageError::InvalidChunk);
        }
        self.digits += 1;
        self.size = self.size * 16 + u64::from(value);
        Ok(())
    }
}
