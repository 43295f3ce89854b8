//! The initiators of a site, as an operator asks them.

use super::SettingsCommandError;
use crate::connection::{CallError, Connection};
use flaxstand_consensus::participant::{OperatorReply, OperatorRequest, PeerMessage, StatusReport};
use flaxstand_consensus::replicated_state::ReplicatedState;
use flaxstand_gateway::core::{ConsensusConfig, ConsensusPeer};
use flaxstand_gateway::machine::Address;
use flaxstand_proto::Frame;
use std::time::{Duration, Instant};

/// Name under which the command connects to an initiator.
const CLIENT_NAME: &str = "flaxstand settings";
/// How long one initiator has to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a leader is looked for.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// How often it is looked for, and how often progress is looked at.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

struct Initiator {
    name: String,
    address: Address,
}

/// The initiators of a site.
pub struct Initiators {
    all: Vec<Initiator>,
    /// How many of them, from the first on, are voters.
    voters: usize,
}

/// What an initiator reports of itself.
pub struct InitiatorStatus {
    pub name: String,
    pub report: Result<Box<StatusReport>, CallError>,
}

impl Initiators {
    /// Those that a settings file names.
    pub fn of(config: &ConsensusConfig) -> Self {
        let all = config.voters.iter().chain(&config.other_initiators);
        let initiator =
            |peer: &ConsensusPeer| Initiator { name: peer.name.clone(), address: peer.address.clone() };
        Initiators { all: all.map(initiator).collect(), voters: config.voters.len() }
    }

    /// Has the leader carry out a request. Until there is one, all voters are asked in turn. Returns the number of
    /// the version that the request is about, 0 where it is about none.
    pub fn ask_leader(&self, request: &OperatorRequest) -> Result<u64, SettingsCommandError> {
        let started = Instant::now();
        let mut last_answer = String::new();
        while started.elapsed() < LEADER_TIMEOUT {
            for voter in &self.all[..self.voters] {
                match ask(&voter.address, request) {
                    Ok(OperatorReply::Committed(number)) => return Ok(number),
                    Ok(OperatorReply::Refused(why)) => return Err(SettingsCommandError::Rejected(why)),
                    Ok(_) => last_answer = format!("{} does not lead", voter.name),
                    Err(error) => last_answer = error.to_string(),
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(SettingsCommandError::NoLeader { last_answer })
    }

    /// The newest replicated state that any initiator knows.
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

    /// What each initiator reports of itself.
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
