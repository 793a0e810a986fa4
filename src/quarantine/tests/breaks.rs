//! Requests that break off at servers which are back before anybody finds them gone.

use crate::catalog::BackendServer;
use crate::catalog::ServerEntry;
use crate::clock::BootInstant;
use crate::decide::Suspect;
use crate::quarantine::breaks::Breaks;
use std::time::Duration;

fn server(id: &str, start_time_ms: u64, port: u16) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        entry: ServerEntry {
            service: "app".to_owned(),
            address: ([127, 0, 0, 1], port).into(),
            data_centre: "north".to_owned(),
            software_version: None,
            slots: 8,
            is_draining: false,
            cold_left: Duration::ZERO,
            sequence: 1,
            start_time_ms,
        },
    }
}

fn suspect() -> Suspect {
    Suspect {
        request: 1,
        parts: Vec::new(),
        whole: Some(7),
        sent_at: BootInstant::now(),
    }
}

#[test]
fn a_break_is_a_crash_where_the_server_has_restarted_or_another_has_its_address() {
    let now = BootInstant::now();
    let lists = [
        vec![server("a", 2, 80)],
        vec![server("a", 1, 80), server("b", 2, 80)],
        vec![server("b", 2, 80)],
    ];
    for listed in lists {
        let mut breaks = Breaks::default();
        breaks.record(&server("a", 1, 80), suspect(), now);

        let crashes = breaks.take_crashes(&listed, now);

        assert_eq!(crashes.len(), 1, "{listed:?}");
        assert_eq!(crashes[0].at, now);
        assert!(breaks.is_empty());
    }
}

#[test]
fn a_break_at_a_server_that_only_reset_a_connection_is_forgotten() {
    let now = BootInstant::now();
    let mut breaks = Breaks::default();
    breaks.record(&server("a", 1, 80), suspect(), now);
    let listed = [server("a", 1, 80), server("b", 1, 81)];

    let soon = breaks.take_crashes(&listed, now.plus(Duration::from_secs(1)));
    let late = breaks.take_crashes(&[server("a", 2, 80)], now.plus(Duration::from_secs(4)));

    assert!(soon.is_empty());
    assert!(late.is_empty());
    assert!(breaks.is_empty());
}

#[test]
fn a_break_at_a_server_whose_predecessor_is_still_listed_is_no_crash() {
    let now = BootInstant::now();
    let mut breaks = Breaks::default();
    breaks.record(&server("new", 2, 80), suspect(), now);
    let listed = [server("new", 2, 80), server("old", 1, 80)];

    let crashes = breaks.take_crashes(&listed, now.plus(Duration::from_millis(100)));

    assert!(crashes.is_empty());
}
