from bench import cases
from bench import load


def test_equal_arguments_give_an_equal_schedule():
    # Ratios of two variants are only valid at the same load.
    rates = {"a": 20.0, "b": 5.0}
    schedule = load.build_schedule(rates, 5.0, 7)
    assert schedule == load.build_schedule(rates, 5.0, 7)
    assert [a.at_s for a in schedule] == sorted(a.at_s for a in schedule)


def test_schedule_is_bounded():
    # Without a bound a wrong rate would load the machine without an end.
    schedule = load.build_schedule({"a": 1e6}, 60.0, 1)
    assert len(schedule) == load.MAX_ARRIVALS


def test_scaled_deployment_keeps_the_declared_part_of_the_services():
    # With other services dropped or kept, a query would use another number of
    # targets.
    deployment = cases.build_deployment("torno-norte", 79, 0.2)
    declaration = deployment.read_declaration()
    assert len(declaration.lookups["availability"].services) == 10
    assert declaration.lookups[cases.URGENT].urgent
    assert "kiln-tracker" in declaration.services
