Feature: A cold target gets no more than it bears
  Target stand-ins record each request above their cold limits.

  Scenario: Cold targets and new hosts under load
    Given a running fleet with 10 ms service
    And 9 callers that ask "availability" all the while
    When each target crashes and restarts in turn while hosts stand still
    And 2 seconds of load pass
    Then no target got more than it bears cold
    When all hosts are killed, all targets turn cold and all hosts start
    And 2 seconds of load pass
    Then no target got more than it bears cold
    When all targets turn cold without a sign
    And 2 seconds of load pass
    Then no target got more than its in-flight budget above its cold limits
    When the callers stop
    Then no answer was wrong

  Scenario: Targets that fall over from too much load while cold
    Given a running fleet of targets that fall over when overloaded cold
    And 9 callers that ask "availability" all the while
    When all targets crash at once
    And 3 seconds of load pass
    Then each target restarted once
    When all hosts are killed, all targets turn cold and all hosts start
    And 2 seconds of load pass
    Then each target restarted once
    And the callers get whole answers again
