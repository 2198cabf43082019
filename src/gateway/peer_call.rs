//! Calls between instances. Each is an HTTP request whose body is a postcard message.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use serde::{Deserialize, Serialize};

use crate::{
    drain::Phase,
    ids::{JobId, SoftwareVersion, TeamId},
    metrics,
};

use super::{
    answer::{CallerBody, full_body, text_answer},
    connection::{self, Connection, Proof, SendError},
    gateway::Gateway,
    job::ItemHandover,
    job_api::{self, Action, JobRequest},
    job_store, relayed, sweep,
    sync::Snapshot,
};

/// Timeout for opening a connection to an instance.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Timeout of a call, in addition to the time that a read may wait.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Maximum size of a call, which can carry a job with its bodies.
const CALL_BYTES: usize = 16 << 20;

/// A call from one instance to another.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub enum PeerCall {
    /// Forwards a caller's call for a job that the receiver runs.
    Job(JobRequest),
    /// Requests the configuration and the worker list.
    Snapshot,
    /// Hands a job over to the receiver.
    HandOver(JobId, Vec<ItemHandover>),
    /// Asks the receiver to take over a job that no instance runs, or to remove one that expired.
    Check(JobId),
    /// Hands a job over to the receiver, with the versions of the software that wrote the texts.
    HandOverTexts(JobId, Vec<ItemHandover>, Vec<Option<SoftwareVersion>>),
    /// Forwards a call for a job of a team.
    TeamJob(JobRequest, TeamId),
}

/// Forwards a caller's call for a job.
///
/// # Errors
///
/// Returns a `SendError` that tells whether the call may have been received.
pub async fn job(address: SocketAddr, request: &JobRequest) -> Result<Response<Bytes>, SendError> {
    let limit = CALL_LIMIT + request.wait;
    let peer_call = match &request.team {
        Some(team) => PeerCall::TeamJob(request.clone(), team.clone()),
        None => PeerCall::Job(request.clone()),
    };
    call(address, &peer_call, limit).await
}

/// Reads the configuration and the worker list of an instance.
///
/// # Errors
///
/// Returns an error when the instance does not answer.
pub async fn snapshot(address: SocketAddr) -> anyhow::Result<Snapshot> {
    let body = call_ok(address, &PeerCall::Snapshot).await?;
    postcard::from_bytes(&body).context("the snapshot cannot be read")
}

/// Hands a job over to another instance.
///
/// # Errors
///
/// Returns an error when the instance does not accept the job.
pub async fn hand_over(
    address: SocketAddr,
    job: &JobId,
    parts: Vec<ItemHandover>,
) -> anyhow::Result<()> {
    let versions = parts.iter().map(|p| p.version.clone()).collect();
    let call = PeerCall::HandOverTexts(job.clone(), parts, versions);
    call_ok(address, &call).await?;
    Ok(())
}

/// Asks an instance to take over a job that no instance runs, or to remove one that expired, and
/// returns whether the job still exists.
///
/// # Errors
///
/// Returns an error when the instance does not answer or cannot read the job.
pub async fn check(address: SocketAddr, job: &JobId) -> anyhow::Result<bool> {
    match call(address, &PeerCall::Check(job.clone()), CALL_LIMIT).await {
        Ok(answer) if answer.status() == StatusCode::NOT_FOUND => Ok(false),
        answer => into_body(answer).map(|_| true),
    }
}

async fn call_ok(address: SocketAddr, peer_call: &PeerCall) -> anyhow::Result<Bytes> {
    into_body(call(address, peer_call, CALL_LIMIT).await)
}

fn into_body(answer: Result<Response<Bytes>, SendError>) -> anyhow::Result<Bytes> {
    match answer {
        Ok(answer) if answer.status() == StatusCode::OK => Ok(answer.into_body()),
        Ok(answer) => bail!("status {}", answer.status()),
        Err(e) => bail!(e.into_reason()),
    }
}

