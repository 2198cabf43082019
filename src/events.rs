//! Numbered log events. docs/events.md lists them; a test compares both.

/// Defines the enum of events with their numbers and names.
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
    /// A request is retried on another worker.
    RequestRetried = 1004, "request-retried";
    /// A target is not used for a while after consecutive failures.
    TargetEjected = 1005, "target-ejected";
    /// A routed call was refused or failed.
    CallFailed = 1006, "call-failed";
    /// A worker closed the connection or stalled during a routed call.
    AttemptBroken = 1007, "attempt-broken";
    /// A worker accepted no connection.
    WorkerUnreachable = 1008, "worker-unreachable";
    /// A worker refused a routed call without running it.
    WorkerRefused = 1009, "worker-refused";
    /// A routed stream continues on another worker.
    StreamMoved = 1010, "stream-moved";
    /// A routed stream was broken off.
    StreamBroken = 1011, "stream-broken";
    /// No route matches a call.
    NoRoute = 1012, "no-route";
    /// The body of a call could not be read.
    BodyUnread = 1013, "body-unread";
    /// A call does not conform to the protocol.
    CallInvalid = 1014, "call-invalid";
    /// A routed call is sent to a worker.
    WorkerChosen = 1015, "worker-chosen";
    /// A worker answered a routed call completely.
    CallAnswered = 1016, "call-answered";
    /// A caller closed the connection before the end of its answer.
    CallerLeft = 1017, "caller-left";
    /// Parts of a prompt are suspected of crashing workers.
    PartsSuspected = 1018, "parts-suspected";
    /// Requests with certain parts are kept from the workers.
    PartsBlocked = 1019, "parts-blocked";
    /// A request with blocked parts is sent to show whether they still crash workers.
    PartsProbed = 1020, "parts-probed";
    /// A worker sends nothing for a while; another one is sought while it is kept.
    WorkerSilent = 1021, "worker-silent";
    /// A blocked request became known from the object store.
    BlockRecalled = 1022, "block-recalled";
    /// A stream is not taken up, as the shares by which it may have begun are not known.
    OriginUnclear = 1023, "origin-unclear";
    /// An answer ended with its connection and does not count as whole.
    EndUnconfirmed = 1024, "end-unconfirmed";
    /// A request was written long after its worker was chosen.
    RequestLate = 1025, "request-late";
    /// A request was not written, since its worker takes no requests any more or may have begun to leave.
    ChoiceRevoked = 1026, "choice-revoked";
    /// An answer ended with its connection and counts as whole.
    EndConfirmed = 1027, "end-confirmed";
    /// The connection of an answer was closed at the end of its time.
    AnswerCut = 1029, "answer-cut";
    /// A request is sent to its worker through another instance.
    RequestRelayed = 1030, "request-relayed";
    /// A call is turned away, as its key or the quota of its team does not allow it.
    TeamRefused = 1031, "team-refused";

    // 2000 to 2999: batch jobs.
    /// A batch job was accepted.
    JobAccepted = 2001, "job-accepted";
    /// A group of items was claimed.
    GroupClaimed = 2002, "group-claimed";
    /// A group was taken over from a holder whose lease had expired.
    GroupTakenOver = 2003, "group-taken-over";
    /// The results of a finished group were committed.
    GroupCommitted = 2004, "group-committed";
    /// A claim was released with items left.
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
    /// The lease of this instance lapsed; claims are checked before more items start.
    LeaseLapsed = 2012, "lease-lapsed";
    /// A worker failed in a batch run and is not used for batch work for a while.
    WorkerBackedOff = 2013, "worker-backed-off";
    /// A job was closed because its submission stopped before all inputs were stored.
    JobAbandoned = 2014, "job-abandoned";
    /// The state of a stopped item was moved to another worker.
    ItemMoved = 2020, "item-moved";
    /// The state of a stopped item could not be moved to another worker.
    ItemNotMoved = 2021, "item-not-moved";
    /// A batch job exceeded the quota of its route.
    JobRefused = 2030, "job-refused";
    /// This instance started to run a stored batch job.
    JobAdopted = 2031, "job-adopted";
    /// A stored batch job cannot be read.
    JobInvalid = 2032, "job-invalid";
    /// A page of results was stored.
    PageCommitted = 2033, "page-committed";
    /// Another instance stored the page of results first.
    PageTaken = 2034, "page-taken";
    /// A worker closed the connection or stalled during an item.
    ItemBroken = 2035, "item-broken";
    /// This instance stopped running a batch job that another instance runs, too.
    JobReleased = 2036, "job-released";
    /// An item of a routed batch job is sent to a worker.
    ItemStarted = 2037, "item-started";
    /// An item of a routed batch job has its complete output.
    ItemDone = 2038, "item-done";
    /// No instance runs a batch job that is known here; its home is asked to take it over.
    JobOrphaned = 2039, "job-orphaned";
    /// The connection of an item ended, and another worker is asked whether its text is complete.
    ItemUnproven = 2040, "item-unproven";

    // 3000 to 3999: sheet, peers and instance list.
    /// A sheet revision came into force.
    SheetInForce = 3001, "sheet-in-force";
    /// A sheet revision is not valid as a whole; the earlier one stays in force.
    SheetInvalid = 3002, "sheet-invalid";
    /// A sheet was pushed through this instance.
    SheetPushed = 3003, "sheet-pushed";
    /// The sheet was read from the data folder.
    SheetRestored = 3004, "sheet-restored";
    /// This instance started or stopped watching the platform for its zone.
    WatcherChanged = 3005, "watcher-changed";
    /// An entry instance joined.
    MemberJoined = 3006, "member-joined";
    /// An entry instance left or is about to stop.
    MemberLeft = 3007, "member-left";
    /// The platform does not answer.
    PlatformLost = 3008, "platform-lost";
    /// The platform answers again.
    PlatformBack = 3009, "platform-back";
    /// A configuration of routes and services came into force.
    ConfigInForce = 3010, "config-in-force";
    /// A configuration cannot be read; the earlier one stays in force.
    ConfigInvalid = 3011, "config-invalid";
    /// An entry in the list of workers cannot be read and names no worker.
    WorkerInvalid = 3012, "worker-invalid";
    /// A call to the object store failed.
    StoreCallFailed = 3013, "store-call-failed";
    /// Configuration and workers were read from a peer.
    SnapshotPulled = 3014, "snapshot-pulled";
    /// A call to another instance failed.
    PeerCallFailed = 3015, "peer-call-failed";
    /// A message between instances cannot be read or written.
    MessageInvalid = 3016, "message-invalid";
    /// The operator was notified that a machine has been emptied.
    MachineEmptied = 3017, "machine-emptied";
    /// No instance of a zone is live any more.
    ZoneSilent = 3018, "zone-silent";
    /// The list of workers changed.
    WorkersChanged = 3019, "workers-changed";
    /// A worker whose entry is missing stays in use in case the entry comes back.
    WorkerKept = 3020, "worker-kept";
    /// A worker announced in an answer that it leaves.
    WorkerLeaving = 3021, "worker-leaving";
    /// A worker announced in an answer how many requests a second it takes.
    WorkerLimited = 3022, "worker-limited";
    /// A worker that had announced a limit takes any number of requests again.
    WorkerLimitEnded = 3023, "worker-limit-ended";
    /// The shares of the workers' software versions in new streams changed.
    SharesChanged = 3024, "shares-changed";
    /// A connection to the object store went silent; a watch begins again on a new one.
    StoreSilent = 3025, "store-silent";
    /// The list shows that a worker in use takes no requests any more.
    WorkerWithdrawn = 3026, "worker-withdrawn";
    /// The announcement of a worker that it leaves no longer holds.
    LeavingForgotten = 3027, "leaving-forgotten";
    /// This instance reaches no worker; its requests go through other instances.
    LinksCut = 3028, "links-cut";
    /// This instance reaches workers again.
    LinksBack = 3029, "links-back";
    /// Another instance carried no connection to a worker and is not asked for a while.
    CarrierAvoided = 3030, "carrier-avoided";
    /// A connection to a worker is not carried for another instance.
    RelayRefused = 3031, "relay-refused";
    /// More instances joined or left than are logged one by one.
    MembersChanged = 3032, "members-changed";
    /// More workers were withdrawn or kept, or their list changed more often, than is logged one by one.
    WorkerChanges = 3033, "worker-changes";
    /// A worker reported another start than the list names.
    WorkerStartUnlisted = 3034, "worker-start-unlisted";
    /// Workers were asked what they run, as the version of a stream is unclear.
    RunsRead = 3035, "runs-read";
    /// An object of the store is left out, as it cannot be read or named in a call.
    EntryInvalid = 3036, "entry-invalid";
    /// Calls with a key are refused, as the configuration may be outdated.
    ConfigUnconfirmed = 3037, "config-unconfirmed";
    /// The configuration is known to be new enough for calls with a key.
    ConfigConfirmed = 3038, "config-confirmed";
    /// The instance that leads a team turns callers away, as the quota is used up.
    TeamLimited = 3039, "team-limited";

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
    /// The instance is ready for requests.
    InstanceReady = 5001, "instance-ready";
    /// A planned stop began.
    StopBegan = 5002, "stop-began";
    /// The process ends.
    StopEnded = 5003, "stop-ended";
    /// A signal to read the settings again was ignored.
    ReloadIgnored = 5004, "reload-ignored";
    /// A connection could not be accepted.
    AcceptFailed = 5005, "accept-failed";
    /// Log lines were omitted.
    LinesOmitted = 5006, "lines-omitted";
    /// The process did not run for a while.
    ProcessStalled = 5007, "process-stalled";
    /// A step of the control thread took long.
    StepSlow = 5008, "step-slow";
}

