//! Frames of docs/protocol.md, written from that page alone: encoder, decoder and blocking connections.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

pub const VERSION: u8 = 3;
const MAX_BODY: usize = 1_052_672;

fn crc32c(parts: &[&[u8]]) -> u32 {
    static TABLE: std::sync::OnceLock<[u32; 256]> = std::sync::OnceLock::new();
    let table = TABLE.get_or_init(|| {
        let mut table = [0u32; 256];
        for (i, entry) in table.iter_mut().enumerate() {
            let mut crc = i as u32;
            for _ in 0..8 {
                crc = if crc & 1 == 1 { (crc >> 1) ^ 0x82f6_3b78 } else { crc >> 1 };
            }
            *entry = crc;
        }
        table
    });
    let mut crc = !0u32;
    for part in parts {
        for byte in *part {
            crc = table[((crc ^ u32::from(*byte)) & 0xff) as usize] ^ (crc >> 8);
        }
    }
    !crc
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Submit {
    pub id: u64,
    pub operation: u64,
    pub class: u16,
    pub plan: u16,
    pub writers: u16,
    pub try_no: u8,
    pub write: bool,
    pub volume: u64,
    pub extent: Option<u64>,
    pub shard: Option<u32>,
    pub units: u32,
    pub at: Option<u32>,
    pub time_left: u32,
    pub payload: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempt {
    pub request: u64,
    pub attempt: u32,
    pub operation: u64,
    pub class: u16,
    pub plan: u16,
    pub write: bool,
    pub stream: bool,
    pub volume: u64,
    pub extent: Option<u64>,
    pub units: u32,
    pub at: Option<u32>,
    pub time_left: u32,
    pub payload: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub node: u64,
    pub incarnation: u64,
    /// 1 serving, 2 draining, 3 gone.
    pub state: u8,
    /// Microseconds since the latest start; none: long past.
    pub age: Option<u64>,
    pub shard: u32,
    pub zone: u32,
    pub size: u32,
    pub address: String,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Hello { role: u8, oldest: u8, newest: u8, id: u64, epoch: u64, name: String },
    Welcome { version: u8, role: u8, id: u64, epoch: u64, name: String },
    Bye { cause: u8, wait: u32, text: String },
    Submit(Submit),
    Served { id: u64, shard: u32, payload: Vec<u8> },
    Refused { id: u64, wait: u32, cause: u8, scope: u8 },
    Failed { id: u64 },
    Part { id: u64, payload: Vec<u8> },
    Buffered { id: u64 },
    Barrier { id: u64, volume: u64, time_left: u32 },
    Barred { id: u64 },
    Flush { id: u64, volume: Option<u64>, time_left: u32 },
    Flushed { id: u64 },
    Attempt(Attempt),
    Cancel { request: u64, attempt: u32 },
    Done { request: u64, attempt: u32, code: u8, payload: Vec<u8> },
    Chunk { request: u64, attempt: u32, payload: Vec<u8> },
    Probe { token: u64 },
    Probed { token: u64 },
    GetList,
    Watch,
    List { full: bool, since: u64, revision: u64, entries: Vec<Entry> },
    ListFailed,
    Other(u8),
}

#[derive(Default)]
struct Out(Vec<u8>);

impl Out {
    fn u8(&mut self, v: u8) {
        self.0.push(v);
    }
    fn flag(&mut self, v: bool) {
        self.0.push(v.into());
    }
    fn u16(&mut self, v: u16) {
        self.0.extend(v.to_le_bytes());
    }
    fn u32(&mut self, v: u32) {
        self.0.extend(v.to_le_bytes());
    }
    fn u64(&mut self, v: u64) {
        self.0.extend(v.to_le_bytes());
    }
    fn opt32(&mut self, v: Option<u32>) {
        self.flag(v.is_some());
        self.u32(v.unwrap_or(0));
    }
    fn opt64(&mut self, v: Option<u64>) {
        self.flag(v.is_some());
        self.u64(v.unwrap_or(0));
    }
    fn text(&mut self, v: &str) {
        self.u8(v.len() as u8);
        self.0.extend(v.as_bytes());
    }
    fn bytes(&mut self, v: &[u8]) {
        self.u32(v.len() as u32);
        self.0.extend(v);
    }
    /// An empty load report.
    fn report(&mut self) {
        self.opt32(None);
        self.u32(0);
        self.opt32(None);
        self.opt32(None);
        self.opt32(None);
    }
}

/// Encodes a frame with its header.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut o = Out::default();
    let kind = match frame {
        Frame::Hello { role, oldest, newest, id, epoch, name } => {
            o.u8(*role);
            o.u8(*oldest);
            o.u8(*newest);
            o.u64(*id);
            o.u64(*epoch);
            o.text(name);
            1
        }
        Frame::Welcome { version, role, id, epoch, name } => {
            o.u8(*version);
            o.u8(*role);
            o.u64(*id);
            o.u64(*epoch);
            o.text(name);
            2
        }
        Frame::Bye { cause, wait, text } => {
            o.u8(*cause);
            o.u32(*wait);
            o.text(text);
            3
        }
        Frame::Submit(s) => {
            o.u64(s.id);
            o.u64(s.operation);
            o.u16(s.class);
            o.u16(s.plan);
            o.u16(s.writers);
            o.u8(s.try_no);
            o.flag(s.write);
            o.u64(s.volume);
            o.opt64(s.extent);
            o.opt32(s.shard);
            o.u32(s.units);
            o.opt32(s.at);
            o.u32(s.time_left);
            o.bytes(&s.payload);
            16
        }
        Frame::Served { id, shard, payload } => {
            o.u64(*id);
            o.u32(*shard);
            o.bytes(payload);
            17
        }
        Frame::Refused { id, wait, cause, scope } => {
            o.u64(*id);
            o.u32(*wait);
            o.u8(*cause);
            o.u8(*scope);
            18
        }
        Frame::Failed { id } => {
            o.u64(*id);
            19
        }
        Frame::Part { id, payload } => {
            o.u64(*id);
            o.bytes(payload);
            20
        }
        Frame::Buffered { id } => {
            o.u64(*id);
            21
        }
        Frame::Barrier { id, volume, time_left } => {
            o.u64(*id);
            o.u64(*volume);
            o.u32(*time_left);
            22
        }
        Frame::Barred { id } => {
            o.u64(*id);
            23
        }
        Frame::Flush { id, volume, time_left } => {
            o.u64(*id);
            o.opt64(*volume);
            o.u32(*time_left);
            24
        }
        Frame::Flushed { id } => {
            o.u64(*id);
            25
        }
        Frame::Attempt(a) => {
            o.u64(a.request);
            o.u32(a.attempt);
            o.u64(a.operation);
            o.u16(a.class);
            o.u16(a.plan);
            o.flag(a.write);
            o.flag(a.stream);
            o.u64(a.volume);
            o.opt64(a.extent);
            o.u32(a.units);
            o.opt32(a.at);
            o.u32(a.time_left);
            o.bytes(&a.payload);
            32
        }
        Frame::Cancel { request, attempt } => {
            o.u64(*request);
            o.u32(*attempt);
            33
        }
        Frame::Done { request, attempt, code, payload } => {
            o.u64(*request);
            o.u32(*attempt);
            o.u8(*code);
            o.report();
            o.bytes(payload);
            34
        }
        Frame::Chunk { request, attempt, payload } => {
            o.u64(*request);
            o.u32(*attempt);
            o.bytes(payload);
            35
        }
        Frame::Probe { token } => {
            o.u64(*token);
            36
        }
        Frame::Probed { token } => {
            o.u64(*token);
            o.report();
            37
        }
        Frame::GetList => 48,
        Frame::Watch => 49,
        Frame::List { full, since, revision, entries } => {
            o.u8(if *full { 1 } else { 2 });
            o.u64(*since);
            o.u64(*revision);
            o.u16(entries.len() as u16);
            for e in entries {
                o.u64(e.node);
                o.u64(e.incarnation);
                o.u8(e.state);
                o.opt64(e.age);
                o.u32(e.shard);
                o.u32(e.zone);
                o.u32(e.size);
                o.opt32(None);
                o.text(&e.address);
            }
            50
        }
        Frame::ListFailed => 51,
        Frame::Other(kind) => *kind,
    };
    let body = o.0;
    let length = (body.len() as u32).to_le_bytes();
    let tail = [VERSION, kind, 0, 0];
    let crc = crc32c(&[&length, &tail, &body]);
    let mut bytes = Vec::with_capacity(12 + body.len());
    bytes.extend(length);
    bytes.extend(crc.to_le_bytes());
    bytes.extend(tail);
    bytes.extend(body);
    bytes
}

struct In<'a>(&'a [u8]);

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl<'a> In<'a> {
    fn take(&mut self, n: usize) -> io::Result<&'a [u8]> {
        if self.0.len() < n {
            return Err(bad("body ends inside a field"));
        }
        let (head, tail) = self.0.split_at(n);
        self.0 = tail;
        Ok(head)
    }
    fn u8(&mut self) -> io::Result<u8> {
        Ok(self.take(1)?[0])
    }
    fn flag(&mut self) -> io::Result<bool> {
        Ok(self.u8()? == 1)
    }
    fn u16(&mut self) -> io::Result<u16> {
        Ok(u16::from_le_bytes(self.take(2)?.try_into().unwrap()))
    }
    fn u32(&mut self) -> io::Result<u32> {
        Ok(u32::from_le_bytes(self.take(4)?.try_into().unwrap()))
    }
    fn u64(&mut self) -> io::Result<u64> {
        Ok(u64::from_le_bytes(self.take(8)?.try_into().unwrap()))
    }
    fn opt32(&mut self) -> io::Result<Option<u32>> {
        let some = self.flag()?;
        let v = self.u32()?;
        Ok(some.then_some(v))
    }
    fn opt64(&mut self) -> io::Result<Option<u64>> {
        let some = self.flag()?;
        let v = self.u64()?;
        Ok(some.then_some(v))
    }
    fn text(&mut self) -> io::Result<String> {
        let n = self.u8()?;
        Ok(String::from_utf8_lossy(self.take(n.into())?).into_owned())
    }
    fn bytes(&mut self) -> io::Result<Vec<u8>> {
        let n = self.u32()?;
        Ok(self.take(n as usize)?.to_vec())
    }
}

