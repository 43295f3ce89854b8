//! Reads of an extent see the durable writes that are buffered for it.

use super::Order;
use super::extent_queue::ExtentQueue;
use super::item::Stage;
use crate::image::{lay, whole};
use crate::record::{ExtentId, Seq, Write};
use crate::request::WriteHandle;

/// What a read of an extent finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Nothing.
    Nothing,
    /// Parts of it.
    Partial,
    /// All of it.
    Complete {
        /// Shard that will hold it.
        shard: u32,
        /// Its data.
        data: Vec<u8>,
    },
}

impl Order {
    /// Durable writes of an extent, in order.
    fn durable_writes<'a>(
        &'a self,
        queue: &'a ExtentQueue,
    ) -> impl DoubleEndedIterator<Item = &'a Write> + Clone {
        let is_durable =
            |seq: &&Seq| self.buffered_write(**seq).is_some_and(|write| write.stage != Stage::Logging);
        let durable = queue.items.iter().filter(is_durable);
        durable.filter_map(|seq| self.buffered_write(*seq)).map(|buffered| &buffered.write)
    }

    /// What a read of an extent finds here. If it is partial, the read is remembered until
    /// [`Order::read_ended`], and the node's answer goes to [`Order::overlay`].
    pub fn read(&mut self, handle: WriteHandle, extent_id: ExtentId) -> Found {
        let Some(queue) = self.extents.get(&extent_id) else { return Found::Nothing };
        let durable = self.durable_writes(queue);
        let Some(last) = durable.clone().next_back() else { return Found::Nothing };
        if let Some(data) = whole(durable) {
            return Found::Complete { shard: last.shard, data };
        }
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.add_reader(handle);
        }
        Found::Partial
    }

    /// Overlays a node's answer with what was and is buffered.
    pub fn overlay(&self, extent_id: ExtentId, data: &mut Vec<u8>) {
        let Some(queue) = self.extents.get(&extent_id) else { return };
        for write in queue.kept_for_readers().chain(self.durable_writes(queue)) {
            lay(data, write);
        }
    }

    /// A read that found parts here is over.
    pub fn read_ended(&mut self, handle: WriteHandle, extent_id: ExtentId) {
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.remove_reader(handle);
        }
    }
}
