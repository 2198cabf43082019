//! Quotas of teams at an instance: gets credits from the leaders of the teams, and leads some itself.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender, bounded, unbounded};

use crate::{
    drain::Phase,
    event, fnv,
    ids::{Map, TeamId},
    metrics,
    mutex::{Mutex, lock},
    teams::{
        account::{ANSWER_LIMIT, Account, Entry, LeaderId, Settled},
        directory::{Directory, Quota, Team},
        lease::Lease,
        ledger::{Ask, Denial, Ledger, Recorded, Reply, Standing, Terms},
        window::Part,
    },
};

use super::{gateway::Gateway, identity::Refused, peers::Member};

/// Records of a team that are written in a window at most.
const RECORDS_A_WINDOW: u32 = 5;

/// Message on quotas between instances.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks the leader of a team for credits.
    Ask(Ask),
    /// Answers the question.
    Reply(Reply),
    /// Tells a new leader what was sent while another one led the team.
    Sent(TeamId, Vec<Part>),
}

/// Message with the address of its receiver.
pub type Outgoing = (SocketAddr, QuotaMessage);

/// Keys and quotas at an instance.
#[derive(Debug)]
pub struct TeamGate {
    terms: Terms,
    state: Mutex<State>,
    lease: Mutex<Lease>,
    /// Whether keys were usable when that was logged last.
    usable: Mutex<bool>,
    messages: (Sender<Outgoing>, Receiver<Outgoing>),
}

#[derive(Debug)]
struct State {
    accounts: Map<TeamId, Held>,
    ledger: Ledger,
    leaders: Map<TeamId, Leader>,
    /// Hash of the instances and version of the configuration from which the leaders follow.
    basis: Option<(u64, u64)>,
    standing: Standing,
    instances: usize,
    /// Times until which refusals of a team are not logged again.
    logged: Map<TeamId, Duration>,
    /// Times until which the use of a team is not recorded again.
    recorded: Map<TeamId, Duration>,
    /// When teams were recorded to have used much of their quota, once that was read at the start.
    records: Option<Map<TeamId, Duration>>,
    /// Time of that read.
    read: Duration,
}

impl State {
    fn record_of(&self, team: &TeamId, now: Duration) -> Recorded {
        record_of(self.records.as_ref(), self.read, team, now)
    }
}

/// Returns what the records that were read at a time tell of a team.
fn record_of(
    records: Option<&Map<TeamId, Duration>>,
    read: Duration,
    team: &TeamId,
    now: Duration,
) -> Recorded {
    match records.map(|r| r.get(team)) {
        Some(Some(age)) => Recorded::Much(*age + now.saturating_sub(read)),
        Some(None) => Recorded::Little,
        None => Recorded::Unknown,
    }
}

/// An account with the requests that wait for an answer.
#[derive(Debug)]
struct Held {
    account: Account,
    waiting: VecDeque<Sender<Result<(), Refused>>>,
}

/// Instance that leads a team.
#[derive(Debug, Clone)]
struct Leader {
    id: LeaderId,
    /// Address, or `None` for this instance.
    address: Option<SocketAddr>,
}

/// What a request does next.
enum Step {
    Decided(Result<(), Refused>),
    Wait(Receiver<Result<(), Refused>>),
}

impl TeamGate {
    /// Builds the state of an instance. Keys that are taken away stop working within `revoke`, if that is
    /// set.
    pub fn new(terms: Terms, revoke: Option<Duration>) -> Self {
        Self {
            terms,
            state: Mutex::new(State {
                accounts: Map::default(),
                ledger: Ledger::new(terms),
                leaders: Map::default(),
                basis: None,
                standing: Standing {
                    share: 1.0,
                    unheard: 0.0,
                },
                instances: 1,
                logged: Map::default(),
                recorded: Map::default(),
                records: None,
                read: Duration::ZERO,
            }),
            lease: Mutex::new(Lease::new(revoke)),
            usable: Mutex::new(true),
            messages: unbounded(),
        }
    }

    /// Sets the teams that were recorded to have used much of their quota, with the ages of the records at a
    /// time.
    pub fn set_records(&self, ages: Map<TeamId, Duration>, now: Duration) {
        let mut state = lock(&self.state);
        state.records = Some(ages);
        state.read = now;
    }

