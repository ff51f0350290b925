//! Random days on which servers of several releases serve streams, and gateways start, end, freeze and
//! lose each other and the store, on a virtual clock.
//!
//! `STREAM_RELEASES=100..200 cargo test --test stream_releases` plays other seeds.

mod common;

use std::{collections::BTreeMap, time::Duration};

use fulmarproxy::{
    coordination::{
        origin_search::{Origin, Search, Step},
        releases::{self, Recorded, Releases},
        stream_origins::{self, StreamOrigins},
    },
    state::release::Release,
};

/// Times in milliseconds.
const DAY: u64 = 60_000;
const STEP: u64 = 10;
const SETTLE_TIME: u64 = 3000;
const RESTART_TIME: u64 = 900;
const ENTRY_LAPSE: u64 = 3600;
const DRAIN_TIME: u64 = 2000;
const COPY_INTERVAL: u64 = 50;

const SERVICE: &str = "model";
const MAX_RESUMES: u32 = 5;

/// Streams of a day that may hold events of two releases; the platform allows two.
const MAX_MIXED: usize = 0;

/// Streams that must be taken up again on a day for their share to count.
const MIN_TAKEN_UP: u32 = 12;

/// A deliberate fault of the gateways, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// When nobody knows, the only release that the gateway lists is taken.
    OnlyListed,
    /// When nobody knows, the newest release is taken.
    Newest,
    /// The note names the first server that was tried.
    FirstTried,
    /// Streams begin at releases that are not recorded.
    Unrecorded,
    /// Only the gateway that began a stream has its note.
    NoCopies,
    /// The record counts also while it lacks what the store forgot.
    ForgetfulStore,
}

struct Server {
    release: Release,
    up: bool,
    listed_from: u64,
    listed_until: u64,
    takes_work: bool,
}

impl Server {
    fn is_listed(&self, now: u64) -> bool {
        (self.listed_from..self.listed_until).contains(&now)
    }
}

#[derive(Default)]
struct Gateway {
    starts: u32,
    up_from: u64,
    frozen_until: u64,
    store_cut_until: u64,
    peers_cut_until: u64,
    disturbed_until: u64,
    next_list: u64,
    record_at: Option<u64>,
    /// Servers that take work, as last listed.
    listed: Vec<usize>,
    era: u64,
    releases: Releases,
    origins: StreamOrigins,
}

impl Gateway {
    fn runs(&self, now: u64) -> bool {
        now >= self.up_from && now >= self.frozen_until
    }

    fn restart(&mut self, at: u64) {
        let starts = self.starts + 1;
        *self = Self {
            starts,
            up_from: at,
            next_list: at,
            disturbed_until: at,
            store_cut_until: self.store_cut_until,
            peers_cut_until: self.peers_cut_until,
            ..Self::default()
        };
    }
}

#[derive(Default)]
struct Store {
    record: Vec<Recorded>,
    era: u64,
    down_until: u64,
    disturbed_until: u64,
    copies: Vec<(u64, Vec<Recorded>)>,
}

enum State {
    Running { gateway: usize, server: usize },
    Broken { retry_at: u64 },
}

struct Stream {
    id: u64,
    began: Release,
    ends_at: u64,
    resumes: u32,
    /// Whether the stream was taken up, and went on, where the platform counts it.
    taken_up: bool,
    gone_on: bool,
    state: State,
}

/// What is counted over a day.
#[derive(Debug, Default)]
struct Counts {
    new: u32,
    begun: u32,
    taken_up: u32,
    gone_on: u32,
    mixed: Vec<String>,
}

struct World {
    rng: fastrand::Rng,
    fault: Fault,
    now: u64,
    store: Store,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    streams: Vec<Stream>,
    started: u64,
    counts: Counts,
    /// What happens when: releases, crashes and disruptions.
    events: BTreeMap<u64, Vec<Event>>,
}

#[derive(Clone, Debug)]
enum Event {
    Start(u32),
    Drain(usize),
    Stop(usize),
    CrashServers(f64),
    Break(f64),
    KillGateways(f64),
    Freeze(f64, u64),
    CutStore(f64, u64),
    CutPeers(f64, u64),
    StoreDown(u64),
    StoreFromCopy(u64),
}

fn version(number: u32) -> Release {
    Release::new(SERVICE, format!("v{number}").as_str())
}

