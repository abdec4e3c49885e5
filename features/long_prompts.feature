Feature: Prompts longer than one engine's memory
  A long prompt is split into segments that several engines hold. After success and failure alike,
  each engine's memory is released.

  Scenario: A dossier larger than two engines' memory runs together with clause questions
    Given a fleet of 2 boxes and 3 engines
    When a long dossier "d" is sent to box-1
    And a clause question "c1" is sent to box-1
    And a clause question "c2" is sent to box-2
    Then "c1" is whole
    And "c2" is whole
    And "d" is whole
    And every engine's memory is free again

  Scenario: Two long dossiers that need the same engines both finish
    Given a fleet of 2 boxes and 3 engines
    When a long dossier "d1" is sent to box-1
    And a long dossier "d2" is sent to box-2
    Then "d1" is whole
    And "d2" is whole
    And every engine's memory is free again

  Scenario: An engine that holds a segment dies while the answer is generated
    Given a fleet of 2 boxes and 3 engines
    When a long dossier "d" for 2000 tokens is sent to box-1
    And "d" has its first token
    And the engine that holds the first segment dies
    Then "d" ends as failed with status 200
    And every engine's memory is free again

  Scenario: The box of a dossier dies; its orphaned sessions are found and ended
    Given a fleet of 2 boxes and 3 engines
    When a long dossier "d" for 4000 tokens is sent to box-1
    And "d" has its first token
    And box-1 is killed
    And box-1 is removed from the list
    Then every engine's memory is free again

  Scenario: The caller of a dossier hangs up
    Given a fleet of 1 boxes and 3 engines
    When a long dossier "d" for 4000 tokens is sent to box-1
    And "d" has its first token
    And the caller of "d" hangs up
    Then every engine's memory is free again
    And no reservation is left on box-1

  Scenario: A prompt that the policy cannot place on any set of engines is refused with status 400
    Given a fleet of 1 boxes and 2 engines
    When a clause question "warm" is sent to box-1
    Then "warm" is whole
    When a huge dossier "h" is sent to box-1
    Then "h" ends as failed with status 400
