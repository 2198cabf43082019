//! Ends the answers to callers whose time is over.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::ids::RequestId;

/// Time after the end of the time of an answer at which its connection is closed if the answer has not
/// been written; callers have to see an end within 0.5 s.
const END_SLACK: Duration = Duration::from_millis(200);

/// Time at which the connection to a caller has to be closed, unless the answer on it has been written.
///
/// The answer itself is not polled while its caller does not read.
#[derive(Debug, Clone)]
pub struct AnswerEnd {
    request: RequestId,
    deadline: Instant,
    open: Weak<()>,
}

/// Bytes of an answer that is open until the last part of them has been written.
struct OpenBytes {
    bytes: Bytes,
    _open: Arc<()>,
}

impl AsRef<[u8]> for OpenBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerEnd {
    /// Builds the end of an answer that is completely known, and its bytes.
    pub fn of_whole(request: &RequestId, remaining: Duration, bytes: Bytes) -> (Self, Bytes) {
        let open = Arc::new(());
        let end = Self::new(request, remaining, &open);
        (end, Bytes::from_owner(OpenBytes { bytes, _open: open }))
    }

    /// Builds the end of an answer that is open for as long as `open` is in use.
    pub fn new(request: &RequestId, remaining: Duration, open: &Arc<()>) -> Self {
        Self {
            request: request.clone(),
            deadline: Instant::now() + remaining,
            open: Arc::downgrade(open),
        }
    }

    /// Returns the id of the request.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Returns the time since the end of the time of the answer.
    pub fn overdue(&self) -> Option<Duration> {
        Instant::now().checked_duration_since(self.deadline)
    }

    /// Waits until the answer is late, and returns whether it is still open then.
    pub async fn is_late(&self) -> bool {
        async_io::Timer::at(self.deadline + END_SLACK).await;
        self.open.strong_count() > 0
    }
}
