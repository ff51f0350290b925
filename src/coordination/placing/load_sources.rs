//! Carriers to whose loads a gateway subscribes, and which of their loads it takes.
//!
//! It subscribes at the VMs of the engines of the services that it sends requests to. A load counts
//! only when it comes from one of these VMs and names a backend server that is listed there.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::{
    coordination::rendezvous,
    state::{name, server},
};

/// Maximum number of carriers at a time. At 4 datagrams a second each, 512 arrive.
pub const MAX_SOURCES: usize = 128;

/// Interval at which a subscription is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Time after the last request to a service for which its loads are subscribed to.
const SERVICE_TIME: Duration = Duration::from_secs(30);

/// Why a load is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It comes from an address at which this gateway did not subscribe.
    UnknownSender,
    /// No backend server is listed at the address that it names.
    Unlisted,
    /// It is of a process that ran before the one that is listed.
    FormerProcess,
}

#[derive(Debug, Default)]
struct Source {
    /// Time at which the subscription is due.
    renew_at: Duration,
    /// Listed servers of the VM.
    servers: Vec<Arc<server::Server>>,
}

/// Carriers of the services in use, by the IP address of their VM.
#[derive(Debug, Default)]
pub struct LoadSources {
    services: HashMap<name::Name, Duration>,
    sources: HashMap<IpAddr, Source>,
}

impl LoadSources {
    /// Notes that a request is sent to a service.
    pub fn record_use(&mut self, service: &name::Name, now: Duration) {
        match self.services.get_mut(service) {
            Some(used_at) => *used_at = now,
            None => {
                self.services.insert(service.clone(), now);
            }
        }
    }

    /// Whether a service was used recently.
    pub fn uses(&self, service: &str, now: Duration) -> bool {
        let used_at = self.services.get(service);
        used_at.is_some_and(|used_at| now < *used_at + SERVICE_TIME)
    }

    /// Chooses the carriers among the VMs of `servers`, the listed engines of the services in use.
    /// `key` is a random number of the gateway, so that gateways choose different ones when there are
    /// more than [`MAX_SOURCES`].
    ///
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use fulmarproxy::{coordination::placing::load_sources::LoadSources, state::server};
    /// let server = Arc::new(server::Server {
    ///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 5,
    /// });
    /// let (mut sources, now) = (LoadSources::default(), Duration::from_secs(9));
    /// sources.update(vec![server], 3, now);
    /// let vm = "10.0.0.1".parse().unwrap();
    /// assert_eq!(sources.take_due(now), [vm]);
    /// assert!(sources.take_due(now).is_empty());
    /// assert!(sources.server(vm, 80, 5).is_ok());
    /// ```
    pub fn update(&mut self, servers: Vec<Arc<server::Server>>, key: u64, now: Duration) {
        self.services.retain(|_, at| now < *at + SERVICE_TIME);
        let mut by_vm: HashMap<IpAddr, Vec<Arc<server::Server>>> = HashMap::new();
        for server in servers {
            by_vm.entry(server.address.ip()).or_default().push(server);
        }
        let mut ranked: Vec<_> = by_vm.into_iter().collect();
        if ranked.len() > MAX_SOURCES {
            let weight = |server: &Arc<server::Server>| rendezvous::weight(&server.id, key);
            ranked.sort_by_cached_key(|(ip, servers)| {
                (Reverse(servers.iter().map(weight).max()), *ip)
            });
            ranked.truncate(MAX_SOURCES);
        }
        let mut known = std::mem::take(&mut self.sources);
        for (ip, servers) in ranked {
            let renew_at = known.remove(&ip).map_or(now, |source| source.renew_at);
            self.sources.insert(ip, Source { renew_at, servers });
        }
    }

    /// Number of carriers at which this gateway subscribes.
    pub fn count(&self) -> usize {
        self.sources.len()
    }

