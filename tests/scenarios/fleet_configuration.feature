Feature: Configurations in force
  Every host applies a published configuration as a whole or rejects it. An
  accepted one is in force on all live hosts within 4 seconds and is never
  replaced by one of a lower revision (H10).

  Scenario Outline: A refused configuration changes nothing and is explained
    Given the fleet of this feature
    When operators publish a configuration with <fault>
    Then every host reports a refusal that names <words>
    And every host has the configuration before the refused one
    And a caller asks host "north-1" for "availability"
    And the answer is "ok"
    When operators publish a right configuration
    Then the revision is in force on all hosts within 4 seconds
    And no host reports a refusal

    Examples:
      | fault               | words                        |
      | a value of 0 slots  | services.toml; slots; 0; 1   |
      | an unknown key      | services.toml; slotz; slots  |
      | an undeclared place | targets.toml; west; north    |
      | a missing part      | targets.toml; content; missing; manifest.toml |
      | a wrong digest      | services.toml; content; bytes; SHA-256 |
      | no revision         | manifest.toml; revision      |

  Scenario: No host goes back, whatever the platform serves
    Given the fleet of this feature
    And versions in force that are watched
    When operators publish a right configuration
    Then the revision is in force on all hosts within 4 seconds
    When the platform serves the configuration before
    And host "south-1" is killed
    And host "south-1" starts again
    Then every host has the newest configuration
    When the platform suffers refuse for everyone
    And host "east-1" is killed
    And host "east-1" starts again
    Then every host has the newest configuration
    And no version in force was lower than one before

  Scenario Outline: Two publishers and revisions out of order
    Given the fleet of this feature
    And versions in force that are watched
    When two publishers use one revision, the higher digest <order>
    Then every host has the higher digest and reports the conflict
    When revisions arrive out of order
    Then every host has the newest configuration
    And no version in force was lower than one before

    Examples:
      | order |
      | first |
      | last  |

  Scenario: A host that starts in an outage hears the platform once it is back
    Given the fleet of this feature
    When the platform suffers refuse for everyone
    And host "east-1" is killed
    And host "east-1" starts again
    And 6 seconds pass
    And the platform works again
    And two publishers use one revision, the higher digest first
    Then every host has the higher digest and reports the conflict

  Scenario: A large configuration and reads that are cut in the middle
    Given the fleet of this feature
    And versions in force that are watched
    When the platform suffers cut_mid_read for host "south-1"
    And operators publish a part close to one megabyte
    Then the revision is in force on all hosts within 4 seconds
    When the platform suffers cut_mid_read for everyone
    And operators publish another part close to one megabyte
    And 2 seconds pass
    Then every host has the configuration before the new one
    When the platform works again
    Then the revision is in force on all hosts within 6 seconds
    And no version in force was lower than one before

  Scenario: A host that starts while configurations come often takes its shares
    Given the fleet of this feature
    And callers that follow their placement
    When host "north-1" is killed
    And host "north-1" starts again while operators publish every second
    Then host "north-1" sends work to targets within 3 seconds
    And no target saw more connections than declared
