//! Records the placement of a worker and sends it orders, as a state machine per worker without
//! I/O.

use std::{sync::Arc, time::Duration};

use crate::{
    engine::{Action, LoadReport, Order},
    ids::{Fence, Revision, Version},
    placement::{Placement, Record},
};

/// Wait before an order is repeated while the report still shows what was loaded before it. Reports
/// lag; after this time another order may have restored the former state.
pub const LAG_WAIT: Duration = Duration::from_secs(5);
/// Wait before an order is repeated while the report shows no loaded model. An order that arrives
/// during a load can restart the load.
pub const LOAD_WAIT: Duration = Duration::from_secs(60);

/// Next step of the owner of a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Do nothing.
    Idle,
    /// Read the record.
    Read,
    /// Create the record, or update it at a version.
    Write(Option<Version>),
    /// Read the record again and, if it is unchanged, send the order.
    Order(Order),
}

/// Record of a worker as the owner last read or wrote it.
#[derive(Debug, Clone, PartialEq)]
enum Known {
    Unread,
    Absent,
    Record(Version, Record),
}

/// An order that was sent.
#[derive(Debug, Clone, PartialEq)]
struct SentOrder {
    order: Order,
    at: Duration,
    /// What was loaded according to the report before the order.
    loaded: Option<Loaded>,
}

/// Model that a load report shows as loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Loaded {
    model: Arc<str>,
    version: Arc<str>,
}

/// State of the record and the orders of one worker.
#[derive(Debug, Clone)]
pub struct WorkerOrders {
    known: Known,
    sent: Option<SentOrder>,
}

impl Default for WorkerOrders {
    fn default() -> Self {
        Self {
            known: Known::Unread,
            sent: None,
        }
    }
}

impl WorkerOrders {
    /// Returns the recorded placement; `None` when it is unknown or absent.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.known {
            Known::Record(_, record) => Some(&record.placement),
            _ => None,
        }
    }

    /// Returns whether the record must be read first.
    pub fn is_unread(&self) -> bool {
        self.known == Known::Unread
    }

    /// Returns the next step after a load report. `wanted` was decided from `revision`.
    ///
    /// A record that was decided from a later sheet is kept, because this instance is behind and
    /// `wanted` is older than the record.
    pub fn next(
        &mut self,
        wanted: Option<&Placement>,
        revision: Revision,
        report: &LoadReport,
        now: Duration,
    ) -> Step {
        let (version, record) = match (&self.known, wanted) {
            (Known::Unread, _) => return Step::Read,
            (Known::Absent, None) => return Step::Idle,
            (Known::Absent, Some(_)) => return Step::Write(None),
            (Known::Record(version, record), _) => (*version, record),
        };
        let outdated = record.revision <= revision;
        if outdated && wanted.is_some_and(|w| *w != record.placement) {
            return Step::Write(Some(version));
        }
        let Some(order) = order(version, &record.placement, report) else {
            self.sent = None;
            return Step::Idle;
        };
        match &self.sent {
            Some(sent) if sent.order == order && sent.is_pending(report, now) => Step::Idle,
            _ => Step::Order(order),
        }
    }

    /// Records the result of a read; `None` when the record does not exist.
    pub fn set_read(&mut self, read: Option<(Version, Record)>) {
        self.known = match read {
            Some((version, record)) => Known::Record(version, record),
            None => Known::Absent,
        };
    }

    /// Records a write that took effect.
    pub fn set_written(&mut self, version: Version, record: Record) {
        self.known = Known::Record(version, record);
    }

    /// Discards the known record after a write without effect or answer, or a refused order,
    /// because another instance may have written it. The next step is to read it again.
    pub fn forget(&mut self) {
        self.known = Known::Unread;
    }

    /// Records a read and returns whether the record is still the one that the order was derived
    /// from.
    pub fn confirm(&mut self, order: &Order, read: Option<(Version, Record)>) -> bool {
        let same = read
            .as_ref()
            .is_some_and(|(version, _)| *version == order.fence);
        self.set_read(read);
        same
    }

    /// Records that the engine accepted an order; `report` is the load report before it.
    pub fn set_sent(&mut self, order: Order, report: &LoadReport, now: Duration) {
        self.sent = Some(SentOrder {
            order,
            at: now,
            loaded: loaded(report),
        });
    }
}

impl SentOrder {
    /// Returns whether the order may still take effect. It cannot when the engine has since loaded
    /// another model by an order of another instance.
    fn is_pending(&self, report: &LoadReport, now: Duration) -> bool {
        let age = now.saturating_sub(self.at);
        match loaded(report) {
            None => age < LOAD_WAIT,
            same if same == self.loaded => age < LAG_WAIT,
            Some(_) => false,
        }
    }
}

fn loaded(report: &LoadReport) -> Option<Loaded> {
    let model = report.model.clone()?;
    Some(Loaded {
        model,
        version: report.version.clone(),
    })
}

/// Returns the next order towards a placement; `None` when the worker has reached it.
pub fn order(fence: Fence, placement: &Placement, report: &LoadReport) -> Option<Order> {
    let loaded = report.model.as_ref() == Some(&placement.model);
    if !loaded || report.version != placement.version {
        return Some(build(fence, Action::Load, placement, None));
    }
    let missing = placement
        .adapters
        .iter()
        .find(|a| !report.adapters.contains(a));
    if let Some(adapter) = missing {
        return Some(build(fence, Action::Load, placement, Some(adapter)));
    }
    let extra = report
        .adapters
        .iter()
        .find(|a| !placement.adapters.contains(a));
    extra.map(|a| build(fence, Action::Unload, placement, Some(a)))
}

fn build(fence: Fence, action: Action, to: &Placement, adapter: Option<&Arc<str>>) -> Order {
    Order {
        fence,
        action,
        model: Some(to.model.clone()),
        version: Some(to.version.clone()),
        adapter: adapter.cloned(),
        role: None,
    }
}

/// Returns whether an order makes the engine load weights from the weight store.
pub fn loads_weights(order: &Order) -> bool {
    order.action == Action::Load && order.adapter.is_none()
}