fn time(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl World {
    /// A day on which nothing happens, with servers of one release.
    fn calm(rng: fastrand::Rng, gateways: usize, servers: usize, fault: Fault) -> Self {
        let gateways = (0..gateways).map(|_| Gateway::default());
        let mut world = Self {
            gateways: gateways.collect(),
            fault,
            now: 0,
            store: Store::default(),
            servers: Vec::new(),
            streams: Vec::new(),
            started: 0,
            counts: Counts::default(),
            events: BTreeMap::new(),
            rng,
        };
        for _ in 0..servers {
            world.start_server(0);
        }
        world
    }

    fn random(seed: u64, fault: Fault) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (gateways, servers) = (rng.usize(2..16), rng.usize(4..12));
        let mut world = Self::calm(rng, gateways, servers, fault);
        for release in 1..=world.rng.u32(0..4) {
            let at = world.rng.u64(5000..DAY - 10_000);
            let gap = world.rng.u64(100..800);
            for number in 0..world.rng.u64(1..14) {
                world.plan(at + number * gap, Event::Start(release));
                let old = world.rng.usize(0..16);
                let serves_on = world.rng.u64(500..20_000);
                world.plan(at + number * gap + serves_on, Event::Drain(old));
            }
            world.plan_around_release(at);
        }
        for _ in 0..world.rng.usize(4..40) {
            let at = world.rng.u64(2000..DAY - 3000);
            let share = [0.2, 0.35, 0.6, 1.0][world.rng.usize(0..4)];
            let length = world.rng.u64(200..12_000);
            let event = match world.rng.u32(0..10) {
                0 | 1 => Event::CrashServers(share * 0.6),
                2..=4 => Event::Break(share),
                5 => Event::KillGateways(share),
                6 => Event::Freeze(share, length),
                7 => Event::CutStore(share, length),
                8 => Event::CutPeers(share, length),
                _ if world.rng.bool() => Event::StoreDown(length),
                _ => Event::StoreFromCopy(length.min(8000)),
            };
            world.plan(at, event);
        }
        world
    }

    /// Plans disruptions around the start of a release, when gateways know different releases.
    fn plan_around_release(&mut self, at: u64) {
        let length = self.rng.u64(1000..9000);
        let begins = at + self.rng.u64(0..600);
        let breaks = begins + self.rng.u64(200..length);
        match self.rng.u32(0..4) {
            0 => self.plan(begins, Event::CutStore(0.5, length)),
            1 => {
                self.plan(at.saturating_sub(100), Event::CutStore(0.5, length));
                self.plan(at.saturating_sub(100), Event::CutPeers(0.5, length));
            }
            2 => {
                self.plan(begins + 1000, Event::StoreFromCopy(length));
                self.plan(begins + 1000, Event::KillGateways(1.0));
            }
            _ => return,
        }
        self.plan(breaks, Event::Break(0.8));
    }

    fn plan(&mut self, at: u64, event: Event) {
        self.events.entry(at / STEP * STEP).or_default().push(event);
    }

    fn start_server(&mut self, number: u32) {
        let listed_from = self.now + self.rng.u64(20..300);
        self.servers.push(Server {
            release: version(number),
            up: true,
            listed_from,
            listed_until: u64::MAX,
            takes_work: true,
        });
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Start(number) => self.start_server(number),
            Event::Drain(server) => {
                let count = self.servers.iter().filter(|it| it.takes_work).count();
                if let Some(it) = self.servers.get_mut(server).filter(|it| it.takes_work)
                    && count > 2
                {
                    it.takes_work = false;
                    self.plan(now + DRAIN_TIME, Event::Stop(server));
                }
            }
            Event::Stop(server) => self.stop_server(server, now),
            Event::CrashServers(share) => {
                for server in 0..self.servers.len() {
                    if self.servers[server].up && self.rng.f64() < share {
                        self.stop_server(server, now + ENTRY_LAPSE);
                        if self.rng.f64() < 0.8 {
                            let software = self.servers[server].release.software.to_string();
                            let number = software[1..].parse().unwrap();
                            self.plan(now + 2000, Event::Start(number));
                        }
                    }
                }
            }
            Event::Break(share) => {
                for stream in 0..self.streams.len() {
                    if self.rng.f64() < share {
                        // The caller's connection is lost, or the server's.
                        match self.rng.bool() {
                            true => self.break_off(stream),
                            false => self.resume_within(stream),
                        }
                    }
                }
            }
            Event::KillGateways(share) => {
                for gateway in 0..self.gateways.len() {
                    if self.rng.f64() < share {
                        self.gateways[gateway].restart(now + RESTART_TIME);
                        self.break_off_at(gateway);
                    }
                }
            }
            Event::Freeze(share, length) => self.disturb(share, now + length, |it, until| {
                it.frozen_until = until;
            }),
            Event::CutStore(share, length) => self.disturb(share, now + length, |it, until| {
                it.store_cut_until = until;
            }),
            Event::CutPeers(share, length) => self.disturb(share, now + length, |it, until| {
                it.peers_cut_until = until;
            }),
            Event::StoreDown(length) => {
                self.store.down_until = now + length;
                self.store.disturbed_until = self.store.disturbed_until.max(now + length);
            }
            Event::StoreFromCopy(age) => {
                let from = now.saturating_sub(age);
                let mut copies = self.store.copies.iter().rev();
                let copy = copies.find(|(at, _)| *at <= from);
                self.store.record = copy.map_or_else(Vec::new, |(_, record)| record.clone());
                self.store.era += 1;
                self.store.disturbed_until = self.store.disturbed_until.max(now);
            }
        }
    }

    fn disturb(&mut self, share: f64, until: u64, set: impl Fn(&mut Gateway, u64)) {
        for gateway in &mut self.gateways {
            if self.rng.f64() < share {
                set(gateway, until);
                gateway.disturbed_until = gateway.disturbed_until.max(until);
            }
        }
    }

    fn stop_server(&mut self, server: usize, listed_until: u64) {
        self.servers[server].up = false;
        self.servers[server].listed_until = listed_until;
        for stream in 0..self.streams.len() {
            if matches!(self.streams[stream].state, State::Running { server: at, .. } if at == server)
            {
                self.resume_within(stream);
            }
        }
    }

    fn break_off_at(&mut self, gateway: usize) {
        for stream in 0..self.streams.len() {
            if matches!(self.streams[stream].state, State::Running { gateway: at, .. } if at == gateway)
            {
                self.break_off(stream);
            }
        }
    }

    fn break_off(&mut self, stream: usize) {
        let retry_at = self.now + self.rng.u64(20..800);
        self.streams[stream].state = State::Broken { retry_at };
    }

    fn reaches_store(&self, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.runs(self.now) && self.now >= self.store.down_until.max(gateway.store_cut_until)
    }

    fn is_in_touch(&self, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        let calm_from = gateway.disturbed_until.max(self.store.disturbed_until);
        gateway.runs(self.now) && self.now >= calm_from + SETTLE_TIME
    }

    fn is_in_touch_with(&self, release: &Release) -> bool {
        let settled = self.servers.iter().filter(|it| {
            it.release == *release
                && it.up
                && it.takes_work
                && self.now >= it.listed_from + SETTLE_TIME
        });
        settled.count() >= 2
    }

    /// A server that a gateway lists, that `admits` and that lives.
    fn pick_server(&mut self, gateway: usize, admits: impl Fn(&Release) -> bool) -> Option<usize> {
        let listed = &self.gateways[gateway].listed;
        let eligible: Vec<_> = listed
            .iter()
            .copied()
            .filter(|it| self.servers[*it].up && admits(&self.servers[*it].release))
            .collect();
        self.rng.choice(eligible)
    }

    fn begin_stream(&mut self) {
        let gateway = self.rng.usize(0..self.gateways.len());
        if !self.gateways[gateway].runs(self.now) {
            return;
        }
        let (era, now) = (self.gateways[gateway].era, time(self.now));
        let unrecorded = self.fault == Fault::Unrecorded;
        let recorded: Vec<Release> = (0..4)
            .map(version)
            .filter(|it| {
                let releases = &self.gateways[gateway].releases;
                unrecorded || releases.is_recorded(it, era, now)
            })
            .collect();
        let counts = self.is_in_touch(gateway);
        self.counts.new += u32::from(counts);
        let tried = self.pick_server(gateway, |it| recorded.contains(it));
        let fails_first = self.rng.f64() < 0.1;
        let server = match fails_first {
            true => self.pick_server(gateway, |it| recorded.contains(it)),
            false => tried,
        };
        let (Some(tried), Some(server)) = (tried, server) else {
            return;
        };
        self.counts.begun += u32::from(counts);
        self.started += 1;
        let id = self.started;
        let began = self.servers[server].release.clone();
        let noted = match self.fault {
            Fault::FirstTried => self.servers[tried].release.clone(),
            _ => began.clone(),
        };
        let origins = &mut self.gateways[gateway].origins;
        origins.record_begun(id, &SERVICE.into(), Some(noted), now);
        let ends_at = self.now + self.rng.u64(200..6000);
        self.streams.push(Stream {
            id,
            began,
            ends_at,
            resumes: 0,
            taken_up: false,
            gone_on: false,
            state: State::Running { gateway, server },
        });
    }

    /// Resumes a stream within its response, at a server of the release that began it.
    fn resume_within(&mut self, stream: usize) {
        let State::Running { gateway, .. } = self.streams[stream].state else {
            return;
        };
        let note = self.gateways[gateway].origins.note(self.streams[stream].id);
        let release = note.and_then(|note| note.release);
        let server = release.and_then(|release| self.pick_server(gateway, |it| *it == release));
        match server {
            Some(server) if self.gateways[gateway].runs(self.now) => {
                self.go_on(stream, gateway, server, "within the response");
            }
            _ => self.break_off(stream),
        }
    }

    fn go_on(&mut self, stream: usize, gateway: usize, server: usize, by: &str) {
        let began = &self.streams[stream].began;
        let now = &self.servers[server].release;
        if now != began {
            let (at, from, to) = (self.now, &began.software, &now.software);
            let mixed = format!("{at} ms: a stream of {from} is resumed at {to}, {by}");
            self.counts.mixed.push(mixed);
        }
        self.streams[stream].state = State::Running { gateway, server };
    }

    /// A caller takes a broken stream up again at some gateway.
    fn take_up(&mut self, stream: usize) {
        let gateway = self.rng.usize(0..self.gateways.len());
        self.streams[stream].resumes += 1;
        if !self.gateways[gateway].runs(self.now) {
            return self.break_off(stream);
        }
        let began = self.streams[stream].began.clone();
        let counts = self.is_in_touch(gateway) && self.is_in_touch_with(&began);
        if counts && !std::mem::replace(&mut self.streams[stream].taken_up, true) {
            self.counts.taken_up += 1;
        }
        let origin = self.find(gateway, self.streams[stream].id);
        let origin = match (self.fault, origin) {
            (Fault::OnlyListed, Origin::Lost | Origin::Unknown) => self.only_listed(gateway),
            (Fault::Newest, Origin::Lost | Origin::Unknown) => self.newest(gateway),
            (_, origin) => origin,
        };
        match origin {
            Origin::Release(release) => {
                let server = self.pick_server(gateway, |it| *it == release);
                let Some(server) = server else {
                    return self.break_off(stream);
                };
                if counts && !std::mem::replace(&mut self.streams[stream].gone_on, true) {
                    self.counts.gone_on += 1;
                }
                self.go_on(stream, gateway, server, "taken up again");
            }
            Origin::NotBegun | Origin::Lost => self.streams[stream].resumes = MAX_RESUMES,
            Origin::Unknown => self.break_off(stream),
        }
    }

    fn only_listed(&self, gateway: usize) -> Origin {
        let listed = &self.gateways[gateway].listed;
        let mut releases: Vec<_> = listed.iter().map(|it| &self.servers[*it].release).collect();
        releases.dedup();
        match releases[..] {
            [only] => Origin::Release(only.clone()),
            _ => Origin::Lost,
        }
    }

    fn newest(&self, gateway: usize) -> Origin {
        let listed = &self.gateways[gateway].listed;
        let newest = listed.iter().map(|it| &self.servers[*it].release).max();
        newest.cloned().map_or(Origin::Lost, Origin::Release)
    }

    fn find(&mut self, gateway: usize, stream: u64) -> Origin {
        let own = self.gateways[gateway].origins.note(stream);
        let ranked = self.ranked(gateway, stream);
        let is_mixed = self.gateways[gateway].releases.is_mixed(SERVICE);
        let mut search = Search::new(own, ranked, is_mixed);
        loop {
            match search.next_step() {
                Step::ReadRecord => search.add_record(self.read_record(gateway)),
                Step::Ask(peers) => {
                    for peer in peers {
                        let answers = self.answers(gateway, peer);
                        let note = answers.then(|| self.gateways[peer].origins.note(stream));
                        search.add_answer(note);
                    }
                }
                Step::Done(origin, _) => return origin,
            }
        }
    }

    fn ranked(&self, gateway: usize, stream: u64) -> Vec<usize> {
        let name = |index: usize| format!("vm-{index}/{}", self.gateways[index].starts);
        let names: Vec<String> = (0..self.gateways.len()).map(name).collect();
        let all = names.iter().enumerate();
        let all = all.map(|(index, name)| (name.as_str(), index));
        stream_origins::rank(stream, &names[gateway], all)
    }

    fn answers(&self, gateway: usize, peer: usize) -> bool {
        let is_cut = |it: usize| self.now < self.gateways[it].peers_cut_until;
        self.gateways[peer].runs(self.now) && !is_cut(gateway) && !is_cut(peer)
    }

    /// The only release that the record names; `None` when the store can't be reached.
    fn read_record(&mut self, gateway: usize) -> Option<Option<Release>> {
        if !self.reaches_store(gateway) {
            return None;
        }
        let (era, now) = (self.store.era, time(self.now));
        let gateway = &mut self.gateways[gateway];
        gateway.era = era;
        gateway.releases.record_read(&self.store.record, era, now);
        // No era but the first is older than a minute on these days.
        if era > 0 && self.fault != Fault::ForgetfulStore {
            return Some(None);
        }
        Some(releases::only_release(
            &self.store.record,
            &[SERVICE.into()],
        ))
    }

    /// A gateway reads the list of servers and records releases that the record lacks.
    fn sync(&mut self, gateway: usize) {
        if !self.reaches_store(gateway) {
            return;
        }
        let (now, era) = (self.now, self.store.era);
        let it = &mut self.gateways[gateway];
        if now >= it.next_list {
            it.next_list = now + self.rng.u64(20..400);
            it.era = era;
            let listed = self.servers.iter().enumerate();
            let listed: Vec<_> = listed.filter(|(_, it)| it.is_listed(now)).collect();
            let released = listed.iter().map(|(_, server)| server.release.clone());
            it.releases.record_listed(released, time(now));
            let ready = listed.iter().filter(|(_, server)| server.takes_work);
            it.listed = ready.map(|(number, _)| *number).collect();
        }
        if it.releases.unrecorded(it.era, time(now)).is_empty() {
            it.record_at = None;
            return;
        }
        let record_at = *it.record_at.get_or_insert(now + self.rng.u64(10..100));
        if now >= record_at {
            it.record_at = None;
            it.era = era;
            it.releases.record_read(&self.store.record, era, time(now));
            let missing = it.releases.unrecorded(era, time(now));
            it.releases.record_written(&missing, era);
            let record = &mut self.store.record;
            record.retain(|recorded| !missing.contains(&recorded.release));
            record.extend(missing.into_iter().map(|release| Recorded {
                release,
                is_closing: false,
            }));
        }
    }

    fn copy_notes(&mut self, gateway: usize) {
        let it = &mut self.gateways[gateway];
        if !it.runs(self.now) || self.fault == Fault::NoCopies {
            return;
        }
        let releases = &it.releases;
        let notes = it
            .origins
            .take_uncopied(60, |service| releases.is_mixed(service));
        for note in notes {
            let ranked = self.ranked(gateway, note.stream);
            let answering = ranked.into_iter().filter(|it| self.answers(gateway, *it));
            let holders: Vec<_> = answering.take(stream_origins::COPIES).collect();
            for holder in holders {
                let origins = &mut self.gateways[holder].origins;
                origins.merge(std::slice::from_ref(&note), time(self.now));
            }
        }
    }

    fn step(&mut self) {
        for event in self.events.remove(&self.now).unwrap_or_default() {
            self.happen(event);
        }
        let copied = self.store.record.clone();
        self.store.copies.push((self.now, copied));
        for gateway in 0..self.gateways.len() {
            self.sync(gateway);
            if self.now.is_multiple_of(COPY_INTERVAL) {
                self.copy_notes(gateway);
            }
        }
        if self.now > 1000 {
            self.begin_stream();
        }
        for stream in 0..self.streams.len() {
            let due = matches!(self.streams[stream].state, State::Broken { retry_at } if self.now >= retry_at);
            if due {
                self.take_up(stream);
            }
        }
        let now = self.now;
        self.streams.retain(|it| match it.state {
            State::Running { .. } => now < it.ends_at,
            State::Broken { .. } => it.resumes < MAX_RESUMES,
        });
        self.now += STEP;
    }
}

