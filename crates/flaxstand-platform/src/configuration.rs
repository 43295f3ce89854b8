//! The configuration file of an initiator, read at start-up and again on SIGHUP.

use crate::{Listing, Params, ParamsError};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Minimum memory limit with which an initiator can run, MB.
const MIN_MEMORY_MB: u64 = 16;
/// Minimum limit of file descriptors with which an initiator can run.
const MIN_SOCKETS: u64 = 64;

/// The configuration file.
#[derive(Debug, Deserialize)]
pub struct Configuration {
    /// Name of the initiator, unchanged by a restart.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator, different at each start. Written as hex digits in the file.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The last endpoint list known to this initiator; may be outdated.
    #[serde(rename = "known")]
    pub cached_list: Listing,
    /// Settings of the decision module and of connections.
    pub settings: Params,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

/// Errors of reading a configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The text is not valid JSON or does not match the schema. The message states the position.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A resource limit is too low for an initiator to run.
    #[error("{field}: expected {min} or more, not {value}")]
    LimitTooLow {
        /// Path of the field.
        field: &'static str,
        /// Minimum value.
        min: u64,
        /// Value found.
        value: u64,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] ParamsError),
}

fn hex<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| serde::de::Error::custom(format!("seed: expected hex digits, not {text:?}")))
}

fn check_limit(field: &'static str, value: u64, min: u64) -> Result<(), ConfigurationError> {
    if value < min { Err(ConfigurationError::LimitTooLow { field, min, value }) } else { Ok(()) }
}

impl Configuration {
    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    /// The text is malformed or a value is invalid; the message states the field.
    pub fn read(text: &str) -> Result<Self, ConfigurationError> {
        let configuration: Configuration = serde_json::from_str(text)?;
        check_limit("limits.memory_mb", configuration.limits.memory_mb, MIN_MEMORY_MB)?;
        check_limit("limits.sockets", configuration.limits.sockets, MIN_SOCKETS)?;
        configuration.settings.settings()?;
        Ok(configuration)
    }
}
