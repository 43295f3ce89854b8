//! A session with the bench: reads batches of messages and writes commands.

use crate::error::{LineError, SessionError};
use crate::inbound::{InstanceEvent, Message, ReadContext};
use crate::names::NameTable;
use crate::outbound::Command;
use flaxstand::api::{Action, Event, Settings};
use flaxstand::scheduler::Scheduler;
use flaxstand_platform::Params;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// One simulated initiator.
struct Instance {
    scheduler: Scheduler,
    params: Params,
    settings: Settings,
    names: NameTable,
    /// Whether it received an event in this batch.
    needs_evaluation: bool,
}

impl Instance {
    fn start(seed: u64, params: Params, now: f64) -> Result<Self, LineError> {
        let settings = params.settings().map_err(|error| LineError::Settings(error.to_string()))?;
        Ok(Instance {
            scheduler: Scheduler::new(settings.clone(), seed, now),
            params,
            settings,
            names: NameTable::default(),
            needs_evaluation: true,
        })
    }

    fn handle(&mut self, event: InstanceEvent, now: f64) -> Result<Vec<Action>, LineError> {
        self.needs_evaluation = true;
        let (params, settings, names) = (&self.params, &self.settings, &mut self.names);
        let event = event.into_event(&mut ReadContext { params, settings, names })?;
        Ok(event.map_or_else(Vec::new, |event| self.actions_of(event, now)))
    }

    fn evaluate(&mut self, now: f64) -> Vec<Action> {
        self.needs_evaluation = false;
        self.actions_of(Event::Evaluate, now)
    }

    fn actions_of(&mut self, event: Event, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(event, now, &mut actions);
        actions
    }

    fn write(&self, name: &str, actions: &[Action], output: &mut impl Write) -> Result<(), LineError> {
        for action in actions {
            Command::from_action(name, action, &self.names)?.write(output)?;
        }
        Ok(())
    }
}

/// All instances of this process, which share no state, and the current batch.
#[derive(Default)]
struct Session {
    instances: BTreeMap<String, Instance>,
    /// Time of the current batch; none between batches.
    batch_time: Option<f64>,
}

impl Session {
    fn handle_line(&mut self, line: &str, output: &mut impl Write) -> Result<(), LineError> {
        if line.trim().is_empty() {
            return Err(LineError::Empty);
        }
        match (Message::from_line(line)?, self.batch_time) {
            (Message::BatchStart { now }, None) => self.batch_time = Some(now),
            (Message::BatchStart { .. }, Some(_)) => return Err(LineError::NestedBatch),
            (_, None) => return Err(LineError::OutsideBatch),
            (Message::BatchEnd, Some(now)) => self.end_batch(now, output)?,
            (Message::Start { instance, seed, params }, Some(now)) => {
                self.instances.insert(instance, Instance::start(seed, *params, now)?);
            }
            (Message::Stop { instance }, Some(_)) => self.stop(instance)?,
            (Message::Event { instance, event }, Some(now)) => {
                self.handle_event(&instance, event, now, output)?
            }
        }
        Ok(())
    }

    fn stop(&mut self, name: String) -> Result<(), LineError> {
        let stopped = self.instances.remove(&name);
        stopped.map(|_| ()).ok_or(LineError::StopOfUnknownInstance(name))
    }

    fn handle_event(
        &mut self,
        name: &str,
        event: InstanceEvent,
        now: f64,
        output: &mut impl Write,
    ) -> Result<(), LineError> {
        let instance =
            self.instances.get_mut(name).ok_or_else(|| LineError::UnknownInstance(name.to_owned()))?;
        let actions = instance.handle(event, now)?;
        instance.write(name, &actions, output)
    }

    /// Evaluates each instance that received an event, in the order of names.
    fn end_batch(&mut self, now: f64, output: &mut impl Write) -> Result<(), LineError> {
        for (name, instance) in self.instances.iter_mut().filter(|(_, instance)| instance.needs_evaluation) {
            let actions = instance.evaluate(now);
            instance.write(name, &actions, output)?;
        }
        self.batch_time = None;
        Command::BatchDone.write(output)?;
        output.flush().map_err(LineError::Write)
    }
}

/// Processes batches until the input ends.
pub fn run(input: impl BufRead, output: &mut impl Write) -> Result<(), SessionError> {
    let mut session = Session::default();
    for (index, line) in input.lines().enumerate() {
        let handled = line.map_err(LineError::Read).and_then(|line| session.handle_line(&line, output));
        handled.map_err(|error| SessionError::Line { number: index + 1, error })?;
    }
    if session.batch_time.is_some() { Err(SessionError::MissingBatchEnd) } else { Ok(()) }
}