fn play(seed: u64, fault: Fault) -> Result<Counts, String> {
    play_world(World::random(seed, fault)).map_err(|story| format!("seed {seed}: {story}"))
}

/// Plays a day on which a release serves for two seconds while the store is away, or just before it comes
/// back from a copy, and all gateways are killed.
fn play_short_release(seed: u64, fault: Fault, from_copy: bool) -> Result<Counts, String> {
    let rng = fastrand::Rng::with_seed(seed);
    let mut world = World::calm(rng, 4, 4, fault);
    let (starts, ends) = (10_000, 13_000);
    world.plan(starts, Event::Start(1));
    world.plan(starts, Event::Start(1));
    match from_copy {
        true => world.plan(ends, Event::StoreFromCopy(4000)),
        false => {
            // Between a read of the list and the write of the record, for some gateways.
            let away_from = starts + 100 + seed * 20 % 300;
            world.plan(away_from, Event::StoreDown(ends - away_from));
        }
    }
    world.plan(ends, Event::Stop(4));
    world.plan(ends, Event::Stop(5));
    world.plan(ends, Event::KillGateways(1.0));
    play_world(world)
}

fn play_world(mut world: World) -> Result<Counts, String> {
    while world.now < DAY {
        world.step();
    }
    let counts = world.counts;
    if counts.mixed.len() > MAX_MIXED {
        return Err(format!("ORDER: {:?}", counts.mixed));
    }
    // The platform requires half of the share of new streams that begin.
    let (gone_on, taken_up) = (f64::from(counts.gone_on), f64::from(counts.taken_up));
    let begun = f64::from(counts.begun) / f64::from(counts.new.max(1));
    if counts.taken_up >= MIN_TAKEN_UP && gone_on / taken_up < begun / 2.0 {
        return Err(format!("LOST: {counts:?}"));
    }
    Ok(counts)
}

