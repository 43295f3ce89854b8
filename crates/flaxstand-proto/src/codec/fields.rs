//! Encoding of each field type. All numbers are little-endian.

use super::{FrameError, MAX_TEXT_BYTES};
use crate::frame::{CloseReason, Code, Extent, Refusal, Role, Scope, State};

/// Appends fields to a body.
pub(super) struct Writer<'a>(pub(super) &'a mut Vec<u8>);

impl Writer<'_> {
    fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

/// Reads fields from a body.
pub(super) struct Reader<'a> {
    /// Unread bytes of the body.
    pub(super) rest: &'a [u8],
    /// Version of the frame that is decoded.
    pub(super) version: u8,
}

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize, name: &'static str) -> Result<&'a [u8], FrameError> {
        let (head, tail) = self.rest.split_at_checked(count).ok_or(FrameError::Truncated(name))?;
        self.rest = tail;
        Ok(head)
    }
}

/// A field type. `name` identifies the field in errors.
pub(super) trait Field<'a>: Sized {
    fn write(self, writer: &mut Writer<'_>);
    fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError>;
}

macro_rules! number_fields {
    ($($type:ty),+) => {$(
        impl<'a> Field<'a> for $type {
            fn write(self, writer: &mut Writer<'_>) {
                writer.bytes(&self.to_le_bytes());
            }
            fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError> {
                let (head, tail) = reader.rest.split_first_chunk().ok_or(FrameError::Truncated(name))?;
                reader.rest = tail;
                Ok(<$type>::from_le_bytes(*head))
            }
        }
    )+};
}

number_fields!(u8, u16, u32, u64);

impl<'a> Field<'a> for bool {
    fn write(self, writer: &mut Writer<'_>) {
        u8::from(self).write(writer);
    }
    fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError> {
        match u8::read(reader, name)? {
            0 => Ok(false),
            1 => Ok(true),
            value => Err(FrameError::Value { field: name, value: value.into() }),
        }
    }
}

/// Encoded as a presence flag followed by the value, which is the type's default if absent.
impl<'a, T: Field<'a> + Default> Field<'a> for Option<T> {
    fn write(self, writer: &mut Writer<'_>) {
        self.is_some().write(writer);
        self.unwrap_or_default().write(writer);
    }
    fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError> {
        let is_some = bool::read(reader, name)?;
        let value = T::read(reader, name)?;
        Ok(is_some.then_some(value))
    }
}

/// Encoded as a 1-byte length followed by UTF-8. Longer strings, which occur only in log texts and addresses,
/// are truncated at a character boundary.
impl<'a> Field<'a> for &'a str {
    fn write(self, writer: &mut Writer<'_>) {
        let mut end = self.len().min(MAX_TEXT_BYTES);
        while !self.is_char_boundary(end) {
            end -= 1;
        }
        (end as u8).write(writer);
        writer.bytes(&self.as_bytes()[..end]);
    }
    fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError> {
        let length = u8::read(reader, name)?;
        std::str::from_utf8(reader.bytes(length.into(), name)?).map_err(|_| FrameError::Text(name))
    }
}

/// Encoded as a 4-byte length followed by the bytes.
impl<'a> Field<'a> for &'a [u8] {
    fn write(self, writer: &mut Writer<'_>) {
        (self.len() as u32).write(writer);
        writer.bytes(self);
    }
    fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError> {
        let length = u32::read(reader, name)?;
        reader.bytes(length as usize, name)
    }
}

/// Enumerations, encoded as their 1-byte discriminant.
macro_rules! enumeration_fields {
    ($($type:ident: $($variant:ident),+;)+) => {$(
        impl<'a> Field<'a> for $type {
            fn write(self, writer: &mut Writer<'_>) {
                (self as u8).write(writer);
            }
            fn read(reader: &mut Reader<'a>, name: &'static str) -> Result<Self, FrameError> {
                let value = u8::read(reader, name)?;
                $(if value == $type::$variant as u8 {
                    return Ok($type::$variant);
                })+
                Err(FrameError::Value { field: name, value: value.into() })
            }
        }
    )+};
}

enumeration_fields! {
    Role: Client, Initiator, Node, List;
    Code: Served, Error, Rejected;
    Refusal: Load, Held, Client, Stopping, Unbuffered, Buffer, Storm;
    Scope: Request, Volume, All;
    CloseReason: Version, Protocol, WrongPeer, Bound, Stopping, Turn;
    State: Serving, Draining, Removed;
    Extent: Full, Changes;
}
