/*!
A questionnaire about a fleet, and the generator of its configuration document.

The operators' answers are kept in an INI file that can be reviewed and edited. Reading and
checking it report all faults found at once, each with file, section, key and a remedy. From valid
answers the crate generates a [`config::Document`]; equal answers give the same bytes.

```
use survey::Answers;

let error = Answers::read("answers.ini", b"[fleet]\ngoal = fastest\n").unwrap_err();
let lines = error.to_string();
assert!(lines.contains(
    "answers.ini: [fleet] goal: \"fastest\" is not a goal; allowed: goodput, recovery"
));
```

# Contents

* [`Interview`]: asks the open questions in order; can be interrupted and resumed
* [`Draft`]: an answers file as text, complete or not
* [`Answers`]: complete answers as typed values; `read`, `check` and `generate`
* [`Key`]: a key of the file with its question and help text
* [`diff`](diff()): describes the effect of changed answers
* [`Error`]: every [`Fault`] found in an answers file
*/
#![deny(missing_docs)]

mod answers;
mod check;
mod demand;
mod diff;
mod draft;
mod fault;
mod generate;
mod interview;
mod read;
mod schema;
mod value;

pub use crate::answers::{Answers, FleetAnswers, OperationAnswers, ServiceAnswers};
pub use crate::diff::diff;
pub use crate::draft::{Draft, MAX_ANSWERS_BYTES};
pub use crate::fault::{Error, Fault};
pub use crate::interview::{Interview, Question};
pub use crate::schema::Key;
