//! Operator requests to the initiators of a site.

use super::SettingsCommandError;
use crate::connection::{CallError, Connection};
use flaxstand_consensus::participant::{OperatorReply, OperatorRequest, PeerMessage, StatusReport};
use flaxstand_consensus::replicated_state::ReplicatedState;
use flaxstand_gateway::core::{ConsensusConfig, ConsensusPeer};
use flaxstand_gateway::machine::Address;
use flaxstand_proto::Frame;
use std::time::{Duration, Instant};

/// Client name in the hello to an initiator.
const CLIENT_NAME: &str = "flaxstand settings";
/// Maximum time for one initiator to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to find a leader.
pub const LEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between attempts to find the leader and between checks of a rollout's progress.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

struct Initiator {
    name: String,
    address: Address,
}

/// The initiators of a site.
pub struct Initiators {
    all: Vec<Initiator>,
    /// Number of voters; they are the first entries of `all`.
    voter_count: usize,
}

/// The status report of an initiator, or why there is none.
pub struct InitiatorStatus {
    pub name: String,
    pub report: Result<Box<StatusReport>, CallError>,
}

impl Initiators {
    /// Returns the initiators that a settings file names.
    pub fn from_config(config: &ConsensusConfig) -> Self {
        let all = config.voters.iter().chain(&config.other_initiators);
        let initiator =
            |peer: &ConsensusPeer| Initiator { name: peer.name.clone(), address: peer.address.clone() };
        Initiators { all: all.map(initiator).collect(), voter_count: config.voters.len() }
    }

    /// Sends a request to the leader; asks all voters in turn until one of them leads. Returns the number of
    /// the version that the request concerns, or 0 if it concerns none.
    pub fn ask_leader(&self, request: &OperatorRequest) -> Result<u64, SettingsCommandError> {
        let started = Instant::now();
        let mut last_answer = String::new();
        while started.elapsed() < LEADER_TIMEOUT {
            for voter in &self.all[..self.voter_count] {
                match ask(&voter.address, request) {
                    Ok(OperatorReply::Committed(number)) => return Ok(number),
                    Ok(OperatorReply::Refused(cause)) => return Err(SettingsCommandError::Rejected(cause)),
                    Ok(_) => last_answer = format!("{} is not the leader", voter.name),
                    Err(error) => last_answer = error.to_string(),
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(SettingsCommandError::NoLeader { last_answer })
    }

    /// Returns the newest replicated state that any initiator reports.
    pub fn replicated_state(&self) -> Result<ReplicatedState, SettingsCommandError> {
        let known = self.all.iter().filter_map(|initiator| {
            match ask(&initiator.address, &OperatorRequest::ReplicatedState) {
                Ok(OperatorReply::ReplicatedState(state)) => state.map(|indexed| *indexed),
                _ => None,
            }
        });
        let newest = known.max_by_key(|known| known.index);
        newest.map(|known| known.state).ok_or(SettingsCommandError::UnknownState)
    }

    /// Queries the status of each initiator.
    pub fn statuses(&self) -> Vec<InitiatorStatus> {
        self.all
            .iter()
            .map(|initiator| InitiatorStatus {
                name: initiator.name.clone(),
                report: status_of(&initiator.address),
            })
            .collect()
    }
}

fn status_of(address: &Address) -> Result<Box<StatusReport>, CallError> {
    match ask(address, &OperatorRequest::Status)? {
        OperatorReply::Status(report) => Ok(report),
        _ => Err(CallError::Unexpected),
    }
}

fn ask(address: &Address, request: &OperatorRequest) -> Result<OperatorReply, CallError> {
    let mut connection = Connection::open(address, CLIENT_NAME)?;
    let bytes =
        postcard::to_stdvec(&PeerMessage::OperatorRequest(request.clone())).map_err(CallError::Encode)?;
    connection.send(&Frame::Agreement { bytes: &bytes })?;
    connection.receive(REPLY_TIMEOUT, |frame| match frame {
        Frame::Agreement { bytes } => match postcard::from_bytes(bytes) {
            Ok(PeerMessage::OperatorReply(reply)) => Some(Ok(reply)),
            Ok(_) => None,
            Err(error) => Some(Err(CallError::Undecodable(error))),
        },
        _ => None,
    })
}
