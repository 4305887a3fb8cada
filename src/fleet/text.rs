//! Text of the configuration, as answers to operators send it.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use bytes::Bytes;

use crate::domain::catalog::Compressed;

/// Decompressed text that all answers in progress share, so that callers that do not read theirs take no memory each.
#[derive(Debug, Default)]
pub(super) struct Text(Mutex<Option<(Compressed, Weak<[u8]>)>>);

impl Text {
    /// Text of `compressed`.
    ///
    /// # Errors
    ///
    /// Those of [`Compressed::text`].
    pub(super) fn share(&self, compressed: &Compressed) -> io::Result<Bytes> {
        let mut shared = self.0.lock().expect("no panic under this lock");
        let known = shared.as_ref().filter(|(known, _)| known == compressed);
        if let Some(text) = known.and_then(|(_, text)| text.upgrade()) {
            return Ok(Bytes::from_owner(text));
        }
        let text: Arc<[u8]> = Arc::from(compressed.text()?.into_bytes());
        *shared = Some((compressed.clone(), Arc::downgrade(&text)));
        Ok(Bytes::from_owner(text))
    }
}
