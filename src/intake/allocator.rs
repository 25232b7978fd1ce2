//! How much freed memory the allocator keeps.

/// Blocks from this size on go back to the system as they are freed.
#[cfg(target_env = "gnu")]
const RETURNED_BYTES: nix::libc::c_int = 128 * 1024;

/// Makes the allocator return large blocks as they are freed: bodies and answers. By default the
/// C library keeps ever larger ones, once some were freed, and they count as memory of the process.
/// Does nothing with other C libraries. To be called once, as the process starts.
pub fn return_large_blocks() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call sets a number of the allocator, and no other thread runs yet.
    unsafe {
        nix::libc::mallopt(nix::libc::M_MMAP_THRESHOLD, RETURNED_BYTES);
    }
}
