//! What daemons tell each other with each answer, beside the answer itself.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use model::{InstanceId, ServiceName};
use policy::{Load, Pressure};
use smol_str::SmolStr;
use tokio::time::Instant;
use wire::hop::{CALLED_BY_TARGETS, DOWNSTREAM_SERVICES, PRESSURES, VIEW};
use wire::{ServicePressure, ViewStamp};

use crate::admission::Report;
use crate::pull;
use crate::relay::Relay;
use crate::source::PublishedState;

/// What is known of a target after a send to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word {
    pub(crate) load: Option<Load>,
    pub(crate) run_time: Duration,
    pub(crate) pressure: Pressure,
}

impl From<Report> for Word {
    fn from(report: Report) -> Self {
        Word {
            load: Some(report.load),
            run_time: report.run_time,
            pressure: report.pressure,
        }
    }
}

/// Services that runs of a route in the own target lead to, the own one first.
fn leads(relay: &Relay, route: &SmolStr) -> Vec<ServiceName> {
    let mut services = relay.leads.borrow().downstream_of_runs(route);
    services.retain(|service| *service != relay.cfg.service);
    services.insert(0, relay.cfg.service.clone());
    services
}

/// Takes note of a request that came from the daemon at an address, or from the own one.
pub(crate) fn came(relay: &Relay, route: &SmolStr, from: IpAddr) {
    let neighbours = relay.neighbours.borrow();
    if let Some(place) = neighbours.places.get(&from) {
        let mut origins = relay.origins.borrow_mut();
        origins.record(route, place, &neighbours.census);
    }
}

/// Takes note of a request that began here and ended in the own target: what other daemons
/// hear with the answer.
pub(crate) fn hear_own(relay: &Relay, route: &SmolStr) -> Word {
    came(relay, route, relay.cfg.target.ip());
    let services = leads(relay, route);
    let is_called = relay.origins.borrow().is_called_by_targets(route);
    let mut leads = relay.leads.borrow_mut();
    leads.set_reported(route, services.into_iter(), is_called);
    Word::from(relay.admission.report(Instant::now()))
}

/// Writes where a route leads and what pressures were heard into the headers of an answer.
pub(crate) fn tell(relay: &Relay, route: &SmolStr, headers: &mut HeaderMap) {
    let mut text = String::new();
    for service in leads(relay, route) {
        let space = if text.is_empty() { "" } else { " " };
        // Writing to a text can't fail.
        let _ = write!(text, "{space}{service}");
    }
    // A target may have sent headers of these names.
    headers.remove(CALLED_BY_TARGETS);
    headers.remove(PRESSURES);
    insert(headers, DOWNSTREAM_SERVICES, &text);
    if relay.origins.borrow().is_called_by_targets(route) {
        headers.insert(CALLED_BY_TARGETS, HeaderValue::from_static("1"));
    }
    text.clear();
    let now = Instant::now().into_std();
    let pressures = relay.pressures.borrow();
    for (service, pressure, age) in pressures.iter(now) {
        let heard = ServicePressure {
            service: service.clone(),
            pressure: pressure.into(),
            age,
        };
        let comma = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{comma}{heard}");
    }
    if !text.is_empty() {
        insert(headers, PRESSURES, &text);
    }
}

/// Writes what is known of the published states into the headers of a request or an answer.
pub(crate) fn tell_view(relay: &Relay, headers: &mut HeaderMap) {
    let stamp = relay.view.borrow().stamp(Instant::now());
    insert(headers, VIEW, &stamp.to_string());
}

/// Takes what [`tell_view`] wrote out of the headers; what the other daemon knows better is
/// fetched from it.
pub(crate) fn hear_view(relay: &Rc<Relay>, from: SocketAddr, headers: &mut HeaderMap) {
    let Some(value) = headers.remove(VIEW) else {
        return;
    };
    let text = value.to_str().ok();
    let Some(stamp) = text.and_then(|text| text.parse::<ViewStamp>().ok()) else {
        log::debug!(from:%; "view between daemons ignored");
        return;
    };
    let heard = relay.view.borrow_mut().hear(stamp, Instant::now());
    if heard.newer_table {
        pull::spawn_fetch(relay, from, PublishedState::Table);
    }
    if heard.newer_targets {
        pull::spawn_fetch(relay, from, PublishedState::Targets);
    }
}

/// Takes what [`tell`] wrote out of the headers of an answer.
pub(crate) fn hear(relay: &Relay, route: &SmolStr, headers: &mut HeaderMap) {
    let is_called = headers.remove(CALLED_BY_TARGETS).is_some();
    if let Some(value) = headers.remove(DOWNSTREAM_SERVICES)
        && let Ok(text) = value.to_str()
    {
        let services = text.split(' ').map(ServiceName::from);
        let mut leads = relay.leads.borrow_mut();
        leads.set_reported(route, services, is_called);
    }
    let Some(value) = headers.remove(PRESSURES) else {
        return;
    };
    let now = Instant::now().into_std();
    for text in value.to_str().unwrap_or_default().split(',') {
        match text.parse::<ServicePressure>() {
            Ok(heard) => {
                let pressure = Pressure::from(heard.pressure);
                let mut pressures = relay.pressures.borrow_mut();
                pressures.merge(&heard.service, pressure, heard.age, now);
            }
            Err(error) => log::debug!(error:%; "pressure between daemons ignored"),
        }
    }
}

/// Takes note of what a target was reported to do.
pub(crate) fn note(relay: &Relay, service: &ServiceName, target: &InstanceId, word: &Word) {
    if word.load.is_none() {
        return;
    }
    let now = Instant::now().into_std();
    relay
        .pressures
        .borrow_mut()
        .record_report(service, word.pressure, now);
    log::trace!(target_id = target.as_str(), pressure:% = word.pressure; "target reported");
}

fn insert(headers: &mut HeaderMap, name: http::HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::debug!(error:%; "header between daemons left out"),
    }
}
