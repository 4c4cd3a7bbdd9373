Feature: The coverage of an answer is true
  Key ranges that were not read are reported as missing and not counted.

  Scenario: Services are lost, slow, spoiled and half held
    Given a running fleet
    When both replicas of "booking-02" suffer "crash" with {"restart_after_s": 3}
    Then an answer covers 0.75 without [["booking-02", 0, 65536]]
    And soon an answer covers 1
    When both replicas of "booking-03" suffer "faults" with {"delay_ms": 3000}
    Then an answer covers 0.75 without [["booking-03", 0, 65536]]
    When both replicas of "booking-03" suffer "faults" with {}
    Then soon an answer covers 1
    When both replicas of "booking-01" suffer "faults" with {"wrong_attempt_id": true}
    Then an answer covers 0.75 without [["booking-01", 0, 65536]]
    When both replicas of "booking-01" suffer "faults" with {}
    Then soon an answer covers 1
    When both replicas of "booking-04" suffer "faults" with {"cut_reply": true}
    Then an answer covers 0.75 without [["booking-04", 0, 65536]]
    When both replicas of "booking-04" suffer "faults" with {}
    Then soon an answer covers 1
    When both replicas of "booking-02" suffer "holdings" with {"holdings": [[1, 1, 0, 32768]]}
    Then soon an answer covers 0.875
    And an answer covers 0.875 without [["booking-02", 32768, 65536]]
    And no answer was false
