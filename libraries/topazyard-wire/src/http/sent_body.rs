//! The body of a response that is being sent to a client.

use super::connection::{Connection, Phase};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A body that tells its connection when it was passed on to its end.
pub(super) struct SentBody {
    body: super::Body,
    connection: Arc<Connection>,
}

impl SentBody {
    pub(super) fn new(body: super::Body, connection: Arc<Connection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for SentBody {
    fn drop(&mut self) {
        // The next request may have begun, if this body was empty.
        if self.connection.phase() == Phase::Sending {
            self.connection.enter(Phase::Idle);
        }
    }
}

impl Body for SentBody {
    type Data = bytes::Bytes;
    type Error = super::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
