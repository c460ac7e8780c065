Feature: Callers get whole answers, and can trust what they are told

  Background:
    Given 4 nodes in 2 failure domains
    And a backend server logview-1 of logview beside node-1
    And a backend server logview-2 of logview beside node-2
    And a backend server releasehall-1 of releasehall beside node-3
    And a backend server releasehall-2 of releasehall beside node-4
    And the build mesh's configuration is in force

  Scenario: Every caller gets the answer to its own request
    When 200 callers read different pages through all nodes at once
    Then every answer is whole and belongs to its request

  Scenario: A page whose answer is cut in the middle never looks whole
    Given logview-1 and logview-2 cut their next 10 answers in the middle
    When 40 callers read different pages through all nodes at once
    Then no answer is wrong
    And no more than 20 answers are cut

  Scenario: A publication whose connection is cut after it ran is not sent again
    Given releasehall-1 and releasehall-2 run the next 1 requests and cut the connection without an answer
    When a release "r1" is published through node-1
    Then the caller is told "may-have-run"
    And release "r1" ran 1 times

  Scenario: A page whose connection is cut is read again elsewhere
    Given logview-1 runs the next 3 requests and cuts the connection without an answer
    When 40 callers read different pages through all nodes at once
    Then every answer is whole and belongs to its request

  Scenario: A page is read again where its connection was cut, when there is nowhere else
    Given logview-1 and logview-2 run the next 1 requests and cut the connection without an answer
    When a caller reads a page through node-4
    Then the caller gets status 200

  Scenario: A repeated publication runs once, whichever node the repeat goes to
    When a release "r1" is published through node-1
    And a release "r1" is published through node-2
    Then the caller gets status 409
    And the caller is told "ran"
    And release "r1" ran 1 times

  Scenario: Many repeats at once run once, though answers of the store are lost
    Given the store loses the answer to the next write
    When a release "r1" is published through all nodes at once, 3 times each
    Then release "r1" ran 1 times

  Scenario: Without the store a publication is turned away, and was not run
    Given the store is down
    When a release "r1" is published through node-1
    Then the caller is told "not-run"
    And the caller hears when to come back
    And release "r1" ran 0 times
    When the store is back
    And a release "r1" is published through node-2
    Then the caller is told "ran"
    And release "r1" ran 1 times

  Scenario: A server that sheds says so, and the request goes to another
    Given releasehall-1 sheds everything
    When releases "a" to "j" are published through all nodes
    Then every release ran 1 times

  Scenario: When every server sheds, callers are told at once that nothing ran
    Given releasehall-1 sheds everything
    And releasehall-2 sheds everything
    When a release "r1" is published through node-1
    Then the caller is told "not-run"
    And the caller hears when to come back
    And the answer took less than 1000 ms
    And release "r1" ran 0 times

  Scenario: A draining server gets no new work, and what it works on ends
    Given logview-1 takes 400 ms for a request
    And logview-2 takes 400 ms for a request
    When 8 callers read pages while logview-1 is drained
    Then every answer is whole and belongs to its request
    And after the drain logview-1 gets no new request

  Scenario: A node that shuts down gracefully cuts off no request in flight
    Given logview-1 takes 400 ms for a request
    And logview-2 takes 400 ms for a request
    When 8 callers read pages through node-1 while node-1 shuts down
    Then every answer is whole and belongs to its request

  Scenario: A server that dies takes no call with it that may be repeated
    When logview-1 dies
    And 40 callers read different pages through all nodes at once
    Then every answer is whole and belongs to its request

  Scenario: A server that answers before it has read the upload
    Given releasehall-1 and releasehall-2 answer before they have read the body
    When an upload of 20 MB is published through node-1
    Then the caller gets status 413 or a cut connection

  Scenario: A caller cannot forge the headers of the mesh
    When a caller reads a page through node-1 with the header "stonemoor-verdict: not-run"
    Then the caller gets status 200
    And the caller is told "ran"

  Scenario: An answer that comes too late reaches nobody, least of all the next caller
    Given logview-1 takes 700 ms for a request
    And logview-2 takes 700 ms for a request
    When 12 callers read pages through all nodes and wait 200 ms
    Then every caller is told "may-have-run" within 600 ms
    When 12 callers read different pages through all nodes at once
    Then every answer is whole and belongs to its request

  Scenario: A caller that goes away is not worked for
    Given releasehall-1 takes 700 ms for a request
    And releasehall-2 takes 700 ms for a request
    When a caller publishes release "r1" through node-1 and goes away after 100 ms
    Then a backend server saw the cancellation
    And release "r1" ran at most once

  Scenario: Requests that are framed in two ways, or too large, are refused before anything runs
    When a caller sends a request with two lengths to node-1
    Then the connection gets status 400
    When a caller sends a request with a length and chunks to node-1
    Then the connection gets status 400
    When a caller sends 100 KB of headers to node-1
    Then the connection gets status 431
    And no backend server got a request

  Scenario: A caller that asks before it sends a large body hears first whether there is room
    When a caller asks node-1 whether to send an upload of 20 MB
    Then the connection gets status 100
    Given releasehall-1 is drained
    And releasehall-2 is drained
    When a caller asks node-1 whether to send an upload of 20 MB
    Then the connection gets status 503
