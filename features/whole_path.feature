Feature: Requests are served end to end
  Boxes, targets and the platform run as separate processes.

  Scenario: A clause question and a dossier through either box
    Given a fleet of 2 boxes and 3 engines
    When a dossier "d1" is sent to box-1
    And a clause question "c1" is sent to box-1
    And a dossier "d2" is sent to box-2
    And a clause question "c2" is sent to box-2
    Then "c1" is whole
    And "c2" is whole
    And "d1" is whole
    And "d2" is whole
    And a call to the service "echo" through box-2 runs once
    And every engine's memory is free again

  Scenario: A trace has a span for each hop between boxes and to the target
    Given a fleet of 2 boxes and 2 engines
    When 8 clause questions are sent in turn
    Then one trace has the spans entry, place and target, and an owner span of another box

  Scenario: The unmodified openai client works
    Given a fleet of 1 boxes and 1 engines
    When the openai client streams a chat and a completion from box-1
    Then the openai client has both answers whole

  Scenario: Invalid requests are refused and the error names the invalid field
    Given a fleet of 1 boxes and 1 engines
    When box-1 is sent each of these wrong requests
      | body                                                    | headers                      | status | place      |
      | no JSON                                                 |                              | 400    | body       |
      | [1, 2]                                                  |                              | 400    | body       |
      | {"model": 3, "prompt": "x"}                             |                              | 400    | model      |
      | {"model": "other", "prompt": "x"}                       |                              | 404    | model      |
      | {"model": "standin", "prompt": 7}                       |                              | 400    | prompt     |
      | {"model": "standin", "prompt": "x", "max_tokens": "5"}  |                              | 400    | max_tokens |
      | {"model": "standin", "prompt": "x", "max_tokens": 0}    |                              | 400    | max_tokens |
      | {"model": "standin", "prompt": "x", "stream": 1}        |                              | 400    | stream     |
      | {"model": "standin", "prompt": "x", "max_tokens": 900000} |                            | 400    | prompt     |
      | {"model": "standin", "prompt": "\ud800"}                |                              | 400    | prompt     |
      | {"model": "standin", "prompt": "x"}                     | {"Gladedrum-Timeout": "soon"} | 400   | gladedrum-timeout |
      | {"model": "standin", "prompt": "x"}                     | {"Gladedrum-Class": "a b"}   | 400    | gladedrum-class |
    Then each is refused with its status and a place

  Scenario: Bodies that are too large or incomplete are refused
    Given a fleet of 1 boxes and 1 engines
    And a box "small" accepts bodies of 10000 bytes within 1 seconds
    When a body of 20000 bytes is sent to small
    Then it is answered with status 413 and a place
    When a body of 90000 bytes is sent to small
    Then it is answered with status 413 and a place
    When an incomplete body is sent to small
    Then it is answered with status 408 and a place
    When a clause question "c" is sent to box-1
    Then "c" is whole

  Scenario: A graceful stop interrupts no request in flight
    Given a fleet of 2 boxes and 2 engines
    When a clause question "running" for 400 tokens is sent to box-1
    And "running" has its first token
    And box-1 receives SIGTERM
    Then box-1 is not ready at once
    When a clause question "late" is sent to box-1
    Then "late" ends as not-run with status 503
    And "running" is whole
    And box-1 exits with code 0
    And every engine's memory is free again
