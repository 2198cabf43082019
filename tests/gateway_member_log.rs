//! Log lines on instances that join and leave.

use std::time::Duration;

use gentianpath::gateway::change_log::{MemberChange, MemberLog, Omitted};

/// Guards against logs that grow with the square of the fleet when its instances leave and join
/// again, and against changes that no line counts.
#[test]
fn changes_of_a_large_fleet_write_a_bounded_number_of_lines() {
    for instances in [20, 110, 300] {
        let mut log = MemberLog::default();
        let (mut lines, mut summaries) = (0, 0);
        let mut counted = Omitted::default();
        // Each of the others leaves and joins again in each second of 40.
        for second in 0..40 {
            let now = Duration::from_secs(second);
            for _ in 0..instances {
                for change in [MemberChange::Left, MemberChange::Joined] {
                    lines += usize::from(log.admit(change, now));
                }
            }
            let omitted = log.take_omitted(now + Duration::from_millis(30));
            summaries += usize::from(omitted.is_some());
            let omitted = omitted.unwrap_or_default();
            counted.joined += omitted.joined;
            counted.left += omitted.left;
        }
        let omitted = log.take_omitted(Duration::from_secs(60));
        summaries += usize::from(omitted.is_some());
        let omitted = omitted.unwrap_or_default();
        counted.joined += omitted.joined;
        counted.left += omitted.left;
        assert!(
            lines + summaries <= 55,
            "{lines} lines, {summaries} summaries"
        );
        assert_eq!(lines + counted.joined + counted.left, 80 * instances);
    }
}

/// Guards against a small fleet whose changes are counted instead of named.
#[test]
fn single_changes_get_a_line_each() {
    let mut log = MemberLog::default();
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert_eq!(log.take_omitted(now), None);
        assert!(log.admit(MemberChange::Left, now), "second {second}");
    }
}
