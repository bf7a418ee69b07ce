//! Settings of the C library's allocator.
use nix::libc;

/// Size from which on an allocation is returned to the system as soon as it is freed, in bytes. By default the
/// allocator raises it to the largest size that was freed, and buffers that grow side by side then leave a heap of many
/// times their size.
const MMAP_THRESHOLD_BYTES: libc::c_int = 64 * 1024;
/// Unused memory at the end of the heap that is returned to the system, in bytes.
const TRIM_THRESHOLD_BYTES: libc::c_int = 256 * 1024;

/// Makes the allocator return freed memory to the system. Called before other threads are started.
pub fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the calls only set parameters of the allocator.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
    }
}
