//! Tests of the core with a write-back buffer, a simulated disk and scripted nodes.

mod harness;

use flaxstand_gateway::core::{Config, Core, WriteBack};
use flaxstand_gateway::machine::{ArrivalTime, ConnId, Control, Machine as _, Micros};
use flaxstand_proto::*;
use flaxstand_storage::faulty::{Faults, FaultyDisk};
use flaxstand_storage::{Storage as _, perform};
use flaxstand_write_back::{BufferLimits, recover};
use harness::*;

const BUFFERED: u16 = 0;
const UNBUFFERED: u16 = 2;

fn config_with_buffer() -> Config {
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

/// A world whose core has a write-back buffer, the disk of the buffer, and one client.
struct BufferedWorld {
    w: Harness,
    disk: FaultyDisk,
    client: ConnId,
}

impl BufferedWorld {
    fn new(config: Config) -> Self {
        Self::with_disk(FaultyDisk::new(1), config)
    }

    /// A core that recovers its buffer from the disk.
    fn with_disk(mut disk: FaultyDisk, config: Config) -> Self {
        let mut w = Harness::new(config, 2);
        w.core.attach(recover(&mut disk).expect("the log is recovered"), w.now);
        w.run(30);
        let client = w.client();
        BufferedWorld { w, disk, client }
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
        self.submit(id, UNBUFFERED, extent, None, 1_000_000);
        self.w.run(3);
    }

    /// Submits a read, or a write with its offset and data.
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

    fn send(&mut self, frame: &Frame<'_>) {
        self.w.send_frame(self.client, frame);
        self.w.run(1);
    }

    /// The disk performs all requested batches, including those that follow from them.
    fn perform_batches(&mut self) {
        for _ in 0..20 {
            if self.w.pending_batches.is_empty() {
                self.w.run(10);
            }
            let Some(batch) = self.w.pending_batches.pop_front() else { return };
            let stored = perform(&mut self.disk, &batch).is_ok();
            self.w.core.write_back_stored(stored, self.w.now);
            self.w.run(6);
        }
    }

    /// The node serves the last attempt it received.
    fn serve_last_attempt(&mut self) {
        let conn = self.w.node_conn(0);
        let last = *self.w.attempts_on(conn).last().expect("an attempt is in flight");
        self.w.done(conn, last, Code::Served, b"");
        self.w.run(3);
    }

    fn answers(&self) -> Vec<SentFrame> {
        self.w.answers(self.client)
    }

    fn sent_operations(&self) -> Vec<u64> {
        self.w.attempt_payloads.iter().map(|(op, ..)| *op).collect()
    }

    fn writes(&self) -> usize {
        self.w.core.buffer_status(self.w.now).expect("the core has a buffer").writes
    }
}

#[test]
fn a_write_is_acknowledged_when_durable_and_then_written_back() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"seat");
    assert_eq!(d.answers(), [], "the disk has not confirmed the write yet");
    assert_eq!(d.sent_operations(), [0u64; 0]);
    d.perform_batches();
    assert_eq!(d.answers(), [SentFrame::Buffered(1)]);
    assert_eq!(d.w.attempt_payloads, [(1001, None, b"seat".to_vec())]);
    d.serve_last_attempt();
    d.perform_batches();
    assert_eq!(d.writes(), 0);
    let log = recover(&mut d.disk).unwrap();
    assert!(log.live.is_empty(), "the log records the completion");
    assert_eq!(d.answers().len(), 1, "the client gets one answer");
}

#[test]
fn a_write_of_an_unbuffered_class_is_sent_directly() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, UNBUFFERED, 7, None, b"seat");
    assert_eq!((d.sent_operations(), d.w.pending_batches.len()), (vec![1001], 0));
    d.serve_last_attempt();
    assert_eq!(d.answers(), [SentFrame::Served(1, 0, vec![])]);
}

#[test]
fn a_failed_sync_acknowledges_nothing_until_a_new_segment_holds_it() {
    let mut d = BufferedWorld::new(config_with_buffer());
    // The sync of the header succeeds, the one of the batch fails.
    d.disk.set(Faults { sync_fails_at: Some(1), ..Faults::default() });
    d.write(1, BUFFERED, 7, None, b"seat");
    let batch = d.w.pending_batches.pop_front().unwrap();
    assert!(perform(&mut d.disk, &batch).is_err());
    d.w.core.write_back_stored(false, d.w.now);
    d.w.run(1);
    assert_eq!(d.answers(), []);
    // Meanwhile a write to another extent is sent directly.
    d.write(2, BUFFERED, 8, None, b"other");
    assert_eq!(d.sent_operations(), [1002]);
    d.w.run(30);
    d.perform_batches();
    assert_eq!(d.answers(), [SentFrame::Buffered(1)]);
    let log = recover(&mut d.disk).unwrap();
    assert_eq!(log.live.len(), 1);
}

