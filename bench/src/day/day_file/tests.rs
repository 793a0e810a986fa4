use super::Day;
use crate::day::sheet::Sheet;
use crate::day::sheet::SheetError;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::Path;

/// Returns a sheet of `bench/sheets`.
fn sheet(name: &str) -> Sheet {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("sheets");
    Sheet::read(&folder.join(name)).expect("a good sheet")
}

/// Reads all days in a folder for a sheet; returns the names of the files that don't fit it.
fn days_that_do_not_fit(folder: &str, sheet: &Sheet) -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut others = Vec::new();
    for file in std::fs::read_dir(&folder).expect("the folder of days") {
        let path = file.expect("a file").path();
        match Day::read(&path, sheet) {
            Ok(day) => {
                assert!(!day.troubles().is_empty(), "{}", path.display());
                let names = day
                    .troubles()
                    .into_iter()
                    .flat_map(|(trouble, _)| [trouble.zone, trouble.service, trouble.class]);
                assert!(names.flatten().all(|name| !name.starts_with('@')));
            }
            Err(SheetError::Content(..)) => {
                let name = path.file_name().expect("a name");
                others.push(name.to_string_lossy().into_owned());
            }
            Err(err) => panic!("{err}"),
        }
    }
    others.sort();
    others
}

#[test]
fn all_days_of_the_project_can_be_read_for_the_sheets_that_have_what_they_name() {
    let sheets = ["fjarrkod-tolk.toml", "zawarcin-platnosci.toml"].map(sheet);

    let [first, second] = sheets
        .each_ref()
        .map(|sheet| days_that_do_not_fit("../deploy/days", sheet));
    let own = sheets
        .each_ref()
        .map(|sheet| days_that_do_not_fit("days", sheet));

    assert_eq!(own.concat(), Vec::<String>::new());
    // They name services and routes of the other one.
    assert_eq!(first, ["skewed-stops.toml"]);
    assert_eq!(second, ["rejoined.toml", "skewed.toml"]);
}

#[test]
fn a_drawn_day_is_the_same_for_the_same_seed_and_has_the_kinds_asked_for() {
    let sheet = sheet("fjarrkod-tolk.toml");
    let kinds = ["release".to_owned(), "srv_crash".to_owned()];
    let draw = |seed| Day::draw(&sheet, &kinds, 60.0, &mut StdRng::seed_from_u64(seed));

    let day = draw(3);

    assert_eq!(day, draw(3));
    assert_ne!(day, draw(4));
    let troubles = day.troubles();
    assert!(troubles.len() >= 3);
    assert!(kinds.contains(&troubles[0].0.kind));
    assert!(
        troubles
            .iter()
            .all(|(trouble, _)| trouble.at >= 4.0 && trouble.at < 60.0)
    );
}
