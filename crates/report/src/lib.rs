/*!
Service-level burn: what each daemon remembers of how requests ended, and the report
that operators read.

A daemon counts into a [`History`]; `berylctl report` reads all of them and builds a
[`Report`]. Nothing here does I/O, and times run back from the moment of reading, so that
the daemons' clocks need not agree.

```
use std::time::{Duration, Instant};
use report::{Ending, History, Report, Series};

let start = Instant::now();
let mut history = History::new(start);
let book = history.register(Series {
    class: model::Class::Critical,
    service: "reservas".into(),
    operation: "book".into(),
    objective_permille: 990,
});
history.record(book, 40, Ending::InTime, start + Duration::from_secs(1));
let report = Report::build(&[history.export(start + Duration::from_secs(2))], Vec::new());
assert!(report.to_text().contains("reservas/book"));
```

# Sections

* [`History`]: what a daemon remembers, in bounded memory
* [`HistoryExport`]: the same as read over the network
* [`Report`]: burn over several windows, budgets and overloads; text, JSON and HTML
* [`Comparison`]: an experiment's ways side by side; text, JSON and HTML
*/
#![deny(missing_docs)]

mod burn;
mod comparison;
mod counts;
mod history;
mod html;
mod overload;
mod plot;
mod report;
mod text;
mod timeline;

pub use crate::burn::{Burn, Row, Scope, Window};
pub use crate::comparison::{Comparison, Interval, Metric, Unit, Variant};
pub use crate::counts::{Counts, Ending};
pub use crate::history::{BucketExport, History, HistoryExport, Series, SeriesKey, TierExport};
pub use crate::overload::Overload;
pub use crate::report::Report;
