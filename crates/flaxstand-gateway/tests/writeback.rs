//! The core with a write-back buffer, between a scripted disk and scripted nodes.

mod harness;

use flaxstand_gateway::core::{Config, Core, WriteBack};
use flaxstand_gateway::machine::{ConnId, Control, Machine as _, Micros};
use flaxstand_proto::*;
use flaxstand_storage::faulty::{Faults, FaultyDisk};
use flaxstand_storage::{Storage as _, perform};
use flaxstand_write_back::{BufferLimits, recover};
use harness::*;

const ORDER: u16 = 0;
const PLAIN: u16 = 2;

fn buffering() -> Config {
    let mut c = config();
    c.site.classes[0].is_buffered = true;
    c.site.settings.key_cooldown = 20.0;
    let rules = BufferLimits {
        merge_delay: Micros(0),
        record_delay: ms(5),
        target_age: ms(2000),
        ..BufferLimits::default()
    };
    c.site.write_back = Some(WriteBack { limits: rules, volumes: None });
    c
}

/// A world whose core buffers, and its disk.
struct Desk {
    w: Harness,
    disk: FaultyDisk,
    client: ConnId,
}

impl Desk {
    fn new(config: Config) -> Self {
        Self::on(FaultyDisk::new(1), config)
    }

    /// A core that starts with what a disk holds.
    fn on(mut disk: FaultyDisk, config: Config) -> Self {
        let mut w = Harness::new(config, 2);
        w.core.attach(recover(&mut disk).expect("the log is sound"), w.now);
        w.run(30);
        let client = w.client();
        Desk { w, disk, client }
    }

    fn write(&mut self, id: u64, class: u16, extent: u64, at: Option<u32>, payload: &[u8]) {
        self.write_within(id, class, extent, at, payload, 1_000_000);
    }

    fn write_within(
        &mut self,
        id: u64,
        class: u16,
        extent: u64,
        at: Option<u32>,
        payload: &[u8],
        time_left: u32,
    ) {
        self.submit(id, class, extent, Some((at, payload)), time_left);
        self.w.run(1);
    }

    fn read(&mut self, id: u64, extent: u64) {
        self.submit(id, PLAIN, extent, None, 1_000_000);
        self.w.run(3);
    }

    /// A read, or a write with where it begins and its data.
    fn submit(
        &mut self,
        id: u64,
        class: u16,
        extent: u64,
        write: Option<(Option<u32>, &[u8])>,
        time_left: u32,
    ) {
        let (at, payload) = write.unwrap_or((None, &[]));
        let base = request(id, class, (Some(0), extent));
        let submit = Submit { write: write.is_some(), at, time_left, payload, ..base };
        self.w.send_frame(self.client, &Frame::Submit(submit));
    }

    fn say(&mut self, frame: &Frame<'_>) {
        self.w.send_frame(self.client, frame);
        self.w.run(1);
    }

    /// The disk does all that it was asked to, and what follows from that.
    fn store(&mut self) {
        for _ in 0..20 {
            if self.w.pending_batches.is_empty() {
                self.w.run(10);
            }
            let Some(batch) = self.w.pending_batches.pop_front() else { return };
            let well = perform(&mut self.disk, &batch).is_ok();
            self.w.core.write_back_stored(well, self.w.now);
            self.w.run(6);
        }
    }

    /// The node serves the attempt that it was sent last.
    fn serve(&mut self) {
        let conn = self.w.node_conn(0);
        let last = *self.w.attempts_on(conn).last().expect("an attempt is out");
        self.w.done(conn, last, Code::Served, b"");
        self.w.run(3);
    }

    fn answers(&self) -> Vec<SentFrame> {
        self.w.answers(self.client)
    }

    fn brought(&self) -> Vec<u64> {
        self.w.attempt_payloads.iter().map(|(op, ..)| *op).collect()
    }

