//! The system's allocator, which counts what each thread holds: a test on one thread is not disturbed by those
//! that run beside it.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static HELD: Cell<usize> = const { Cell::new(0) };
    static PEAK: Cell<usize> = const { Cell::new(0) };
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// To be a test binary's global allocator.
pub struct CountingAllocator;

/// Bytes that this thread allocated and that are not freed.
pub fn held_bytes() -> usize {
    HELD.get()
}

/// The most that were held at once since [`reset_peak`].
pub fn peak_bytes() -> usize {
    PEAK.get()
}

/// The peak begins anew at what is held now.
pub fn reset_peak() {
    PEAK.set(HELD.get());
}

/// How often this thread allocated.
pub fn allocations() -> u64 {
    ALLOCATIONS.get()
}

fn allocated(bytes: usize) {
    let held = HELD.get().wrapping_add(bytes);
    HELD.set(held);
    PEAK.set(PEAK.get().max(held));
    ALLOCATIONS.set(ALLOCATIONS.get() + 1);
}

fn freed(bytes: usize) {
    // What another thread allocated is not known here.
    HELD.set(HELD.get().saturating_sub(bytes));
}

// SAFETY: every call is passed on to the system's allocator as it came; the counters neither allocate nor unwind.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        allocated(layout.size());
        // SAFETY: the caller's promises are passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        freed(layout.size());
        // SAFETY: the caller's promises are passed on.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        freed(layout.size());
        allocated(new_size);
        // SAFETY: the caller's promises are passed on.
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}
