//! Settings of the C library's allocator.

/// Size from which a block of memory is returned to the system as soon as it is freed, in bytes. Large bodies are such blocks.
#[cfg(target_env = "gnu")]
const RETURNED_BLOCK_MIN_BYTES: libc::c_int = 32 << 10;

/// Lets the allocator return large blocks as soon as they are freed.
///
/// Without this, the C library raises the size from which it does so with each large block that is freed, up to 32 MiB, and
/// keeps smaller ones between others in use: a host would stay near its limit long after a burst of large bodies.
pub fn return_large_blocks() {
    #[cfg(target_env = "gnu")]
    #[expect(unsafe_code, reason = "the C library has no other interface")]
    // SAFETY: `mallopt` may be called at any time; it only sets a threshold.
    let _set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, RETURNED_BLOCK_MIN_BYTES) };
}
