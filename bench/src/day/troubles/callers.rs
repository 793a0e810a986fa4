//! Troubles of callers: they are handed to the callers before the day, and only recorded when their time comes.

use super::Scene;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;

/// Returns whether callers play a trouble.
pub fn is_of_callers(trouble: &Trouble) -> bool {
    const KINDS: [&str; 6] = [
        "burst",
        "hot_key",
        "hot_tenant",
        "give_up",
        "retry_abuse",
        "unnamed",
    ];
    KINDS.contains(&trouble.kind.as_str())
}

/// Records a trouble while it lasts.
pub(super) async fn play(scene: &Scene, trouble: &Trouble) {
    let words = [&trouble.zone, &trouble.class].map(|word| word.as_deref().unwrap_or("all"));
    let what = format!("data centre {}, route {}", words[0], words[1]);
    let record = scene.begin(trouble, &what, Struck::default());
    scene.wait_out(trouble).await;
    scene.journal.end(record);
}
