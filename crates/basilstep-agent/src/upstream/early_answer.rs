use std::{
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection whose answer stays readable when the peer answers and closes before it has read
/// the whole request.
///
/// HTTP clients end a connection on the first failed write, and so lose an answer that has been
/// received but not read. Writes after the peer's close are discarded here instead. The end of the
/// stream is then reported as the error of the write, so that an answer without a length is not
/// taken for complete.
#[derive(Debug)]
pub struct EarlyAnswerStream {
    stream: TcpStream,
    write_error: Option<ErrorKind>,
}

impl EarlyAnswerStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            write_error: None,
        }
    }

    /// Passes on the result of a write, or discards `length` bytes if the peer has closed.
    fn accept_write(&mut self, written: io::Result<usize>, length: usize) -> io::Result<usize> {
        match written {
            Err(error) if is_close(error.kind()) => {
                self.write_error = Some(error.kind());
                Ok(length)
            }
            written => written,
        }
    }
}

fn is_close(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::BrokenPipe | ErrorKind::ConnectionReset)
}

impl AsyncRead for EarlyAnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let is_end = buffer.filled().len() == filled && buffer.remaining() > 0;
        Poll::Ready(match self.write_error {
            Some(kind) if is_end => Err(kind.into()),
            _ => Ok(()),
        })
    }
}

impl AsyncWrite for EarlyAnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        Poll::Ready(self.accept_write(written, bytes.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(length));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices));
        Poll::Ready(self.accept_write(written, length))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
