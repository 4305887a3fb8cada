//! Versions of one environment's document.

use serde::Deserialize;
use serde::Serialize;

use super::Reply;
use crate::domain::environment::Document;
use crate::settings::jsonc;

/// Versions whose text is kept, besides those on trial and in production.
const KEPT_VERSIONS: usize = 100;

/// Setting in which a version runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Trial setting.
    Trial,
    /// Production.
    Production,
}

/// One accepted document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Number, from 1.
    pub number: u64,
    /// Operator who submitted it.
    pub operator: String,
    /// Log index of its acceptance.
    pub index: u64,
    /// Text as submitted.
    pub text: String,
    /// Whether it has been in production.
    pub promoted: bool,
    /// Parsed text.
    pub document: Document,
}

/// All versions of one environment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Kept versions, oldest first.
    pub versions: Vec<Version>,
    /// Version on trial.
    pub trial: Option<u64>,
    /// Version in production.
    pub production: Option<u64>,
    /// Operator of the last promotion.
    pub promoter: String,
    /// Log index of the last change.
    pub changed: u64,
}

impl Configuration {
    /// Version with `number`.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|v| v.number == number)
    }

    /// Version that runs in `stage`.
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
            Err(fault) => return Reply::refused(fault.to_string()),
        };
        let number = self.add(index, operator, text, document);
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
        let number = self.add(index, operator, &text, document);
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

    fn add(&mut self, index: u64, operator: &str, text: &str, document: Document) -> u64 {
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
        if self.versions.len() > KEPT_VERSIONS {
            let kept = [self.trial, self.production];
            let oldest = self.versions.iter().position(|v| !kept.contains(&Some(v.number)));
            if let Some(oldest) = oldest {
                self.versions.remove(oldest);
            }
        }
        number
    }

    fn put_in_production(&mut self, index: u64, operator: &str, number: u64) {
        assert!(Some(number) >= self.production, "production never reverts");
        self.production = Some(number);
        self.promoter = operator.to_owned();
        self.changed = index;
        if let Some(version) = self.versions.iter_mut().find(|v| v.number == number) {
            version.promoted = true;
        }
    }
}
