//! Logs as JSON lines on standard error.

use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::Logger;
use slog::PushFnValue;
use slog::Record;
use slog::o;

/// Lines that wait to be written before further ones are dropped.
const QUEUED_LINES: usize = 4_096;

/// A logger that writes one JSON object a line. The name of the event is in
/// the field `event`.
pub fn logger(level: Level, role: &'static str, node: String) -> Logger {
    let json = slog_json::Json::new(std::io::stderr())
        .add_key_value(o!(
            "event" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str()),
            "unix_ms" => FnValue(|_: &Record<'_>| unix_ms()),
        ))
        .build()
        .fuse();
    let drain = slog_async::Async::new(json).chan_size(QUEUED_LINES).build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, o!("role" => role, "node" => node))
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
