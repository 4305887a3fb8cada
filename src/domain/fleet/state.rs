//! Replicated state machine of the fleet controllers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use super::Target;
use crate::domain::catalog::Compressed;
use crate::domain::catalog::Definition;

/// Prompt parts in quarantine; the oldest is released for a further one.
const MAX_QUARANTINED: usize = 64;
/// VMs that have shut down, and VMs that drain; the oldest is forgotten for a further one.
const MAX_DEPARTED: usize = 1_024;

/// One version of the catalog, as the operator's text and as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Version of the catalog.
    pub version: u64,
    /// Text as the operator sent it, returned to reads.
    pub text: Compressed,
    /// JSON of the decoded catalog.
    pub raw: Compressed,
}

impl Document {
    /// Document from an operator's text and the catalog decoded from it.
    pub fn new(text: &str, definition: &Definition) -> Self {
        let json = serde_json::to_string(definition).expect("catalogs have string keys");
        Document {
            version: definition.version,
            text: Compressed::new(text),
            raw: Compressed::new(&json),
        }
    }
}

/// VM as a member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identifier of the VM.
    pub id: String,
    /// Incarnation of the VM when the group was formed.
    pub incarnation: u64,
    /// Address that accepts requests and orders.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the first heartbeat that may show the VM in the group; earlier ones are out of date. Groups of earlier
    /// versions have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_sequence: Option<u64>,
}

/// Group of VMs that serve one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Log index of the formation; identifies the group, and is higher for a later one.
    pub epoch: u64,
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Members, the head first.
    pub members: Vec<Member>,
    /// Whether the head has reported that it accepts requests.
    pub opened: bool,
    /// Whether the group gets no new requests and will be dissolved.
    pub closing: bool,
}

impl Group {
    /// First member, which accepts the requests.
    pub fn head(&self) -> &Member {
        &self.members[0]
    }
}

/// Logged command that changes the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Put a catalog in force unless the version in force is the same or higher.
    Adopt(Box<Document>),
    /// Take an availability zone out of service or back in.
    SetZone {
        /// Availability zone.
        zone: String,
        /// Whether the zone is out of service.
        out: bool,
    },
    /// Form a group.
    Form {
        /// Service.
        service: String,
        /// Model.
        model: String,
        /// Members, the head first.
        members: Vec<Member>,
    },
    /// Record that requests have arrived; from then on, loads from the weight store are limited.
    Serve,
    /// Record that the head of a group accepts requests.
    Open {
        /// Epoch of the group.
        epoch: u64,
        /// Number of the latest heartbeat of each member that shows it in the group. Earlier versions ignore it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        sequences: Vec<Option<u64>>,
    },
    /// Send no more requests to a group.
    Close {
        /// Epoch of the group.
        epoch: u64,
    },
    /// Send requests to a VM of a service without groups.
    List(Box<Target>),
    /// Send no more requests to a VM of a service without groups.
    Unlist {
        /// Identifier of the VM.
        id: String,
        /// Incarnation, if the VM has shut down; it may be of any service then. Earlier versions ignore it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        left: Option<u64>,
        /// Incarnation and number of the heartbeat by which the VM has said that it drains, if it has. Earlier versions
        /// ignore it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        draining: Option<(u64, u64)>,
    },
    /// Dissolve a group whose head accepts no more requests.
    Dissolve {
        /// Epoch of the group.
        epoch: u64,
    },
    /// Send no more requests with a prompt part.
    Quarantine {
        /// Identifier of the prompt part.
        part: String,
    },
    /// Send requests with a prompt part again.
    Release {
        /// Identifier of the prompt part.
        part: String,
    },
}

impl Command {
    /// Whether gateways must know of the change before their next poll ends, and no change of the targets
    /// or of the catalog tells them.
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            Command::SetZone { .. } | Command::Quarantine { .. } | Command::Release { .. }
        )
    }
}

/// Replicated state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Log index of the last applied command.
    pub index: u64,
    /// Catalog in force.
    pub document: Option<Document>,
    /// Decoded form of `document`; rebuilt after a restore instead of stored.
    #[serde(skip)]
    pub catalog: Option<Definition>,
    /// Availability zones that are out of service.
    pub zones_out: BTreeSet<String>,
    /// Groups by epoch.
    pub groups: BTreeMap<u64, Group>,
    /// Whether requests have ever arrived.
    pub has_traffic: bool,
    /// VMs that accept requests on their own, of services without groups, by identifier.
    pub listed: BTreeMap<String, Target>,
    /// Prompt parts in quarantine, with the log index of the decision; earlier versions' snapshots have
    /// none.
    #[serde(default)]
    pub quarantined: BTreeMap<String, u64>,
    /// Incarnation of VMs that have shut down, with the log index of the record; earlier versions' snapshots
    /// have none.
    #[serde(default)]
    pub departed: BTreeMap<String, (u64, u64)>,
    /// Incarnation and number of the first heartbeat of VMs that drain, with the log index of the record; earlier
    /// versions' snapshots have none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub draining: BTreeMap<String, ((u64, u64), u64)>,
    /// Epoch of the group of each member, by VM; rebuilt after a restore instead of stored.
    #[serde(skip)]
    epochs_by_vm: HashMap<String, u64>,
}

