use super::merge;

fn line(node: &str, hlc: &str, event: &str) -> String {
    format!(r#"{{"node":"{node}","hlc":"{hlc}","event":"{event}"}}"#)
}

#[test]
fn lines_of_two_processes_come_in_the_order_of_their_stamps() {
    let mut lines = Vec::new();
    merge::read(&line("n1", "900/a", "attempt_sent"), &mut lines);
    merge::read(&line("n1", "1100/a", "request_ended"), &mut lines);
    merge::read("not a line of ours", &mut lines);
    merge::read(&line("n2", "1000/b", "attempt_received"), &mut lines);

    merge::sort(&mut lines);

    let events: Vec<&str> = lines.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(
        events,
        ["attempt_sent", "attempt_received", "request_ended"]
    );
}
