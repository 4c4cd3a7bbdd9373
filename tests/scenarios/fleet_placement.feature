Feature: Placement, shutdown and lost hosts
  Callers ask for a placement, keep the answer for its lifetime and connect to
  the named host. A graceful shutdown interrupts no request (H9). Placement
  answers name no dead, leaving or frozen host after their lifetime of 2 seconds.

  Scenario: A graceful shutdown cuts no request
    Given the fleet of this feature
    And targets that take 60 ms
    And callers that follow their placement
    When host "south-1" is asked to end
    Then the placed callers used host "south-1" until it left the answers
    And host "south-1" ends with status 0
    And the targets of host "south-1" worked while it left
    And the placed callers got true answers and nothing else
    And no target saw more connections than declared

  Scenario: Callers are spread over the hosts
    Given the fleet of this feature
    Then each host is first for at least 20 of 100 percent of 300 callers
    And a caller in data centre "east" is sent to host "east-1" first

  Scenario Outline: A lost host leaves the answers within their lifetime
    Given the fleet of this feature
    And every host names host "east-1"
    When host "east-1" is <lost>
    Then no other host names host "east-1" after 2 seconds
    And callers that start without host "east-1" get only whole answers

    Examples:
      | lost         |
      | killed       |
      | asked to end |
      | frozen       |

  Scenario: Callers of a host lost in mid-query hear the truth
    Given the fleet of this feature
    And targets that take 60 ms
    And callers that follow their placement
    And callers that hold seats through host "north-1"
    When host "south-1" is killed
    And 3 seconds pass
    And host "east-1" is killed
    And 3 seconds pass
    Then no answer of a placed caller was wrong
    And every verdict on a seat agrees with the targets' journals
    And no target saw more connections than declared
