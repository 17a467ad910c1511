//! The stream of a client's connection: it follows the connection's progress and ends it so that the
//! client receives its last response.

use super::connection::{Connection, Phase};
use super::memory::{Account, Purpose, Reservation};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The part of a head that is part of what a connection may take.
const FREE_HEAD_BYTES: usize = 16 * 1_024;
/// How much of an unread request is read and discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 8 * 1_024 * 1_024;
/// How long that takes at most.
const LINGER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_000);
const DISCARD_BUFFER_BYTES: usize = 8 * 1_024;

/// A client's stream.
pub(super) struct ClientIo {
    stream: TcpStream,
    connection: Arc<Connection>,
    /// The bytes of the head that is being read.
    head_bytes: usize,
    head_reservation: Option<Reservation>,
    shutdown: Shutdown,
}

/// How far the shutdown of a stream has come.
enum Shutdown {
    NotStarted,
    Lingering { discarded_bytes: usize, timeout: Pin<Box<tokio::time::Sleep>> },
    Done,
}

impl ClientIo {
    pub(super) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            stream,
            connection,
            head_bytes: 0,
            head_reservation: None,
            shutdown: Shutdown::NotStarted,
        }
    }

    /// Follows the phase after bytes were read, and charges a large head.
    fn received(&mut self, bytes: usize) -> std::io::Result<()> {
        match self.connection.phase() {
            Phase::Idle if bytes > 0 => {
                self.connection.enter(Phase::Head);
                self.head_bytes = bytes;
            }
            Phase::Head => self.head_bytes += bytes,
            _ => {
                self.head_bytes = 0;
                self.head_reservation = None;
            }
        }
        let charged_bytes = self.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        if charged_bytes == 0 {
            return Ok(());
        }
        let is_charged = match &mut self.head_reservation {
            Some(reservation) => reservation.grow(Purpose::SmallBody, bytes as u64),
            None => {
                let account = Account::of_process();
                self.head_reservation = account.reserve(Purpose::SmallBody, charged_bytes as u64);
                self.head_reservation.is_some()
            }
        };
        if is_charged { Ok(()) } else { Err(std::io::ErrorKind::OutOfMemory.into()) }
    }

    fn track_write<T>(&self, written: &Poll<std::io::Result<T>>) {
        match written {
            Poll::Ready(_) => self.connection.write_progressed(),
            Poll::Pending => self.connection.write_blocked(),
        }
    }

    /// Reads and discards the rest of a request until the client closes or enough was read.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Shutdown::Lingering { discarded_bytes, timeout } = &mut self.shutdown else {
            return Poll::Ready(());
        };
        if timeout.as_mut().poll(context).is_ready() {
            self.shutdown = Shutdown::Done;
            return Poll::Ready(());
        }
        let mut space = [0; DISCARD_BUFFER_BYTES];
        while *discarded_bytes < MAX_DISCARDED_BYTES {
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            let read_bytes = buffer.filled().len();
            if read.is_err() || read_bytes == 0 {
                break;
            }
            *discarded_bytes += read_bytes;
        }
        self.shutdown = Shutdown::Done;
        Poll::Ready(())
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled_before;
        Poll::Ready(self.received(bytes))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.track_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.track_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        if matches!(self.shutdown, Shutdown::NotStarted) {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            // A connection that is closed with unread bytes is reset, and the client may lose the
            // response.
            self.shutdown = if self.connection.has_unread_request() {
                self.connection.enter(Phase::Lingering);
                let timeout = Box::pin(tokio::time::sleep(LINGER_TIMEOUT));
                Shutdown::Lingering { discarded_bytes: 0, timeout }
            } else {
                Shutdown::Done
            };
        }
        self.poll_discard(context).map(Ok)
    }
}
