Feature: First query
  A fleet that has just started gives complete and correct answers.

  Scenario: Whole answer from a fresh fleet
    Given a running fleet
    When a caller asks host "north-1" for "availability"
    Then the answer is "ok"
    And the coverage is 1

  Scenario: Answers stay whole while queries run
    Given a running fleet
    And callers that ask "availability" all the while
    When 2 seconds of load pass
    And the callers stop
    Then every answer is complete
    And no answer was wrong
