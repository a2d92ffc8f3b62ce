//! Look-ups by name and key in one document.

use std::sync::Arc;

use config::{Document, Index};

const DOCUMENT: &[u8] = br#"{"revision":7,"goal":"recovery","retry_budget":3,"retry_percent":10,
"services":[
 {"name":"caja","slots":20,"connections":230,"refusal_means_not_run":false,"operations":[
  {"name":"charge","class":"critical","worth":40,"repeatable":false,"entry":false,"deadline_ms":900,"calls":[]},
  {"name":"quote","class":"standard","worth":1,"repeatable":true,"entry":false,"deadline_ms":300,"calls":[]}]},
 {"name":"reservas","slots":160,"connections":1000,"refusal_means_not_run":false,"operations":[
  {"name":"book","class":"critical","worth":40,"repeatable":false,"entry":true,"deadline_ms":1500,
   "calls":["caja/charge","caja/quote"]}]}]}"#;

#[test]
fn names_and_keys_resolve_to_each_other() {
    let index = Index::new(Arc::new(Document::parse(DOCUMENT).unwrap()));
    let reservas = index.service_key("reservas").unwrap();
    let book = index.operation_key(reservas, "book").unwrap();
    assert_eq!(index.operation(book).name.as_str(), "book");
    assert_eq!(index.service_of(book), reservas);
    assert_eq!(index.operation_by_path("reservas/book"), Some(book));
    let callees: Vec<&str> = index
        .callees(book)
        .iter()
        .map(|&key| index.operation(key).name.as_str())
        .collect();
    assert_eq!(callees, ["charge", "quote"]);
    assert_eq!(index.operation_key(reservas, "charge"), None);
    assert_eq!(index.service_key("rutas"), None);
    assert_eq!(index.operation_by_path("reservas"), None);
}