    /// Returns the next message to another instance.
    pub async fn next_message(&self) -> Option<Outgoing> {
        self.messages.1.recv().await.ok()
    }

    fn send(&self, to: SocketAddr, message: QuotaMessage) {
        let _ = self.messages.0.try_send((to, message));
    }

    /// Returns whether a configuration may be used only for a time without a look at the store.
    pub fn is_bounded(&self) -> bool {
        lock(&self.lease).is_bounded()
    }

    /// Returns the state of the lease of the configuration.
    pub fn lease(&self) -> Lease {
        lock(&self.lease).clone()
    }

    /// Records that no configuration newer than the one in use existed at a time, by `clock::steady_millis`.
    pub fn confirm(&self, at: u64) {
        lock(&self.lease).confirm(at);
    }

    /// Sets whether keys are usable, and returns what was set before.
    pub(super) fn set_usable(&self, is_usable: bool) -> bool {
        std::mem::replace(&mut *lock(&self.usable), is_usable)
    }

    /// Returns the number of teams that this instance leads.
    pub fn led(&self) -> usize {
        lock(&self.state).ledger.led()
    }

    fn enter(&self, team: &TeamId, quota: &Quota, now: Duration) -> Step {
        let mut state = lock(&self.state);
        let window = self.terms.window;
        let leader = state.leaders.get(team).cloned();
        let held = state.accounts.entry(team.clone()).or_insert_with(|| {
            let mut account = Account::new(team.clone(), window);
            // What is sent from now on gets its credits from this leader, and is not reported to it.
            account.set_leader(leader.as_ref().map(|l| l.id.clone()), now);
            Held {
                account,
                waiting: VecDeque::new(),
            }
        });
        let Some(leader) = leader else {
            return Step::Decided(self.alone(&mut state, team, quota, now));
        };
        let waiting = held.waiting.len() as u32 + 1;
        let entry = held.account.enter(waiting, now);
        if let Entry::Denied(wait) = entry {
            return Step::Decided(Err(Refused::OverQuota(wait)));
        }
        let (sender, receiver) = bounded(1);
        held.waiting.push_back(sender);
        if let Entry::Ask(ask) = entry {
            self.ask(&mut state, &leader, ask, quota, now);
        }
        Step::Wait(receiver)
    }

    /// Asks the leader, which may be this instance.
    fn ask(&self, state: &mut State, leader: &Leader, ask: Ask, quota: &Quota, now: Duration) {
        match leader.address {
            Some(address) => self.send(address, QuotaMessage::Ask(ask)),
            None => {
                let reply = self.decide(state, &ask, quota, now);
                self.settle(state, &reply, Some(quota), now);
            }
        }
    }

    /// Decides as the leader of a team. The beginning of refusals is logged, and each window in which they go
    /// on.
    fn decide(&self, state: &mut State, ask: &Ask, quota: &Quota, now: Duration) -> Reply {
        let share = state.standing.share;
        let reply = state.ledger.decide(ask, quota, share, now);
        if reply.denial.is_some() {
            let until = state.logged.entry(ask.team.clone()).or_default();
            if now >= *until {
                *until = now + self.terms.window;
                event!(
                    Info,
                    TeamLimited,
                    "team={:?} rate={} burst={} used_permille={} share={share:.3}",
                    ask.team,
                    quota.rate,
                    quota.burst,
                    reply.used
                );
            }
        }
        reply
    }

    /// Decides about a request without the leader.
    fn alone(
        &self,
        state: &mut State,
        team: &TeamId,
        quota: &Quota,
        now: Duration,
    ) -> Result<(), Refused> {
        let limit = quota.allowed(self.terms.window);
        if let Recorded::Much(age) = state.record_of(team, now)
            && age < self.terms.window
        {
            return Err(Refused::Unchecked);
        }
        let instances = state.instances;
        let held = state.accounts.get_mut(team).ok_or(Refused::Unchecked)?;
        let is_sent = held.account.send_alone(limit, instances, now, now);
        is_sent.then_some(()).ok_or(Refused::Unchecked)
    }