async fn call(
    address: SocketAddr,
    call: &PeerCall,
    limit: Duration,
) -> Result<Response<Bytes>, SendError> {
    let answer = exchange(address, call, limit).await;
    let kind = match call {
        PeerCall::Job(_) | PeerCall::TeamJob(..) => metrics::PeerCall::Job,
        PeerCall::Snapshot => metrics::PeerCall::Snapshot,
        PeerCall::HandOver(..) | PeerCall::HandOverTexts(..) => metrics::PeerCall::HandOver,
        PeerCall::Check(_) => metrics::PeerCall::Check,
    };
    metrics::peer_call(kind, answer.is_ok());
    answer
}

async fn exchange(
    address: SocketAddr,
    call: &PeerCall,
    limit: Duration,
) -> Result<Response<Bytes>, SendError> {
    let not_sent = |e: String| SendError::NotSent(e);
    let body = postcard::to_stdvec(call).map_err(|e| not_sent(e.to_string()))?;
    let request = Request::post("/")
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| not_sent(e.to_string()))?;
    let opened = Connection::open(address, CONNECT_LIMIT).await;
    let mut connection = opened.map_err(|e| not_sent(e.to_string()))?;
    connection.exchange(request, limit, Proof::Framing).await
}

/// Serves a call from another instance.
pub async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<CallerBody> {
    if relayed::is_request(&request) {
        return relayed::answer(gateway, request).await;
    }
    let body = connection::read_held(request.into_body(), CALL_BYTES, &gateway.memory);
    let body = match connection::within(CALL_LIMIT, body).await {
        Ok(body) => body,
        // Nothing was done, so the sender may serve a caller's call itself.
        Err(e) => return text_answer(StatusCode::SERVICE_UNAVAILABLE, &e.to_string(), None),
    };
    match postcard::from_bytes(&body) {
        Ok(PeerCall::Job(request)) => answer_job(&gateway, &request).await,
        Ok(PeerCall::TeamJob(mut request, team)) => {
            request.team = Some(team);
            answer_job(&gateway, &request).await
        }
        Ok(PeerCall::HandOver(job, parts)) => take_over(&gateway, &job, parts).await,
        Ok(PeerCall::HandOverTexts(job, mut parts, versions)) => {
            for (part, version) in parts.iter_mut().zip(versions) {
                part.version = version;
            }
            take_over(&gateway, &job, parts).await
        }
        Ok(PeerCall::Check(job)) => match sweep::check(&gateway, &job).await {
            Ok(true) => text_answer(StatusCode::OK, "checked", None),
            Ok(false) => text_answer(StatusCode::NOT_FOUND, "no such job", None),
            Err(e) => text_answer(StatusCode::SERVICE_UNAVAILABLE, &e.to_string(), None),
        },
        Ok(PeerCall::Snapshot) => {
            let snapshot = Snapshot::of(&gateway.views());
            match postcard::to_stdvec(&snapshot) {
                Ok(bytes) => Response::new(full_body(bytes)),
                Err(e) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string(), None),
            }
        }
        // A later release may send calls that this one does not know. Its sender then serves a caller's call
        // itself, while it would pass another status on to the caller.
        Err(e) => text_answer(StatusCode::SERVICE_UNAVAILABLE, &e.to_string(), None),
    }
}

async fn answer_job(gateway: &Arc<Gateway>, request: &JobRequest) -> Response<CallerBody> {
    // The sender then accepts the job itself.
    if request.action == Action::Submit && gateway.drain.phase() == Phase::Draining {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return text_answer(status, "the instance is stopping", None);
    }
    job_api::answer_locally(gateway, request).await
}

async fn take_over(
    gateway: &Arc<Gateway>,
    job: &JobId,
    parts: Vec<ItemHandover>,
) -> Response<CallerBody> {
    match job_store::take_over(gateway, job, parts).await {
        Ok(()) => text_answer(StatusCode::OK, "taken over", None),
        Err(e) => text_answer(StatusCode::SERVICE_UNAVAILABLE, &e.to_string(), None),
    }
}
