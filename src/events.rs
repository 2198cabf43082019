//! Numbered log events. docs/events.md is their catalogue; a test keeps both in agreement.

/// Defines the enum of events with number and name.
macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = $number:literal, $name:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$event,)*];

            /// Returns the number of the event.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$event => $number,)*
                }
            }

            /// Returns the name of the event.
            pub fn name(self) -> &'static str {
                match self {
                    $(Event::$event => $name,)*
                }
            }
        }
    };
}

events! {
    // 1000 to 1999: online requests.
    /// A worker was chosen for an online request.
    RouteChosen = 1001, "route-chosen";
    /// An online request was refused.
    RequestRefused = 1002, "request-refused";
    /// An engine stream is resumed on a new connection.
    StreamResumed = 1003, "stream-resumed";
    /// A request goes on to another worker.
    RequestRetried = 1004, "request-retried";
    /// A target is ejected for a while after consecutive failures.
    TargetEjected = 1005, "target-ejected";

    // 2000 to 2999: batch jobs.
    /// A batch job was accepted.
    JobAccepted = 2001, "job-accepted";
    /// A group of items was claimed.
    GroupClaimed = 2002, "group-claimed";
    /// A group was taken over from a holder whose lease had expired.
    GroupTakenOver = 2003, "group-taken-over";
    /// The results of a finished group were committed.
    GroupCommitted = 2004, "group-committed";
    /// A claim was given back with items left.
    GroupReleased = 2005, "group-released";
    /// A claim was lost to another instance.
    GroupLost = 2006, "group-lost";
    /// A batch stream yielded to online requests.
    ItemYielded = 2007, "item-yielded";
    /// An item failed for good.
    ItemFailed = 2008, "item-failed";
    /// A non-repeatable item ended in doubt.
    ItemInDoubt = 2009, "item-in-doubt";
    /// A job was cancelled.
    JobCancelled = 2010, "job-cancelled";
    /// A job cannot meet its deadline at the observed rate.
    JobInfeasible = 2011, "job-infeasible";
    /// The own lease lapsed; claims are checked before more items start.
    LeaseLapsed = 2012, "lease-lapsed";
    /// A worker did not do its part in a batch run and is left alone for a while.
    WorkerBackedOff = 2013, "worker-backed-off";
    /// A job was closed because its submission stopped before all inputs were stored.
    JobAbandoned = 2014, "job-abandoned";
    /// The state of a stopped item was moved to another worker.
    ItemMoved = 2020, "item-moved";
    /// The state of a stopped item could not be moved to another worker.
    ItemNotMoved = 2021, "item-not-moved";

    // 3000 to 3999: sheet, peers and instance list.
    /// A sheet revision came into force.
    SheetInForce = 3001, "sheet-in-force";
    /// A sheet revision is not valid as a whole; the earlier one stays in force.
    SheetInvalid = 3002, "sheet-invalid";
    /// A sheet was pushed through this instance.
    SheetPushed = 3003, "sheet-pushed";
    /// The sheet was read from the data folder.
    SheetRestored = 3004, "sheet-restored";
    /// This instance began or ended to watch the platform for its zone.
    WatcherChanged = 3005, "watcher-changed";
    /// An entry instance came.
    MemberJoined = 3006, "member-joined";
    /// An entry instance went or is about to stop.
    MemberLeft = 3007, "member-left";
    /// The platform does not answer.
    PlatformLost = 3008, "platform-lost";
    /// The platform answers again.
    PlatformBack = 3009, "platform-back";

    // 4000 to 4999: placement and orders.
    /// The placement of a worker was recorded.
    PlacementChosen = 4001, "placement-chosen";
    /// An order was given to an engine.
    OrderGiven = 4002, "order-given";
    /// An engine refused an order with an old fencing number.
    OrderStale = 4003, "order-stale";
    /// An engine did not carry out an order.
    OrderFailed = 4004, "order-failed";

    // 5000 to 5999: the process.
    /// The instance takes requests.
    InstanceReady = 5001, "instance-ready";
    /// A planned stop began.
    StopBegan = 5002, "stop-began";
    /// The process ends.
    StopEnded = 5003, "stop-ended";
}

/// Logs an event at a level: `event!(Info, RouteChosen, "worker={}", id)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $event:ident, $($arg:tt)+) => {
        log::log!(
            log::Level::$level,
            "[{}] {} {}",
            $crate::events::Event::$event.number(),
            $crate::events::Event::$event.name(),
            format_args!($($arg)+)
        )
    };
}