fn decode_body(kind: u8, body: &[u8]) -> io::Result<Frame> {
    let mut i = In(body);
    Ok(match kind {
        1 => Frame::Hello {
            role: i.u8()?,
            oldest: i.u8()?,
            newest: i.u8()?,
            id: i.u64()?,
            epoch: i.u64()?,
            name: i.text()?,
        },
        2 => Frame::Welcome { version: i.u8()?, role: i.u8()?, id: i.u64()?, epoch: i.u64()?, name: i.text()? },
        3 => Frame::Bye { cause: i.u8()?, wait: i.u32()?, text: i.text()? },
        16 => Frame::Submit(Submit {
            id: i.u64()?,
            operation: i.u64()?,
            class: i.u16()?,
            plan: i.u16()?,
            writers: i.u16()?,
            try_no: i.u8()?,
            write: i.flag()?,
            volume: i.u64()?,
            extent: i.opt64()?,
            shard: i.opt32()?,
            units: i.u32()?,
            at: i.opt32()?,
            time_left: i.u32()?,
            payload: i.bytes()?,
        }),
        17 => Frame::Served { id: i.u64()?, shard: i.u32()?, payload: i.bytes()? },
        18 => Frame::Refused { id: i.u64()?, wait: i.u32()?, cause: i.u8()?, scope: i.u8()? },
        19 => Frame::Failed { id: i.u64()? },
        20 => Frame::Part { id: i.u64()?, payload: i.bytes()? },
        21 => Frame::Buffered { id: i.u64()? },
        23 => Frame::Barred { id: i.u64()? },
        25 => Frame::Flushed { id: i.u64()? },
        32 => Frame::Attempt(Attempt {
            request: i.u64()?,
            attempt: i.u32()?,
            operation: i.u64()?,
            class: i.u16()?,
            plan: i.u16()?,
            write: i.flag()?,
            stream: i.flag()?,
            volume: i.u64()?,
            extent: i.opt64()?,
            units: i.u32()?,
            at: i.opt32()?,
            time_left: i.u32()?,
            payload: i.bytes()?,
        }),
        33 => Frame::Cancel { request: i.u64()?, attempt: i.u32()? },
        36 => Frame::Probe { token: i.u64()? },
        48 => Frame::GetList,
        49 => Frame::Watch,
        51 => Frame::ListFailed,
        other => Frame::Other(other),
    })
}

