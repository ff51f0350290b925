//! Watches of the store that the leader of a group of gateways confirms.
//!
//! The leader keeps short watches. The other members watch for longer and keep one call open at the
//! leader, whose replies confirm what they know. See
//! [`confirmation`](crate::coordination::configuration::confirmation).

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    coordination::{
        configuration::{
            confirmation::{End, Verdict},
            leader_choice::{Failure, LeaderChoice},
            watch_groups, watch_pacing,
        },
        presence,
    },
    gateway::{
        core, peer_messages, peer_rpc,
        watch_notes::{Part, Reply},
    },
    platform::store,
    state::name,
    transport::h1::{conn, dial},
};

/// Time limit for connecting to a leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time within which a leader replies to the first call, which it does not keep open.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after a short watch within which a leader replies to the other calls. A member that takes its
/// place has its own watches confirmed before those of the others are ended.
const REPLY_MARGIN: Duration = Duration::from_millis(300);

/// Shortest time between two calls, so that a member that replies at once is not called all the time.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a leader checks whether another member leads.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Result of [`watch`].
pub enum Watched {
    /// The store answered.
    Answered(store::WatchOutcome),
    /// The prefix must be read again. Tells whether the leader knows a change that the watch missed;
    /// otherwise nothing confirmed the knowledge for too long, or an era of the store began.
    ReadAgain {
        /// Whether the leader knows a change that the watch missed.
        is_behind: bool,
    },
}

/// Records that a read of a prefix begins.
pub fn begin_read(gw: &core::Gateway, part: Part) {
    let now = gw.now();
    gw.watch_notes.prefix(part).borrow_mut().begin_read(now);
}

/// Records that a prefix was read.
pub fn record_read(gw: &core::Gateway, part: Part, read: &store::Items) {
    let items = read.items.iter();
    let items = items.map(|item| (item.key.as_str(), item.revision));
    let value_bytes: usize = read.items.iter().map(|item| item.value.len()).sum();
    let mut prefix = gw.watch_notes.prefix(part).borrow_mut();
    prefix.record_read(gw.store.era(), read.store_revision, items, gw.now());
    prefix.record_size(value_bytes as u64);
    drop(prefix);
    gw.watch_notes.record_change();
}

fn record_watch(
    gw: &core::Gateway,
    part: Part,
    changes: &[store::Change],
    revisions: store::WatchRevisions,
) {
    let newest_value = changes.iter().rev().find_map(|change| match change {
        store::Change::Written(item) => Some(item.value.len() as u64),
        store::Change::Deleted(_) => None,
    });
    let changes = changes.iter().map(|change| match change {
        store::Change::Written(item) => (item.key.as_str(), Some(item.revision)),
        store::Change::Deleted(key) => (key.as_str(), None),
    });
    let store::WatchRevisions { newest, through } = revisions;
    let mut prefix = gw.watch_notes.prefix(part).borrow_mut();
    prefix.record_watch(changes, newest, through, gw.now());
    if let Some(value_bytes) = newest_value.filter(|_| prefix.has_one_key()) {
        prefix.record_size(value_bytes);
    }
    drop(prefix);
    gw.watch_notes.record_change();
}

/// Watches a prefix for changes after a revision until the store answers or the watch must be ended.
///
/// # Errors
///
/// As for [`store::Store::watch`].
pub async fn watch(
    gw: &core::Gateway,
    part: Part,
    path_prefix: &str,
    after: u64,
) -> Result<Watched, store::StoreError> {
    loop {
        let read_in = gw.watch_notes.prefix(part).borrow().era();
        if gw.store.era() != read_in {
            // Revisions of another era say nothing about this one.
            return Ok(Watched::ReadAgain { is_behind: false });
        }
        if gw.watch_notes.prefix(part).borrow().reads_less() {
            return Ok(read_newest(gw, part, "reported"));
        }
        let short = gw.watch_wait();
        let wait = gw.watch_notes.begin_watch(part, short, gw.now());
        let began = |announced| gw.watch_notes.begin_response(part, announced, gw.now());
        let watching = async { Ok(gw.store.watch(path_prefix, after, wait, &began).await) };
        let response_time = || gw.store.response_time();
        let ended = gw
            .watch_notes
            .watch_end(part, short, response_time, &gw.timers);
        let ended = async { Err(ended.await) };
        let end = match smol::future::or(watching, ended).await {
            Ok(answered) => {
                let outcome = answered?;
                if outcome == store::WatchOutcome::NotRead {
                    return Ok(read_newest(gw, part, "length"));
                }
                if let store::WatchOutcome::Changes(changes, revisions) = &outcome {
                    record_watch(gw, part, changes, *revisions);
                }
                return Ok(Watched::Answered(outcome));
            }
            Err(end) => end,
        };
        let name = part.name();
        counter!("fulmar_gateway_watch_ends_total", "part" => name, "reason" => end.to_string())
            .increment(1);
        let confirmed_at = gw.watch_notes.prefix(part).borrow().confirmed_at();
        let age = gw.now().saturating_sub(confirmed_at.unwrap_or_default());
        let was_arriving = gw.watch_notes.prefix(part).borrow().is_response_arriving();
        tracing::info!(part = name, reason = %end, after, age_ms = age.as_millis() as u64, was_arriving,
                       "watches: ended a watch");
        if end != End::Leads {
            gw.store.close_idle();
            let is_behind = end == End::Behind;
            return Ok(Watched::ReadAgain { is_behind });
        }
    }
}

