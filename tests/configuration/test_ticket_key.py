from tests import boards


def test_key_is_random_and_not_shown():
    # Guards against tickets forged with a key that was read from a log.
    first, second = boards.create_settings(), boards.create_settings()
    assert first.ticket_key != second.ticket_key
    assert len(first.ticket_key) == 16
    assert first == second
    assert "ticket_key" not in repr(first)
