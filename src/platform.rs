//! Client of the platform: the object service and the instance list.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use trillium_client::{Client, Conn, Method};

use crate::{
    dial,
    fault_log::FaultLog,
    ids::{InstanceId, Set, Version},
    instance_list::{InstanceList, ListAnswer, ListedEntry},
    json_parts,
    metrics::{self, CallOutcome, PlatformCall},
    mutex::{Mutex, lock},
    uri::{self, NameError, Target},
};

/// Request header with the name of the calling instance.
const PARTY_HEADER: &str = "gentianpath-party";
/// HTTP status 304, whose responses have no body.
const NOT_MODIFIED: u16 = 304;

/// Kinds of objects that the system keeps in the object service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Entries of the sheet log.
    Sheet,
    /// Snapshots of the sheet.
    SheetSnapshot,
    /// Batch jobs.
    Job,
    /// Items of groups.
    Input,
    /// Claims and results of groups.
    Group,
    /// Finished groups of jobs.
    Progress,
    /// Leases of entry instances.
    Lease,
    /// Requests that may not be repeated.
    Once,
    /// Placement records of workers.
    Placement,
    /// Slots of the weight store.
    Weights,
}

impl Kind {
    /// Returns the name of the kind in paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Sheet => "sheet",
            Kind::SheetSnapshot => "sheet-snapshot",
            Kind::Job => "job",
            Kind::Input => "input",
            Kind::Group => "group",
            Kind::Progress => "progress",
            Kind::Lease => "lease",
            Kind::Once => "once",
            Kind::Placement => "placement",
            Kind::Weights => "weights",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An object with its version.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Object {
    /// Name, unique within its kind.
    pub name: Arc<str>,
    /// Version of the last change.
    pub version: Version,
    /// Content.
    pub value: Value,
}

/// Objects of a kind at one version of the store. Those that cannot be read are left out.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Version of the store when the listing was made.
    pub version: Version,
    /// Objects, sorted by name.
    pub items: Vec<Object>,
}

/// One change of a watched kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// Name of the object.
    pub name: Arc<str>,
    /// Version of the change.
    pub version: Version,
    /// New content; `None` when the object was removed.
    pub value: Option<Value>,
}

/// Changes of a watched kind up to a version. An object that cannot be read counts as removed.
#[derive(Debug, Clone)]
pub struct Changes {
    /// Version up to which the changes are complete.
    pub version: Version,
    /// Changes, sorted by version.
    pub events: Vec<Change>,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The service did not answer in time or is down.
    Unavailable,
    /// The history since the given version is no longer available; a full listing is needed.
    Gone,
}

/// Why a write failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// The condition failed: the object has another version or already exists.
    Conflict,
    /// The write did not take effect: it was not sent or was refused.
    Refused,
    /// The value is over the size limit.
    TooLarge,
    /// No answer; the write may have taken effect.
    Unknown,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadError::Unavailable => "the object service does not answer",
            ReadError::Gone => "the history before the watched version is gone",
        })
    }
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WriteError::Conflict => "the object changed",
            WriteError::Refused => "the object service refused the write or is down",
            WriteError::TooLarge => "the object is over the size limit",
            WriteError::Unknown => "no answer; the write may have taken effect",
        })
    }
}

impl From<NameError> for ReadError {
    fn from(_: NameError) -> Self {
        Self::Unavailable
    }
}

impl From<NameError> for WriteError {
    fn from(_: NameError) -> Self {
        Self::Refused
    }
}

impl std::error::Error for ReadError {}
impl std::error::Error for WriteError {}

#[derive(Deserialize)]
struct Written {
    version: Version,
}

/// Maximum number of objects in a page of a listing.
const PAGE: usize = 500;

/// Page of a listing.
struct Page {
    listing: Listing,
    /// Number of objects, with those that cannot be read.
    count: usize,
    /// Name of the last object whose name can be read and stand in a query.
    last: Option<Arc<str>>,
}

/// Client of the platform; every call has a deadline. Clones share their settings and the log of
/// objects that cannot be read.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    base: Arc<str>,
    timeout: Duration,
    faults: Arc<Mutex<FaultLog>>,
}

