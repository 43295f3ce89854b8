//! What all cases share: the record, temporary folders, child processes, and the list service.
#![allow(dead_code)]

use crate::frames::{Entry, Frame, Sender, read_frame};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Writes `record.txt` with the time since the start in milliseconds before each line.
#[derive(Clone)]
pub struct Log(Arc<Mutex<File>>, Instant);

impl Log {
    pub fn create(path: &Path) -> io::Result<Log> {
        Ok(Log(Arc::new(Mutex::new(File::create(path)?)), Instant::now()))
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.1.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.0.lock().unwrap(), "{ms:10.1} {}", text.as_ref());
    }
    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.1.elapsed().as_secs_f64() * 1000.0
    }
}

/// Whether the disruption takes place (`TROUBLE=0`: no).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("flaxstand-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A free port of 127.0.0.1.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// A child process, killed by its id when dropped.
pub struct Process(pub Child);

impl Process {
    /// Starts `target/release/flaxstand` with arguments; its log goes to a file. Waits for a line of its
    /// standard output that begins with `ready`.
    pub fn start(root: &Path, arguments: &[&str], log: &Path) -> io::Result<Process> {
        let errors = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(root.join("target/release/flaxstand"));
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(errors);
        // It ends with this process, however that ends.
        unsafe { command.pre_exec(|| if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }) };
        let mut child = command.spawn()?;
        let out = child.stdout.take().expect("piped");
        let process = Process(child);
        let (tell, told) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if line.starts_with("ready") {
                    let _ = tell.send(());
                }
            }
        });
        told.recv_timeout(Duration::from_secs(15))
            .map_err(|_| io::Error::other("the program did not become ready"))?;
        Ok(process)
    }
    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
    /// Kills it outright and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Default)]
struct ListState {
    revision: u64,
    entries: Vec<Entry>,
    watchers: Vec<Sender>,
}

/// The list service: tells the whole list to whoever asks or watches, then changes; says every second that
/// nothing has changed.
#[derive(Clone)]
pub struct ListService {
    state: Arc<Mutex<ListState>>,
    pub address: SocketAddr,
}

impl ListService {
    pub fn start(entries: Vec<Entry>) -> io::Result<ListService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ListState { revision: 1, entries, watchers: Vec::new() }));
        let service = ListService { state, address };
        let shared = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        let shared = service.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(1));
                shared.tell(Vec::new());
            }
        });
        Ok(service)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(sender) = Sender::new(&stream) else { return };
        while let Ok(Some(frame)) = read_frame(&mut stream) {
            let mut state = self.state.lock().unwrap();
            match frame {
                Frame::Hello { .. } => {
                    let name = "list".to_owned();
                    let _ = sender.send(&Frame::Welcome { version: 3, role: 4, id: 0, epoch: 1, name });
                }
                Frame::GetList | Frame::Watch => {
                    let (revision, entries) = (state.revision, state.entries.clone());
                    let _ = sender.send(&Frame::List { full: true, since: revision, revision, entries });
                    if frame == Frame::Watch {
                        state.watchers.push(sender.clone());
                    }
                }
                _ => return,
            }
        }
    }

    /// Tells all watchers what has changed.
    pub fn tell(&self, changes: Vec<Entry>) {
        let mut state = self.state.lock().unwrap();
        let since = state.revision;
        if !changes.is_empty() {
            state.revision += 1;
        }
        for change in &changes {
            state.entries.retain(|entry| entry.node != change.node);
            if change.state != 3 {
                state.entries.push(change.clone());
            }
        }
        let revision = state.revision;
        let list = Frame::List { full: false, since, revision, entries: changes };
        state.watchers.retain(|watcher| watcher.send(&list).is_ok());
    }
}

/// An entry of a warm, serving node.
pub fn entry(node: u64, shard: u32, address: SocketAddr) -> Entry {
    Entry {
        node,
        incarnation: 1,
        state: 1,
        age: None,
        shard,
        zone: 0,
        size: 0,
        address: address.to_string(),
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(result: io::Result<bool>, log: &Log) -> ! {
    let code = match result {
        Ok(true) => {
            log.line("RULE BROKEN");
            1
        }
        Ok(false) => {
            log.line("rule held");
            0
        }
        Err(error) => {
            log.line(format!("the case could not run: {error}"));
            2
        }
    };
    std::process::exit(code)
}

/// Arguments of every case: the repository's root and the case's folder.
pub fn arguments() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    match (arguments.next(), arguments.next()) {
        (Some(root), Some(case)) => (root, case),
        _ => {
            eprintln!("usage: case ROOT FOLDER");
            std::process::exit(2)
        }
    }
}
