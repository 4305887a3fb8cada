//! Digests of the controllers' relays and the overviews that answer them (long polling).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Announcement;
use super::Answer;
use super::Controller;
use super::Digest;
use super::Document;
use super::Helper;
use super::Helpers;
use super::Overview;
use super::core::Core;
use super::event::Action;
use super::event::Ticket;
use super::log_membership;

/// Time for which a controller's digest counts.
const DIGEST_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time for which the requests in progress of a digest count. Gateways turn away from a controller that
/// has stopped, and would be counted twice for so long.
const RUNNING_VALIDITY: Duration = Duration::from_millis(400);
/// Time without a digest after which a controller is forgotten, and the shares that its gateways have
/// of limits go to the others.
const PEER_EXPIRY: Duration = Duration::from_secs(20);
/// Interval of digests with few gateways; half of the interval of a gateway's reports.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of digests for each gateway, with many.
const DIGEST_INTERVAL_PER_GATEWAY: Duration = Duration::from_micros(300);
/// Largest compressed catalog that a routing table carries. For a smaller one, a separate call costs
/// more than its bytes in the table.
const MAX_INLINE_CATALOG_BYTES: usize = 8 << 10;

/// Latest digest of one controller.
pub(super) struct Peer {
    digest: Digest,
    received_at: Duration,
    /// Helpers among its gateways, as last received.
    helpers: Vec<Helper>,
}

/// Digest that waits for a change before it is answered.
pub(super) struct Poll {
    ticket: Ticket,
    /// Address of the controller.
    controller: String,
    /// Term and revision of the targets that the controller holds.
    targets: (u64, u64),
    /// Version of the catalog that the controller holds.
    version: Option<u64>,
    /// Value of [`Core::urgent_changes`] when the digest arrived.
    urgent_changes: usize,
    /// Revision of the helpers that the controller holds.
    helpers: u64,
    /// VMs whose renewals in the digest are of content that this leader lacks.
    unknown: Vec<String>,
    /// When it is answered without a change.
    deadline: Duration,
}

impl Core {
    /// Records a digest and holds its answer until something has changed.
    pub(super) fn receive_digest(&mut self, now: Duration, ticket: Ticket, mut digest: Digest) {
        for heard in std::mem::take(&mut digest.changed) {
            self.record_heartbeat(now, Duration::from_millis(heard.age_ms), heard.announcement);
        }
        let renewed = std::mem::take(&mut digest.renewed).into_iter();
        let unknown = renewed.filter(|r| !self.registry.renew(now, &r.id, r.incarnation, r.sequence));
        let unknown = unknown.map(|r| r.id).collect();
        let evidence = std::mem::take(&mut digest.evidence);
        self.quarantine.record(now, &evidence);
        self.targets_dirty |= self.limits.record(now, &std::mem::take(&mut digest.limits));
        self.polls.push(Poll {
            ticket,
            controller: digest.controller.address.clone(),
            targets: digest.targets,
            version: digest.version,
            helpers: digest.helpers,
            unknown,
            urgent_changes: self.urgent_changes,
            deadline: now + self.digest_interval(),
        });
        let address = digest.controller.address.clone();
        let new_helpers = digest.own_helpers.take();
        let has_new_helpers = new_helpers.is_some();
        let known_helpers = self
            .peers
            .get_mut(&address)
            .map(|p| std::mem::take(&mut p.helpers));
        let peer = Peer {
            received_at: now,
            digest,
            helpers: new_helpers.or(known_helpers).unwrap_or_default(),
        };
        let previous = self.peers.insert(address.clone(), peer);
        if has_new_helpers {
            self.merge_helpers();
        }
        let previous_gateways = previous.map(|p| p.digest.gateways);
        if previous_gateways.as_ref() != Some(&self.peers[&address].digest.gateways) {
            self.count_gateways();
        }
    }

    /// Forgets controllers, and with them their gateways, that have sent no digest for a long time.
    pub(super) fn expire_peers(&mut self, now: Duration) {
        let known = self.peers.len();
        self.peers.retain(|_, p| now < p.received_at + PEER_EXPIRY);
        if self.peers.len() < known {
            self.count_gateways();
            self.merge_helpers();
        }
    }

    fn merge_helpers(&mut self) {
        self.helpers = Helpers::new(self.peers.values().flat_map(|p| p.helpers.iter().cloned()));
    }

    /// Counts the gateways; one that has turned to another controller counts once.
    fn count_gateways(&mut self) {
        let gateways: BTreeSet<&String> = self.peers.values().flat_map(|p| &p.digest.gateways).collect();
        self.gateway_count = gateways.len().max(1);
    }

    /// Longest wait of a digest for a change, so the interval at which controllers without changes learn
    /// the load from each other; longer with many gateways, of which each sends a smaller part of the load.
    fn digest_interval(&self) -> Duration {
        MIN_DIGEST_INTERVAL.max(DIGEST_INTERVAL_PER_GATEWAY * self.gateway_count as u32)
    }

    /// Records a heartbeat that a controller received `age` ago.
    pub(super) fn record_heartbeat(&mut self, now: Duration, age: Duration, announcement: Announcement) {
        let id = announcement.id.clone();
        if self.has_departed(&announcement) || self.is_overtaken(now, &announcement) {
            return;
        }
        if self.displaces_vm_in_use(&announcement) {
            self.registry.record_conflict();
            return;
        }
        // After an unchanged heartbeat there is nothing to do before the next tick.
        if !self.registry.record_heartbeat(now, age, announcement) {
            return;
        }
        self.reconcile_due = true;
        if let Some(group) = self.state.group_of(&id)
            && let Some(lifecycle) = self.lifecycles.get_mut(&group.epoch)
        {
            lifecycle.allow_order_now(&id);
        }
    }

