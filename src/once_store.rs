//! Drives the records of requests that may not be repeated against the object service.

use std::sync::Arc;

use crate::{
    context::Context,
    ids::TeamId,
    once::{Held, Once, Outcome, Record, Seen, Step, Stored, digest, record_name},
    platform::{Kind, Object, ReadError},
    verdict::RequestError,
};

/// Whether a marked and keyed request is sent.
#[derive(Debug)]
pub enum Entry {
    /// Send it; the record is held open.
    Dispatch(OnceRecord),
    /// Return the answer of an earlier run.
    Return(Stored),
}

/// The open record of a request that is being sent.
#[derive(Debug)]
pub struct OnceRecord {
    ctx: Arc<Context>,
    name: String,
    once: Once,
}

/// What identifies a marked and keyed request.
#[derive(Debug, Clone, Copy)]
pub struct Marked<'a> {
    /// Team of the caller.
    pub team: &'a TeamId,
    /// Idempotency key.
    pub key: &'a str,
    /// Token of this call, unique in the fleet.
    pub token: &'a str,
    /// Parts of the request's content.
    pub content: &'a [&'a [u8]],
}

/// Creates the record of a request, or finds out what became of an earlier one.
///
/// # Errors
///
/// Returns the refusal of a request that must not be sent.
pub async fn enter(ctx: &Arc<Context>, marked: Marked<'_>) -> Result<Entry, RequestError> {
    let request = digest(marked.content);
    let (once, first) = Once::begin(marked.token.into(), request.into());
    let mut record = OnceRecord {
        ctx: ctx.clone(),
        name: record_name(marked.team, marked.key),
        once,
    };
    match record.drive(first).await {
        Step::Dispatch => Ok(Entry::Dispatch(record)),
        Step::Return(stored) => Ok(Entry::Return(stored)),
        Step::Refuse(error) => Err(error),
        other => unreachable!("a request ends its entry with {other:?}"),
    }
}

impl OnceRecord {
    /// Writes down how the run ended. Gives up after a bounded number of tries.
    pub async fn finish(mut self, outcome: Outcome) {
        let step = self.once.on(Seen::Ran(outcome));
        self.drive(step).await;
    }

    /// Carries out steps until one that is not a call of the object service.
    async fn drive(&mut self, mut step: Step) -> Step {
        let platform = &self.ctx.platform;
        loop {
            let seen = match step {
                Step::Create(record) => {
                    Seen::Wrote(platform.create(Kind::Once, &self.name, &record).await)
                }
                Step::Update(version, record) => Seen::Wrote(
                    platform
                        .update(Kind::Once, &self.name, version, &record)
                        .await,
                ),
                Step::Remove(version) => {
                    let removed = platform.delete(Kind::Once, &self.name, version).await;
                    Seen::Wrote(removed.map(|()| version))
                }
                Step::Read => Seen::Read(read(&self.ctx, &self.name).await),
                other => return other,
            };
            step = self.once.on(seen);
        }
    }
}

async fn read(ctx: &Context, name: &str) -> Result<Option<Held>, ReadError> {
    let object = ctx.platform.get(Kind::Once, name).await?;
    Ok(object.map(held))
}

fn held(object: Object) -> Held {
    Held {
        version: object.version,
        record: serde_json::from_value::<Record>(object.value).ok(),
    }
}
