//! A wrapper of the system allocator that counts allocations per thread, so that tests running in parallel do
//! not affect each other's figures.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static LIVE: Cell<usize> = const { Cell::new(0) };
    static PEAK: Cell<usize> = const { Cell::new(0) };
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// For use as a test binary's global allocator.
pub struct CountingAllocator;

/// Bytes that this thread has allocated and not yet freed.
pub fn live_bytes() -> usize {
    LIVE.get()
}

/// Maximum of [`live_bytes`] since the last [`reset_peak`].
pub fn peak_bytes() -> usize {
    PEAK.get()
}

/// Resets the peak to the current [`live_bytes`].
pub fn reset_peak() {
    PEAK.set(LIVE.get());
}

/// Number of allocations by this thread.
pub fn allocations() -> u64 {
    ALLOCATIONS.get()
}

fn allocated(bytes: usize) {
    let live = LIVE.get().wrapping_add(bytes);
    LIVE.set(live);
    PEAK.set(PEAK.get().max(live));
    ALLOCATIONS.set(ALLOCATIONS.get() + 1);
}

fn freed(bytes: usize) {
    // Memory allocated by another thread is not counted here, so the subtraction saturates at zero.
    LIVE.set(LIVE.get().saturating_sub(bytes));
}

// SAFETY: every call is forwarded unchanged to the system allocator; the counters neither allocate nor
// unwind.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        allocated(layout.size());
        // SAFETY: the caller upholds the contract of `GlobalAlloc`, which is the system allocator's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        freed(layout.size());
        // SAFETY: the caller upholds the contract of `GlobalAlloc`, which is the system allocator's.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        freed(layout.size());
        allocated(new_size);
        // SAFETY: the caller upholds the contract of `GlobalAlloc`, which is the system allocator's.
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}
