//! `flaxstand run`.

use crate::Failure;
use crate::kit::{read, told};
use flaxstand_consensus::participant::StoredReplica;
use flaxstand_consensus::replicated_state::IndexedState;
use flaxstand_gateway::core::Core;
use flaxstand_gateway::driver::{Driver, Options, Reload, clock};
use flaxstand_gateway::machine::{Control, Machine as _, Micros, Reloaded};
use flaxstand_gateway::settings::{Daemon, read_daemon};
use flaxstand_storage::{SegmentFolder, Storage};
use flaxstand_write_back::{Recovered, recover};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{error, info, warn};

/// How a daemon is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// In service.
    Serve {
        /// It ends when its standard input does.
        with_parent: bool,
    },
    /// Only to bring out what is buffered, for so long at most: it listens nowhere.
    Drain(Micros),
}

pub fn run(path: &Path, purpose: Purpose) -> Result<(), Failure> {
    let Daemon { mut config, mut listen, state, state_age_most, log, files, agreement } =
        told(read_daemon(&name(path), &read(path)?))?;
    if let Some(files) = files {
        use rustix::process::{Resource, Rlimit, setrlimit};
        let limit = Rlimit { current: Some(files), maximum: Some(files) };
        setrlimit(Resource::Nofile, limit).map_err(|e| system("cannot lower the descriptors")(e.into()))?;
    }
    // Grows from one start to the next as long as the host's calendar is not set back.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    config.epoch = since.as_micros() as u64;
    if let (Some(path), Some(most)) = (&state, state_age_most)
        && let Some(age) =
            std::fs::metadata(path).and_then(|m| m.modified()).ok().and_then(|at| at.elapsed().ok())
        && age > most
    {
        set_aside(path, "old", &format!("it is too old: {} s", age.as_secs()))?;
    }
    let saved = state.as_ref().and_then(|path| match std::fs::read(path) {
        Ok(bytes) => Some(bytes),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => {
            warn!(%error, path = %path.display(), "cannot read the saved list: starting without it");
            None
        }
    });
    if let Purpose::Drain(longest) = purpose {
        if log.is_none() {
            return Err(Failure::System(format!("{}: no class is buffered", path.display())));
        }
        config.site.waits.stop = longest;
    }
    let now = clock();
    config.calendar = since.as_micros() as u64 - now.0;
    config.agreeing = agreement.as_ref().map(|a| a.agreeing.clone());
    let mut core = match Core::new(config.clone(), saved.as_deref(), now) {
        Ok(core) => core,
        Err(cause) => {
            if let Some(path) = &state {
                set_aside(path, "damaged", &cause)?;
            }
            Core::new(config.clone(), None, now).map_err(|e| Failure::System(e.to_string()))?
        }
    };
    let log = match &log {
        Some(folder) => {
            let (storage, recovered) = open_log(folder)?;
            core.attach(recovered, now);
            Some(storage)
        }
        None => None,
    };
    let serving = matches!(purpose, Purpose::Serve { .. });
    let (mut keeper, mut book) = (None, None);
    if let Some(a) = agreement.filter(|_| serving) {
        let is_keeper = a.agreeing.keepers.iter().any(|(n, _)| *n == config.name);
        std::fs::create_dir_all(&a.folder).map_err(system(&format!("cannot make {}", a.folder.display())))?;
        let file = a.folder.join("book");
        let saved = read_book(&file)?;
        let found = match is_keeper {
            true => {
                let (storage, found) = open_keeper(&a.folder)?;
                keeper = Some(storage);
                Some(found)
            }
            false => None,
        };
        core.start_agreement(listen.len(), found, saved, now);
        listen.push(a.listen);
        book = Some(file);
    }
    let with_parent = purpose == Purpose::Serve { with_parent: true };
    if let Purpose::Drain(_) = purpose {
        core.control(Control::Stop, now);
    }
    let reload = Some(reload(path.to_owned()));
    let options =
        Options { saved: state, input: with_parent, log, keeper, book, reload, ..Options::default() };
    let mut driver = Driver::new(core, options).map_err(system("cannot start"))?;
    let mut at = Vec::new();
    for address in listen.iter().filter(|_| serving) {
        let bound = driver.listen(address).map_err(system(&format!("cannot listen at {address}")))?;
        at.push(bound.to_string());
    }
    if serving {
        info!(initiator = config.name, listen = at.join(" "), "running");
        println!("ready {}", at.join(" "));
        let _ = std::io::stdout().flush();
    }
    let core = run_to_end(driver)?;
    match core.buffer_status(clock()) {
        Some(s) if !serving && s.writes > 0 => Err(Failure::System(format!(
            "{} writes are still buffered, {} of them parked",
            s.writes, s.parked
        ))),
        Some(_) if !serving => {
            println!("nothing is buffered any more");
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Runs an initiator until it is done.
pub fn run_to_end(driver: Driver<Core>) -> Result<Core, Failure> {
    let core = driver.run().map_err(system("the driver failed"))?;
    if core.counts().overdue > 0 {
        error!(overdue = core.counts().overdue, "the module left requests without an answer: report this");
    }
    Ok(core)
}

/// What the system would not do.
pub fn system(what: &str) -> impl FnOnce(std::io::Error) -> Failure + use<> {
    let what = what.to_owned();
    move |e| Failure::System(format!("{what}: {e}"))
}

/// Keeps a saved list that is not used beside its place, under another extension.
fn set_aside(path: &Path, extension: &str, cause: &dyn std::fmt::Display) -> Result<(), Failure> {
    let aside = path.with_extension(extension);
    warn!(%cause, path = %path.display(), aside = %aside.display(), "the saved list is set aside");
    std::fs::rename(path, &aside).map_err(system("cannot set the saved list aside"))
}

/// Opens a write-back log for this process alone and reads it back. A log that is in use, damaged or of a
/// newer version is left as it is.
pub fn open_log(folder: &Path) -> Result<(Box<dyn Storage>, Recovered), Failure> {
    let failed = |why: &dyn std::fmt::Display| {
        Failure::System(format!("{}: {why}; see `flaxstand buffer verify`", folder.display()))
    };
    let mut storage = SegmentFolder::open(folder).map_err(|e| failed(&e))?;
    let recovered = recover(&mut storage).map_err(|e| failed(&e))?;
    Ok((Box::new(storage), recovered))
}

/// What was agreed on in an earlier life. A file that makes no sense is set aside: it is learnt anew, and until then
/// the floor of the settings holds.
fn read_book(path: &Path) -> Result<Option<IndexedState>, Failure> {
    match std::fs::read(path) {
        Ok(bytes) => match IndexedState::read(&bytes) {
            Ok(book) => Ok(Some(book)),
            Err(cause) => set_aside(path, "damaged", &cause).map(|()| None),
        },
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(system(&format!("cannot read {}", path.display()))(e)),
    }
}

/// Opens a keeper's folder for this process alone. One that is empty or damaged makes a new keeper: what it promised
/// before is lost, and it asks to be taken in.
fn open_keeper(folder: &Path) -> Result<(Box<dyn Storage>, StoredReplica), Failure> {
    let failed = |e| system(&format!("cannot use {}", folder.display()))(e);
    let mut storage = SegmentFolder::open(folder).map_err(failed)?;
    let segments = storage.segments().map_err(failed)?;
    let state = match flaxstand_consensus::recover(&mut storage).map_err(failed)? {
        flaxstand_consensus::RecoveredState::Intact(state) => Some(*state),
        flaxstand_consensus::RecoveredState::Empty => None,
        flaxstand_consensus::RecoveredState::Damaged(cause) => {
            warn!(cause, folder = %folder.display(), "a keeper's folder is damaged: coming back as a new keeper");
            None
        }
    };
    Ok((Box::new(storage), StoredReplica { state, segments }))
}

/// Reads what may change anew. A file with problems changes nothing.
fn reload(path: PathBuf) -> Reload {
    Box::new(move || {
        let text =
            std::fs::read_to_string(&path).inspect_err(|error| error!(%error, "cannot reload")).ok()?;
        match read_daemon(&name(&path), &text) {
            Ok(Daemon { config, .. }) => Some(Reloaded { bounds: config.bounds, list: config.list }),
            Err(problems) => {
                error!(%problems, "cannot reload");
                None
            }
        }
    })
}

fn name(path: &Path) -> String {
    path.display().to_string()
}
