//! Frame bodies. Each field is declared once, in wire order and with the name that error messages use; the
//! encoder and the decoder are both generated from that declaration.

use super::FrameError;
use super::fields::{Field, Reader, Writer};
use crate::frame::{Attempt, Done, Entry, Frame, Hello, List, Report, Submit, Welcome};

/// Maximum number of entries in a node list: 25,000 nodes (`docs/CAPACITY.md`) and at least 20 % headroom.
pub const MAX_LIST_ENTRIES: usize = 32_768;
/// First frame version whose list entries contain a size and a service time.
const ENTRY_SIZE_SINCE_VERSION: u8 = 3;

/// A sequence of fields with a fixed wire order.
trait Body<'a>: Sized {
    fn write(&self, writer: &mut Writer<'_>);
    fn read(reader: &mut Reader<'a>) -> Result<Self, FrameError>;
}

macro_rules! bodies {
    ($($type:ty { $($field:ident: $name:literal),+ $(,)? })+) => {$(
        impl<'a> Body<'a> for $type {
            fn write(&self, writer: &mut Writer<'_>) {
                $(Field::write(self.$field, writer);)+
            }
            fn read(reader: &mut Reader<'a>) -> Result<Self, FrameError> {
                Ok(Self { $($field: Field::read(reader, $name)?),+ })
            }
        }
    )+};
}

bodies! {
    Welcome<'a> {
        version: "version",
        role: "role",
        id: "id",
        epoch: "epoch",
        name: "name",
    }
    Submit<'a> {
        id: "id",
        operation: "operation",
        class: "class",
        plan: "plan",
        volume_initiators: "writers",
        try_no: "try",
        write: "write",
        volume: "volume",
        extent: "extent",
        shard: "shard",
        units: "units",
        at: "at",
        time_left: "time left",
        payload: "payload",
    }
    Attempt<'a> {
        request: "request",
        attempt: "attempt",
        operation: "operation",
        class: "class",
        plan: "plan",
        write: "write",
        stream: "stream",
        volume: "volume",
        extent: "extent",
        units: "units",
        at: "at",
        time_left: "time left",
        payload: "payload",
    }
    Report {
        used: "used",
        from_others: "from_others",
        inflight: "inflight",
        queue: "queue",
        busy: "busy",
    }
    Done<'a> {
        request: "request",
        attempt: "attempt",
        code: "code",
        report: "report",
        payload: "payload",
    }
}

impl<'a> Field<'a> for Report {
    fn write(self, writer: &mut Writer<'_>) {
        Body::write(&self, writer);
    }
    fn read(reader: &mut Reader<'a>, _name: &'static str) -> Result<Self, FrameError> {
        Body::read(reader)
    }
}

impl<'a> Body<'a> for Hello<'a> {
    fn write(&self, writer: &mut Writer<'_>) {
        let (oldest, newest) = self.versions;
        Field::write(self.role, writer);
        Field::write(oldest, writer);
        Field::write(newest, writer);
        Field::write(self.id, writer);
        Field::write(self.epoch, writer);
        Field::write(self.name, writer);
    }
    fn read(reader: &mut Reader<'a>) -> Result<Self, FrameError> {
        Ok(Hello {
            role: Field::read(reader, "role")?,
            versions: (Field::read(reader, "oldest version")?, Field::read(reader, "newest version")?),
            id: Field::read(reader, "id")?,
            epoch: Field::read(reader, "epoch")?,
            name: Field::read(reader, "name")?,
        })
    }
}

/// Encoded with a 2-byte entry count before the entries. Entries beyond [`MAX_LIST_ENTRIES`] are omitted.
impl<'a> Body<'a> for List<'a> {
    fn write(&self, writer: &mut Writer<'_>) {
        Field::write(self.extent, writer);
        Field::write(self.since, writer);
        Field::write(self.revision, writer);
        let count = self.entries.len().min(MAX_LIST_ENTRIES);
        Field::write(count as u16, writer);
        for entry in &self.entries[..count] {
            entry.write(writer);
        }
    }
    fn read(reader: &mut Reader<'a>) -> Result<Self, FrameError> {
        let extent = Field::read(reader, "extent of the list")?;
        let since = Field::read(reader, "since")?;
        let revision = Field::read(reader, "revision")?;
        let count = u16::read(reader, "count of entries")?;
        if usize::from(count) > MAX_LIST_ENTRIES {
            return Err(FrameError::Value { field: "count of entries", value: count.into() });
        }
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(Entry::read(reader)?);
        }
        Ok(List { extent, since, revision, entries })
    }
}

