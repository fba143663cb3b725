//! The entry hosts, and a simulated load balancer that chooses among them.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use dragonflyrill_catalogue::name::DataCentre;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;

/// The pause between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// One entry host and its state in the load balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Host {
    data_centre: DataCentre,
    addr: SocketAddr,
    /// Whether the last probe of `/readyz` succeeded.
    ready: bool,
}

/// The entry hosts of all data centres.
#[derive(Debug, Clone)]
pub struct Hosts {
    hosts: Rc<RefCell<Vec<Host>>>,
    rng: Rc<RefCell<Pcg64>>,
}

/// Entry hosts as given on the command line: `DC=IP:PORT,...`.
pub type Addresses = BTreeMap<DataCentre, Vec<SocketAddr>>;

/// Parses `DC=IP:PORT,...` and adds the entry hosts to `addresses`.
pub fn parse_entries(addresses: &mut Addresses, text: &str) -> anyhow::Result<()> {
    let expected_format =
        || format!("--entries {text:?}: must be DATA_CENTRE=IP:PORT[,IP:PORT...]");
    let (dc, list) = text.split_once('=').with_context(expected_format)?;
    let dc = DataCentre::try_from(dc).with_context(expected_format)?;
    for addr in list.split(',') {
        let addr: SocketAddr = addr.parse().with_context(expected_format)?;
        addresses.entry(dc.clone()).or_default().push(addr);
    }
    Ok(())
}

impl Hosts {
    /// The entry hosts at `addresses`, considered ready until the first probe. `seed` is the seed
    /// of the random choices.
    pub fn new(addresses: &Addresses, seed: u64) -> Self {
        let hosts = addresses
            .iter()
            .flat_map(|(dc, list)| list.iter().map(|addr| (dc.clone(), *addr)))
            .map(|(data_centre, addr)| Host {
                data_centre,
                addr,
                ready: true,
            })
            .collect();
        Self {
            hosts: Rc::new(RefCell::new(hosts)),
            rng: Rc::new(RefCell::new(Pcg64::seed_from_u64(seed))),
        }
    }

    /// Chooses a random entry host for the next attempt of a request. `tried` lists the hosts of
    /// the earlier attempts, the most recent last.
    ///
    /// The first of these groups that has a host is used: ready hosts of `data_centre` not in
    /// `tried`; ready hosts of any data centre not in `tried`; ready hosts except the most recent
    /// one; all hosts of `data_centre`; all hosts. `None` if there is no host at all.
    pub fn pick(&self, data_centre: &DataCentre, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let is_local = |h: &Host| h.data_centre == *data_centre;
        let is_ready_untried = |h: &Host| h.ready && !tried.contains(&h.addr);
        let last = tried.last();
        let choices: [&dyn Fn(&Host) -> bool; 5] = [
            &|h| is_local(h) && is_ready_untried(h),
            &|h| is_ready_untried(h),
            &|h| h.ready && Some(&h.addr) != last,
            &|h| is_local(h),
            &|_| true,
        ];
        choices.iter().find_map(|choice| {
            let found: Vec<SocketAddr> =
                hosts.iter().filter(|h| choice(h)).map(|h| h.addr).collect();
            found.choose(&mut *self.rng.borrow_mut()).copied()
        })
    }

    /// Probes every host once.
    async fn probe(&self, client: &awc::Client) {
        let addrs: Vec<SocketAddr> = self.hosts.borrow().iter().map(|h| h.addr).collect();
        let probes = addrs.iter().map(|addr| is_ready(client, *addr));
        let ready = futures_util::future::join_all(probes).await;
        for (host, ready) in self.hosts.borrow_mut().iter_mut().zip(ready) {
            host.ready = ready;
        }
    }

    /// Probes all hosts periodically. Never returns.
    pub async fn probe_loop(self, client: awc::Client) {
        loop {
            self.probe(&client).await;
            actix_rt::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

async fn is_ready(client: &awc::Client, addr: SocketAddr) -> bool {
    let req = client
        .get(format!("http://{addr}/readyz"))
        .timeout(PROBE_TIMEOUT);
    matches!(req.send().await, Ok(res) if res.status().is_success())
}
