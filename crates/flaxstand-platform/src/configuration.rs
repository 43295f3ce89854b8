//! What an initiator is told at its start, and again at each SIGHUP.

use crate::{Listing, Params};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// The configuration file.
#[derive(Debug, Deserialize)]
pub struct Configuration {
    /// The initiator's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers, hex digits; new with each start.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The list as this initiator had it last; may be out of date.
    pub known: Listing,
    /// What the module is told, and more.
    pub settings: Params,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: u64,
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// It is no such object. The message names the field and the place.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field has a value that can't be.
    #[error("{0}: {1}")]
    Field(&'static str, String),
}

fn hex<'de, D: serde::Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| serde::de::Error::custom(format!("seed: expected hex digits, not {text:?}")))
}

impl Configuration {
    /// Reads the file's text.
    ///
    /// # Errors
    /// It makes no sense; the message names the field.
    pub fn read(text: &str) -> Result<Self, ConfigurationError> {
        let configuration: Configuration = serde_json::from_str(text)?;
        let least = |name, value: u64, least: u64| {
            let told = format!("expected {least} or more, not {value}");
            if value < least { Err(ConfigurationError::Field(name, told)) } else { Ok(()) }
        };
        least("limits.memory_mb", configuration.limits.memory_mb, 16)?;
        least("limits.sockets", configuration.limits.sockets, 64)?;
        configuration.settings.settings().map_err(|e| ConfigurationError::Field("settings", e))?;
        Ok(configuration)
    }
}
