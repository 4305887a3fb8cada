//! Time and random numbers for the daemons.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

static START: OnceLock<Duration> = OnceLock::new();

/// Monotonic time since the first call in this process.
///
/// CLOCK_BOOTTIME also counts while the VM is suspended, so no lease outlives a suspension.
pub fn now() -> Duration {
    let now = boot_time();
    now.saturating_sub(*START.get_or_init(|| now))
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Wall clock time since 1970, in milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Identifier that no other process and no earlier run has.
pub fn unique_id() -> String {
    format!("{:x}-{:08x}", wall_ms(), rand::random::<u32>())
}