    /// Whether an earlier leader has heard a later heartbeat of the VM, as far as the log shows.
    ///
    /// The log counts as long as a registry keeps a VM that is silent: the clock of a VM may be set back.
    fn is_overtaken(&self, now: Duration, announcement: &Announcement) -> bool {
        let retention = self.timing.vm_retention();
        if self.leading_since.is_none_or(|since| now >= since + retention) {
            return false;
        }
        let id = &announcement.id;
        let group = self.state.group_of(id);
        let member = group.and_then(|g| g.members.iter().find(|m| m.id == *id));
        let listed = self.state.listed.get(id);
        let in_group = member.map(|m| (m.incarnation, m.first_sequence.unwrap_or(0)));
        let in_list = listed.map(|target| (target.incarnation, 0));
        let departed = self.departed_incarnation(id).map(|incarnation| (incarnation, 0));
        let draining = self.state.draining.get(id).map(|(heartbeat, _)| *heartbeat);
        let known = in_group.max(in_list).max(departed).max(draining);
        Some((announcement.incarnation, announcement.sequence)) < known
    }

    /// Whether a heartbeat is of a service that the catalog does not have, and would take the place of a VM
    /// of one that it has.
    fn displaces_vm_in_use(&self, announcement: &Announcement) -> bool {
        let is_known = |service: &str| {
            let mut services = self.state.catalog.iter().flat_map(|c| &c.services);
            services.any(|s| s.name == service)
        };
        let mut displaced = self.registry.displaced_by(announcement);
        !is_known(&announcement.service) && displaced.any(|vm| is_known(&vm.announcement.service))
    }

    /// Answers digests whose sender has outdated data or whose deadline has passed.
    pub(super) fn answer_polls(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.polls.is_empty() {
            return;
        }
        let leads = self.leads(now);
        let revision = self.targets.revision();
        for poll in std::mem::take(&mut self.polls) {
            if !leads {
                out.push(self.redirect(poll.ticket));
                continue;
            }
            let has_new_targets = poll.targets != revision;
            let has_new_state =
                poll.version < self.state.version() || poll.urgent_changes != self.urgent_changes;
            if has_new_targets || has_new_state || now >= poll.deadline {
                let overview = self.overview(now, &poll);
                out.push(Action::Answer(poll.ticket, Answer::Overview(Box::new(overview))));
            } else {
                self.polls.push(poll);
            }
        }
    }

    /// Overview for the controller of a poll.
    fn overview(&self, now: Duration, poll: &Poll) -> Overview {
        let mut running: BTreeMap<String, u32> = BTreeMap::new();
        let is_counted = |p: &&Peer| {
            now < p.received_at + RUNNING_VALIDITY && p.digest.controller.address != poll.controller
        };
        let others = self.peers.values().filter(is_counted);
        for (target, count) in others.flat_map(|p| &p.digest.running) {
            match running.get_mut(target) {
                Some(total) => *total += count,
                None => drop(running.insert(target.clone(), *count)),
            }
        }
        let document = self.state.document.as_ref();
        let is_inline =
            |d: &&Document| Some(d.version) > poll.version && d.raw.size() <= MAX_INLINE_CATALOG_BYTES;
        Overview {
            issues_pace_permits: false,
            revision: self.targets.revision(),
            update: self.targets.since(poll.targets),
            closed: self.closed.clone(),
            zones_out: self.state.zones_out.iter().cloned().collect(),
            catalog: document.filter(is_inline).map(|d| d.raw.clone()),
            version: self.state.version(),
            running: self.targets.in_order(&running),
            stalled: self.stalled_targets(now),
            demand: self.fresh_digests(now).flat_map(|d| d.demand.values()).sum(),
            gateways: self.gateway_count,
            controllers: self.reachable_controllers(now),
            age_ms: 0,
            suspects: self.quarantine.asked(&self.state.quarantined),
            quarantined: self.state.quarantined.keys().cloned().collect(),
            granted: BTreeMap::new(),
            helpers: (poll.helpers != self.helpers.revision).then(|| self.helpers.clone()),
            unknown: poll.unknown.clone(),
        }
    }

    /// Digests within [`DIGEST_VALIDITY`].
    pub(super) fn fresh_digests(&self, now: Duration) -> impl Iterator<Item = &Digest> {
        let fresh = self
            .peers
            .values()
            .filter(move |p| now < p.received_at + DIGEST_VALIDITY);
        fresh.map(|p| &p.digest)
    }

    /// Members of the replicated log, with the availability zone of those that send digests.
    fn reachable_controllers(&self, now: Duration) -> Vec<Controller> {
        let (voters, learners) = self.node.journal().members();
        let addresses = voters
            .iter()
            .chain(&learners)
            .map(|m| log_membership::controller_address(m));
        let controller = |address: &str| {
            let digest = self.fresh_digests(now).find(|d| d.controller.address == address);
            Controller {
                address: address.to_owned(),
                zone: digest.map(|d| d.controller.zone.clone()).unwrap_or_default(),
            }
        };
        addresses.map(controller).collect()
    }

    /// Targets that some gateway reports as stalled and none as serving.
    fn stalled_targets(&self, now: Duration) -> Vec<String> {
        let reported = self.fresh_digests(now).flat_map(|d| &d.stalled);
        let mut stalled: Vec<String> = reported.cloned().collect();
        stalled.sort_unstable();
        stalled.dedup();
        let is_served = |id: &String| self.fresh_digests(now).any(|d| d.served.get(id) == Some(&true));
        stalled.retain(|id| !is_served(id));
        stalled
    }
}
