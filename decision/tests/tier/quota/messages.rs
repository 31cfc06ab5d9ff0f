//! Size of the messages about tokens.

use wagtailbeam_decision::account::token::Outcome;
use wagtailbeam_decision::account::token::Reply;
use wagtailbeam_decision::account::token::Request;
use wagtailbeam_decision::account::token::TokenId;
use wagtailbeam_decision::account::token::Wait;
use wagtailbeam_decision::branch;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::feed::Message;

/// Bytes of a message after a million earlier ones.
fn size(message: branch::Message) -> usize {
    let message = postcard::to_allocvec(&Message::Branch(message));
    message.expect("an encoded message").len()
}

/// Guards against messages that grow with the number of accounts: each request with a quota costs
/// one exchange.
#[test]
fn an_exchange_about_tokens_has_a_few_bytes() {
    let id = TokenId(1_000_000);
    let request = Request {
        id,
        account: "a09999".into(),
        wanted: 1,
    };
    let reply = |outcome| branch::Message::TokenReply(Reply { id, outcome });
    let wait = Wait {
        turn: Span::from_secs(60),
        next: Span::from_secs(60),
    };
    let sizes = [
        size(branch::Message::Token(request)),
        size(reply(Outcome::Granted(1))),
        size(reply(Outcome::Empty(wait))),
    ];
    assert_eq!(sizes, [13, 7, 14]);
}
