//! Version of the catalog that a process holds, in messages.
//!
//! A catalog may have any version, 0 too, so that a number cannot say that there is none. Earlier builds know the
//! number alone, with 0 for none; they ignore the field beside it, and their messages lack it.

/// Version in a message, of the catalog that the sender holds or has in force.
pub(super) mod held {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    #[derive(Deserialize, Serialize)]
    struct Raw {
        version: u64,
        #[serde(default)]
        has_catalog: Option<bool>,
    }

    pub fn serialize<S: Serializer>(version: &Option<u64>, serializer: S) -> Result<S::Ok, S::Error> {
        let raw = Raw {
            version: version.unwrap_or_default(),
            has_catalog: Some(version.is_some()),
        };
        raw.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
        let raw = Raw::deserialize(deserializer)?;
        Ok(super::decode(raw.version, raw.has_catalog))
    }
}

/// Version in a call for a catalog above it.
pub(super) mod above {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    #[derive(Deserialize, Serialize)]
    struct Raw {
        above: u64,
        #[serde(default)]
        has_catalog: Option<bool>,
    }

    pub fn serialize<S: Serializer>(version: &Option<u64>, serializer: S) -> Result<S::Ok, S::Error> {
        let raw = Raw {
            above: version.unwrap_or_default(),
            has_catalog: Some(version.is_some()),
        };
        raw.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
        let raw = Raw::deserialize(deserializer)?;
        Ok(super::decode(raw.above, raw.has_catalog))
    }
}

fn decode(version: u64, has_catalog: Option<bool>) -> Option<u64> {
    has_catalog.unwrap_or(version > 0).then_some(version)
}
