//! Authentication of callers: the client account and the environment of a call.

use std::sync::Arc;

use subtle::ConstantTimeEq;

use super::context::Context;
use crate::domain::environment;
use crate::domain::environment::ClientAccount;
use crate::domain::environment::Document;
use crate::domain::state::Stage;

/// Suffix of an environment's name that selects its trial version.
const TRIAL_SUFFIX: &str = "@trial";

/// Authenticated caller, with the version of the document that applies to the call.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) environment: String,
    pub(super) stage: Stage,
    pub(super) document: Arc<Document>,
    pub(super) client_account: ClientAccount,
}

/// Why a caller was not authenticated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Error {
    /// The environment does not exist, or has no version at the stage.
    UnknownEnvironment,
    /// The key belongs to no client account of the environment.
    UnknownKey,
    /// This entry has not received the configuration yet.
    NoConfiguration,
}

/// Finds the environment `name`, with or without the trial suffix, and its client account with `key`.
pub(super) fn authenticate(context: &Context, name: &str, key: &str) -> Result<Caller, Error> {
    let (environment, stage) = match name.strip_suffix(TRIAL_SUFFIX) {
        Some(stem) => (stem, Stage::Trial),
        None => (name, Stage::Production),
    };
    let core = context.lock();
    if core.state.index == 0 {
        return Err(Error::NoConfiguration);
    }
    let configuration = core.state.environments.get(environment);
    let version = configuration.and_then(|c| c.current(stage));
    let document = &version.ok_or(Error::UnknownEnvironment)?.document;
    let client_account = find_by_key(document, key).ok_or(Error::UnknownKey)?.clone();
    Ok(Caller {
        environment: environment.to_owned(),
        stage,
        document: Arc::new(document.clone()),
        client_account,
    })
}

/// Client account with `key`; all digests are compared in constant time.
fn find_by_key<'a>(document: &'a Document, key: &str) -> Option<&'a ClientAccount> {
    let digest = environment::digest_key(key);
    let mut found = None;
    for account in &document.client_accounts {
        let stored_digest = account.key_digest.to_ascii_lowercase();
        if bool::from(stored_digest.as_bytes().ct_eq(digest.as_bytes())) {
            found = Some(account);
        }
    }
    found
}
