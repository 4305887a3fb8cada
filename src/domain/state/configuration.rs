//! Versions of an environment's document, and which of them is on trial and in
//! production.

use serde::Deserialize;
use serde::Serialize;

use super::Reply;
use crate::domain::environment::Document;
use crate::settings::jsonc;

/// Versions kept per environment; beyond it, the oldest that is neither on trial nor in
/// production is dropped.
const MAX_KEPT_VERSIONS: usize = 100;

/// Stage in which a version of an environment runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Trial, before production.
    Trial,
    /// Production.
    Production,
}

/// Accepted version of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Version number, from 1.
    pub number: u64,
    /// Operator who submitted it or rolled back to its text.
    pub operator: String,
    /// Log index at which it was accepted.
    pub index: u64,
    /// Text of the document, as submitted.
    pub text: String,
    /// Whether it is or was in production.
    pub promoted: bool,
    /// Document parsed from the text.
    pub document: Document,
}

/// Versions of one environment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Kept versions, oldest first.
    pub versions: Vec<Version>,
    /// Number of the version on trial.
    pub trial: Option<u64>,
    /// Number of the version in production.
    pub production: Option<u64>,
    /// Operator of the last promotion or rollback.
    pub promoter: String,
    /// Log index of the last change.
    pub changed: u64,
}

impl Configuration {
    /// Version `number`, if it is kept.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|v| v.number == number)
    }

    /// Version that runs in `stage`, if there is one.
    pub fn current(&self, stage: Stage) -> Option<&Version> {
        let number = match stage {
            Stage::Trial => self.trial,
            Stage::Production => self.production,
        };
        self.version(number?)
    }

    /// Number of the newest version, 0 for none.
    pub fn newest_number(&self) -> u64 {
        self.versions.last().map_or(0, |v| v.number)
    }

    pub(super) fn submit(&mut self, index: u64, operator: &str, base: u64, text: &str) -> Reply {
        if base != self.newest_number() {
            return self.conflict();
        }
        let document: Document = match jsonc::parse(text) {
            Ok(document) => document,
            Err(error) => return Reply::refused(error.to_string()),
        };
        let number = self.add_version(index, operator, text, document);
        self.trial = Some(number);
        Reply::Accepted {
            version: number,
            index,
        }
    }

    pub(super) fn promote(&mut self, index: u64, operator: &str, version: u64, base: u64) -> Reply {
        let current = self.production.unwrap_or(0);
        if base != current {
            return Reply::Conflict {
                current,
                operator: self.promoter.clone(),
            };
        }
        if self.trial != Some(version) {
            let reason = format!("version {version} is not on trial");
            return Reply::refused(reason);
        }
        self.put_in_production(index, operator, version);
        Reply::Accepted { version, index }
    }

    pub(super) fn rollback(&mut self, index: u64, operator: &str, to: u64, base: u64) -> Reply {
        if base != self.newest_number() {
            return self.conflict();
        }
        let Some(source) = self.version(to).filter(|v| v.promoted) else {
            return Reply::refused(format!("version {to} is not kept or was never in production"));
        };
        let (text, document) = (source.text.clone(), source.document.clone());
        let number = self.add_version(index, operator, &text, document);
        self.trial = Some(number);
        self.put_in_production(index, operator, number);
        Reply::Accepted {
            version: number,
            index,
        }
    }

    fn conflict(&self) -> Reply {
        Reply::Conflict {
            current: self.newest_number(),
            operator: self.versions.last().map_or(String::new(), |v| v.operator.clone()),
        }
    }

    fn add_version(&mut self, index: u64, operator: &str, text: &str, document: Document) -> u64 {
        let number = self.newest_number() + 1;
        self.versions.push(Version {
            number,
            operator: operator.to_owned(),
            index,
            text: text.to_owned(),
            promoted: false,
            document,
        });
        self.changed = index;
        if self.versions.len() > MAX_KEPT_VERSIONS {
            let in_use = [self.trial, self.production];
            let oldest = self
                .versions
                .iter()
                .position(|v| !in_use.contains(&Some(v.number)));
            if let Some(oldest) = oldest {
                self.versions.remove(oldest);
            }
        }
        number
    }

    fn put_in_production(&mut self, index: u64, operator: &str, number: u64) {
        assert!(
            Some(number) >= self.production,
            "the production version never decreases"
        );
        self.production = Some(number);
        self.promoter = operator.to_owned();
        self.changed = index;
        if let Some(version) = self.versions.iter_mut().find(|v| v.number == number) {
            version.promoted = true;
        }
    }
}
