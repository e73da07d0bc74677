//! A body that is paced to the budget of a link.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use celerygate_steering::links::class_of;
use celerygate_types::ByteCount;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::LinkKey;
use crate::daemon::Daemon;

/// A body whose frames are released within the budget of the link that they cross.
pub struct PacedBody<B> {
    inner: B,
    pacing: Option<Pacing>,
    sent_bytes: u64,
}

struct Pacing {
    daemon: Arc<Daemon>,
    link: LinkKey,
    stream: u64,
    /// The frame that waits for budget.
    waiting_frame: Option<Frame<Bytes>>,
    timer: Pin<Box<Sleep>>,
}

impl<B> PacedBody<B> {
    /// Wraps a body. Without a link, its frames are not delayed.
    pub fn new(inner: B, link: Option<LinkKey>, daemon: &Arc<Daemon>) -> Self {
        let pacing = link.map(|link| Pacing {
            daemon: Arc::clone(daemon),
            link,
            stream: daemon.tables.links.lock().open_stream(),
            waiting_frame: None,
            timer: Box::pin(sleep_until(daemon.clock.now().into())),
        });
        Self { inner, pacing, sent_bytes: 0 }
    }
}

impl Pacing {
    /// Returns the waiting frame once the pacer has released all its bytes.
    fn poll_released(&mut self, context: &mut Context<'_>) -> Poll<Option<Frame<Bytes>>> {
        loop {
            let now = self.daemon.clock.now();
            let retry_at = {
                let mut links = self.daemon.tables.links.lock();
                links.poll(&self.link, self.stream, context.waker(), now)
            };
            let Some(retry_at) = retry_at else { return Poll::Ready(self.waiting_frame.take()) };
            self.timer.as_mut().reset(retry_at.into());
            // Registers the waker with the timer. If the time has just passed, the loop polls
            // again.
            ready!(self.timer.as_mut().poll(context));
        }
    }
}

impl Drop for Pacing {
    fn drop(&mut self) {
        self.daemon.tables.links.lock().close_stream(&self.link, self.stream);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for PacedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = &mut *self;
        let Some(pacing) = &mut this.pacing else {
            return Pin::new(&mut this.inner).poll_frame(context);
        };
        if pacing.waiting_frame.is_none() {
            let frame = match ready!(Pin::new(&mut this.inner).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(end),
            };
            let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            if bytes == 0 {
                return Poll::Ready(Some(Ok(frame)));
            }
            let exact = this.inner.size_hint().exact();
            let length = exact.map(|rest| ByteCount(rest + this.sent_bytes + bytes));
            let class = class_of(length, ByteCount(this.sent_bytes));
            this.sent_bytes += bytes;
            pacing.waiting_frame = Some(frame);
            let mut links = pacing.daemon.tables.links.lock();
            links.submit(&pacing.link, pacing.stream, class, bytes, context.waker());
        }
        pacing.poll_released(context).map(|frame| frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        let has_waiting_frame =
            self.pacing.as_ref().is_some_and(|pacing| pacing.waiting_frame.is_some());
        !has_waiting_frame && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let waiting_frame = self.pacing.as_ref().and_then(|pacing| pacing.waiting_frame.as_ref());
        let bytes = waiting_frame.and_then(Frame::data_ref).map_or(0, |data| data.len() as u64);
        let mut hint = self.inner.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + bytes);
        }
        hint.set_lower(hint.lower() + bytes);
        hint
    }
}
