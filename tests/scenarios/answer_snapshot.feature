Feature: One snapshot per answer
  Index versions and shard maps change target by target while queries run.

  Scenario: Rolling index versions, then a shard split and merged
    Given a running fleet
    And callers that ask "availability" all the while
    When every target in turn takes 2/1 beside 1/1
    And every target in turn gives up 1/1
    Then the callers are answered from 2/1
    When every target in turn takes 2/2 beside 2/1, with "booking-01" split
    And every target in turn gives up 2/1
    Then the callers are answered from 2/2
    When every target in turn takes 2/3 beside 2/2
    And every target in turn gives up 2/2
    Then the callers are answered from 2/3
    And every answer so far is complete
    When all targets at once take 3/3 in place of what they hold
    Then the callers are answered from 3/3
    When all targets at once take 4/3 in place of what they hold
    Then the callers are answered from 4/3
    When the callers stop
    Then no answer was wrong
    And some query was restarted

  Scenario: The platform's list names a snapshot that no target holds
    Given a running fleet
    And callers that ask "availability" all the while
    When the list names 2/1 beside 1/1 for all targets
    Then the callers are answered from 1/1 again
    When the callers stop
    Then no answer was wrong
