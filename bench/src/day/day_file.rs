//! Day files, as `deploy/days` has them: planned work and faults with their times.

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use std::path::Path;

use super::sheet::Sheet;
use super::sheet::SheetError;

/// Time for which a trouble lasts if its entry doesn't say it.
const USUAL_SECONDS: f64 = 5.0;
/// Time from one step of a trouble to the next if its entry doesn't say it.
const USUAL_GAP: f64 = 1.0;
/// Length of a day whose file doesn't say it.
const USUAL_LENGTH: f64 = 34.0;
/// Time at the beginning and the end of a drawn day without troubles.
const DRAWN_MARGIN: f64 = 4.0;

/// One entry of planned work or faults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Name of the kind.
    pub kind: String,
    /// Seconds from the start of the callers. A sheet's list has none.
    #[serde(default)]
    pub at: f64,
    /// Seconds for which it lasts.
    pub for_s: Option<f64>,
    /// Seconds from one step to the next.
    pub gap_s: Option<f64>,
    /// Share of what it may strike.
    pub share: Option<f64>,
    /// Number of those instead.
    pub count: Option<usize>,
    /// How strong it is.
    pub x: Option<f64>,
    /// Its variants, in words.
    #[serde(default)]
    pub how: String,
    /// Class of hosts.
    pub on: Option<String>,
    /// Data centre, or `None` for any.
    pub zone: Option<String>,
    /// Data centre of the callers that it strikes, or `None` for all.
    pub to_zone: Option<String>,
    /// Region, or `None` for any.
    pub region: Option<String>,
    /// Service, or `None` for any.
    pub service: Option<String>,
    /// Route.
    pub class: Option<String>,
}

impl Trouble {
    /// Returns how long it lasts in seconds.
    pub fn seconds(&self) -> f64 {
        self.for_s.unwrap_or(USUAL_SECONDS)
    }

    /// Returns the seconds from one step to the next.
    pub fn gap(&self) -> f64 {
        self.gap_s.unwrap_or(USUAL_GAP)
    }

    /// Returns whether `how` has this word.
    pub fn has(&self, word: &str) -> bool {
        self.how.split_whitespace().any(|it| it == word)
    }

    /// Returns how many of `all` it strikes: its count, or its share or else `usual_share`, at least one.
    pub fn number_of(&self, all: usize, usual_share: f64) -> usize {
        let share = self.share.unwrap_or(usual_share);
        let number = self.count.unwrap_or((share * all as f64).ceil() as usize);
        number.clamp(1, all.max(1)).min(all)
    }

    /// Returns whether it is planned work of an operator, wherever it stands.
    pub fn is_planned(&self) -> bool {
        const PLANNED: [&str; 11] = [
            "add_nodes",
            "big_config",
            "config_change",
            "config_storm",
            "hup",
            "idle",
            "release",
            "revoke",
            "roll_term",
            "scale_in",
            "scale_out",
        ];
        PLANNED.contains(&self.kind.as_str())
    }

    /// Puts the names of `sheet` where `@c0`, `@s0` and `@z0` stand for its routes, services and data centres; returns `None` if it
    /// doesn't have them.
    fn named_by(mut self, sheet: &Sheet) -> Option<Self> {
        let routes = || sheet.routes.iter().map(|route| route.name.as_str());
        let services = || sheet.services.iter().map(|service| service.name.as_str());
        let places = || sheet.data_centres.iter().map(|place| place.name.as_str());
        named(&mut self.class, "@c", &routes().collect::<Vec<_>>())?;
        named(&mut self.service, "@s", &services().collect::<Vec<_>>())?;
        let places = places().collect::<Vec<_>>();
        named(&mut self.zone, "@z", &places)?;
        named(&mut self.to_zone, "@z", &places)?;
        Some(self)
    }
}

/// Replaces `mark` with a number by that one of `names`; returns `None` if it names none of them.
fn named(name: &mut Option<String>, mark: &str, names: &[&str]) -> Option<()> {
    let Some(given) = name else {
        return Some(());
    };
    if let Some(number) = given.strip_prefix(mark) {
        let number: usize = number.parse().ok()?;
        *given = (*names.get(number)?).to_owned();
        return Some(());
    }
    names.contains(&given.as_str()).then_some(())
}

/// What strikes at the end of a day, and how long the fleet is down then.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Closing {
    /// Name of the kind.
    pub kind: String,
    /// Seconds for which the fleet is down.
    #[serde(default = "usual_down")]
    pub down_s: f64,
    /// Its variants, in words.
    #[serde(default)]
    pub how: String,
}

fn usual_down() -> f64 {
    3.0
}

/// What differs for a route on a day.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteChange {
    /// Name of the route. Days for other sheets name routes that this one doesn't have.
    pub name: String,
    /// Attempts of a caller beside the first.
    pub retries: Option<u32>,
}

