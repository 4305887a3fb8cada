//! Faults and planned work of the simulation: cuts, losses of power and disks, replacements.

use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Event;
use rand::Rng;

use super::CATCH_UP_MS;
use super::Disk;
use super::NODE_COUNT;
use super::Node;
use super::PendingCall;
use super::Simulation;

/// Longest time that a shutdown takes.
pub const STOP_MS: u64 = 2_000;

impl Simulation {
    pub fn cut(&mut self, index: usize, length_ms: u64) {
        self.trace
            .push(format!("{} node {index} cut for {length_ms} ms", self.now));
        self.nodes[index].cut_until = self.now + length_ms;
    }

    /// Makes the disk of a node refuse every write.
    pub fn fill_disk(&mut self, index: usize, length_ms: u64) {
        self.trace.push(format!(
            "{} disk of node {index} full for {length_ms} ms",
            self.now
        ));
        self.nodes[index].full_until = self.now + length_ms;
    }

    /// Starts a further node, at a new address and with an empty disk.
    pub fn add_node(&mut self) {
        let index = self.nodes.len();
        self.trace.push(format!("{} node {index} added", self.now));
        let mut node = Node::new(index);
        node.lost_until = self.now + CATCH_UP_MS;
        self.nodes.push(node);
        self.start(index, false);
    }

    /// Orders a node to shut down for good. It ends by itself.
    pub fn stop(&mut self, index: usize) {
        self.trace.push(format!("{} node {index} stops", self.now));
        self.nodes[index].is_stopping = true;
        self.nodes[index].lost_until = self.now + STOP_MS;
        self.step(index, Event::Shutdown);
    }

    /// Ends a node for good.
    pub fn end(&mut self, index: usize) {
        if self.nodes[index].has_ended() {
            return;
        }
        self.trace.push(format!("{} node {index} ends", self.now));
        self.power_off(index, 0, false);
        self.nodes[index].starts_at = u64::MAX;
        self.nodes[index].lost_until = 0;
    }

    /// Does what the daemon does while it shuts down: it tells the leader until that agrees, or the time is up.
    pub fn announce_departures(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let Some(core) = node.core.as_ref().filter(|_| node.is_stopping) else {
                continue;
            };
            if node.lost_until <= self.now {
                self.end(index);
                continue;
            }
            if !self.now.is_multiple_of(60) {
                continue;
            }
            let identity = core.node().id().to_owned();
            let leader = core.node().leader().map(str::to_owned);
            let known =
                |n: &Node| leader.is_some() && n.core.as_ref().map(|c| c.node().id()) == leader.as_deref();
            if let Some(leader) = self.nodes.iter().position(known) {
                let pending = PendingCall::Depart(index);
                self.call(leader, pending, Call::Depart { identity });
            }
        }
    }

    /// Number of nodes that are off or have not had time to catch up.
    pub fn lost_nodes(&self) -> usize {
        self.nodes.iter().filter(|n| n.lost_until > self.now).count()
    }

    pub fn power_off(&mut self, index: usize, off_ms: u64, is_wiped: bool) {
        self.trace.push(format!(
            "{} node {index} off for {off_ms} ms, disk wiped: {is_wiped}",
            self.now
        ));
        let node = &mut self.nodes[index];
        node.core = None;
        node.unsaved.clear();
        node.mailbox.clear();
        node.starts_at = self.now + off_ms;
        node.lost_until = self.now + off_ms + CATCH_UP_MS;
        if is_wiped {
            node.disk = Disk::default();
        }
        self.pending_calls.retain(|_, (at, _)| *at != index);
    }

    pub fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.015) || self.lost_nodes() >= 2 {
            return;
        }
        let index = self.rng.random_range(0..NODE_COUNT);
        if self.nodes[index].lost_until > self.now {
            return;
        }
        let off_ms = self.rng.random_range(50..7_000);
        let is_wiped = self.rng.random_bool(0.5);
        self.power_off(index, off_ms, is_wiped);
    }

    /// Cuts the power of all nodes right after an acknowledgement, and wipes the disks of two, or of as
    /// many fewer as are lost already.
    pub fn inject_final_fault(&mut self) {
        let before = self.acknowledged;
        let until = self.now + 12_000;
        while self.acknowledged == before {
            assert!(
                self.now < until,
                "no change was accepted before the final fault: {:#?}",
                self.trace
            );
            self.advance();
        }
        for node in &self.nodes {
            if let Some(core) = &node.core {
                let (voters, learners) = core.node().journal().members();
                let line = format!(
                    "{} knows voters {voters:?} learners {learners:?}",
                    core.node().id()
                );
                self.trace.push(line);
            }
        }
        let is_counted = |i: &usize| self.nodes[*i].lost_until <= self.now && !self.nodes[*i].has_ended();
        let counted: Vec<usize> = (0..self.nodes.len()).filter(is_counted).collect();
        let first = self.rng.random_range(0..counted.len());
        let second = (first + self.rng.random_range(1..counted.len())) % counted.len();
        let wiped_count = 2_usize.saturating_sub(self.lost_nodes());
        let wiped = &[counted[first], counted[second]][..wiped_count];
        for index in (0..self.nodes.len())
            .filter(|i| !self.nodes[*i].has_ended())
            .collect::<Vec<_>>()
        {
            self.power_off(index, 1_000, wiped.contains(&index));
        }
    }
}
