//! Closing of jobs whose submission stopped before all inputs were stored.

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
    /// The write is conditional on the version that was observed for all that time. A submission that
    /// continues afterwards must therefore reopen the job before it can make it ready.
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
        let rank = |job: &JobId| ownership::position(job, &self.identity.holder, &others);
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

    /// Handles the result of a close. If it had no answer, the next view shows whether to repeat it.
    pub(crate) fn closed(&mut self, job: &JobId, object: Option<Arc<Object>>) {
        self.closing.busy = false;
        if let Some(object) = object {
            crate::event!(Warn, JobAbandoned, "job={job}");
            self.ctx.batch.record_job(object);
        }
    }
}
