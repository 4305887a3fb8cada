//! Marks of a request, for which it may be quarantined: the parts of its prompt, and the fingerprint that all its
//! attempts share.
//!
//! A head may hold thousands of parts, so they are read from the caller's text each time instead of being kept.

use std::borrow::Cow;

use crate::domain::reuse::Part;
use crate::platform::header;

/// Marks of one request.
pub(super) struct Marks {
    /// Prompt parts as the caller stated them.
    prompt: String,
    fingerprint: String,
}

impl Marks {
    pub(super) fn new(prompt: String, fingerprint: String) -> Self {
        Marks { prompt, fingerprint }
    }

    /// Fingerprint of the request.
    pub(super) fn fingerprint(&self) -> &str {
        &self.fingerprint
    }

    /// Identifiers of the prompt's parts in order, without the last one, which belongs to this request alone.
    pub(super) fn parts(&self) -> impl Iterator<Item = Cow<'_, str>> {
        header::prompt_parts(&self.prompt)
    }

    /// All parts of the prompt, with their numbers of tokens.
    pub(super) fn prompt(&self) -> Vec<Part> {
        header::parse_prompt(&self.prompt)
    }

    /// The parts, then the fingerprint.
    pub(super) fn iter(&self) -> impl Iterator<Item = Cow<'_, str>> {
        self.parts().chain([Cow::Borrowed(self.fingerprint.as_str())])
    }

    /// The parts, for a log line.
    pub(super) fn parts_text(&self) -> String {
        self.parts().collect::<Vec<_>>().join(",")
    }
}