/// A day.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Name of the day.
    pub name: String,
    /// Seed if the command line has none.
    #[serde(default)]
    pub seed: u64,
    /// Seconds for which callers send.
    #[serde(default = "usual_length")]
    pub length_s: f64,
    /// Planned work.
    #[serde(default)]
    pub plan: Vec<Trouble>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Trouble>,
    /// What strikes at the end.
    pub closing: Option<Closing>,
    /// Label of days of one kind, which changes nothing.
    pub slot: Option<String>,
    /// What differs for routes.
    #[serde(default)]
    pub classes: Vec<RouteChange>,
}

fn usual_length() -> f64 {
    USUAL_LENGTH
}

#[derive(Deserialize)]
struct DayFile {
    day: Option<Vec<Day>>,
}

impl Day {
    /// Returns a day of this length without troubles.
    pub fn quiet(length_s: f64) -> Self {
        Self {
            name: "quiet".to_owned(),
            seed: 1,
            length_s,
            plan: Vec::new(),
            faults: Vec::new(),
            closing: None,
            slot: None,
            classes: Vec::new(),
        }
    }

    /// Reads a day file for `sheet`. A file may hold one day at its top level, or several as `[[day]]`, of which the first is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or names what the sheet doesn't have.
    pub fn read(path: &Path, sheet: &Sheet) -> Result<Self, SheetError> {
        let form = |err| SheetError::Form(path.to_owned(), Box::new(err));
        let text =
            std::fs::read_to_string(path).map_err(|err| SheetError::Read(path.to_owned(), err))?;
        let file: DayFile = toml::from_str(&text).map_err(form)?;
        let first = file.day.and_then(|days| days.into_iter().next());
        let mut day = match first {
            Some(day) => day,
            None => toml::from_str(&text).map_err(form)?,
        };
        for list in [&mut day.plan, &mut day.faults] {
            for trouble in std::mem::take(list) {
                let kind = trouble.kind.clone();
                let named = trouble.named_by(sheet).ok_or_else(|| {
                    let problem = format!("{kind} names what the sheet doesn't have");
                    SheetError::Content(path.to_owned(), problem)
                })?;
                list.push(named);
            }
        }
        Ok(day)
    }

    /// Draws a day from the sheet's list of troubles: as many as fit, each alone and then with a second one of the list. `kinds`
    /// limits the first ones, if there are any.
    pub fn draw(sheet: &Sheet, kinds: &[String], length_s: f64, rng: &mut impl Rng) -> Self {
        let is_picked = |trouble: &&Trouble| kinds.is_empty() || kinds.contains(&trouble.kind);
        let picked: Vec<&Trouble> = sheet.troubles.iter().filter(is_picked).collect();
        let mut day = Self::quiet(length_s);
        day.name = "drawn".to_owned();
        let mut at = DRAWN_MARGIN;
        let mut is_pair = false;
        while let Some(first) = picked.choose(rng).copied() {
            let mut drawn = vec![first.clone()];
            if is_pair {
                drawn.extend(sheet.troubles.choose(rng).cloned());
            }
            let longest = drawn.iter().map(Trouble::seconds).fold(0.0, f64::max);
            if at + longest > length_s - DRAWN_MARGIN
                && !(day.plan.is_empty() && day.faults.is_empty())
            {
                break;
            }
            for (number, mut trouble) in drawn.into_iter().enumerate() {
                let later = rng.random_range(0.0..longest.max(0.1)) * 0.6;
                trouble.at = if number == 0 { at } else { at + later };
                let list = if trouble.is_planned() {
                    &mut day.plan
                } else {
                    &mut day.faults
                };
                list.push(trouble);
            }
            at += longest + DRAWN_MARGIN;
            is_pair = !is_pair;
        }
        day
    }

    /// Makes the changes of the day to the routes of its sheet.
    pub fn change_routes(&self, sheet: &mut Sheet) {
        for change in &self.classes {
            let mut routes = sheet.routes.iter_mut();
            let route = routes.find(|route| route.name == change.name);
            if let (Some(route), Some(retries)) = (route, change.retries) {
                route.caller_retries = retries;
            }
        }
    }

    /// Returns planned work and faults in the order of their times.
    pub fn troubles(&self) -> Vec<(Trouble, bool)> {
        let plan = self.plan.iter().map(|trouble| (trouble.clone(), true));
        let faults = self.faults.iter().map(|trouble| (trouble.clone(), false));
        let mut all: Vec<(Trouble, bool)> = plan.chain(faults).collect();
        all.sort_by(|(one, _), (other, _)| one.at.total_cmp(&other.at));
        all
    }
}

#[cfg(test)]
mod tests;
