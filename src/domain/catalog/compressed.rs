//! Compressed text: the form in which a catalog is replicated, stored and sent.
//!
//! A catalog of 1,400 routes is close to half a megabyte. It goes to every controller and gateway
//! with each change, so its size determines how soon a change is in force. Base64 contains no
//! characters that each JSON layer around it would have to escape.

use std::io;
use std::io::Read;
use std::io::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

use super::Definition;

/// Text compressed with Deflate and encoded in Base64 without padding.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Compressed(String);

impl Compressed {
    /// Compresses `text`.
    pub fn new(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        Compressed(STANDARD_NO_PAD.encode(bytes.expect("writing to memory does not fail")))
    }

    /// Decompresses the text.
    ///
    /// # Errors
    ///
    /// `Other` for invalid Base64, else the error of the decompressor.
    pub fn text(&self) -> io::Result<String> {
        let bytes = STANDARD_NO_PAD.decode(&self.0).map_err(io::Error::other)?;
        let mut text = String::new();
        DeflateDecoder::new(bytes.as_slice()).read_to_string(&mut text)?;
        Ok(text)
    }

    /// Decodes the text as the JSON of a catalog definition, without validating it.
    ///
    /// # Errors
    ///
    /// Those of [`Compressed::text`], and `InvalidData` or `UnexpectedEof` for invalid JSON.
    pub fn definition(&self) -> io::Result<Definition> {
        Ok(serde_json::from_str(&self.text()?)?)
    }

    /// Size in compressed and encoded form, in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
