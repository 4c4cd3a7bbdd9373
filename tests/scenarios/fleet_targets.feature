Feature: Leaving targets
  A leaving target gets no new requests after 4 seconds (H8). Its own report is
  sufficient while the platform's list is behind, and so is the list while the
  target reports nothing.

  Scenario Outline: A leaving target gets no new work
    Given the fleet of this feature
    And callers that follow their placement
    When target "booking-01-1" leaves by <word>
    Then target "booking-01-1" gets no work 4 seconds after that
    When target "booking-01-1" returns by the list
    Then target "booking-01-1" gets work again within 4 seconds
    And the placed callers got true answers and nothing else
    And no target saw more connections than declared

    Examples:
      | word         |
      | its own word |
      | the list     |
