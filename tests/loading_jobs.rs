//! Closing of jobs whose submission stopped.

use std::time::Duration;

use gentianpath::loading::{LoadingJobs, StaleJob};

const LIMIT: Duration = Duration::from_secs(60);

fn job(name: &str, version: u64) -> StaleJob {
    StaleJob {
        job: name.into(),
        version,
    }
}

/// Guards against a job that is closed while its submission makes progress, one that is never closed,
/// and one that is not closed because the first-ranked instance is paused.
#[test]
fn a_job_is_due_when_its_object_has_not_changed_for_the_limit() {
    for rank in [0, 1, 2, 300] {
        let mut loading = LoadingJobs::default();
        let mut at = |seconds: u64, jobs: &[StaleJob]| {
            loading.observe(jobs, Duration::from_secs(seconds), LIMIT, |_| rank)
        };
        let wait = 60 * (1 + rank as u64).min(4);
        assert_eq!(at(0, &[job("a", 1), job("b", 2)]), None);
        // The object of job b changes because the job is reopened.
        let jobs = [job("a", 1), job("b", 7)];
        assert_eq!(at(50, &jobs), None);
        assert_eq!(at(wait - 1, &jobs), None);
        assert_eq!(at(wait, &jobs), Some(job("a", 1)));
        // A close without an answer is repeated until the view shows its effect.
        assert_eq!(at(wait + 1, &jobs), Some(job("a", 1)));
        assert_eq!(at(wait + 49, &jobs[1..]), None);
        assert_eq!(at(wait + 50, &jobs[1..]), Some(job("b", 7)));
        // A job that was not loading in between counts as new.
        assert_eq!(at(wait + 60, &[]), None);
        assert_eq!(at(wait + 61, &jobs[1..]), None);
    }
}
