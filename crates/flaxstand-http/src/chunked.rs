//! Incremental decoder of the chunked transfer coding (RFC 9112, section 7.1).

use crate::{MAX_FIELDS, MAX_HEAD_BYTES, MessageError};

/// Largest number of hex digits of a chunk size: those of a 64-bit number.
const MAX_SIZE_DIGITS: u8 = 16;

/// Decodes one chunked body, in as many pieces as it arrives in.
#[derive(Debug)]
pub(crate) struct ChunkedDecoder {
    body: Vec<u8>,
    /// Longest decoded body, bytes.
    max_body_bytes: usize,
    expects: Expects,
}

/// The part of the coding that the next byte belongs to.
#[derive(Debug)]
enum Expects {
    SizeLine(SizeLine),
    Data {
        remaining: usize,
    },
    /// The line end behind a chunk's data; `first` is its first byte once that is here.
    DataEnd {
        first: Option<u8>,
    },
    Trailers,
}

/// What a call of [`ChunkedDecoder::decode`] achieved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Bytes of the input that are decoded. The others are to be passed again, with more behind them.
    pub consumed: usize,
    /// Whether the body is complete.
    pub is_complete: bool,
}

impl ChunkedDecoder {
    /// A decoder of a body of at most `max_body_bytes` bytes.
    pub fn new(max_body_bytes: usize) -> Self {
        ChunkedDecoder { body: Vec::new(), max_body_bytes, expects: Expects::SizeLine(SizeLine::default()) }
    }

    /// Takes the bytes decoded so far.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Decodes what is next of the body. Looks at each byte once, except for those of incomplete trailers:
    /// these are at most [`MAX_HEAD_BYTES`] and stay with the caller until they are complete.
    ///
    /// # Errors
    /// The input is no chunked body, or a longer one than is taken.
    pub fn decode(&mut self, input: &[u8]) -> Result<Progress, MessageError> {
        let mut at = 0;
        while at < input.len() {
            let rest = &input[at..];
            at += match &mut self.expects {
                Expects::SizeLine(_) => self.decode_size_line(rest)?,
                Expects::Data { .. } => self.decode_data(rest),
                Expects::DataEnd { .. } => self.decode_data_end(rest[0])?,
                Expects::Trailers => {
                    let trailers = trailers_length(rest)?;
                    let consumed = at + trailers.unwrap_or(0);
                    return Ok(Progress { consumed, is_complete: trailers.is_some() });
                }
            };
        }
        match &self.expects {
            Expects::SizeLine(line) if line.length > MAX_HEAD_BYTES => Err(MessageError::InvalidChunk),
            _ => Ok(Progress { consumed: at, is_complete: false }),
        }
    }

    fn decode_size_line(&mut self, input: &[u8]) -> Result<usize, MessageError> {
        let Expects::SizeLine(line) = &mut self.expects else { return Ok(0) };
        for (index, byte) in input.iter().enumerate() {
            if let Some(size) = line.push(*byte)? {
                self.expects = self.behind_size_line(size)?;
                return Ok(index + 1);
            }
        }
        Ok(input.len())
    }

    fn behind_size_line(&self, size: u64) -> Result<Expects, MessageError> {
        if size == 0 {
            return Ok(Expects::Trailers);
        }
        if size > (self.max_body_bytes - self.body.len()) as u64 {
            return Err(MessageError::BodyTooLong);
        }
        Ok(Expects::Data { remaining: size as usize })
    }

    fn decode_data(&mut self, input: &[u8]) -> usize {
        let Expects::Data { remaining } = &mut self.expects else { return 0 };
        let length = input.len().min(*remaining);
        self.body.extend_from_slice(&input[..length]);
        *remaining -= length;
        if *remaining == 0 {
            self.expects = Expects::DataEnd { first: None };
        }
        length
    }

    /// Judges the line end once both of its bytes are here.
    fn decode_data_end(&mut self, byte: u8) -> Result<usize, MessageError> {
        self.expects = match self.expects {
            Expects::DataEnd { first: None } => Expects::DataEnd { first: Some(byte) },
            Expects::DataEnd { first: Some(b'\r') } if byte == b'\n' => {
                Expects::SizeLine(SizeLine::default())
            }
            _ => return Err(MessageError::InvalidChunk),
        };
        Ok(1)
    }
}

/// The length of the trailers and the empty line behind them, once they are complete.
fn trailers_length(bytes: &[u8]) -> Result<Option<usize>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    match httparse::parse_headers(bytes, &mut fields)? {
        httparse::Status::Complete((length, _)) => Ok(Some(length)),
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        httparse::Status::Partial => Err(MessageError::HeadTooLong),
    }
}

/// The line ahead of a chunk's data: its size, and extensions that are ignored.
#[derive(Debug, Default)]
struct SizeLine {
    size: u64,
    digits: u8,
    /// Bytes of the line so far.
    length: usize,
    part: SizePart,
}

/// The part of a size line that its next byte belongs to.
#[derive(Clone, Copy, Debug, Default)]
enum SizePart {
    #[default]
    Digits,
    /// Blanks between the size and its extensions.
    Blanks,
    Extensions,
    /// The second byte of the line end.
    LineFeed,
}

impl SizeLine {
    /// Takes the next byte; the size, once the line is complete. The same lines are taken as by
    /// [`httparse::parse_chunk_size`].
    fn push(&mut self, byte: u8) -> Result<Option<u64>, MessageError> {
        self.length += 1;
        self.part = match (self.part, byte) {
            (SizePart::LineFeed, b'\n') => return Ok(Some(self.size)),
            (SizePart::LineFeed, _) => return Err(MessageError::InvalidChunk),
            (_, b'\r') => SizePart::LineFeed,
            (SizePart::Extensions, _) | (_, b';') => SizePart::Extensions,
            (_, b'\t' | b' ') => SizePart::Blanks,
            (SizePart::Digits, digit) => {
                self.push_digit(digit)?;
                SizePart::Digits
            }
            (SizePart::Blanks, _) => return Err(MessageError::InvalidChunk),
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
