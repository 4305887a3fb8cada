//! Replicated state and the effect of each command.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Target;
use crate::domain::catalog::Compressed;
use crate::domain::catalog::Definition;

/// Catalog in force and the text that reads return.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Version.
    pub version: u64,
    /// Text as the operator sent it.
    pub text: Compressed,
    /// JSON of the decoded document.
    pub raw: Compressed,
}

impl Document {
    /// Document from an operator's text and what was decoded from it.
    pub fn new(text: &str, raw: &Definition) -> Self {
        let json = serde_json::to_string(raw).expect("catalogs have string keys");
        Document {
            version: raw.version,
            text: Compressed::new(text),
            raw: Compressed::new(&json),
        }
    }
}

/// VM in a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identifier.
    pub id: String,
    /// Incarnation that was claimed.
    pub incarnation: u64,
    /// Address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// Group of VMs that serve one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Epoch: log index of the formation.
    pub epoch: u64,
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Members, the head first.
    pub members: Vec<Member>,
    /// Whether the head has taken requests.
    pub opened: bool,
    /// Whether the group gets no new requests and is to be dissolved.
    pub closing: bool,
}

impl Group {
    /// First member, which takes the requests.
    pub fn head(&self) -> &Member {
        &self.members[0]
    }
}

/// Change of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Put a catalog in force unless a higher version is.
    Adopt(Box<Document>),
    /// Take an availability zone out of service or back in.
    SetZone {
        /// Availability zone.
        zone: String,
        /// Whether it is out.
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
    /// Requests have arrived.
    Serve,
    /// The head of a group takes requests.
    Open {
        /// Epoch of the group.
        epoch: u64,
    },
    /// A group gets no new requests from now on.
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
    },
    /// Dissolve a group whose head takes no more requests.
    Dissolve {
        /// Epoch of the group.
        epoch: u64,
    },
}

/// Replicated state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Index of the last applied command.
    pub index: u64,
    /// Catalog in force.
    pub document: Option<Document>,
    /// What the document holds; not stored twice.
    #[serde(skip)]
    pub catalog: Option<Definition>,
    /// Availability zones that are out of service.
    pub zones_out: BTreeSet<String>,
    /// Groups by epoch.
    pub groups: BTreeMap<u64, Group>,
    /// Whether requests have ever arrived.
    pub has_traffic: bool,
    /// VMs of services without groups that take requests.
    pub listed: BTreeMap<String, Target>,
}

impl State {
    /// Version of the catalog in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |d| d.version)
    }

    /// Group that holds a VM.
    pub fn group_of(&self, vm: &str) -> Option<&Group> {
        self.groups
            .values()
            .find(|g| g.members.iter().any(|m| m.id == vm))
    }

    /// Applies the command at `index`.
    pub fn apply(&mut self, index: u64, command: &Command) {
        assert!(index > self.index, "commands apply in order");
        self.index = index;
        match command {
            Command::Adopt(document) => {
                if document.version > self.version() || self.document.is_none() {
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
            } => self.form(index, service, model, members),
            Command::Serve => self.has_traffic = true,
            Command::Open { epoch } => {
                if let Some(group) = self.groups.get_mut(epoch) {
                    group.opened = true;
                }
            }
            Command::Close { epoch } => {
                if let Some(group) = self.groups.get_mut(epoch) {
                    group.closing = true;
                }
            }
            Command::List(target) => {
                self.listed.insert(target.id.clone(), (**target).clone());
            }
            Command::Unlist { id } => {
                self.listed.remove(id);
            }
            Command::Dissolve { epoch } => {
                self.groups.remove(epoch);
            }
        }
    }

    /// State from a snapshot's text; empty text is the first state.
    pub fn restore(text: &str) -> Self {
        if text.is_empty() {
            return State::default();
        }
        let mut state: State = serde_json::from_str(text).expect("a snapshot that was verified decodes");
        state.decode_catalog();
        state
    }

    fn decode_catalog(&mut self) {
        let decoded = self.document.as_ref().map(|d| d.raw.definition());
        self.catalog = decoded.map(|d| d.expect("a controller checked the document before it was logged"));
    }

    fn form(&mut self, index: u64, service: &str, model: &str, members: &[Member]) {
        // Two leaders may have planned for the same VM; the first one in the log holds it.
        let is_held = members.iter().any(|m| self.group_of(&m.id).is_some());
        if members.is_empty() || is_held {
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
        self.groups.insert(index, group);
        self.check();
    }

    /// Panics when a VM belongs to two groups.
    fn check(&self) {
        let mut seen = BTreeSet::new();
        let members = self.groups.values().flat_map(|g| &g.members);
        for member in members {
            assert!(seen.insert(&member.id), "VM {} belongs to two groups", member.id);
        }
    }
}
