Feature: Records as operators see them
  Operators change the system only through its records. Records of old and new
  schema versions can coexist, and no change is lost silently.

  Scenario: Two schema versions coexist
    Given an operator applied the staleness rule "tablets":
      """
      {"schemaVersion": 1, "database": "contracts-1", "maxAgeSeconds": 5}
      """
    And an operator applied the staleness rule "docks":
      """
      {"schemaVersion": 2, "database": "contracts-1", "maxAgeMillis": 2500}
      """
    When the operator reads "tablets" in schema version 2
    Then the record has "maxAgeMillis" 5000
    When the operator reads "docks" in schema version 1
    Then the record has "maxAgeSeconds" 2

  Scenario: Unknown fields are kept
    Given an operator applied the staleness rule "tablets":
      """
      {"schemaVersion": 1, "database": "contracts-1", "maxAgeSeconds": 5, "ticket": 4711}
      """
    When the operator reads "tablets" in schema version 2
    Then the record has "ticket" 4711

  Scenario: The error for an invalid record names the field
    When an operator applies the staleness rule "tablets":
      """
      {"schemaVersion": 1, "database": "contracts-1", "maxAgeSeconds": "soon"}
      """
    Then the command ends with status 2
    And the error says "field maxAgeSeconds has value \"soon\""
    And the platform holds no staleness rule

  Scenario: Two operators change the same record at once
    Given an operator applied the staleness rule "tablets":
      """
      {"schemaVersion": 1, "database": "contracts-1", "maxAgeSeconds": 5}
      """
    When two operators replace version 1 of "tablets" at once
    Then one command ends with status 0 and the other with status 3
    And the record is the one of the operator whose command succeeded