#[test]
fn with_a_full_disk_writes_bypass_the_buffer_and_one_being_stored_fails_at_its_deadline() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.disk.set(Faults { capacity: Some(20), ..Faults::default() });
    d.write(1, BUFFERED, 7, None, b"seat");
    for _ in 0..200 {
        d.perform_batches();
        d.w.run(10);
    }
    // The write may be in the truncated end of the log, so it must not be reported as not run.
    assert_eq!(d.answers(), [SentFrame::Failed(1)]);
    d.write(2, BUFFERED, 8, None, b"other");
    d.serve_last_attempt();
    assert!(d.answers().contains(&SentFrame::Served(2, 0, vec![])), "{:?}", d.answers());
    // Its own extent is blocked until the log is repaired: writes to it are refused with that cause.
    d.write(3, BUFFERED, 7, None, b"again");
    assert!(d.answers().contains(&SentFrame::Refused(3, Refusal::Buffer)), "{:?}", d.answers());
    d.disk.set(Faults::default());
    d.w.run(1500);
    d.perform_batches();
    d.serve_last_attempt();
    d.perform_batches();
    assert_eq!(d.writes(), 0, "the write is written back after the repair");
}

#[test]
fn reads_return_buffered_data_or_merge_it_into_the_nodes_answer() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"abcdef");
    d.read(2, 7);
    assert_eq!(
        d.sent_operations(),
        [1002],
        "data that is not durable is not visible, so the read goes to the node"
    );
    d.perform_batches();
    d.read(3, 7);
    assert!(d.answers().contains(&SentFrame::Served(3, 0, b"abcdef".to_vec())), "{:?}", d.answers());
    d.write(4, BUFFERED, 8, Some(2), b"XY");
    d.perform_batches();
    d.read(5, 8);
    let conn = d.w.node_conn(0);
    let read = *d.w.attempts_on(conn).last().unwrap();
    // The write is confirmed while the read is in flight; the node may have served the read before or after
    // it.
    let attempts = d.w.attempts_on(conn);
    let written = attempts[attempts.len() - 2];
    d.w.done(conn, written, Code::Served, b"");
    d.w.run(2);
    d.w.done(conn, read, Code::Served, b"123456");
    d.w.run(2);
    assert!(d.answers().contains(&SentFrame::Served(5, 0, b"12XY56".to_vec())), "{:?}", d.answers());
}

#[test]
fn a_streamed_read_of_a_partly_buffered_extent_is_one_answer() {
    let mut c = config_with_buffer();
    c.site.classes[usize::from(UNBUFFERED)].is_streamed = true;
    let mut d = BufferedWorld::new(c);
    d.write(1, BUFFERED, 8, Some(1), b"X");
    d.perform_batches();
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
fn no_write_passes_a_barrier_and_a_flush_waits_for_the_nodes() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"before");
    d.send(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    d.write(3, BUFFERED, 8, None, b"after");
    d.write(4, UNBUFFERED, 9, None, b"unbuffered, after");
    d.send(&Frame::Flush { id: 5, volume: Some(5), time_left: 5_000_000 });
    d.perform_batches();
    assert_eq!(d.answers(), [SentFrame::Buffered(1), SentFrame::Barred(2), SentFrame::Buffered(3)]);
    assert_eq!(d.sent_operations(), [1001], "writes after the barrier wait, including unbuffered ones");
    d.serve_last_attempt();
    d.perform_batches();
    let mut after = d.sent_operations();
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

/// Guards against a barrier that is passed by a write which arrived before it: on a site with a class in order,
/// the driver reports when bytes arrived, and requests are held until their order is known.
#[test]
fn writes_and_barriers_keep_their_order_of_arrival_in_whatever_order_they_are_reported() {
    let mut c = config_with_buffer();
    c.site.settings.classes[usize::from(ONCE)].in_order = true;
    let mut d = BufferedWorld::new(c);
    let other = d.w.client();
    let base = request(1, BUFFERED, (Some(0), 7));
    let before = bytes_of(&Frame::Submit(Submit { write: true, payload: b"before", ..base }));
    let after =
        bytes_of(&Frame::Submit(Submit { id: 2, operation: 1002, write: true, payload: b"after", ..base }));
    let barrier = bytes_of(&Frame::Barrier { id: 1, volume: 5, time_left: 5_000_000 });
    for (conn, bytes, at) in [(d.client, &after, 30), (other, &barrier, 20), (d.client, &before, 10)] {
        d.w.core.received_with_time(conn, bytes, ArrivalTime(at), d.w.now);
    }
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1001], "the write after the barrier waits");
    assert_eq!(d.w.answers(other), [SentFrame::Barred(1)]);
    d.serve_last_attempt();
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1001, 1002]);
}

