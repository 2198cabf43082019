//! Executes the record steps of non-repeatable requests on the object service.

use std::sync::Arc;

use crate::{
    context::Context,
    ids::TeamId,
    once::{
        Once, Outcome, Record, Step, StepResult, StoredAnswer, VersionedRecord, digest, record_name,
    },
    platform::{Kind, Object, ReadError},
    verdict::RequestError,
};

/// Result of opening the record of a request.
#[derive(Debug)]
pub enum Opened {
    /// The request must be sent; its record is open.
    Dispatch(OnceRecord),
    /// The request ran before; this answer is returned.
    Return(StoredAnswer),
}

/// The open record of a request that is being run.
#[derive(Debug)]
pub struct OnceRecord {
    ctx: Arc<Context>,
    name: String,
    once: Once,
}

/// Identity of a non-repeatable request with a key.
#[derive(Debug, Clone, Copy)]
pub struct OnceRequest<'a> {
    /// Team of the caller.
    pub team: &'a TeamId,
    /// Idempotency key.
    pub key: &'a str,
    /// Token of this call, unique in the fleet.
    pub token: &'a str,
    /// Parts of the request's content.
    pub content: &'a [&'a [u8]],
}

/// Creates the record of a request, or reads the outcome of an earlier request with the same key.
///
/// # Errors
///
/// Fails when the request must not be sent.
pub async fn open(ctx: &Arc<Context>, request: OnceRequest<'_>) -> Result<Opened, RequestError> {
    let content = digest(request.content);
    let (once, first) = Once::begin(request.token.into(), content.into());
    let mut record = OnceRecord {
        ctx: ctx.clone(),
        name: record_name(request.team, request.key),
        once,
    };
    match record.drive(first).await {
        Step::Dispatch => Ok(Opened::Dispatch(record)),
        Step::Return(stored) => Ok(Opened::Return(stored)),
        Step::Refuse(error) => Err(error),
        other => unreachable!("unexpected last step {other:?}"),
    }
}

impl OnceRecord {
    /// Stores the outcome of the run. The number of attempts is limited.
    pub async fn finish(mut self, outcome: Outcome) {
        let step = self.once.advance(StepResult::Ran(outcome));
        self.drive(step).await;
    }

    /// Executes steps until one that is not a call of the object service.
    async fn drive(&mut self, mut step: Step) -> Step {
        let platform = &self.ctx.platform;
        loop {
            let result = match step {
                Step::Create(record) => {
                    StepResult::Wrote(platform.create(Kind::Once, &self.name, &record).await)
                }
                Step::Update(version, record) => StepResult::Wrote(
                    platform
                        .update(Kind::Once, &self.name, version, &record)
                        .await,
                ),
                Step::Remove(version) => {
                    let removed = platform.delete(Kind::Once, &self.name, version).await;
                    StepResult::Wrote(removed.map(|()| version))
                }
                Step::Read => StepResult::Read(read(&self.ctx, &self.name).await),
                other => return other,
            };
            step = self.once.advance(result);
        }
    }
}

async fn read(ctx: &Context, name: &str) -> Result<Option<VersionedRecord>, ReadError> {
    let object = ctx.platform.get(Kind::Once, name).await?;
    Ok(object.map(decode))
}

fn decode(object: Object) -> VersionedRecord {
    VersionedRecord {
        version: object.version,
        record: serde_json::from_value::<Record>(object.value).ok(),
    }
}