/// Reads one frame. None: the peer ended its stream between two frames.
pub fn read_frame(stream: &mut impl Read) -> io::Result<Option<Frame>> {
    let mut head = [0u8; 12];
    let mut got = 0;
    while got < head.len() {
        match stream.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    let length = u32::from_le_bytes(head[0..4].try_into().unwrap()) as usize;
    if length > MAX_BODY {
        return Err(bad("body too long"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    let crc = u32::from_le_bytes(head[4..8].try_into().unwrap());
    if crc != crc32c(&[&head[0..4], &head[8..12], &body]) {
        return Err(bad("wrong checksum"));
    }
    decode_body(head[9], &body).map(Some)
}

/// The sending side of a connection, shared by threads.
#[derive(Clone)]
pub struct Sender(Arc<Mutex<TcpStream>>);

impl Sender {
    pub fn new(stream: &TcpStream) -> io::Result<Sender> {
        Ok(Sender(Arc::new(Mutex::new(stream.try_clone()?))))
    }
    pub fn send(&self, frame: &Frame) -> io::Result<()> {
        self.send_bytes(&encode(frame))
    }
    pub fn send_bytes(&self, bytes: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap().write_all(bytes)
    }
}

/// Says Hello as a client and waits for Welcome.
pub fn greet_as_client(stream: &mut TcpStream, id: u64) -> io::Result<()> {
    let name = "client".to_owned();
    let hello = Frame::Hello { role: 1, oldest: VERSION, newest: VERSION, id, epoch: 1, name };
    stream.write_all(&encode(&hello))?;
    match read_frame(stream)? {
        Some(Frame::Welcome { .. }) => Ok(()),
        other => Err(bad(&format!("no Welcome but {other:?}"))),
    }
}