impl Event {
    /// Returns whether the event reports normal progress of a request or an item. Such lines are
    /// the first to be omitted under load.
    pub fn is_routine(self) -> bool {
        matches!(
            self,
            Event::RouteChosen
                | Event::WorkerChosen
                | Event::CallAnswered
                | Event::RequestRelayed
                | Event::RelayRefused
                | Event::CallerLeft
                | Event::GroupClaimed
                | Event::GroupCommitted
                | Event::ItemYielded
                | Event::ItemStarted
                | Event::ItemDone
                | Event::PageCommitted
        )
    }

    /// Returns the log target of the event.
    pub fn target(self) -> &'static str {
        if self.is_routine() {
            ROUTINE_TARGET
        } else {
            EVENT_TARGET
        }
    }
}

/// Log target of routine events.
pub const ROUTINE_TARGET: &str = "event.routine";
/// Log target of other events.
pub const EVENT_TARGET: &str = "event";

/// Logs an event at a level: `event!(Info, RouteChosen, "worker={}", id)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $event:ident, $($arg:tt)+) => {
        log::log!(
            target: $crate::events::Event::$event.target(),
            log::Level::$level,
            "event={} code={} {}",
            $crate::events::Event::$event.name(),
            $crate::events::Event::$event.number(),
            format_args!($($arg)+)
        )
    };
}
