//! A small HTTP/1.1 client and server side: one message with a length or in chunks.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response as read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid() -> std::io::Error {
    std::io::ErrorKind::InvalidData.into()
}

fn read_line(stream: &mut impl Read) -> std::io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        if stream.read(&mut byte)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if byte[0] == b'\n' {
            return Ok(String::from_utf8_lossy(&line).trim_end_matches('\r').to_owned());
        }
        line.push(byte[0]);
    }
}

/// Reads one message. A message with neither a length nor chunks has no body.
pub fn read_message(stream: &mut impl Read) -> std::io::Result<Message> {
    let mut message = Message { first_line: read_line(stream)?, ..Message::default() };
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            if line.is_empty() {
                break;
            }
            return Err(invalid());
        };
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let size =
                usize::from_str_radix(read_line(stream)?.trim(), 16).map_err(|_| invalid())?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(stream)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(message)
}

/// Sends one request over a new connection and waits for the complete response.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!("{head}Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut std::io::BufReader::new(stream))
}
