Feature: Edits of the table change the settings of the running fleet
  An accepted edit is in force on every box within seconds and never reverts.

  Scenario: Two operators edit at the same moment, on two boxes
    Given a fleet of 3 boxes and 1 engines
    When operators set default weight to 2 through box-1 and to 3 through box-2, based on revision 0
    Then one edit is accepted and the other is rejected as a conflict
    When operators set default deadline_s to 50 through box-1 and default retry_share to 0.2 through box-2
    Then both edits are accepted
    And every box has the newest revision in force

  Scenario: The answer to an edit is lost after it took effect
    Given a fleet of 2 boxes and 1 engines
    When the next 1 answers of the key-value service are lost
    And an operator sets default weight to 4 through box-1
    Then the edit is accepted
    And the history has 1 edit
    And every box has the newest revision in force

  Scenario: The key-value service fails after an edit, and a box starts during the outage
    Given a fleet of 2 boxes and 1 engines
    When an operator sets default weight to 5 through box-1
    Then the edit is accepted
    When the key-value service is down
    And an operator sets default weight to 6 through box-1
    Then the edit is not applied
    When a box "box-3" joins
    Then every box has the newest revision in force

  Scenario: A box that was frozen during an edit catches up
    Given a fleet of 3 boxes and 1 engines
    When box-3 receives SIGSTOP
    And an operator sets default weight to 7 through box-1
    Then the edit is accepted
    When box-3 receives SIGCONT
    Then every box has the newest revision in force

  Scenario: The policy of a running fleet changes without interrupting a request
    Given a fleet of 2 boxes and 2 engines
    When a clause question "c" for 1500 tokens is sent to box-1
    And "c" has its first token
    And an operator sets default policy to "least_loaded" through box-2
    Then the edit is accepted
    And every box has the newest revision in force
    When a clause question "d" is sent to box-1
    Then "d" is whole
    And "c" is whole

  Scenario: Edits with an invalid value or an invalid token are refused
    Given a fleet of 1 boxes and 1 engines
    When an operator sets default policy to "none_such" through box-1
    Then the edit is refused with status 400
    When somebody without the token sets default weight to 9 through box-1
    Then the edit is refused with status 401