#[test]
fn two_barriers_of_two_volumes_do_not_wait_for_each_other() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"x");
    d.send(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    d.send(&Frame::Barrier { id: 3, volume: 6, time_left: 5_000_000 });
    assert_eq!(d.answers(), [SentFrame::Barred(3)], "no write precedes the barrier");
    d.perform_batches();
    assert!(d.answers().contains(&SentFrame::Barred(2)));
}

#[test]
fn overwrites_of_an_extent_in_flight_wait_and_are_merged() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"one");
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1001]);
    for (id, data) in [(2, b"two"), (3, b"tre"), (4, b"for")] {
        d.write(id, BUFFERED, 7, None, data);
    }
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1001], "one write per extent is in flight");
    d.serve_last_attempt();
    d.perform_batches();
    assert_eq!(
        d.w.attempt_payloads[1..],
        [(1004, None, b"for".to_vec())],
        "three pending writes are merged into one"
    );
    d.serve_last_attempt();
    d.perform_batches();
    assert_eq!(d.writes(), 0);
}

#[test]
fn after_a_crash_an_acknowledged_write_is_written_back_under_the_same_key() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"seat");
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1001], "the write is in flight");
    let mut disk = d.disk;
    disk.lose_power();
    let mut d = BufferedWorld::with_disk(disk, config_with_buffer());
    assert_eq!(d.writes(), 1);
    d.write(2, BUFFERED, 7, None, b"newer");
    d.perform_batches();
    assert_eq!(
        d.sent_operations(),
        [1001],
        "the recovered write is sent unmerged although a newer one is pending"
    );
    d.serve_last_attempt();
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1001, 1002]);
}

#[test]
fn a_request_that_times_out_behind_a_barrier_is_refused_as_not_run() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"before");
    d.send(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    d.perform_batches();
    d.write(3, UNBUFFERED, 8, None, b"through");
    d.w.run(1100);
    assert!(d.answers().contains(&SentFrame::Refused(3, Refusal::Buffer)), "{:?}", d.answers());
    assert!(!d.sent_operations().contains(&1003));
}

#[test]
fn a_request_that_arrives_expired_does_not_block_later_requests() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write_within(1, UNBUFFERED, 7, None, b"x", 0);
    assert_eq!(d.answers(), [SentFrame::Refused(1, Refusal::Buffer)]);
    d.send(&Frame::Barrier { id: 2, volume: 5, time_left: 5_000_000 });
    assert!(d.answers().contains(&SentFrame::Barred(2)), "no write precedes the barrier");
    d.write(3, BUFFERED, 7, None, b"y");
    d.perform_batches();
    assert_eq!(d.sent_operations(), [1003]);
}

#[test]
fn without_a_buffer_barriers_and_flushes_are_refused_and_the_status_is_empty() {
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
fn a_write_beyond_the_end_of_an_extent_closes_the_connection() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, Some(u32::MAX), b"x");
    assert!(d.w.closed.contains(&d.client));
}

#[test]
fn a_shutdown_writes_back_buffered_data_and_keeps_the_rest_in_the_log() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"one");
    d.perform_batches();
    d.w.core.control(Control::Stop, d.w.now);
    d.w.run(10);
    assert!(!d.w.exited, "the write has not reached its node yet");
    d.serve_last_attempt();
    d.perform_batches();
    d.w.run(10);
    assert!(d.w.exited);
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"one");
    d.perform_batches();
    d.w.core.control(Control::Stop, d.w.now);
    d.w.run(6000);
    assert!(d.w.exited, "the shutdown has timed out");
    assert_eq!(recover(&mut d.disk).unwrap().live.len(), 1);
}

#[test]
fn a_write_queued_for_too_long_is_resubmitted_with_a_higher_priority() {
    let mut d = BufferedWorld::new(config_with_buffer());
    // The node is unreachable: the decision module queues the write.
    d.w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    d.write(1, BUFFERED, 7, None, b"one");
    d.perform_batches();
    d.w.run(2500);
    d.perform_batches();
    d.w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::Welcomes(0));
    d.w.run(3000);
    d.perform_batches();
    assert!(
        d.sent_operations().contains(&1001),
        "the write is sent once the node is reachable: {:?}",
        d.w.core.buffer_status(d.w.now)
    );
}

#[test]
fn the_status_is_json_with_counters() {
    let mut d = BufferedWorld::new(config_with_buffer());
    d.write(1, BUFFERED, 7, None, b"one");
    d.perform_batches();
    d.send(&Frame::AskStatus { id: 9 });
    let Some(SentFrame::Status(json)) = d.w.sent_frames_on(d.client).last() else {
        panic!("no Status frame was sent")
    };
    assert!(json.contains("\"writes\": 1") && json.contains("\"syncs_total\": "), "{json}");
    let core: &Core = &d.w.core;
    assert_eq!(core.counts().buffered, 1);
    assert_eq!(d.disk.segments().unwrap().len(), 1);
}