    fn writes(&self) -> usize {
        self.w.core.buffer_status(self.w.now).expect("it buffers").writes
    }
}

#[test]
fn a_write_is_acknowledged_when_it_is_durable_and_then_goes_out() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"seat");
    assert_eq!(d.answers(), [], "the disk has not said a word yet");
    assert_eq!(d.brought(), [0u64; 0]);
    d.store();
    assert_eq!(d.answers(), [SentFrame::Buffered(1)]);
    assert_eq!(d.w.attempt_payloads, [(1001, None, b"seat".to_vec())]);
    d.serve();
    d.store();
    assert_eq!(d.writes(), 0);
    let log = recover(&mut d.disk).unwrap();
    assert!(log.live.is_empty(), "the log knows that it is done");
    assert_eq!(d.answers().len(), 1, "answered once");
}

#[test]
fn a_class_that_is_not_buffered_goes_through() {
    let mut d = Desk::new(buffering());
    d.write(1, PLAIN, 7, None, b"seat");
    assert_eq!((d.brought(), d.w.pending_batches.len()), (vec![1001], 0));
    d.serve();
    assert_eq!(d.answers(), [SentFrame::Served(1, 0, vec![])]);
}

#[test]
fn a_failed_sync_acknowledges_nothing_until_a_new_segment_holds_it() {
    let mut d = Desk::new(buffering());
    // The header's sync goes well, the batch's does not.
    d.disk.set(Faults { sync_fails_at: Some(1), ..Faults::default() });
    d.write(1, ORDER, 7, None, b"seat");
    let batch = d.w.pending_batches.pop_front().unwrap();
    assert!(perform(&mut d.disk, &batch).is_err());
    d.w.core.write_back_stored(false, d.w.now);
    d.w.run(1);
    assert_eq!(d.answers(), []);
    // Meanwhile another extent's write goes through.
    d.write(2, ORDER, 8, None, b"other");
    assert_eq!(d.brought(), [1002]);
    d.w.run(30);
    d.store();
    assert_eq!(d.answers(), [SentFrame::Buffered(1)]);
    let log = recover(&mut d.disk).unwrap();
    assert_eq!(log.live.len(), 1);
}

#[test]
fn a_full_disk_lets_writes_through_and_one_that_was_being_stored_fails_in_time() {
    let mut d = Desk::new(buffering());
    d.disk.set(Faults { capacity: Some(20), ..Faults::default() });
    d.write(1, ORDER, 7, None, b"seat");
    for _ in 0..200 {
        d.store();
        d.w.run(10);
    }
    // It may be in the log's torn end: its client can't be told that it has not run.
    assert_eq!(d.answers(), [SentFrame::Failed(1)]);
    d.write(2, ORDER, 8, None, b"other");
    d.serve();
    assert!(d.answers().contains(&SentFrame::Served(2, 0, vec![])), "{:?}", d.answers());
    // Its own extent is blocked, until the log is mended: it is told so, and nothing is promised.
    d.write(3, ORDER, 7, None, b"again");
    assert!(d.answers().contains(&SentFrame::Refused(3, Refusal::Buffer)), "{:?}", d.answers());
    d.disk.set(Faults::default());
    d.w.run(1500);
    d.store();
    d.serve();
    d.store();
    assert_eq!(d.writes(), 0, "mended: it has gone out after all");
}

#[test]
fn reads_see_what_is_buffered_whole_or_laid_over_the_nodes_answer() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"abcdef");
    d.read(2, 7);
    assert_eq!(d.brought(), [1002], "not durable: not to be seen yet, the node is asked");
    d.store();
    d.read(3, 7);
    assert!(d.answers().contains(&SentFrame::Served(3, 0, b"abcdef".to_vec())), "{:?}", d.answers());
    d.write(4, ORDER, 8, Some(2), b"XY");
    d.store();
    d.read(5, 8);
    let conn = d.w.node_conn(0);
    let read = *d.w.attempts_on(conn).last().unwrap();
    // The write is confirmed while the read is out, which the node may have served before or after.
    let out = d.w.attempts_on(conn);
    let written = out[out.len() - 2];
    d.w.done(conn, written, Code::Served, b"");
    d.w.run(2);
    d.w.done(conn, read, Code::Served, b"123456");
    d.w.run(2);
    assert!(d.answers().contains(&SentFrame::Served(5, 0, b"12XY56".to_vec())), "{:?}", d.answers());
}