impl State {
    /// Version of the catalog in force.
    pub fn version(&self) -> Option<u64> {
        self.document.as_ref().map(|d| d.version)
    }

    /// Group that a VM is a member of.
    pub fn group_of(&self, vm: &str) -> Option<&Group> {
        self.groups.get(self.epochs_by_vm.get(vm)?)
    }

    /// Applies the command at log index `index`.
    ///
    /// # Panics
    ///
    /// When `index` is not higher than the last applied one.
    pub fn apply(&mut self, index: u64, command: &Command) {
        assert!(index > self.index, "commands apply in order");
        self.index = index;
        match command {
            Command::Adopt(document) => {
                if Some(document.version) > self.version() {
                    self.document = Some((**document).clone());
                    self.decode_catalog();
                }
            }
            Command::SetZone { zone, out } => {
                if *out {
                    self.zones_out.insert(zone.clone());
                } else {
                    self.zones_out.remove(zone);
                }
            }
            Command::Form {
                service,
                model,
                members,
            } => self.form_group(index, service, model, members),
            Command::Serve => self.has_traffic = true,
            Command::Open { epoch, sequences } => {
                if let Some(group) = self.groups.get_mut(epoch) {
                    group.opened = true;
                    for (member, sequence) in group.members.iter_mut().zip(sequences) {
                        member.first_sequence = member.first_sequence.max(*sequence);
                    }
                }
            }
            Command::Close { epoch } => {
                if let Some(group) = self.groups.get_mut(epoch) {
                    group.closing = true;
                }
            }
            Command::List(target) => {
                self.departed.remove(&target.id);
                self.draining.remove(&target.id);
                self.listed.insert(target.id.clone(), (**target).clone());
            }
            Command::Unlist { id, left, draining } => {
                self.listed.remove(id);
                if let Some(incarnation) = left {
                    insert_bounded(&mut self.departed, id, (*incarnation, index));
                }
                if let Some(heartbeat) = draining {
                    insert_bounded(&mut self.draining, id, (*heartbeat, index));
                }
            }
            Command::Dissolve { epoch } => {
                let dissolved = self.groups.remove(epoch);
                for member in dissolved.iter().flat_map(|g| &g.members) {
                    self.epochs_by_vm.remove(&member.id);
                }
            }
            Command::Quarantine { part } => self.quarantine(index, part),
            Command::Release { part } => {
                self.quarantined.remove(part);
            }
        }
    }

    /// State from a snapshot's text; an empty text gives the initial state.
    pub fn restore(text: &str) -> Self {
        if text.is_empty() {
            return State::default();
        }
        let mut state: State = serde_json::from_str(text).expect("a snapshot that was verified decodes");
        state.decode_catalog();
        for group in state.groups.values() {
            let members = group.members.iter().map(|m| (m.id.clone(), group.epoch));
            state.epochs_by_vm.extend(members);
        }
        state.assert_members_disjoint();
        state
    }

    fn decode_catalog(&mut self) {
        let decoded = self.document.as_ref().map(|d| d.raw.definition());
        self.catalog = decoded.map(|d| d.expect("a controller checked the document before it was logged"));
    }

    fn quarantine(&mut self, index: u64, part: &str) {
        self.quarantined.entry(part.to_owned()).or_insert(index);
        if self.quarantined.len() > MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, index)| **index);
            if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
                self.quarantined.remove(&oldest);
            }
        }
    }

    fn form_group(&mut self, index: u64, service: &str, model: &str, members: &[Member]) {
        // Two leaders may have claimed the same VM; the first formation in the log wins.
        let is_claimed = members.iter().any(|m| self.group_of(&m.id).is_some());
        if members.is_empty() || is_claimed {
            return;
        }
        let group = Group {
            epoch: index,
            service: service.to_owned(),
            model: model.to_owned(),
            members: members.to_vec(),
            opened: false,
            closing: false,
        };
        self.epochs_by_vm
            .extend(members.iter().map(|m| (m.id.clone(), index)));
        self.groups.insert(index, group);
        self.assert_members_disjoint();
    }

    /// Panics when a VM belongs to two groups.
    fn assert_members_disjoint(&self) {
        let members: usize = self.groups.values().map(|g| g.members.len()).sum();
        assert_eq!(members, self.epochs_by_vm.len(), "a VM belongs to two groups");
    }
}

/// Records something of a VM with its log index; the oldest record is forgotten for one beyond the limit.
fn insert_bounded<T>(records: &mut BTreeMap<String, (T, u64)>, id: &str, record: (T, u64)) {
    records.insert(id.to_owned(), record);
    if records.len() > MAX_DEPARTED {
        let oldest = records.iter().min_by_key(|(_, (_, index))| *index);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            records.remove(&oldest);
        }
    }
}
