//! Reads of an extent, which see its durable buffered writes.

use super::Order;
use super::extent_queue::ExtentQueue;
use super::item::Stage;
use crate::merge::{apply_write, complete_extent};
use crate::record::{ExtentId, Seq, Write};
use crate::request::WriteHandle;

/// Result of a read of an extent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExtentRead {
    /// No durable buffered writes.
    Miss,
    /// Buffered writes determine parts of the extent.
    Partial,
    /// Buffered writes determine the complete extent.
    Complete {
        /// Shard that will hold the extent.
        shard: u32,
        /// Data of the extent.
        data: Vec<u8>,
    },
}

impl Order {
    /// Returns the durable writes of an extent, in order.
    fn durable_writes<'a>(
        &'a self,
        queue: &'a ExtentQueue,
    ) -> impl DoubleEndedIterator<Item = &'a Write> + Clone {
        let is_durable =
            |seq: &&Seq| self.buffered_write(**seq).is_some_and(|write| write.stage != Stage::Logging);
        let durable = queue.items.iter().filter(is_durable);
        durable.filter_map(|seq| self.buffered_write(*seq)).map(|buffered| &buffered.write)
    }

    /// Reads an extent. A partial read is registered until [`Order::read_ended`]; the node's response is
    /// passed to [`Order::overlay`].
    pub fn read(&mut self, handle: WriteHandle, extent_id: ExtentId) -> ExtentRead {
        let Some(queue) = self.extents.get(&extent_id) else { return ExtentRead::Miss };
        let durable = self.durable_writes(queue);
        let Some(last) = durable.clone().next_back() else { return ExtentRead::Miss };
        if let Some(data) = complete_extent(durable) {
            return ExtentRead::Complete { shard: last.shard, data };
        }
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.add_reader(handle);
        }
        ExtentRead::Partial
    }

    /// Applies the writes that were or are buffered to a node's response.
    pub fn overlay(&self, extent_id: ExtentId, data: &mut Vec<u8>) {
        let Some(queue) = self.extents.get(&extent_id) else { return };
        for write in queue.kept_for_readers().chain(self.durable_writes(queue)) {
            apply_write(data, write);
        }
    }

    /// Ends a partial read.
    pub fn read_ended(&mut self, handle: WriteHandle, extent_id: ExtentId) {
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.remove_reader(handle);
        }
    }
}
