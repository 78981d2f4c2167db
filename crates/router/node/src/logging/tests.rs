//! Tests of the format of log lines.

use super::Quoted;
use std::cell::RefCell;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Captures the lines that the current thread logs.
struct CapturingLogger;

impl log::Log for CapturingLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        LINES.with_borrow_mut(|lines| lines.push(format!("{} {}", record.level(), record.args())));
    }

    fn flush(&self) {}
}

#[test]
fn an_event_is_logged_as_one_line_of_keys_and_values() {
    log::set_logger(&CapturingLogger).expect("the only logger of this program");
    log::set_max_level(log::LevelFilter::Info);
    log_event!(info, "reloaded");
    log_event!(warn, "accept_failed", listener = "control", problem = Quoted("too many open files"));
    log_event!(error, "disk_open", member = format_args!("{:016x}", 17), index = 3);
    log_event!(debug, "frame_lost", to = "nobody");
    let lines = LINES.with_borrow(Vec::clone);
    assert_eq!(
        lines,
        [
            "INFO event=reloaded",
            "WARN event=accept_failed listener=control problem=\"too many open files\"",
            "ERROR event=disk_open member=0000000000000011 index=3",
        ]
    );
}
