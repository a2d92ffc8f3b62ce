//! Load, dependencies, admission shares and state versions that daemons piggyback on requests and
//! answers.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use model::{InstanceId, ServiceName};
use policy::{AdmissionShare, Load};
use routes::StampDiff;
use smol_str::SmolStr;
use tokio::time::Instant;
use wire::hop::{CALLED_BY_TARGETS, DOWNSTREAM_SERVICES, SERVICE_SHARES, TARGET_SHARE, VIEW};
use wire::{ServiceShare, ViewStamp};

use crate::admission::LoadReport;
use crate::crash_news;
use crate::pull;
use crate::relay::Relay;
use crate::source::PublishedState;

/// Load, run time and admission share of a target, as reported with an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetReport {
    /// Load of the target; `None` if the daemon reported none.
    pub(crate) load: Option<Load>,
    /// Mean run time in the target.
    pub(crate) run_time: Duration,
    pub(crate) share: AdmissionShare,
}

impl From<LoadReport> for TargetReport {
    fn from(report: LoadReport) -> Self {
        TargetReport {
            load: Some(report.load),
            run_time: report.run_time,
            share: report.share,
        }
    }
}

/// Services that runs of a route in the local target depend on; the local service comes first.
fn downstream_services(relay: &Relay, route: &SmolStr) -> Vec<ServiceName> {
    let mut services = relay.dependencies.borrow().downstream_of_runs(route);
    services.retain(|service| *service != relay.cfg.service);
    services.insert(0, relay.cfg.service.clone());
    services
}

/// Records that a request of a route was forwarded by the daemon at an address, which may be this
/// one.
pub(crate) fn record_origin(relay: &Relay, route: &SmolStr, from: IpAddr) {
    let daemon_locations = relay.daemon_locations.borrow();
    if let Some(location) = daemon_locations.by_ip.get(&from) {
        let mut origins = relay.origins.borrow_mut();
        origins.record(route, location, &daemon_locations.counts);
    }
}

/// Records a request that originated here and ran in the local target, with the same data that
/// other daemons get with an answer.
pub(crate) fn record_local_run(relay: &Relay, route: &SmolStr) -> TargetReport {
    record_origin(relay, route, relay.cfg.target.ip());
    let services = downstream_services(relay, route);
    let is_called_by_targets = relay.origins.borrow().is_called_by_targets(route);
    let mut dependencies = relay.dependencies.borrow_mut();
    dependencies.set_reported(route, services.into_iter(), is_called_by_targets);
    TargetReport::from(relay.admission.report(Instant::now()))
}

/// Adds the downstream services of a route, the admission share of the local target and those of
/// all known services to the headers of an answer.
pub(crate) fn write_answer_headers(
    relay: &Relay,
    route: &SmolStr,
    share: AdmissionShare,
    headers: &mut HeaderMap,
) {
    let mut text = String::new();
    for service in downstream_services(relay, route) {
        let separator = if text.is_empty() { "" } else { " " };
        // Writing to a `String` can't fail.
        let _ = write!(text, "{separator}{service}");
    }
    // The target's answer may contain headers with these names.
    headers.remove(CALLED_BY_TARGETS);
    headers.remove(SERVICE_SHARES);
    headers.insert(TARGET_SHARE, HeaderValue::from(u16::from(share)));
    insert(headers, DOWNSTREAM_SERVICES, &text);
    if relay.origins.borrow().is_called_by_targets(route) {
        headers.insert(CALLED_BY_TARGETS, HeaderValue::from_static("1"));
    }
    write_service_shares(relay, headers);
}

/// Adds the admission shares of all known services to the headers of an answer.
pub(crate) fn write_service_shares(relay: &Relay, headers: &mut HeaderMap) {
    let mut text = String::new();
    let now = Instant::now().into_std();
    let shares = relay.shares.borrow();
    for (service, share, age) in shares.iter(now) {
        let entry = ServiceShare {
            service: service.clone(),
            share: share.into(),
            age,
        };
        let separator = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{separator}{entry}");
    }
    if !text.is_empty() {
        insert(headers, SERVICE_SHARES, &text);
    }
}

