//! What several tests of the program share: an HTTP reader, addresses, the kernel's table of sockets.
#![allow(dead_code, reason = "each test uses a part of it")]

pub mod kernel_sockets;
pub mod loopback;

use std::io::Read;
use std::net::TcpStream;

/// Reads the next HTTP message of a connection; returns its head and its body of `Content-Length` bytes.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut head, mut byte) = (String::new(), [0]);
    while !head.ends_with("\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(char::from(byte[0]));
    }
    let length =
        head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}
