//! Monotonic time, wall-clock time and unique identifiers for the daemons.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since boot at the first call of [`now`].
static ORIGIN: OnceLock<Duration> = OnceLock::new();

/// Monotonic time since the first call in this process.
///
/// Reads CLOCK_BOOTTIME, which also counts while the VM is suspended, so leases expire
/// during a suspension too.
pub fn now() -> Duration {
    let now = time_since_boot();
    now.saturating_sub(*ORIGIN.get_or_init(|| now))
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Wall-clock time since the Unix epoch, in milliseconds; 0 for a clock set before the epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}

/// Identifier that is unique across processes and restarts: wall-clock milliseconds and 32
/// random bits, both in hexadecimal.
pub fn unique_id() -> String {
    format!("{:x}-{:08x}", wall_ms(), rand::random::<u32>())
}