    /// Listed servers of the VMs at which this gateway subscribes.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<server::Server>> {
        self.sources.values().flat_map(|source| &source.servers)
    }

    /// Takes the VMs at which a subscription is due, and notes that it was sent.
    pub fn take_due(&mut self, now: Duration) -> Vec<IpAddr> {
        let mut due = Vec::new();
        for (ip, source) in &mut self.sources {
            if now >= source.renew_at {
                source.renew_at = now + RENEW_INTERVAL;
                due.push(*ip);
            }
        }
        due
    }

    /// The backend server to which a load belongs that came from the VM at `ip`, of a process that
    /// listens at `port` and started at `started_unix_ms` (0 when not known).
    ///
    /// # Errors
    ///
    /// [`Unusable`] names the reason why the load is not taken.
    pub fn server(
        &self,
        ip: IpAddr,
        port: u16,
        started_unix_ms: u64,
    ) -> Result<&Arc<server::Server>, Unusable> {
        let source = self.sources.get(&ip).ok_or(Unusable::UnknownSender)?;
        let address = SocketAddr::new(ip, port);
        let servers = source.servers.iter();
        // A former process may still be listed at the same address.
        let matching = servers.filter(|server| server.address == address);
        let is_same = |server: &Arc<server::Server>| {
            let listed = server.started_unix_ms;
            listed == started_unix_ms || listed == 0 || started_unix_ms == 0
        };
        let best = matching.max_by_key(|server| (is_same(server), server.started_unix_ms));
        let best = best.ok_or(Unusable::Unlisted)?;
        match is_same(best) || started_unix_ms > best.started_unix_ms {
            true => Ok(best),
            false => Err(Unusable::FormerProcess),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn engine(id: &str, address: &str, started_unix_ms: u64) -> Arc<server::Server> {
        Arc::new(server::Server {
            id: id.into(),
            service: "s".into(),
            address: address.parse().unwrap(),
            zone: "a".into(),
            software: "v1".into(),
            slots: 8,
            takes_work: true,
            started_unix_ms,
        })
    }

    /// Guards against loads that count for another server or process, or come from elsewhere.
    #[test]
    fn a_load_counts_for_the_listed_server_of_its_vm_only() {
        let mut sources = LoadSources::default();
        let listed = [
            engine("old", "10.0.0.1:80", 5),
            engine("new", "10.0.0.1:80", 9),
            engine("b", "10.0.0.2:80", 0),
        ];
        sources.update(listed.to_vec(), 1, Duration::ZERO);
        let [a, b, c] = ["10.0.0.1", "10.0.0.2", "10.0.0.3"].map(|ip| ip.parse().unwrap());
        let id = |ip, port, started| {
            sources
                .server(ip, port, started)
                .map(|it| it.id.to_string())
        };
        assert_eq!(id(a, 80, 5), Ok("old".to_owned()));
        assert_eq!(id(a, 80, 9), Ok("new".to_owned()));
        assert_eq!(id(a, 80, 11), Ok("new".to_owned()), "the list is late");
        assert_eq!(id(a, 80, 3), Err(Unusable::FormerProcess));
        assert_eq!(id(a, 81, 9), Err(Unusable::Unlisted));
        assert_eq!(id(b, 80, 3), Ok("b".to_owned()));
        assert_eq!(id(c, 80, 3), Err(Unusable::UnknownSender));
    }

    /// Guards against more subscriptions than a gateway can afford, and against all gateways choosing
    /// the same carriers.
    #[test]
    fn carriers_are_bounded_and_differ_between_gateways() {
        let engines: Vec<_> = (0..1000)
            .map(|n| {
                engine(
                    &format!("i-{n}"),
                    &format!("10.0.{}.{}:80", n / 250, n % 250),
                    1,
                )
            })
            .collect();
        let chosen = |key| {
            let mut sources = LoadSources::default();
            sources.update(engines.clone(), key, Duration::ZERO);
            let mut due = sources.take_due(Duration::ZERO);
            due.sort();
            due
        };
        assert_eq!(chosen(1).len(), MAX_SOURCES);
        assert_eq!(chosen(1), chosen(1));
        assert_ne!(chosen(1), chosen(2));
    }

    /// Guards against subscriptions for services that this gateway does not use any more, and against a
    /// renewal for each update of the list.
    #[test]
    fn services_are_used_for_a_while_and_renewals_keep_their_times() {
        let (mut sources, at) = (LoadSources::default(), Duration::from_secs);
        sources.record_use(&"s".into(), at(10));
        assert!(
            sources.uses("s", at(39)) && !sources.uses("s", at(40)) && !sources.uses("t", at(10))
        );
        let engines = vec![engine("a", "10.0.0.1:80", 5)];
        let due = (10..19).map(|now| {
            sources.update(engines.clone(), 1, at(now));
            sources.take_due(at(now)).len()
        });
        assert_eq!(due.sum::<usize>(), 3);
    }
}
