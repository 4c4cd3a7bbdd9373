Feature: Calls at the platform
  Two hosts per data centre watch the platform, with a long poll of 1 second, and
  read the target list once a second. The others receive changes from peers.
  Hosts keep serving while the platform is down or stale for long. In an outage
  a watching host polls at its usual rate, so that it detects the end within
  seconds; the others back off exponentially.

  Scenario: Calls stay within their bound in each phase
    Given a fleet of five hosts, three of them in the north
    Then the start of the whole fleet kept within its bound of calls
    Given callers that follow their placement
    When calls are counted for 4 seconds of rest
    Then each watching host made at most 2.5 calls a second
    And the host without the watch made at most 1 call
    When the platform suffers refuse for everyone
    And calls are counted for 8 seconds of outage
    Then each watching host made at most 2.5 calls a second
    And the host without the watch kept within the bound of its pauses
    When the platform works again
    And calls are counted for 6 seconds of recovery
    Then each watching host made at most 5 calls a second
    When the platform serves what was before, for long
    And calls are counted for 6 seconds of rest
    Then each watching host made at most 2.5 calls a second
    And the host without the watch made at most 1 call
    And the placed callers got true answers and nothing else
    And no target saw more connections than declared
