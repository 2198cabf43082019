//! A peer connection that counts its bytes and packs its messages.
//!
//! Packed messages leave out zero bytes, of which a digest has many. Releases before this form
//! read and write messages as they are; a server takes both.

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

/// Bytes of each buffer of a connection. A digest fits; an instance has connections to and from
/// hundreds of others, so that buffers of the usual 8 KB would take megabytes.
const BUFFER_BYTES: usize = 1 << 10;

/// Encoding of the messages on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Encoding {
    /// Without zero bytes.
    #[default]
    Packed,
    /// As they are.
    Plain,
}

/// The two directions of a connection.
pub struct Halves {
    /// Messages of the peer.
    pub reader: Box<dyn AsyncRead + Unpin>,
    /// Messages to the peer.
    pub writer: Box<dyn AsyncWrite + Unpin>,
}

/// Takes a connection that was opened by this instance, in a form.
pub fn opened(stream: TcpStream, encoding: Encoding) -> Halves {
    let (reader, writer) = CountingStream(stream).split();
    halves(buffered(reader), writer, encoding)
}

/// Takes a connection that was accepted, in the form of its first message. A message begins with
/// the number of its segments less one, which is 0 for the first one; a packed message begins
/// with the places of bytes that are not 0.
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