#[test]
fn streams_go_on_and_only_at_the_release_that_began_them() {
    common::seeds::play("STREAM_RELEASES", "0..60", |seed| {
        play(seed, Fault::None).map(|counts| {
            if std::env::var("STREAM_RELEASES").is_ok() {
                let Counts {
                    new,
                    begun,
                    taken_up,
                    gone_on,
                    ..
                } = counts;
                println!("seed {seed}: {begun} of {new} begun, {gone_on} of {taken_up} gone on");
            }
        })
    });
}

#[test]
fn a_release_that_serves_only_while_the_store_forgets_or_is_away_is_not_mistaken() {
    for (fault, from_copy) in [(Fault::Unrecorded, false), (Fault::ForgetfulStore, true)] {
        let mixes = |seed, fault| {
            let played = play_short_release(seed, fault, from_copy);
            played.is_err_and(|story| story.contains("ORDER"))
        };
        assert!((0..20).all(|seed| !mixes(seed, Fault::None)), "{fault:?}");
        assert!((0..20).any(|seed| mixes(seed, fault)), "{fault:?}");
    }
}

#[test]
fn each_fault_of_the_gateways_is_detected() {
    let faults = [
        (Fault::OnlyListed, "ORDER"),
        (Fault::Newest, "ORDER"),
        (Fault::FirstTried, "ORDER"),
        (Fault::NoCopies, "LOST"),
    ];
    for (fault, rule) in faults {
        let mut failed = (0..100).filter_map(|seed| play(seed, fault).err());
        assert!(failed.any(|story| story.contains(rule)), "{fault:?}");
    }
}

#[test]
fn streams_begin_through_a_long_outage_of_the_store_and_never_at_a_release_that_may_be_closed() {
    let hours = |count: u64| Duration::from_secs(count * 3600);
    let (mut known, old) = (Releases::default(), version(0));
    known.record_listed([old.clone()], Duration::ZERO);
    known.record_written(std::slice::from_ref(&old), 0);
    assert!(known.is_recorded(&old, 0, hours(1)));
    assert!(known.unused(hours(3)).is_empty());
    assert!(!known.is_recorded(&old, 0, hours(3)));
    assert_eq!(known.unused(releases::CLOSE_AFTER), vec![old.clone()]);
    // A server of the release is back: its record must be seen or written anew first.
    known.record_listed([old.clone()], hours(5));
    assert!(!known.is_recorded(&old, 0, hours(5)));
    assert_eq!(known.unrecorded(0, hours(5)), vec![old.clone()]);
    let closing = Recorded {
        release: old.clone(),
        is_closing: true,
    };
    known.record_read(&[closing], 0, hours(5));
    assert_eq!(known.unrecorded(0, hours(5)), [old]);
}
