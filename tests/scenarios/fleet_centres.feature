Feature: Data centres out of service
  A data centre that operators take out gets no new requests after 4 seconds,
  as counted in the journals of its targets. This also holds for a host that
  cannot reach the platform but has peers, and for a process that was frozen
  during the change. A host that reaches neither platform nor peers stops
  sending requests.

  Two or more hosts that reach each other but not the platform cannot tell a
  split from a platform outage. They keep serving with their configuration and
  learn of a data centre taken out meanwhile only when the split heals. On that
  side, availability has priority over H4 and H10.

  Scenario: A data centre is taken out and returns
    Given the fleet of this feature
    And callers that follow their placement
    When the platform suffers hang for host "south-1"
    And operators set data centre "south" out
    Then data centre "south" gets no work 4 seconds after the change
    And no placement names a host of data centre "south"
    When the platform works again
    And operators bring all data centres back
    Then data centre "south" gets work again within 4 seconds
    And the placed callers got true answers and nothing else
    And no target saw more connections than declared

  Scenario: A process that slept over the change sends nothing on waking
    Given the fleet of this feature
    And callers that keep asking host "south-1"
    And callers that keep asking host "north-1"
    When host "south-1" is frozen
    And operators set data centre "south" out
    And 4.5 seconds pass
    And frozen host "south-1" wakes
    And 3 seconds pass
    Then host "south-1" has sent nothing to data centre "south" since it woke
    And the waking host has refused or answered what waited for it
    And no target saw more connections than declared

  Scenario: A host that hears nobody stops, and others go on
    Given the fleet of this feature
    And callers that keep asking host "north-1"
    And callers that keep asking host "south-1"
    When the platform suffers hang for host "south-1"
    And host "south-1" is cut from all others
    Then host "south-1" sends nothing 4 seconds after the cut
    And host "south-1" answers NOT_RUN with code "no_lease" and names the others
    And host "north-1" still gives whole answers
    When all cuts end
    And the platform works again
    Then all hosts agree again within 6 seconds
    And no target saw more connections than declared

  Scenario: Two hosts that see no platform go on with their revision
    Given the fleet of this feature
    And callers that keep asking host "north-1"
    When the platform suffers refuse for host "north-1"
    And the platform suffers refuse for host "east-1"
    And host "south-1" is cut from all others
    And operators set data centre "south" out
    And 5 seconds pass
    Then host "north-1" has the revision before
    And host "south-1" has the new revision
    And host "north-1" has given whole answers all the time
    When all cuts end
    Then the revision is in force on all hosts within 4 seconds
