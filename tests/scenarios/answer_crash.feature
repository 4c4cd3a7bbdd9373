Feature: A request that crashes targets is stopped
  Callers send the same request to every host.

  Scenario: One request crashes every target that runs it
    Given a running fleet
    And callers that ask "availability" all the while
    When every target crashes on "poison"
    And 6 callers send "poison" to every host for 5 seconds
    Then at most 4 crashes happened over the whole fleet
    And the request is refused as "quarantined" at every host
    And no other request was refused as "quarantined"
    And the callers get whole answers
    When the callers stop
    Then no answer was wrong
