use super::dispatcher::{AdmissionSlot, StreamSlot};
use basilstep_core::admission::Outcome;
use bytes::{Buf, Bytes};
use h3::server::RequestStream;
use http_body::{Body, Frame};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{Sleep, sleep};

/// The body of a caller's request, read from its HTTP/3 stream.
pub struct CallerRequestBody {
    stream: RequestStream<h3_quinn::RecvStream, Bytes>,
}

impl CallerRequestBody {
    /// Takes the receiving half of a request stream.
    pub fn new(stream: RequestStream<h3_quinn::RecvStream, Bytes>) -> Self {
        Self { stream }
    }
}

impl fmt::Debug for CallerRequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerBody").finish_non_exhaustive()
    }
}

impl Body for CallerRequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let read = ready!(self.stream.poll_recv_data(cx));
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

/// The body of a request on its way to the target or another agent.
#[derive(Debug)]
pub enum RequestBody<B> {
    /// There is none, so that the request can be sent again.
    Empty,
    /// It is passed on as it arrives.
    Streamed(B),
}

impl<B: Body<Data = Bytes> + Unpin> Body for RequestBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Empty => http_body::SizeHint::with_exact(0),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// The body of an answer: made here, or passed on from the target or another agent.
#[derive(Debug)]
pub enum ResponseBody {
    /// Made here.
    Buffered(Full<Bytes>),
    /// Passed on as it arrives, until the deadline.
    Streamed(DeadlineBody),
    /// A long response, passed on for as long as both sides stay.
    LongLived {
        /// What arrives.
        body: Incoming,
        /// Counts it as a connection of the target.
        slot: Option<StreamSlot>,
    },
}

/// An answer that ends before the deadline, or breaks off.
#[derive(Debug)]
pub struct DeadlineBody {
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
    slot: Option<AdmissionSlot>,
    latency_ms: u32,
}

impl DeadlineBody {
    /// Passes on `body`; tells admission through `slot` how it ended.
    pub fn new(
        body: Incoming,
        remaining_ms: u64,
        slot: Option<AdmissionSlot>,
        latency_ms: u32,
    ) -> Self {
        Self {
            body,
            deadline: Box::pin(sleep(Duration::from_millis(remaining_ms))),
            slot,
            latency_ms,
        }
    }

    fn release_slot(&mut self, outcome: Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.complete(self.latency_ms, outcome);
        }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.release_slot(Outcome::TimedOut);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.release_slot(Outcome::Ok),
            Some(Err(_)) => self.release_slot(Outcome::TargetGone),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streamed(streamed) => streamed.poll_frame(cx),
            Self::LongLived { body, slot } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                if frame.is_none() {
                    slot.take();
                }
                Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
            }
        }
    }
}
