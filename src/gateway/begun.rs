//! Versions of the streams that instances began or went on with (no I/O). Times are in ms since the Unix epoch,
//! by the local clock, which does not step.

use std::time::Duration;

use crate::{
    ids::{Map, RequestId, ServiceId, SoftwareVersion},
    ownership,
};

use super::versions::Origin;

/// Time for which an instance remembers the versions of streams.
const REMEMBERED: Duration = Duration::from_secs(12);
/// Maximum number of remembered streams up to which those of other instances are recorded.
const MAX_REMEMBERED: usize = 1 << 15;

/// Hash of a service and of the id of the call that began a stream there.
pub type StreamKey = u64;

/// Returns the key of the stream that a call began at a service.
pub fn key(service: &ServiceId, call: &str) -> StreamKey {
    ownership::score(call, service)
}

/// A stream that this instance or another one began or went on with.
#[derive(Debug)]
struct BegunStream {
    /// Unclear if two versions were recorded.
    origin: Origin,
    /// Time when it was recorded.
    at: u64,
}

/// Streams whose versions are known, and what to tell and ask the other instances.
#[derive(Debug, Default)]
pub struct Begun {
    streams: Map<StreamKey, BegunStream>,
    /// Calls of the local streams that the others were not told, as the shares tell them the version. Other
    /// shares may not.
    untold: Map<StreamKey, (ServiceId, RequestId)>,
    news: Vec<(StreamKey, SoftwareVersion)>,
    asked: Vec<StreamKey>,
    pruned: u64,
}

impl Begun {
    /// Returns the version of a stream, which is unclear if two were recorded.
    pub fn get(&self, stream: StreamKey) -> Option<&Origin> {
        self.streams.get(&stream).map(|s| &s.origin)
    }

    /// Returns those of some streams whose versions are known.
    pub fn find(&self, streams: &[StreamKey]) -> Vec<(StreamKey, SoftwareVersion)> {
        let found = streams
            .iter()
            .filter_map(|stream| match self.get(*stream)? {
                Origin::Version(version) => Some((*stream, version.clone())),
                Origin::Unclear => None,
            });
        found.collect()
    }

    /// Records a local stream with its version. `is_news` tells whether the shares leave the version unclear to
    /// the other instances.
    pub fn record(
        &mut self,
        service: &ServiceId,
        call: &str,
        version: &SoftwareVersion,
        is_news: bool,
        now: u64,
    ) {
        self.prune(now);
        let stream = key(service, call);
        let origin = self.origin_with(stream, version);
        self.streams.insert(stream, BegunStream { origin, at: now });
        if is_news {
            self.untold.remove(&stream);
            self.news.push((stream, version.clone()));
        } else {
            self.untold.insert(stream, (service.clone(), call.into()));
        }
    }

    /// Records a version that another instance or a worker told of a stream.
    pub fn hear(&mut self, stream: StreamKey, version: &SoftwareVersion, now: u64) {
        self.prune(now);
        let origin = self.origin_with(stream, version);
        if let Some(known) = self.streams.get_mut(&stream) {
            known.origin = origin;
        } else if self.streams.len() < MAX_REMEMBERED {
            self.streams.insert(stream, BegunStream { origin, at: now });
        }
    }

    /// Returns the local streams of a service that the others were not told, with their calls and versions.
    pub fn untold(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (StreamKey, &RequestId, &SoftwareVersion)> {
        let local = self.untold.iter().filter(move |(_, (s, _))| s == service);
        local.filter_map(|(stream, (_, call))| match self.get(*stream)? {
            Origin::Version(version) => Some((*stream, call, version)),
            Origin::Unclear => None,
        })
    }

    /// Tells the other instances the versions of local streams.
    pub fn tell(&mut self, streams: &[StreamKey]) {
        for stream in streams {
            self.untold.remove(stream);
        }
        let told = self.find(streams);
        self.news.extend(told);
    }

    /// Asks the other instances for the version of a stream.
    pub fn ask(&mut self, stream: StreamKey) {
        self.asked.push(stream);
    }

    /// Returns the versions of streams to tell the other instances now.
    pub fn take_news(&mut self) -> Vec<(StreamKey, SoftwareVersion)> {
        std::mem::take(&mut self.news)
    }

    /// Returns the streams to ask the other instances for now.
    pub fn take_asked(&mut self) -> Vec<StreamKey> {
        std::mem::take(&mut self.asked)
    }

    fn prune(&mut self, now: u64) {
        let remembered = REMEMBERED.as_millis() as u64;
        if now >= self.pruned.saturating_add(remembered) {
            self.pruned = now;
            self.streams
                .retain(|_, s| now < s.at.saturating_add(remembered));
            let streams = &self.streams;
            self.untold.retain(|s, _| streams.contains_key(s));
        }
    }

    /// Returns the version of a stream, with a further one that was recorded.
    fn origin_with(&self, stream: StreamKey, version: &SoftwareVersion) -> Origin {
        let version = Origin::Version(version.clone());
        match self.get(stream) {
            Some(known) if *known != version => Origin::Unclear,
            _ => version,
        }
    }
}
