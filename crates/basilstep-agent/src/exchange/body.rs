use bytes::{Buf, Bytes};
use h3::server::RequestStream;
use http_body::{Body, Frame};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// The body of a caller's request, read from its HTTP/3 stream.
pub struct CallerBody {
    stream: RequestStream<h3_quinn::RecvStream, Bytes>,
}

impl CallerBody {
    /// Takes the receiving half of a request stream.
    pub fn new(stream: RequestStream<h3_quinn::RecvStream, Bytes>) -> Self {
        Self { stream }
    }
}

impl std::fmt::Debug for CallerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerBody").finish_non_exhaustive()
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let read = std::task::ready!(self.stream.poll_recv_data(cx));
        Poll::Ready(match read {
            Ok(Some(mut data)) => {
                let bytes = data.copy_to_bytes(data.remaining());
                Some(Ok(Frame::data(bytes)))
            }
            Ok(None) => None,
            Err(error) => Some(Err(io::Error::other(error.to_string()))),
        })
    }
}

/// The body of an answer: made here, or passed on from the target or another agent.
#[derive(Debug)]
pub enum AnswerBody {
    /// Made here.
    Own(Full<Bytes>),
    /// Passed on as it arrives.
    PassedOn(Incoming),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Own(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::PassedOn(body) => Pin::new(body).poll_frame(cx),
        }
    }
}