/// Has a prefix read of which a watch would report overtaken values.
fn read_newest(gw: &core::Gateway, part: Part, reason: &'static str) -> Watched {
    counter!("fulmar_gateway_watches_overtaken_total", "part" => part.name(), "reason" => reason)
        .increment(1);
    let through = gw.watch_notes.prefix(part).borrow().through();
    tracing::info!(
        part = part.name(),
        reason,
        through,
        "watches: reads the newest value alone"
    );
    Watched::ReadAgain { is_behind: true }
}

/// Starts the task that keeps a call open at the leader of this gateway's group.
pub fn start(gw: &Rc<core::Gateway>) {
    let following = gw.clone();
    gw.spawn(async move { Follower::default().run(&following).await });
}

/// State of the task that keeps a call open at the leader.
#[derive(Default)]
struct Follower {
    /// Hash of the members from which the group was computed.
    members_hash: u64,
    group: Vec<name::Name>,
    choice: LeaderChoice,
    /// Failures so far, by which the incarnations of a VM are asked in turn.
    failures: usize,
    /// The member that answered last, the connection to it, and the number of its state.
    leader: Option<(name::Name, conn::Conn, u64)>,
}

impl Follower {
    async fn run(&mut self, gw: &core::Gateway) {
        gauge!("fulmar_gateway_watch_leader").set(1.0);
        loop {
            let own = gw.settings().vm;
            self.update_group(gw, &own);
            let leader = self.choice.leader(&self.group, &own, gw.now());
            let leader = leader.and_then(|member| {
                let address = self.address(gw, &member)?;
                Some((member, address))
            });
            let Some((member, address)) = leader else {
                self.lead(gw);
                gw.timers.sleep(CHECK_INTERVAL).await;
                continue;
            };
            let mut cause = String::new();
            let failure = match self.ask(gw, &member, address).await {
                Ok(reply) => {
                    let failure = self.apply(gw, &member, &reply);
                    let interval = match gw.round_trips.is_slow() {
                        true => gw.confirmation_interval(),
                        false => MIN_CALL_INTERVAL,
                    };
                    let next_call = reply.1 + interval;
                    gw.timers.sleep(next_call.saturating_sub(gw.now())).await;
                    failure
                }
                Err(err) => {
                    cause = err;
                    Some(Failure::NoAnswer)
                }
            };
            match failure {
                None => {
                    self.choice.record_success(&member);
                    if gw.watch_notes.set_leads(false) {
                        gauge!("fulmar_gateway_watch_leader").set(0.0);
                        let members = self.group.len();
                        tracing::info!(leader = %member, members, "watches: confirmed by a leader");
                    }
                }
                Some(Failure::NoAnswer) if gw.round_trips.is_slow() => {
                    // The member is not to blame, and others would be as silent.
                    counter!("fulmar_gateway_late_timeouts_total", "call" => "leader").increment(1);
                    self.leader = None;
                    gw.timers.sleep(MIN_CALL_INTERVAL).await;
                }
                Some(failure) => {
                    self.leader = None;
                    self.failures += 1;
                    let until = self.choice.record_failure(&member, failure, gw.now());
                    let retry_ms = until.saturating_sub(gw.now()).as_millis() as u64;
                    counter!("fulmar_gateway_leader_failures_total", "reason" => failure.to_string())
                        .increment(1);
                    let own_delay_ms = gw.round_trips.delay().as_millis() as u64;
                    let lag_ms = gw.overload.lag().as_millis() as u64;
                    tracing::info!(%member, reason = %failure, cause, retry_ms, own_delay_ms, lag_ms,
                                   "watches: passed over a member");
                }
            }
        }
    }

    fn update_group(&mut self, gw: &core::Gateway, own: &str) {
        let peers = gw.peers.borrow();
        let members = || peers.keys().map(String::as_str).chain([own]);
        let members_hash = watch_groups::members_hash(members());
        if members_hash != self.members_hash {
            let vms = peers.keys().map(|peer| presence::vm(peer)).chain([own]);
            let vms: Vec<name::Name> = vms.map(name::Name::from).collect();
            self.members_hash = members_hash;
            self.group = watch_groups::group(&vms, own);
            self.choice.retain(&self.group);
        }
    }