/// Adds the versions of the published states held here to the headers of a request or an answer.
pub(crate) fn write_view_stamp(relay: &Relay, headers: &mut HeaderMap) {
    let stamp = relay.view.borrow().stamp(Instant::now());
    insert(headers, VIEW, &stamp.to_string());
    crash_news::write_digest(relay, headers);
}

/// Removes the header that [`write_view_stamp`] added, and starts to fetch the states of which the
/// other daemon holds a newer version.
pub(crate) fn take_view_stamp(relay: &Rc<Relay>, from: SocketAddr, headers: &mut HeaderMap) {
    let diff = merge_view_stamp(relay, from, headers);
    if diff.newer_table {
        pull::spawn_fetch(relay, from, PublishedState::Table);
    }
    if diff.newer_targets {
        pull::spawn_fetch(relay, from, PublishedState::Targets);
    }
}

/// Removes the header that [`write_view_stamp`] added, and returns what the other daemon has that
/// this one lacks.
pub(crate) fn merge_view_stamp(
    relay: &Rc<Relay>,
    from: SocketAddr,
    headers: &mut HeaderMap,
) -> StampDiff {
    crash_news::take_digest(relay, from, headers);
    let Some(value) = headers.remove(VIEW) else {
        return StampDiff::default();
    };
    let text = value.to_str().ok();
    let Some(stamp) = text.and_then(|text| text.parse::<ViewStamp>().ok()) else {
        log::debug!(from:%; "malformed view stamp ignored");
        return StampDiff::default();
    };
    relay.view.borrow_mut().merge_stamp(stamp, Instant::now())
}

/// Removes the admission share of the answering target from the headers of its answer. Daemons of
/// earlier versions report none, which limits nothing.
pub(crate) fn take_target_share(headers: &mut HeaderMap) -> AdmissionShare {
    let Some(value) = headers.remove(TARGET_SHARE) else {
        return AdmissionShare::ALL;
    };
    let share = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u16>().ok());
    share.map_or_else(
        || {
            log::debug!(value:?; "malformed target share ignored");
            AdmissionShare::ALL
        },
        AdmissionShare::from,
    )
}

/// Removes the headers that [`write_answer_headers`] added to an answer, and records their content.
pub(crate) fn take_answer_headers(relay: &Relay, route: &SmolStr, headers: &mut HeaderMap) {
    let is_called_by_targets = headers.remove(CALLED_BY_TARGETS).is_some();
    if let Some(value) = headers.remove(DOWNSTREAM_SERVICES)
        && let Ok(text) = value.to_str()
    {
        let services = text.split(' ').map(ServiceName::from);
        let mut dependencies = relay.dependencies.borrow_mut();
        dependencies.set_reported(route, services, is_called_by_targets);
    }
    take_service_shares(relay, headers);
}

/// Removes the header that [`write_service_shares`] added, and records its content.
pub(crate) fn take_service_shares(relay: &Relay, headers: &mut HeaderMap) {
    let Some(value) = headers.remove(SERVICE_SHARES) else {
        return;
    };
    let now = Instant::now().into_std();
    for text in value.to_str().unwrap_or_default().split(',') {
        match text.parse::<ServiceShare>() {
            Ok(reported) => {
                let share = AdmissionShare::from(reported.share);
                let mut shares = relay.shares.borrow_mut();
                shares.merge(&reported.service, share, reported.age, now);
            }
            Err(error) => log::debug!(error:%; "malformed share ignored"),
        }
    }
    let service_share = relay.shares.borrow().get(&relay.cfg.service, now);
    relay
        .admission
        .set_service_share(service_share.map(|(share, _)| share));
}

/// Records the admission share that a target reported.
pub(crate) fn record_report(
    relay: &Relay,
    service: &ServiceName,
    target: &InstanceId,
    report: &TargetReport,
) {
    if report.load.is_none() {
        return;
    }
    let now = Instant::now().into_std();
    relay
        .shares
        .borrow_mut()
        .record_report(service, report.share, now);
    log::trace!(target_id = target.as_str(), share:% = report.share; "target share reported");
}

/// Adds a header, unless its value has characters that a header must not contain.
pub(crate) fn insert(headers: &mut HeaderMap, name: http::HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::debug!(error:%; "header omitted"),
    }
}
