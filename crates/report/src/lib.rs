/*!
Error budgets of a fleet's service-level objectives and how fast they are used up: counts
how root requests ended in each daemon and builds a report for operators from the counts of
all daemons.

A daemon counts requests in a [`History`]; `berylctl report` reads the histories of all
daemons and builds a [`Report`]. Nothing here does I/O. Exported times are measured back
from the export, so the daemons' clocks need not agree.

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

* [`History`]: request counts of one daemon over time, in bounded memory
* [`HistoryExport`]: a history as it is sent over the network
* [`Report`]: burn rates over several windows, error budgets and overloads, as text, JSON
  and HTML
* [`Comparison`]: results of an experiment for several variants, as text, JSON and HTML
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