    /// Passes an answer of a leader on to the requests that wait. Without a quota the team has none any
    /// more.
    fn settle(&self, state: &mut State, reply: &Reply, quota: Option<&Quota>, now: Duration) {
        let instances = state.instances as u32;
        let Some(held) = state.accounts.get_mut(&reply.team) else {
            return;
        };
        held.waiting.retain(|w| w.receiver_count() > 0);
        let waiting = held.waiting.len() as u32;
        match held.account.settle(reply, waiting, instances, now) {
            Settled::Granted(count, denial) => {
                for sender in held.waiting.drain(..count as usize) {
                    let _ = sender.try_send(Ok(()));
                }
                if let Some(Denial { wait, spacing }) = denial {
                    for (position, sender) in held.waiting.drain(..).enumerate() {
                        let wait = wait + spacing.saturating_mul(position as u32);
                        let _ = sender.try_send(Err(Refused::OverQuota(wait)));
                    }
                }
            }
            Settled::Alone => {
                for sender in std::mem::take(&mut held.waiting) {
                    let decided = match quota {
                        Some(quota) => self.alone(state, &reply.team, quota, now),
                        None => Ok(()),
                    };
                    let _ = sender.try_send(decided);
                }
            }
        }
        self.ask_again(state, &reply.team, quota, now);
    }

    /// Asks for requests that came after the last question.
    fn ask_again(&self, state: &mut State, team: &TeamId, quota: Option<&Quota>, now: Duration) {
        let (Some(quota), Some(leader)) = (quota, state.leaders.get(team).cloned()) else {
            return;
        };
        let Some(held) = state.accounts.get_mut(team) else {
            return;
        };
        let waiting = held.waiting.len() as u32;
        if waiting == 0 || leader.address.is_none() {
            return;
        }
        if let Entry::Ask(ask) = held.account.enter(waiting, now) {
            self.ask(state, &leader, ask, quota, now);
        }
    }
}

impl Gateway {
    /// Gets a credit for a request of a team.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is turned away.
    pub async fn charge(&self, team: &Team) -> Result<(), Refused> {
        let Some(quota) = &team.quota else {
            return Ok(());
        };
        let gate = &self.teams;
        let receiver = match gate.enter(&team.name, quota, self.now()) {
            Step::Decided(decided) => return decided,
            Step::Wait(receiver) => receiver,
        };
        let asked = Instant::now();
        let answered = async { receiver.recv().await.ok() };
        let timeout = async {
            Timer::after(ANSWER_LIMIT).await;
            None
        };
        let decided = smol::future::or(answered, timeout).await;
        metrics::quota_time(asked.elapsed());
        if let Some(decided) = decided {
            return decided;
        }
        drop(receiver);
        let mut state = lock(&gate.state);
        gate.alone(&mut state, &team.name, quota, self.now())
    }

    /// Gives the credit of a request back that did not run.
    pub fn give_back(&self, team: &Team) {
        if team.quota.is_none() {
            return;
        }
        if let Some(held) = lock(&self.teams.state).accounts.get_mut(&team.name) {
            held.account.give_back();
        }
    }

    /// Handles a message on quotas, and returns the answer to its sender.
    pub fn hear_quota(&self, message: QuotaMessage) -> Option<QuotaMessage> {
        let (gate, now) = (&self.teams, self.now());
        let config = self.config.load_full();
        let teams = config.as_ref().and_then(|c| c.teams.as_deref());
        let quota = |team: &TeamId| teams?.team(team)?.quota;
        let mut state = lock(&gate.state);
        match message {
            QuotaMessage::Ask(ask) => {
                let quota = quota(&ask.team)?;
                let reply = gate.decide(&mut state, &ask, &quota, now);
                Some(QuotaMessage::Reply(reply))
            }
            QuotaMessage::Reply(reply) => {
                let quota = quota(&reply.team);
                gate.settle(&mut state, &reply, quota.as_ref(), now);
                None
            }
            QuotaMessage::Sent(team, parts) => {
                quota(&team)?;
                state.ledger.hear(&team, &parts, now);
                None
            }
        }
    }

