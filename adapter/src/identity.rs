//! Whose request it is: replaces callers' keys by the names of their client accounts.
//!
//! Keys never leave the host that a caller reached. Without declared accounts, requests pass
//! unchanged.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Credential;
use wagtailbeam_decision::account::Identity;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;

use crate::entry::Driver;
use crate::ingress;
use crate::ingress::Request;

/// Longest key that is looked up, in bytes.
const KEY_MAX_BYTES: usize = 4_096;

/// `Retry-After` for an unknown key while the voters have not confirmed lately that no newer
/// configuration declares it.
const RETRY_AFTER_UNCONFIRMED: Span = Span::from_ms(500);

impl Request {
    /// Priority of the request's account, if it has one.
    pub(crate) fn priority(&self) -> Option<u32> {
        self.account.as_ref().and_then(|account| account.priority)
    }
}

impl Driver {
    /// Looks up the account of a caller's request and puts its name in the place of the key.
    /// Returns the request, and whether it may be served; requests without a route may, as they
    /// are refused for that.
    pub(crate) fn identify(&self, mut request: Request) -> (Request, bool) {
        let catalog = self.gateway.catalog();
        if !catalog.accounts.is_required() {
            return (request, true);
        }
        let credential = take_credential(&mut request.headers);
        let route = catalog.route(&request.host, request.target.path());
        let identity = match route {
            Some(route) => catalog.accounts.identify(route.open, credential),
            None => Identity::Anonymous,
        };
        let known = identity != Identity::Unknown;
        let account = match identity {
            Identity::Account(account) => Some(account),
            Identity::Anonymous | Identity::Unknown => None,
        };
        request.set_account(&self.dialect.headers().account, account);
        (request, known)
    }

    /// Finds the account of a request that another host forwards, by the name that it carries. A
    /// request that still has a key comes from an older build and is identified here; `None` if
    /// no account holds the key.
    pub(crate) fn identify_forwarded(&self, mut request: Request) -> Option<Request> {
        let accounts = &self.gateway.catalog().accounts;
        if !accounts.is_required() {
            return Some(request);
        }
        if request.headers.contains_key(header::AUTHORIZATION) {
            let (request, known) = self.identify(request);
            return known.then_some(request);
        }
        let name = &self.dialect.headers().account;
        let value = request.headers.get(name).cloned();
        let account = value.as_ref().and_then(|value| value.to_str().ok());
        request.account = account.and_then(|name| accounts.by_name(name).cloned());
        request.update_fingerprint(value.as_ref().map_or(&[], |value| value.as_bytes()));
        Some(request)
    }

    /// Refuses a request whose route needs a key that no account holds.
    pub(crate) fn refuse_unknown(&mut self, id: u64, request: &Request) {
        let route = self
            .gateway
            .catalog()
            .route(&request.host, request.target.path());
        let route = route.map(|route| route.name.clone());
        let answer = match self.feed_fresh {
            true => Answer::Refused(Refusal::UnknownKey, None),
            false => Answer::Refused(Refusal::NotRun, Some(RETRY_AFTER_UNCONFIRMED)),
        };
        let report = self.gateway.report_unsent(self.now(), route);
        self.answer_caller(id, answer, &report);
    }
}

impl Request {
    /// Sets the account and its header, in place of all headers of that name.
    fn set_account(&mut self, name: &HeaderName, account: Option<Arc<Account>>) {
        self.headers.remove(name);
        let value = account.as_ref().map(|account| account.name.as_bytes());
        if let Some(Ok(value)) = value.map(HeaderValue::from_bytes) {
            self.headers.insert(name.clone(), value);
        }
        self.update_fingerprint(value.unwrap_or_default());
        self.account = account;
    }

    fn update_fingerprint(&mut self, caller: &[u8]) {
        let Request {
            method,
            host,
            target,
            body,
            ..
        } = self;
        self.fingerprint = ingress::fingerprint(caller, method, host, target, body);
    }
}

/// Takes the key out of the headers: the token of the only `Authorization` header, if that has the
/// bearer scheme.
pub(crate) fn take_credential(headers: &mut HeaderMap) -> Credential {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let credential = match (values.next(), values.next()) {
        (Some(value), None) => parse_credential(value.as_bytes()),
        _ => Credential::Unusable,
    };
    headers.remove(header::AUTHORIZATION);
    credential
}

/// Parses the value of an `Authorization` header: the bearer scheme and a token of visible ASCII
/// characters.
fn parse_credential(value: &[u8]) -> Credential {
    let Some(split) = value.iter().position(|byte| *byte == b' ') else {
        return Credential::Unusable;
    };
    let (scheme, token) = value.split_at(split);
    let token = token.trim_ascii();
    let visible = token.iter().all(u8::is_ascii_graphic);
    let usable = visible && (1..=KEY_MAX_BYTES).contains(&token.len());
    match usable && scheme.eq_ignore_ascii_case(b"bearer") {
        true => Credential::Key(Digest::of(token)),
        false => Credential::Unusable,
    }
}