#[test]
fn a_streamed_read_of_a_buffered_part_comes_as_one_answer() {
    let mut c = buffering();
    c.site.classes[usize::from(PLAIN)].is_streamed = true;
    let mut d = Desk::new(c);
    d.write(1, ORDER, 8, Some(1), b"X");
    d.store();
    d.read(2, 8);
    let conn = d.w.node_conn(0);
    let (request, attempt) = *d.w.attempts_on(conn).last().unwrap();
    d.w.send_frame(conn, &Frame::Chunk { request, attempt, payload: b"ab" });
    d.w.done(conn, (request, attempt), Code::Served, b"cd");
    d.w.run(2);
    assert!(d.answers().contains(&SentFrame::Served(2, 0, b"aXcd".to_vec())), "{:?}", d.answers());
    assert!(!d.w.sent_frames_on(d.client).iter().any(|s| matches!(s, SentFrame::Part(..))));
}

#[test]
fn nothing_passes_a_barrier_and_a_flush_waits_for_the_nodes() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"before");
    d.say(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    d.write(3, ORDER, 8, None, b"after");
    d.write(4, PLAIN, 9, None, b"through, after");
    d.say(&Frame::Flush { id: 5, volume: Some(5), time_left: 5_000_000 });
    d.store();
    assert_eq!(d.answers(), [SentFrame::Buffered(1), SentFrame::Barred(2), SentFrame::Buffered(3)]);
    assert_eq!(d.brought(), [1001], "what is after the barrier waits, also what goes through");
    d.serve();
    d.store();
    let mut after = d.brought();
    after.sort_unstable();
    assert_eq!(after, [1001, 1003, 1004]);
    assert!(!d.answers().contains(&SentFrame::Flushed(5)));
    let conn = d.w.node_conn(0);
    for attempt in d.w.attempts_on(conn).into_iter().skip(1) {
        d.w.done(conn, attempt, Code::Served, b"");
    }
    d.w.run(5);
    assert!(d.answers().contains(&SentFrame::Flushed(5)), "{:?}", d.answers());
}

#[test]
fn two_barriers_of_two_volumes_do_not_wait_for_each_other() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"x");
    d.say(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    d.say(&Frame::Barrier { id: 3, volume: 6, time_left: 5_000_000 });
    assert_eq!(d.answers(), [SentFrame::Barred(3)], "nothing lies before it");
    d.store();
    assert!(d.answers().contains(&SentFrame::Barred(2)));
}

#[test]
fn an_overwrite_of_what_is_out_waits_and_what_waits_is_merged() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"one");
    d.store();
    assert_eq!(d.brought(), [1001]);
    for (id, data) in [(2, b"two"), (3, b"tre"), (4, b"for")] {
        d.write(id, ORDER, 7, None, data);
    }
    d.store();
    assert_eq!(d.brought(), [1001], "one of an extent at a time");
    d.serve();
    d.store();
    assert_eq!(d.w.attempt_payloads[1..], [(1004, None, b"for".to_vec())], "three became one");
    d.serve();
    d.store();
    assert_eq!(d.writes(), 0);
}

#[test]
fn killed_after_the_acknowledgement_the_next_life_brings_it_under_the_same_key() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"seat");
    d.store();
    assert_eq!(d.brought(), [1001], "it is out");
    let mut disk = d.disk;
    disk.lose_power();
    let mut d = Desk::on(disk, buffering());
    assert_eq!(d.writes(), 1);
    d.write(2, ORDER, 7, None, b"newer");
    d.store();
    assert_eq!(d.brought(), [1001], "as it was, though a newer one is there");
    d.serve();
    d.store();
    assert_eq!(d.brought(), [1001, 1002]);
}

