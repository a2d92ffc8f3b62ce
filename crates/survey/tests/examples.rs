//! The example answers files of two customers: documents generated from them, differences between
//! versions, and an interview that gives the same answers.

use config::Document;
use insta::assert_snapshot;
use model::Revision;
use survey::{Answers, Draft, Interview, diff};

const ARRIAGA: &str = include_str!("../../../examples/arriaga.ini");
const AUSTRAL: &str = include_str!("../../../examples/austral.ini");

fn answers(text: &str) -> Answers {
    Answers::read("answers.ini", text.as_bytes()).unwrap()
}

#[test]
fn example_answers_generate_a_valid_document() {
    for text in [ARRIAGA, AUSTRAL] {
        let document = answers(text)
            .generate("answers.ini", Revision::from(41))
            .unwrap();
        assert_eq!(document.revision, Revision::from(42));
        assert_eq!(Document::parse(&document.to_bytes()).unwrap(), document);
    }
}

#[test]
fn equal_answers_give_equal_bytes_in_any_order() {
    let generate = |text: &str| {
        let document = answers(text).generate("answers.ini", Revision::from(1));
        document.unwrap().to_bytes()
    };
    let mut sections: Vec<&str> = ARRIAGA.trim_end().split("\n\n").collect();
    sections.reverse();
    let shuffled = sections.join("\n\n") + "\n";
    let shuffled = shuffled.replace(
        "services = caja, fleet, reservas, rutas",
        "services = rutas, caja, reservas, fleet",
    );
    assert_eq!(generate(ARRIAGA), generate(&shuffled));
    assert_eq!(generate(ARRIAGA), generate(ARRIAGA));
}

#[test]
fn formatted_answers_parse_to_the_same_answers() {
    for text in [ARRIAGA, AUSTRAL] {
        let before = answers(text);
        assert_eq!(answers(&before.to_draft().to_text()), before);
    }
}

#[test]
fn diff_describes_each_change() {
    let changed = ARRIAGA
        .replace("goal = goodput", "goal = recovery")
        .replace("slots = 20\n", "slots = 25\n")
        .replace("operations = charge, quote", "operations = charge")
        .replace("caja/quote, fleet/machines", "fleet/machines")
        .replace("deadline_ms = 10000", "deadline_ms = 8000")
        .replace(
            "class = bulk\nworth = 3\nrepeatable = yes",
            "class = browse\nworth = 4\nrepeatable = no",
        );
    let start = changed.find("[operation caja/quote]").unwrap();
    let end = changed.find("[service fleet]").unwrap();
    let changed = format!("{}{}", &changed[..start], &changed[end..]);
    assert_snapshot!(diff(&answers(ARRIAGA), &answers(&changed)).join("\n"), @r"
    fleet: within a class, requests that are sure to finish in time now run first; an overload ends sooner
    caja: each target now runs up to 25 requests at a time instead of 20
    caja/quote: the operation goes; calls to it are answered not-run, invalid
    reservas/availability: calls to caja/quote are now refused
    rutas/pack: requests that enter here are now shed later: class browse instead of bulk
    rutas/pack: one whole answer now counts 4 instead of 3
    rutas/pack: now run at most once: callers need an idempotency key and a ticket, and an unknown outcome is never sent again
    rutas/pack: an answer is now of use for 8000 ms instead of 10000 ms; later work is dropped
    ");
    assert!(diff(&answers(ARRIAGA), &answers(ARRIAGA)).is_empty());
}

#[test]
fn interview_resumes_from_a_saved_draft() {
    let complete = Draft::read("answers.ini", AUSTRAL.as_bytes()).unwrap();
    let mut interview = Interview::default();
    let mut asked = 0;
    while let Some(question) = interview.next_question() {
        let value = complete
            .value(&question.section, question.key.name)
            .unwrap();
        interview.answer(&question, value).unwrap();
        asked += 1;
        if asked % 7 == 0 {
            let saved = interview.draft().to_text();
            let draft = Draft::read("answers.ini", saved.as_bytes()).unwrap();
            interview = Interview::resume(draft);
        }
    }
    let result = Answers::from_draft("answers.ini", interview.draft()).unwrap();
    assert_eq!(result, answers(AUSTRAL));
}

#[test]
fn invalid_answer_keeps_the_question_open() {
    let mut interview = Interview::default();
    let question = interview.next_question().unwrap();
    assert_snapshot!(interview.answer(&question, "two words").unwrap_err(), @r#"[fleet] name: "two words" is not a name; allowed: 1 to 63 ASCII letters, digits, '-', '_' and '.', beginning with a letter or digit"#);
    assert_snapshot!(interview.answer(&question, "").unwrap_err(), @r#"[fleet] name: "" is not a name; allowed: 1 to 63 ASCII letters, digits, '-', '_' and '.', beginning with a letter or digit"#);
    assert_eq!(
        interview.next_question().unwrap().key.name,
        question.key.name
    );
}
