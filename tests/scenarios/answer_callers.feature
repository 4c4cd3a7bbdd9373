Feature: Each caller gets its own answer
  Replies are late, out of order or damaged while many callers send queries.

  Scenario: Many callers with different keys
    Given a running fleet
    When 16 callers ask for different keys for 8 seconds
    And targets are slow, answer with other attempt ids and cut replies
    Then every answer holds the record of its own key
    And some callers had an answer, some had none
