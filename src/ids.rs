//! Type aliases of ids and collections.

use std::sync::Arc;

/// Name of an entry instance.
pub type InstanceId = Arc<str>;
/// Id of one run of an entry instance. A restart gets a new one, which distinguishes its claims
/// from those of an earlier run.
pub type SessionId = u64;
/// Name of a target: a worker (model engine) or one instance of a plain service.
pub type TargetId = Arc<str>;
/// Name of a worker: a target that runs a model engine.
pub type WorkerId = TargetId;
/// Version of the software of a worker, not of its weights.
pub type SoftwareVersion = Arc<str>;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Name of a team, the account of a caller.
pub type TeamId = Arc<str>;
/// Name of a batch job.
pub type JobId = Arc<str>;
/// Name of a batch item inside its job.
pub type ItemId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Id of one request, as an engine sees it.
pub type RequestId = Arc<str>;
/// Number of a sheet revision.
pub type Revision = u64;
/// Id of a part of a prompt, which requests may share.
pub type PartId = u64;
/// Hash by which a repeated request is known again.
pub type Fingerprint = u64;
/// Version of an object in the object service, from one counter for all objects.
pub type Version = u64;
/// Number of a group of items inside its job, from 0.
pub type GroupIndex = u32;
/// Fencing number of an order to an engine.
pub type Fence = u64;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