impl<'a> Body<'a> for Entry<'a> {
    fn write(&self, writer: &mut Writer<'_>) {
        Field::write(self.node, writer);
        Field::write(self.incarnation, writer);
        Field::write(self.state, writer);
        Field::write(self.age, writer);
        Field::write(self.shard, writer);
        Field::write(self.zone, writer);
        Field::write(self.size, writer);
        Field::write(self.service_time, writer);
        Field::write(self.address, writer);
    }
    fn read(reader: &mut Reader<'a>) -> Result<Self, FrameError> {
        let has_size = reader.version >= ENTRY_SIZE_SINCE_VERSION;
        Ok(Entry {
            node: Field::read(reader, "node")?,
            incarnation: Field::read(reader, "incarnation")?,
            state: Field::read(reader, "state")?,
            age: Field::read(reader, "age")?,
            shard: Field::read(reader, "shard")?,
            zone: Field::read(reader, "zone")?,
            size: if has_size { Field::read(reader, "size")? } else { 0 },
            service_time: if has_size { Field::read(reader, "pace")? } else { None },
            address: Field::read(reader, "address")?,
        })
    }
}

/// Maps frame kind numbers to variants of [`Frame`]: `bodies` for variants with a body type of their own,
/// `fields` for variants whose fields are listed inline.
macro_rules! frames {
    (
        bodies { $($body_kind:ident = $body_number:literal => $body:ident,)+ }
        fields { $($kind:ident = $number:literal => $variant:ident { $($field:ident: $name:literal),* },)+ }
    ) => {
        /// Frame kind numbers.
        pub(super) mod kind {
            $(pub(in crate::codec) const $body_kind: u8 = $body_number;)+
            $(pub(in crate::codec) const $kind: u8 = $number;)+
        }

        pub(super) fn kind_of(frame: &Frame<'_>) -> u8 {
            match frame {
                $(Frame::$body(_) => kind::$body_kind,)+
                $(Frame::$variant { .. } => kind::$kind,)+
            }
        }

        pub(super) fn encode_body(frame: &Frame<'_>, writer: &mut Writer<'_>) {
            match frame {
                $(Frame::$body(body) => body.write(writer),)+
                $(Frame::$variant { $($field),* } => {
                    $(Field::write(*$field, writer);)*
                })+
            }
        }

        pub(super) fn decode_body<'a>(number: u8, reader: &mut Reader<'a>) -> Result<Frame<'a>, FrameError> {
            Ok(match number {
                $(kind::$body_kind => Frame::$body(Body::read(reader)?),)+
                $(kind::$kind => Frame::$variant { $($field: Field::read(reader, $name)?),* },)+
                unknown => return Err(FrameError::Kind(unknown)),
            })
        }
    };
}

frames! {
    bodies {
        HELLO = 1 => Hello,
        WELCOME = 2 => Welcome,
        SUBMIT = 16 => Submit,
        ATTEMPT = 32 => Attempt,
        DONE = 34 => Done,
        LIST = 50 => List,
    }
    fields {
        BYE = 3 => Bye { close_reason: "parting", wait: "wait", text: "text" },
        SERVED = 17 => Served { id: "id", shard: "shard", payload: "payload" },
        REFUSED = 18 => Refused { id: "id", wait: "wait", refusal: "refusal", scope: "scope" },
        FAILED = 19 => Failed { id: "id" },
        PART = 20 => Part { id: "id", payload: "payload" },
        BUFFERED = 21 => Buffered { id: "id" },
        BARRIER = 22 => Barrier { id: "id", volume: "volume", time_left: "time left" },
        BARRED = 23 => Barred { id: "id" },
        FLUSH = 24 => Flush { id: "id", volume: "volume", time_left: "time left" },
        FLUSHED = 25 => Flushed { id: "id" },
        ASK_STATUS = 26 => AskStatus { id: "id" },
        STATUS = 27 => Status { id: "id", json: "json" },
        CANCEL = 33 => Cancel { request: "request", attempt: "attempt" },
        CHUNK = 35 => Chunk { request: "request", attempt: "attempt", payload: "payload" },
        PROBE = 36 => Probe { token: "token" },
        PROBED = 37 => Probed { token: "token", report: "report" },
        GET_LIST = 48 => GetList {},
        WATCH = 49 => Watch {},
        LIST_FAILED = 51 => ListFailed {},
        AGREEMENT = 64 => Agreement { bytes: "bytes" },
    }
}