    /// Address of the gateway of a VM. After a restart two incarnations are listed.
    fn address(&self, gw: &core::Gateway, vm: &str) -> Option<SocketAddr> {
        let peers = gw.peers.borrow();
        let listed = peers.iter().filter(|(peer, _)| presence::vm(peer) == vm);
        let mut addresses: Vec<SocketAddr> = listed.map(|(_, address)| *address).collect();
        addresses.sort();
        let at = self.failures.checked_rem(addresses.len())?;
        addresses.get(at).copied()
    }

    fn lead(&mut self, gw: &core::Gateway) {
        self.leader = None;
        if gw.watch_notes.set_leads(true) {
            gauge!("fulmar_gateway_watch_leader").set(1.0);
            let members = self.group.len();
            tracing::info!(members, "watches: leads the group");
        }
    }

    /// Calls a member; the reply comes with the time at which the call was sent.
    async fn ask(
        &mut self,
        gw: &core::Gateway,
        member: &name::Name,
        address: SocketAddr,
    ) -> Result<(Reply, Duration), String> {
        let kept = self.leader.take().filter(|(name, ..)| name == member);
        let limit_to_connect = CONNECT_TIMEOUT + gw.round_trips.patience();
        let (mut conn, seen) = match kept {
            Some((_, conn, seen)) => (conn, seen),
            None => {
                let connected = dial::connect(address, limit_to_connect, &gw.timers).await;
                (connected.map_err(|err| err.to_string())?, 0)
            }
        };
        // A leader that names its state keeps the call open; a slow gateway wants to know at once.
        let is_slow = gw.round_trips.is_slow();
        let seen = if is_slow { 0 } else { seen };
        let limit = match seen {
            0 => FIRST_REPLY_TIMEOUT + gw.round_trips.patience(),
            _ => gw.watch_wait() + REPLY_MARGIN,
        };
        let sent_at = gw.now();
        let call = peer_messages::Call::Confirm { seen };
        let posted = peer_rpc::post(&mut conn, address, &call);
        let Some(posted) = gw.timers.within(limit, posted).await else {
            return Err(format!("no reply within {limit:?}"));
        };
        let body = posted.map_err(|err| err.to_string())?;
        let reply: Reply = serde_json::from_slice(&body).map_err(|err| err.to_string())?;
        self.leader = Some((member.clone(), conn, reply.sequence.max(1)));
        Ok((reply, sent_at))
    }

    /// Compares a reply with what this gateway knows; returns why the member does not lead.
    ///
    /// A reply may be delayed on its way, so its knowledge counts as of the time at which the call was
    /// sent, plus the time for which it was kept open, minus the age.
    fn apply(
        &self,
        gw: &core::Gateway,
        member: &name::Name,
        (reply, sent_at): &(Reply, Duration),
    ) -> Option<Failure> {
        let now = gw.now();
        let short = gw.watch_wait();
        let replied_at = sent_at
            .saturating_add(Duration::from_millis(reply.held_ms))
            .min(now);
        let mut failure = None;
        let mut is_advanced = false;
        for (part, report) in [
            (Part::Configuration, reply.config),
            (Part::Servers, reply.servers),
        ] {
            let as_of = report.and_then(|report| {
                let as_of = replied_at.checked_sub(Duration::from_millis(report.age_ms))?;
                Some((report, as_of))
            });
            let Some((report, as_of)) = as_of else {
                failure = Some(Failure::Outdated);
                continue;
            };
            let mut prefix = gw.watch_notes.prefix(part).borrow_mut();
            let before = prefix.confirmed_at();
            let verdict = prefix.judge(&report, as_of, now);
            let confirmed_at = prefix.confirmed_at();
            drop(prefix);
            counter!("fulmar_gateway_confirmations_total", "part" => part.name(), "outcome" => verdict.to_string())
                .increment(1);
            let cell = match part {
                Part::Configuration => &gw.config_confirmed_at,
                Part::Servers => &gw.servers_confirmed_at,
            };
            if let Some(at) = confirmed_at.filter(|at| before < Some(*at)) {
                cell.set(cell.get().max(at));
                is_advanced = true;
            }
            tracing::debug!(part = part.name(), %member, ?report, %verdict, "watches: report");
            if verdict == Verdict::OtherEra {
                failure = Some(Failure::OtherEra);
            } else if now >= as_of + short + watch_pacing::CALL_TIMEOUT {
                failure = Some(Failure::Outdated);
            }
        }
        if is_advanced {
            gw.watch_notes.record_change();
        } else {
            gw.watch_notes.record_report();
        }
        failure
    }
}
