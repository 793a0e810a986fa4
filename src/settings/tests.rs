use super::Settings;
use super::SettingsError;

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn valid_text() -> String {
    format!(
        "[node]\nname = n1\ndata_centre = gavle\nregion = north\ncaller_address = 127.0.0.1:1\n\
         peer_address = 127.0.0.1:2\noperations_address = 127.0.0.1:3\nkey = {KEY}\n\
         [platform]\nlog_address = 127.0.0.1:4\nhost_list_address = 127.0.0.1:5\n"
    )
}

fn problems_of(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Err(SettingsError::Invalid { problems, .. }) => {
            problems.iter().map(ToString::to_string).collect()
        }
        other => panic!("expected problems, got {other:?}"),
    }
}

#[test]
fn minimal_settings_are_accepted() {
    let text = valid_text();

    let settings = Settings::parse(&text).unwrap();

    assert_eq!(settings.node.name, "n1");
    assert_eq!(settings.node.key.as_bytes()[31], 0x1f);
}

#[test]
fn all_problems_are_reported_together() {
    let text = valid_text()
        .replace("name = n1\n", "")
        .replace("127.0.0.1:4", "localhost:4")
        + "[entry]\nmax_body_byte = 5\n[extra]\nkey = 1\n";

    let problems = problems_of(&text);

    assert_eq!(problems.len(), 4, "{problems:?}");
    assert!(problems[0].starts_with("[node] name: missing; accepted: a name"));
    assert!(problems[1].starts_with("[platform] log_address: not an accepted value"));
    assert!(problems[2].starts_with("[entry] max_body_byte: unknown key; accepted: "));
    assert!(problems[3].starts_with("[extra] *: unknown section"));
}

#[test]
fn problems_of_a_file_contain_its_path_and_line() {
    let path = std::env::temp_dir().join(format!("cb-{}-lines.ini", std::process::id()));
    let text = valid_text().replace("127.0.0.1:4", "localhost:4") + "[entry]\nspeed = 1\n";
    std::fs::write(&path, text).unwrap();

    let err = Settings::load(&path).unwrap_err().to_string();

    std::fs::remove_file(&path).unwrap();
    let location = |line: usize, key: &str| format!("{}:{line}: {key}:", path.display());
    assert!(
        err.contains(&location(10, "[platform] log_address")),
        "{err}"
    );
    assert!(err.contains(&location(13, "[entry] speed")), "{err}");
}

#[test]
fn an_invalid_key_does_not_appear_in_its_problem() {
    let text = valid_text().replace(KEY, "secret-but-short");

    let problems = problems_of(&text);

    assert_eq!(problems.len(), 1);
    assert!(!problems[0].contains("secret"));
    assert!(problems[0].contains("64 hex digits"));
}

#[test]
fn arbitrary_text_is_rejected_without_a_panic() {
    crate::tests::check(|u| {
        let text: String = u.arbitrary()?;
        let known = Settings::known_keys();
        let (section, key) = u.choose(&known)?;
        let (value, number): (String, i64) = u.arbitrary()?;

        for text in [
            text,
            format!("[{section}]\n{key} = {value}\n"),
            format!("[{section}]\n{key} = {number}\n"),
        ] {
            assert!(Settings::parse(&text).is_err());
        }
        Ok(())
    });
}
