Feature: Seat holds run at most once, and NOT_RUN is true
  The verdicts that callers got are compared with the runs that targets counted.

  Scenario: Targets crash and the owner host is killed
    Given a running fleet with 20 ms service
    When 9 callers hold seats all the while
    And the targets of "booking-01" crash one after the other, 12 times
    And host "east-1" is killed
    And the targets of "booking-01" crash one after the other, 4 times
    And host "east-1" starts again
    And the callers of seats stop
    Then no seat hold ran more than once
    And no seat hold that was answered NOT_RUN ran
    And each seat hold that was answered RAN ran once
    And the verdicts NOT_RUN, MAY_HAVE_RUN and RAN were all given

  Scenario: A ticket is presented again
    Given a running fleet with 20 ms service
    When a caller holds seat "a" at host "south-1"
    Then the verdict is RAN with code "ok"
    When the ticket of seat "a" is presented again to host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "ticket_used"
    When the ticket of seat "a" is presented again to host "north-1"
    Then the verdict is MAY_HAVE_RUN with code "ticket_foreign"
    When host "south-1" is killed
    And host "south-1" starts again
    And the ticket of seat "a" is presented again to host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "ticket_foreign"
    When the targets of "booking-01" suffer "faults" with {"cut_reply": true}
    And a caller holds seat "b" at host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "no_answer"
    When the targets of "booking-01" suffer "faults" with {}
    And the ticket of seat "b" is presented again to host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "ticket_used"
    When the targets of "booking-01" suffer "faults" with {"delay_ms": 300}
    And hosts "south-1" freeze for 3.5 s while a caller holds seat "c" at host "south-1"
    And the ticket of seat "c" is presented again to host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "ticket_used"
    When the targets of "booking-01" suffer "faults" with {}
    And hosts "north-1, east-1" freeze for 3.5 s before a caller holds seat "d" at host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "no_answer"
    And seat "d" never reached a target
    When the ticket of seat "d" is presented again to host "south-1"
    Then the verdict is MAY_HAVE_RUN with code "ticket_used"
    And hosts "south-1" freeze for 3.5 s before a caller holds seat "e" at host "south-1"
    And the ticket of seat "e" is presented again to host "south-1"
    And no seat hold ran more than once
    And each seat hold that was answered RAN ran once
    And no seat hold that was answered NOT_RUN ran