    /// Follows changes of the instances and the configuration: which instance leads which team, and what a
    /// new leader has to hear. Returns the teams whose use is to be recorded in the store.
    pub fn update_teams(&self) -> Vec<TeamId> {
        let config = self.config.load_full();
        let Some((config, teams)) = config.and_then(|c| c.teams.clone().map(|t| (c, t))) else {
            return Vec::new();
        };
        let (gate, now) = (&self.teams, self.now());
        self.may_use_keys();
        let window = gate.terms.window;
        let (hash, standing, instances) = {
            let peers = self.peers();
            let standing = Standing {
                share: peers.live_share(now),
                unheard: peers.unheard_share(self.session, window, now),
            };
            let roster = peers.roster(now).fold(0, |hash, (name, session)| {
                hash ^ fnv::extend(fnv::OFFSET_BASIS, name.bytes().chain(session.to_le_bytes()))
            });
            (roster, standing, peers.known_count() + 1)
        };
        let basis = Some((hash, config.version)).filter(|_| self.has_discovered_peers());
        let is_new = lock(&gate.state).basis != basis;
        let leaders = (is_new && basis.is_some()).then(|| self.team_leaders(&teams));
        let mut state = lock(&gate.state);
        let State {
            accounts,
            ledger,
            leaders: known,
            logged,
            records,
            read,
            ..
        } = &mut *state;
        if is_new {
            *known = leaders.unwrap_or_default();
        }
        let record = |team: &TeamId| record_of(records.as_ref(), *read, team, now);
        let is_led = |team: &TeamId| known.get(team).is_some_and(|l| l.address.is_none());
        for team in teams.teams().filter(|t| is_led(&t.name)) {
            if let Some(quota) = &team.quota {
                ledger.lead(&team.name, quota, &standing, record(&team.name), now);
            }
        }
        ledger.retain(is_led, now);
        logged.retain(|_, until| now < *until);
        for (team, held) in accounts.iter_mut() {
            let leader = known.get(team);
            let sent = held.account.set_leader(leader.map(|l| l.id.clone()), now);
            match leader {
                Some(leader) if !sent.is_empty() => match leader.address {
                    Some(to) => gate.send(to, QuotaMessage::Sent(team.clone(), sent)),
                    None => ledger.hear(team, &sent, now),
                },
                _ => {}
            }
        }
        accounts.retain(|_, held| !held.waiting.is_empty() || !held.account.is_idle(now));
        state.basis = basis;
        state.standing = standing;
        state.instances = instances;
        self.settle_accounts(&mut state, &teams, now);
        self.to_record(&mut state, &teams, now)
    }

    /// Returns the teams that this instance leads and whose use is to be recorded in the store.
    fn to_record(&self, state: &mut State, teams: &Directory, now: Duration) -> Vec<TeamId> {
        let State {
            ledger, recorded, ..
        } = state;
        recorded.retain(|_, until| now < *until);
        let quota = |team: &TeamId| teams.team(team)?.quota;
        let mut due = ledger.to_record(quota, now);
        due.retain(|team| !recorded.contains_key(team));
        let until = now + self.teams.terms.window / RECORDS_A_WINDOW;
        recorded.extend(due.iter().map(|team| (team.clone(), until)));
        due
    }

    /// Tells the leaders of debts and of credits that are given back.
    fn settle_accounts(&self, state: &mut State, teams: &Directory, now: Duration) {
        let asks: Vec<Ask> = state
            .accounts
            .values_mut()
            .filter_map(|h| h.account.unsettled(now))
            .collect();
        for ask in asks {
            let leader = state.leaders.get(&ask.team).cloned();
            let quota = teams.team(&ask.team).and_then(|t| t.quota);
            if let (Some(leader), Some(quota)) = (leader, quota) {
                self.teams.ask(state, &leader, ask, &quota, now);
            }
        }
    }

    fn team_leaders(&self, teams: &Directory) -> Map<TeamId, Leader> {
        let local = Member {
            instance: &self.settings.instance,
            zone: &self.settings.zone,
            stays: self.drain.phase() == Phase::Running,
        };
        let (peers, now) = (self.peers(), self.now());
        let limited = teams.teams().filter(|t| t.quota.is_some());
        let leader = |team: &Arc<Team>| {
            let leader = match peers.team_leader(&team.name, &local, now) {
                Some(h) => Leader {
                    id: (h.instance.clone(), h.session),
                    address: Some(h.address),
                },
                None => Leader {
                    id: (local.instance.clone(), self.session),
                    address: None,
                },
            };
            (team.name.clone(), leader)
        };
        limited.map(leader).collect()
    }
}
