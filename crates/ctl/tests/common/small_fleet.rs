//! A fleet of two services with one target each.

use daemon::Identity;
use model::Revision;
use standin::{LocalFleet, Plan, TargetConfig};
use survey::Answers;

/// Size of the answers that `berylctl load` expects, in bytes.
pub(crate) const ANSWER_BYTES: usize = 512;

/// Questionnaire answers that describe the fleet.
pub(crate) const ANSWERS: &str = "\
[fleet]
name = small
goal = goodput
data_centres = norte-a
retry_budget = 3
retry_percent = 10
services = caja, reservas

[service caja]
targets_per_data_centre = 1
slots = 20
connections = 100
refusal_means_not_run = no
operations = charge

[operation caja/charge]
class = critical
worth = 40
repeatable = no
entry = no
calls =
deadline_ms = 1000
usual_ms = 5
rate_per_s = 0
objective_percent = 99

[service reservas]
targets_per_data_centre = 1
slots = 20
connections = 100
refusal_means_not_run = no
operations = book, browse

[operation reservas/book]
class = critical
worth = 40
repeatable = no
entry = yes
calls = caja/charge
deadline_ms = 2000
usual_ms = 10
rate_per_s = 20
objective_percent = 99

[operation reservas/browse]
class = browse
worth = 2
repeatable = yes
entry = yes
calls =
deadline_ms = 1000
usual_ms = 5
rate_per_s = 20
objective_percent = 97
";

/// Starts the fleet with the given plans for its entry operations, `reservas/book` and
/// `reservas/browse`.
pub(crate) async fn start(book: Plan, browse: Plan) -> LocalFleet {
    let answers = Answers::read("small.ini", ANSWERS.as_bytes()).unwrap();
    let document = answers.generate("small.ini", Revision::default()).unwrap();
    let identity = |service: &str| Identity {
        id: format!("{service}-1").into(),
        service: service.into(),
        data_centre: "norte-a".into(),
        region: "norte".into(),
    };
    let target = |service: &str| TargetConfig::new(service, &format!("{service}-1"), 20);
    let reservas = target("reservas").plan("book", book).plan("browse", browse);
    let instances = vec![
        (identity("caja"), target("caja")),
        (identity("reservas"), reservas),
    ];
    LocalFleet::start(&document, instances).await.unwrap()
}
