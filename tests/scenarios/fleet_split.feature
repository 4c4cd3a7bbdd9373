Feature: Splits of the fleet
  Some hosts cannot reach each other for 10 seconds, in one or both directions.
  All guarantees hold during the split, and member states converge when it
  heals. All hosts reach the platform, so a change published during the split
  comes into force on both sides.

  Each side reaches a replica of every service until data centre "south" is
  taken out. From then on, a side without a replica reports the segment as
  missing.

  Scenario Outline: The fleet is split and heals
    Given a fleet of six hosts, two in each data centre
    And callers that follow their placement
    And callers that hold seats through host "north-1"
    And versions in force that are watched
    When hosts <some> are cut from hosts <others> in direction <direction>
    And 5 seconds pass
    Then the placed answers were whole from 3 seconds after the cut on
    When operators set data centre "south" out
    Then the revision is in force on all hosts within 4 seconds
    And data centre "south" gets no work 4 seconds after the change
    When 1 seconds pass
    And all cuts end
    Then all hosts agree again within 8 seconds
    And no answer of a placed caller was wrong
    And every verdict on a seat agrees with the targets' journals
    And no target saw more connections than declared
    And no target saw more in flight than declared
    And no version in force was lower than one before

    Examples:
      | some                      | others                   | direction |
      | north-1, south-1 | north-2, east-1, east-2, south-2 | both |
      | north-1, north-2, east-1  | east-2, south-1, south-2 | both      |
      | north-1, south-2          | north-2, east-1, east-2, south-1 | out |

  Scenario: Callers of one data centre are spread over its hosts
    Given a fleet of six hosts, two in each data centre
    Then hosts north-1, north-2 are each first for 30 of 100 percent of callers
