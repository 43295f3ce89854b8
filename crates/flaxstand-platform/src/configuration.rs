//! The configuration file that an initiator reads at its start, and again at each SIGHUP.

use crate::{Listing, Params, ParamsError};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Least memory with which an initiator can run, MB.
const MIN_MEMORY_MB: u64 = 16;
/// Least number of descriptors with which an initiator can run.
const MIN_SOCKETS: u64 = 64;

/// The configuration file.
#[derive(Debug, Deserialize)]
pub struct Configuration {
    /// The initiator's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the discovery service listens.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start. Hex digits in the file.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The endpoint list as this initiator had it last; may be out of date.
    #[serde(rename = "known")]
    pub cached_list: Listing,
    /// Settings of the decision module, and more.
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
    /// A limit is too low for an initiator to run.
    #[error("{field}: expected {min} or more, not {value}")]
    LimitTooLow {
        /// Path of the field.
        field: &'static str,
        /// Least value.
        min: u64,
        /// What is there.
        value: u64,
    },
    /// The settings make no sense.
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
    /// Reads the file's text.
    ///
    /// # Errors
    /// It makes no sense; the message names the field.
    pub fn read(text: &str) -> Result<Self, ConfigurationError> {
        let configuration: Configuration = serde_json::from_str(text)?;
        check_limit("limits.memory_mb", configuration.limits.memory_mb, MIN_MEMORY_MB)?;
        check_limit("limits.sockets", configuration.limits.sockets, MIN_SOCKETS)?;
        configuration.settings.settings()?;
        Ok(configuration)
    }
}
