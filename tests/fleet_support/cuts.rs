//! Ways in which an instance is out of step, and their ends.

use std::{io, os::fd::OwnedFd, sync::Arc, thread, time::Duration};

use rustix::process::Signal;

use super::{
    instances::Instance,
    links::{self, Gate, Links},
    sockets,
};
use crate::support::link::{Link, State};

/// Time for which an instance stands still before it stands still again.
const FIRST_STOP: Duration = Duration::from_millis(1300);
/// Time for which it runs in between, longer than the interval of its heartbeats.
const AWAKE_TIME: Duration = Duration::from_millis(300);

/// How an instance is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Away {
    /// Cut off from the store.
    Store,
    /// Hears no other instance. The others hear it, and calls between them work.
    Peers,
    /// Cut off from the store, and hears no other instance.
    Both,
    /// Stands still.
    Stopped,
    /// Nothing happens to it.
    None,
    /// No other instance hears it. It hears them, and calls between them work.
    Unheard,
    /// Cut off from the store, and no other instance hears it.
    UnheardStore,
    /// Cut off from the store and the other instances, for datagrams and calls in both directions.
    Isolated,
    /// Stands still twice.
    StoppedTwice,
}

impl Away {
    /// Returns whether the listeners of instances are bound to all addresses of the machine, so that
    /// calls between them can be cut.
    pub fn cuts_calls(self) -> bool {
        self == Self::Isolated
    }

    fn cuts_store(self) -> bool {
        matches!(
            self,
            Self::Store | Self::Both | Self::UnheardStore | Self::Isolated
        )
    }

    fn is_deaf(self) -> bool {
        matches!(self, Self::Peers | Self::Both | Self::Isolated)
    }

    fn is_unheard(self) -> bool {
        matches!(self, Self::Unheard | Self::UnheardStore | Self::Isolated)
    }

    fn is_stopped(self) -> bool {
        matches!(self, Self::Stopped | Self::StoppedTwice)
    }
}

/// A gate in front of an instance that stops the calls of one process.
struct CallCut {
    links: Arc<Links>,
    process: u32,
    _gate: Gate,
}

impl CallCut {
    fn begin(from: &Instance, to: &Instance, cut: links::Cut) -> io::Result<Self> {
        let (links, process) = (Arc::<Links>::default(), from.process_id());
        links.cut(process, cut);
        let (listener, beyond) = to.intercept_calls()?;
        Ok(Self {
            _gate: Gate::serve(links.clone(), listener, beyond),
            links,
            process,
        })
    }
}

impl Drop for CallCut {
    /// Lets the connections that hang go on.
    fn drop(&mut self) {
        self.links.mend(self.process);
    }
}

/// Ends of a cut.
pub struct Cut {
    away: Away,
    deaf: Option<OwnedFd>,
    /// Sockets that take what the instance sends to the others.
    _blocks: Vec<OwnedFd>,
    _calls: Vec<CallCut>,
    /// A gate in front of the instance, and the link that stops all calls to it.
    _called: Option<(Gate, Link)>,
}

impl Cut {
    /// Lets an instance be out of step. A link that is cut is silent instead of closed if `silent`.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance has ended or may not be inspected.
    pub fn begin(
        instances: &[Instance],
        skewed: usize,
        away: Away,
        silent: bool,
    ) -> io::Result<Self> {
        let instance = &instances[skewed];
        let others = || instances.iter().enumerate().filter(|(n, _)| *n != skewed);
        let (state, call_cut) = if silent {
            (State::Silent, links::Cut::Hang)
        } else {
            (State::Cut, links::Cut::Reset)
        };
        if away.cuts_store() {
            instance.set_store(state);
        }
        let deaf = away.is_deaf().then(|| instance.cut_datagrams());
        let mut cut = Self {
            away,
            deaf: deaf.transpose()?,
            _blocks: Vec::new(),
            _calls: Vec::new(),
            _called: None,
        };
        if away.is_unheard() {
            let blocks = others().map(|(_, other)| other.block_datagrams(instance.peers));
            cut._blocks = blocks.collect::<io::Result<_>>()?;
        }
        if away.cuts_calls() {
            let (listener, beyond) = instance.intercept_calls()?;
            let link = Link::new(beyond);
            link.set(state);
            let gate = Gate::serve(Arc::default(), listener, link.address);
            cut._called = Some((gate, link));
            let calls = others().map(|(_, other)| CallCut::begin(instance, other, call_cut));
            cut._calls = calls.collect::<io::Result<_>>()?;
        }
        if away.is_stopped() {
            instance.signal(Signal::STOP);
        }
        if away == Away::StoppedTwice {
            thread::sleep(FIRST_STOP);
            instance.signal(Signal::CONT);
            thread::sleep(AWAKE_TIME);
            instance.signal(Signal::STOP);
        }
        Ok(cut)
    }

    /// Lets the instance be back.
    ///
    /// # Errors
    ///
    /// Returns an error when its socket cannot be disconnected.
    pub fn end(self, instance: &Instance) -> io::Result<()> {
        instance.set_store(State::Open);
        if self.away.is_stopped() {
            instance.signal(Signal::CONT);
        }
        self.deaf.map_or(Ok(()), sockets::mend)
    }
}
