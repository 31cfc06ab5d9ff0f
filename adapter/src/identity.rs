//! Whose request it is: replaces callers' keys by the names of their client accounts.
//!
//! Keys never leave the host that a caller reached. Without declared accounts, requests pass
//! unchanged.

use std::sync::Arc;

use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Identity;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::name::Name;

use crate::entry::Driver;
use crate::http;
use crate::ingress;
use crate::ingress::Request;

/// `Retry-After` for an unknown key while the voters have not confirmed lately that no newer
/// configuration declares it.
const RETRY_AFTER_UNCONFIRMED: Span = Span::from_ms(500);

impl Request {
    /// Priority of the request's account, if it has one.
    pub(crate) fn priority(&self) -> Option<u32> {
        self.account.as_ref().and_then(|account| account.priority)
    }

    /// Name of the request's account, if it has one.
    pub(crate) fn account_name(&self) -> Option<Name> {
        self.account.as_ref().map(|account| account.name.clone())
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
        let credential = http::credential(&request.headers);
        request.headers.remove(header::AUTHORIZATION);
        let route = catalog.route(&request.host, request.target.path());
        let identity = match route {
            Some(route) => catalog.accounts.identify(route.open, credential),
            None => Identity::Anonymous,
        };
        let outdated = self.suspension.keys_may_be_outdated(self.now());
        let known = match identity {
            Identity::Account(_) => !outdated,
            Identity::Anonymous => true,
            Identity::Unknown => false,
        };
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

    /// Refuses a request whose route needs a key, if no account holds its key or the host can't
    /// tell.
    pub(crate) fn refuse_unknown(&mut self, id: u64, request: &Request) {
        let route = self
            .gateway
            .catalog()
            .route(&request.host, request.target.path());
        let route = route.map(|route| route.name.clone());
        let confirmed = self.feed_fresh && !self.suspension.keys_may_be_outdated(self.now());
        let answer = match confirmed {
            true => {
                self.count_unknown(request, route.clone());
                Answer::Refused(Refusal::UnknownKey, None)
            }
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
