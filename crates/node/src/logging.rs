//! Non-blocking logs as JSON lines.

use std::io::Write;

use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::Logger;
use slog::PushFnValue;
use slog::Record;
use slog::o;
use slog_async::OverflowStrategy;

/// Number of lines that can wait to be written; further ones are dropped and counted.
const QUEUED_LINES: usize = 2_048;

/// Creates a logger that writes one JSON object a line to `output`. The name of the
/// event is in the field `event`. When `output` is slow, lines are dropped, and the
/// next line contains their number.
pub fn logger<W>(level: Level, role: &'static str, node: String, output: W) -> Logger
where
    W: Write + Send + 'static,
{
    let json = slog_json::Json::new(output)
        .add_key_value(o!(
            "event" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str()),
            "unix_ms" => FnValue(|_: &Record<'_>| unix_ms()),
        ))
        .build()
        .fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, o!("role" => role, "node" => node))
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A clock before 1970 is written as 0, so that the line is not lost.
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