impl Platform {
    /// Builds a client for the platform at `address` with a deadline for each call.
    pub fn new(address: SocketAddr, connect: Duration, timeout: Duration) -> Self {
        Self {
            client: dial::client(connect),
            base: format!("http://{address}").into(),
            timeout,
            faults: Arc::default(),
        }
    }

    /// Adds the name of the calling instance to each call.
    pub fn with_party(mut self, instance: &InstanceId) -> Self {
        self.client = self
            .client
            .with_default_header(PARTY_HEADER, instance.to_string());
        self
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] when the service does not answer or the object cannot be
    /// read.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, ReadError> {
        let Ok(target) = object_target(kind, name) else {
            return Ok(None);
        };
        let conn = self.client.get(self.url(&target));
        match self.send(PlatformCall::Get, conn, self.timeout).await {
            Ok((200, body)) => match read_object(&body) {
                Ok(object) if *object.name == *name => Ok(Some(object)),
                Ok(other) => {
                    let name_differs = format!("the object has the name {:?}", other.name);
                    self.log_fault(kind, name, &name_differs);
                    Err(ReadError::Unavailable)
                }
                Err(e) => {
                    self.log_fault(kind, name, &e);
                    Err(ReadError::Unavailable)
                }
            },
            Ok((404, _)) => Ok(None),
            _ => Err(ReadError::Unavailable),
        }
    }

    /// Lists at most `limit` objects of a kind whose names start with `prefix` and come after
    /// `after`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] when the service does not answer.
    pub async fn list(
        &self,
        kind: Kind,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, ReadError> {
        let page = self.list_page(kind, prefix, after, limit).await?;
        Ok(page.listing)
    }

    /// Lists the objects of a kind whose names come after `after`, in pages. The version is that of
    /// the first page.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] when the service does not answer or the listing does not
    /// advance.
    pub async fn list_all(&self, kind: Kind, after: &str) -> Result<Listing, ReadError> {
        let mut page = self.list_page(kind, "", after, PAGE).await?;
        let mut listing = page.listing;
        let mut used = Set::default();
        while page.count >= PAGE {
            let Some(last) = page.last.filter(|last| used.insert(last.clone())) else {
                log::warn!("the listing of kind '{kind}' does not advance");
                return Err(ReadError::Unavailable);
            };
            page = self.list_page(kind, "", &last, PAGE).await?;
            listing.items.append(&mut page.listing.items);
        }
        Ok(listing)
    }

    async fn list_page(
        &self,
        kind: Kind,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Page, ReadError> {
        let target = Target::of_path(&["objects", kind.as_str()])?
            .with("prefix", prefix)?
            .with("after", after)?
            .with("limit", &limit.to_string())?;
        let conn = self.client.get(self.url(&target));
        match self.send(PlatformCall::List, conn, self.timeout).await {
            Ok((200, body)) => self.read_page(kind, &body).map_err(unreadable),
            _ => Err(ReadError::Unavailable),
        }
    }

    fn read_page(&self, kind: Kind, body: &[u8]) -> anyhow::Result<Page> {
        let items = json_parts::member_elements(body, "items")?;
        let objects = items.iter().filter_map(|text| {
            let object = read_object(text);
            object
                .inspect_err(|e| self.log_unreadable(kind, text, e))
                .ok()
        });
        let listing = Listing {
            version: json_parts::read_member(body, "version")?,
            items: objects.collect(),
        };
        let mut names = items.iter().rev().filter_map(|text| read_name(text));
        Ok(Page {
            listing,
            count: items.len(),
            last: names.find(|name| uri::check_length(name).is_ok()),
        })
    }

    /// Waits up to `wait` for changes of a kind after a version.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Gone`] when a full listing is needed first.
    pub async fn watch(
        &self,
        kind: Kind,
        since: Version,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let target = Target::of_path(&["watch", kind.as_str()])?
            .with("since", &since.to_string())?
            .with("timeout_ms", &wait.as_millis().to_string())?;
        let url = self.url(&target);
        let deadline = wait + self.timeout;
        match self
            .send(PlatformCall::Watch, self.client.get(url), deadline)
            .await
        {
            Ok((200, body)) => self.read_changes(kind, &body).map_err(unreadable),
            Ok((410, _)) => Err(ReadError::Gone),
            _ => Err(ReadError::Unavailable),
        }
    }

    fn read_changes(&self, kind: Kind, body: &[u8]) -> anyhow::Result<Changes> {
        let version = json_parts::read_member(body, "version")?;
        let events = json_parts::member_elements(body, "events")?;
        let changes = events.into_iter().filter_map(|text| {
            let change: anyhow::Result<Change> = read_part(text);
            let error = match change {
                Ok(change) => return Some(change),
                Err(e) => e,
            };
            self.log_unreadable(kind, text, &error);
            // What the object held before is no longer so.
            Some(Change {
                name: read_name(text)?,
                version: json_parts::read_member(text, "version").unwrap_or(version),
                value: None,
            })
        });
        Ok(Changes {
            version,
            events: changes.collect(),
        })
    }

    fn log_unreadable(&self, kind: Kind, text: &[u8], reason: &anyhow::Error) {
        let name = read_name(text);
        let name = name.unwrap_or_else(|| String::from_utf8_lossy(text).into());
        self.log_fault(kind, &name, reason);
    }

    /// Logs an object that cannot be read, unless that was done before.
    fn log_fault(&self, kind: Kind, name: &str, reason: &dyn fmt::Display) {
        lock(&self.faults).log(kind.as_str(), name, reason);
    }

    fn url(&self, target: &Target) -> String {
        format!("{}{target}", self.base)
    }

    /// Creates an object and returns its version.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Conflict`] when it exists already.
    pub async fn create(
        &self,
        kind: Kind,
        name: &str,
        value: &impl Serialize,
    ) -> Result<Version, WriteError> {
        let conn = self
            .object(Method::Put, kind, name)?
            .with_request_header("if-none-match", "*");
        self.write(PlatformCall::Create, conn, value).await
    }

    /// Reads an object and deserializes its value; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] when the service does not answer or the value is
    /// malformed.
    pub async fn get_record<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<(Version, T)>, ReadError> {
        let object = self.get(kind, name).await?;
        let record = object.map(|o| T::deserialize(o.value).map(|r| (o.version, r)));
        record.transpose().map_err(|_| ReadError::Unavailable)
    }

    /// Creates an object if `version` is `None`, else updates one that still has `version`.
    ///
    /// # Errors
    ///
    /// As [`Self::create`] and [`Self::update`].
    pub async fn put(
        &self,
        kind: Kind,
        name: &str,
        version: Option<Version>,
        value: &impl Serialize,
    ) -> Result<Version, WriteError> {
        match version {
            Some(version) => self.update(kind, name, version, value).await,
            None => self.create(kind, name, value).await,
        }
    }

    /// Updates an object that still has `version` and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Conflict`] when it has another version.
    pub async fn update(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
        value: &impl Serialize,
    ) -> Result<Version, WriteError> {
        let conn = self
            .object(Method::Put, kind, name)?
            .with_request_header("if-match", version.to_string());
        self.write(PlatformCall::Update, conn, value).await
    }

    /// Removes an object that still has `version`.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Conflict`] when it has another version.
    pub async fn delete(&self, kind: Kind, name: &str, version: Version) -> Result<(), WriteError> {
        let conn = self
            .object(Method::Delete, kind, name)?
            .with_request_header("if-match", version.to_string());
        let answer = self.send(PlatformCall::Delete, conn, self.timeout).await?;
        written(answer).map(|_| ())
    }

    /// Reads the full instance list.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] when the platform does not answer.
    pub async fn instances(&self) -> Result<InstanceList, ReadError> {
        let conn = self.client.get(format!("{}/instances", self.base));
        match self.send(PlatformCall::Instances, conn, self.timeout).await {
            Ok((200, body)) => parse(&body),
            _ => Err(ReadError::Unavailable),
        }
    }

    /// Reads the changes of the instance list after a version. A service that supports neither the
    /// condition nor the parameter returns the full list.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Gone`] when the full list must be read first.
    pub async fn instances_since(&self, since: Version) -> Result<ListAnswer, ReadError> {
        let url = format!("{}/instances?since={since}", self.base);
        let tag = format!("\"{since}\"");
        let conn = self
            .client
            .get(url)
            .with_request_header("if-none-match", tag);
        match self.send(PlatformCall::Instances, conn, self.timeout).await {
            Ok((200, body)) => ListAnswer::decode(&body, since).map_err(|_| ReadError::Unavailable),
            Ok((304, _)) => Ok(ListAnswer::Unchanged),
            Ok((410, _)) => Err(ReadError::Gone),
            _ => Err(ReadError::Unavailable),
        }
    }

    /// Adds an entry instance to the instance list, or updates its state there.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Unknown`] when there was no answer. The call may be repeated.
    pub async fn register(&self, entry: &ListedEntry) -> Result<(), WriteError> {
        let url = self.url(&Target::of_path(&["instances", "entries", &entry.id])?);
        let body = serde_json::to_vec(entry).map_err(|_| WriteError::Refused)?;
        let conn = self.client.put(url).with_body(body);
        match self
            .send(PlatformCall::Register, conn, self.timeout)
            .await?
        {
            (200, _) => Ok(()),
            _ => Err(WriteError::Refused),
        }
    }

    fn object(&self, method: Method, kind: Kind, name: &str) -> Result<Conn, WriteError> {
        let url = self.url(&object_target(kind, name)?);
        Ok(self.client.build_conn(method, url))
    }

    async fn write(
        &self,
        call: PlatformCall,
        conn: Conn,
        value: &impl Serialize,
    ) -> Result<Version, WriteError> {
        let body = serde_json::to_vec(value).map_err(|_| WriteError::Refused)?;
        let answer = self.send(call, conn.with_body(body), self.timeout).await?;
        written(answer)
    }

    /// Sends a request and reads the full response within the deadline.
    async fn send(
        &self,
        call: PlatformCall,
        conn: Conn,
        deadline: Duration,
    ) -> Result<(u16, Vec<u8>), WriteError> {
        let timeout = async {
            async_io::Timer::after(deadline).await;
            Err(WriteError::Unknown)
        };
        let answer = smol::future::or(exchange(conn), timeout).await;
        metrics::platform_call(call, call_outcome(&answer));
        answer
    }
}

fn call_outcome(answer: &Result<(u16, Vec<u8>), WriteError>) -> CallOutcome {
    match answer {
        Ok((200 | 304, _)) => CallOutcome::Done,
        Ok((404 | 409 | 410, _)) => CallOutcome::Conflict,
        Ok(_) | Err(WriteError::Refused) => CallOutcome::Refused,
        Err(_) => CallOutcome::Unknown,
    }
}

async fn exchange(mut conn: Conn) -> Result<(u16, Vec<u8>), WriteError> {
    if let Err(e) = (&mut conn).await {
        return Err(if dial::never_sent(&e) {
            WriteError::Refused
        } else {
            WriteError::Unknown
        });
    }
    let status = conn.status().map_or(0, u16::from);
    if status == NOT_MODIFIED {
        return Ok((status, Vec::new()));
    }
    let body = conn.response_body().read_bytes().await;
    body.map(|b| (status, b)).map_err(|_| WriteError::Unknown)
}

fn written((status, body): (u16, Vec<u8>)) -> Result<Version, WriteError> {
    match status {
        200 => serde_json::from_slice::<Written>(&body)
            .map(|w| w.version)
            .map_err(|_| WriteError::Unknown),
        404 | 409 => Err(WriteError::Conflict),
        413 => Err(WriteError::TooLarge),
        503 => Err(WriteError::Refused),
        _ => Err(WriteError::Unknown),
    }
}

fn object_target(kind: Kind, name: &str) -> Result<Target, NameError> {
    Target::of_path(&["objects", kind.as_str(), name])
}

fn unreadable(_: anyhow::Error) -> ReadError {
    ReadError::Unavailable
}

fn read_name(text: &[u8]) -> Option<Arc<str>> {
    let name: Option<Arc<str>> = json_parts::read_member(text, "name").ok();
    name.filter(|name| !name.is_empty())
}

fn read_object(text: &[u8]) -> anyhow::Result<Object> {
    let object: Object = read_part(text)?;
    uri::check_segment(&object.name)?;
    Ok(object)
}

fn read_part<T: DeserializeOwned>(text: &[u8]) -> anyhow::Result<T> {
    let text = std::str::from_utf8(text)?;
    Ok(serde_json::from_str(text)?)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ReadError> {
    serde_json::from_slice(body).map_err(|_| ReadError::Unavailable)
}
