//! The batch driver closes jobs whose submission has stopped before all inputs were stored.

use std::{sync::Arc, time::Duration};

use crate::{
    batch::Driver,
    batch_calls,
    ids::{InstanceId, JobId},
    job_record::{JobRecord, JobState},
    loading::StaleJob,
    ownership,
    platform::Object,
};

impl Driver {
    /// Closes a job that has been loading for too long.
    ///
    /// The write is conditional on the version that was seen for all that time. A submission that
    /// goes on after it therefore cannot make the job ready without opening it again.
    pub(crate) fn close_loading(&mut self, now: Duration) {
        if self.stopping.is_some() || !self.closing.due(now) {
            return;
        }
        let timeouts = &self.ctx.settings.timeouts;
        self.closing.succeed(now + timeouts.renew);
        let jobs: Vec<StaleJob> = self.jobs.loading().collect();
        if jobs.is_empty() {
            return;
        }
        let others: Vec<InstanceId> = self.view.peers.keys().cloned().collect();
        let rank = |job: &JobId| ownership::position(job, &self.me.holder, &others);
        let Some(stale) = self.loading.observe(&jobs, now, timeouts.loading, rank) else {
            return;
        };
        let Some(entry) = self.jobs.get(&stale.job) else {
            return;
        };
        let record = JobRecord {
            state: JobState::Abandoned,
            token: fastrand::u64(1..),
            ..entry.record.as_ref().clone()
        };
        self.closing.busy = true;
        self.call(batch_calls::close(self.ctx.clone(), stale, record));
    }

    /// Takes the end of a close. One without an answer is noticed with the next view, or repeated.
    pub(crate) fn closed(&mut self, job: &JobId, object: Option<Arc<Object>>) {
        self.closing.busy = false;
        if let Some(object) = object {
            crate::event!(Warn, JobAbandoned, "job={job}");
            self.ctx.batch.wrote(object);
        }
    }
}
