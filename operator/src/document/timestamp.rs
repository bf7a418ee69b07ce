//! Dates as Unix time.
use time::{Date, Month, PrimitiveDateTime, Time};
use toml_edit::{Datetime, Offset};

const NANOSECONDS_PER_SECOND: f64 = 1e9;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Returns a TOML date-time as Unix seconds; `None` if it lacks a date, a time or an offset, or if the day does not exist.
pub(super) fn unix_seconds(datetime: &Datetime) -> Option<f64> {
    let date = datetime.date?;
    let time = datetime.time?;
    let offset_minutes = match datetime.offset? {
        Offset::Z => 0,
        Offset::Custom { minutes } => minutes,
    };
    let month = Month::try_from(date.month).ok()?;
    let date = Date::from_calendar_date(i32::from(date.year), month, date.day).ok()?;
    let time = Time::from_hms_nano(time.hour, time.minute, time.second, time.nanosecond).ok()?;
    let local = PrimitiveDateTime::new(date, time).assume_utc();
    let local_seconds = local.unix_timestamp_nanos() as f64 / NANOSECONDS_PER_SECOND;
    Some(local_seconds - f64::from(offset_minutes) * SECONDS_PER_MINUTE)
}
