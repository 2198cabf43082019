//! Stream of a peer connection: counts bytes and packs messages.
//!
//! Packed messages leave out zero bytes, of which a digest has many. Earlier releases support only
//! unpacked messages; a server accepts both.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use futures::{
    AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite,
    io::{BufReader, BufWriter},
};
use smol::net::TcpStream;

use crate::metrics::{self, Direction};

/// Size of each buffer of a connection, in bytes. A digest fits. An instance has connections to and
/// from hundreds of others, so the default of 8 KB would take megabytes.
const BUFFER_BYTES: usize = 1 << 10;

/// Encoding of the messages on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Encoding {
    /// Packed, without zero bytes.
    #[default]
    Packed,
    /// Unpacked.
    Plain,
}

/// The two directions of a connection.
pub struct Halves {
    /// Messages from the peer.
    pub reader: Box<dyn AsyncRead + Unpin>,
    /// Messages to the peer.
    pub writer: Box<dyn AsyncWrite + Unpin>,
}

/// Prepares a connection that this instance opened, with the given encoding.
pub fn opened(stream: TcpStream, encoding: Encoding) -> Halves {
    let (reader, writer) = CountingStream(stream).split();
    halves(buffered(reader), writer, encoding)
}

/// Prepares an accepted connection, with the encoding of its first message. An unpacked message
/// begins with its number of segments minus one, which is 0 for the first message; a packed message
/// begins with a nonzero bit mask of its nonzero bytes.
///
/// # Errors
///
/// Returns an error when the connection breaks before its first byte.
pub async fn accepted(stream: TcpStream) -> io::Result<Halves> {
    let (reader, writer) = CountingStream(stream).split();
    let mut reader = buffered(reader);
    let encoding = match reader.fill_buf().await?.first() {
        Some(0) => Encoding::Plain,
        _ => Encoding::Packed,
    };
    Ok(halves(reader, writer, encoding))
}

fn buffered<R: AsyncRead>(reader: R) -> BufReader<R> {
    BufReader::with_capacity(BUFFER_BYTES, reader)
}

fn halves(
    reader: impl AsyncRead + Unpin + 'static,
    writer: impl AsyncWrite + Unpin + 'static,
    encoding: Encoding,
) -> Halves {
    let writer = BufWriter::with_capacity(BUFFER_BYTES, writer);
    match encoding {
        Encoding::Packed => Halves {
            reader: Box::new(PackedRead::new(reader)),
            writer: Box::new(PackedWrite::new(writer)),
        },
        Encoding::Plain => Halves {
            reader: Box::new(reader),
            writer: Box::new(writer),
        },
    }
}

/// A TCP stream whose bytes are counted.
#[derive(Debug)]
pub struct CountingStream(pub TcpStream);

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.0).poll_read(cx, buffer))?;
        metrics::peer_bytes(Direction::In, read);
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.0).poll_write(cx, buffer))?;
        metrics::peer_bytes(Direction::Out, written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
