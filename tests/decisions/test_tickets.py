import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import verdicts
from bramleyfork.decisions import tickets

KEY = b"k" * 16


def check(text, *, host="h-1", incarnation=5, now_ms=10, key=KEY):
    return tickets.check_ticket(key, host, incarnation, text, now_ms)


@hypothesis.given(
    host=strategies.text(
        strategies.characters(exclude_categories=["Cs"]), min_size=1
    ),
    incarnation=strategies.integers(0, 2**48),
    number=strategies.integers(0, 2**48),
)
def test_issued_ticket_is_accepted_by_its_process(host, incarnation, number):
    text = tickets.issue_ticket(KEY, host, incarnation, number, 100)
    assert set(text) <= set(
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~%"
    )
    ticket = check(text, host=host, incarnation=incarnation).ok
    assert (ticket.number, ticket.expires_at_ms) == (number, 100)


@pytest.mark.parametrize(
    ("changes", "kind", "verdict"),
    [
        ({"host": "h-2"}, "foreign_host", "MAY_HAVE_RUN"),
        ({"incarnation": 6}, "foreign_incarnation", "MAY_HAVE_RUN"),
        ({"now_ms": 100}, "expired", "MAY_HAVE_RUN"),
        ({"key": b"x" * 16}, "signature", "NOT_RUN"),
    ],
)
def test_verdict_is_not_run_only_for_forged_tickets(changes, kind, verdict):
    # Guards against the verdict NOT_RUN for a ticket that may have been used.
    fault = check(tickets.issue_ticket(KEY, "h-1", 5, 1, 100), **changes).error
    assert (fault.kind, fault.verdict) == (kind, verdicts.Verdict(verdict))


@hypothesis.given(
    position=strategies.integers(0, 10**6),
    letter=strategies.sampled_from("0123456789aZ.-_"),
)
def test_changed_ticket_is_refused(position, letter):
    # Guards against one ticket being accepted under two spellings.
    text = tickets.issue_ticket(KEY, "h-1", 5, 1, 100)
    place = position % len(text)
    changed = text[:place] + letter + text[place + 1 :]
    hypothesis.assume(changed != text)
    assert check(changed).is_error()


@hypothesis.given(strategies.text())
def test_any_text_is_refused_without_an_exception(text):
    assert check(text).is_error()