#[test]
fn a_client_that_gives_up_behind_a_barrier_is_told_that_it_has_not_run() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"before");
    d.say(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    d.store();
    d.write(3, PLAIN, 8, None, b"through");
    d.w.run(1100);
    assert!(d.answers().contains(&SentFrame::Refused(3, Refusal::Buffer)), "{:?}", d.answers());
    assert!(!d.brought().contains(&1003));
}

#[test]
fn one_whose_time_is_up_as_it_comes_holds_up_nothing_behind_it() {
    let mut d = Desk::new(buffering());
    d.write_within(1, PLAIN, 7, None, b"x", 0);
    assert_eq!(d.answers(), [SentFrame::Refused(1, Refusal::Buffer)]);
    d.say(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    assert!(d.answers().contains(&SentFrame::Barred(2)), "nothing lies before it");
    d.write(3, ORDER, 7, None, b"y");
    d.store();
    assert_eq!(d.brought(), [1003]);
}

#[test]
fn without_a_buffer_marks_are_refused_and_status_is_empty() {
    let mut w = Harness::new(config(), 2);
    let client = w.client();
    w.send_frame(client, &Frame::Barrier { id: 1, volume: 5, time_left: 5_000_000 });
    w.send_frame(client, &Frame::Flush { id: 2, volume: None, time_left: 5_000_000 });
    w.send_frame(client, &Frame::AskStatus { id: 3 });
    w.run(1);
    assert_eq!(
        w.answers(client),
        [SentFrame::Refused(1, Refusal::Unbuffered), SentFrame::Refused(2, Refusal::Unbuffered)]
    );
    assert!(w.sent_frames_on(client).contains(&SentFrame::Status("{}".into())));
}

#[test]
fn a_write_beyond_an_extents_end_is_a_fault() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, Some(u32::MAX), b"x");
    assert!(d.w.closed.contains(&d.client));
}

#[test]
fn stopping_brings_out_what_is_buffered_and_what_is_left_stays() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"one");
    d.store();
    d.w.core.control(Control::Stop, d.w.now);
    d.w.run(10);
    assert!(!d.w.exited, "it is not on its node yet");
    d.serve();
    d.store();
    d.w.run(10);
    assert!(d.w.exited);
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"one");
    d.store();
    d.w.core.control(Control::Stop, d.w.now);
    d.w.run(6000);
    assert!(d.w.exited, "the stop has lasted long enough");
    assert_eq!(recover(&mut d.disk).unwrap().live.len(), 1);
}

#[test]
fn what_is_held_too_long_is_taken_back_and_offered_at_a_higher_worth() {
    let mut d = Desk::new(buffering());
    // Its node is not there: the module holds it.
    d.w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    d.write(1, ORDER, 7, None, b"one");
    d.store();
    d.w.run(2500);
    d.store();
    d.w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::Welcomes(0));
    d.w.run(3000);
    d.store();
    assert!(
        d.brought().contains(&1001),
        "it goes once the node is back: {:?}",
        d.w.core.buffer_status(d.w.now)
    );
}

#[test]
fn the_status_has_figures_and_is_json() {
    let mut d = Desk::new(buffering());
    d.write(1, ORDER, 7, None, b"one");
    d.store();
    d.say(&Frame::AskStatus { id: 9 });
    let Some(SentFrame::Status(json)) = d.w.sent_frames_on(d.client).last() else { panic!("no status") };
    assert!(json.contains("\"writes\": 1") && json.contains("\"syncs_total\": "), "{json}");
    let core: &Core = &d.w.core;
    assert_eq!(core.counts().buffered, 1);
    assert_eq!(d.disk.segments().unwrap().len(), 1);
}
