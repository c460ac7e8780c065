Feature: Callers get complete responses with correct verdicts

  Background:
    Given 4 nodes in 2 failure domains
    And a backend server logview-1 of logview beside node-1
    And a backend server logview-2 of logview beside node-2
    And a backend server releasehall-1 of releasehall beside node-3
    And a backend server releasehall-2 of releasehall beside node-4
    And the build mesh's configuration is in force

  Scenario: Every caller gets the response to its own request
    When 200 callers concurrently read different pages through all nodes
    Then every response is complete and belongs to its request

  Scenario: A caller recognizes a response whose connection was closed in the middle
    Given logview-1 and logview-2 close the connection in the middle of the next 10 responses
    When 40 callers concurrently read different pages through all nodes
    Then no caller gets a wrong page with status 200
    And at least 1 and at most 20 responses are incomplete

  Scenario: A publication whose connection is closed after it ran is not retried
    Given releasehall-1 and releasehall-2 run the next 1 request, but close the connection without a response
    When a release "r1" is published through node-1
    Then the caller gets the verdict "may-have-run"
    And release "r1" ran 1 time

  Scenario: A page whose connection is closed is retried on another backend server
    Given logview-1 runs the next 3 requests, but closes the connection without a response
    When 40 callers concurrently read different pages through all nodes
    Then every response is complete and belongs to its request

  Scenario: A page is retried on a backend server that closed its connection if there is no other
    Given logview-1 and logview-2 run the next 1 request, but close the connection without a response
    When a caller reads a page through node-4
    Then the caller gets status 200

  Scenario: A repeated publication runs once, also through another node
    When a release "r1" is published through node-1
    And a release "r1" is published through node-2
    Then the caller gets status 409
    And the caller gets the verdict "ran"
    And release "r1" ran 1 time

  Scenario: Concurrent repeats of a publication run once, also if a response of the store is lost
    Given the store applies the next write, but its response is lost
    When a release "r1" is published 3 times concurrently through each node
    Then release "r1" ran 1 time

  Scenario: A publication is refused without being run while the store is down
    Given the store is down
    When a release "r1" is published through node-1
    Then the caller gets the verdict "not-run"
    And the caller gets a Retry-After header
    And release "r1" ran 0 times
    When the store is available again
    And a release "r1" is published through node-2
    Then the caller gets the verdict "ran"
    And release "r1" ran 1 time

  Scenario: A backend server gets no more requests than the limit that it names
    Given logview-1 names a limit of "3" in its responses
    When pages are read 60 times a second through all nodes for 4 seconds
    Then every response is complete and belongs to its request
    And logview-1 got at most 23 requests meanwhile

  Scenario: Callers are refused as not run if the limits of all backend servers are used up
    Given logview-1 names a limit of "1" in its responses
    And logview-2 names a limit of "1" in its responses
    When pages are read 60 times a second through all nodes for 2 seconds
    And a caller reads a page through node-3 until it is refused
    Then the caller gets the verdict "not-run"
    And the caller gets a Retry-After header

  Scenario: A limit that is no number is recorded and ignored
    Given logview-1 names a limit of "-3" in its responses
    When pages are read 60 times a second through all nodes for 1 seconds
    Then every response is complete and belongs to its request
    And the timeline of node-1 shows "server-limit-refused"

  Scenario: A backend server that says in its responses that it leaves gets no further requests
    Given logview-1 says in its responses that it leaves
    When pages are read 60 times a second through all nodes for 1 seconds
    And pages are read 60 times a second through all nodes for 1 seconds
    Then every response is complete and belongs to its request
    And logview-1 got at most 0 requests meanwhile

  Scenario: A request that a backend server sheds is sent to another one
    Given releasehall-1 sheds every request
    When releases "a" to "j" are concurrently published through all nodes
    Then every release ran 1 time

  Scenario: A call is refused at once if every backend server sheds it
    Given releasehall-1 sheds every request
    And releasehall-2 sheds every request
    When a release "r1" is published through node-1
    Then the caller gets the verdict "not-run"
    And the caller gets a Retry-After header
    And the response took less than 1000 ms
    And release "r1" ran 0 times

  Scenario: A draining backend server gets no new requests and completes those in flight
    Given logview-1 takes 400 ms to process a request
    And logview-2 takes 400 ms to process a request
    When 8 callers read pages while logview-1 is drained
    Then every response is complete and belongs to its request
    And logview-1 gets no new request after the drain

  Scenario: A node that shuts down gracefully completes the requests in flight
    Given logview-1 takes 400 ms to process a request
    And logview-2 takes 400 ms to process a request
    When 8 callers read pages through node-1 while node-1 shuts down gracefully
    Then every response is complete and belongs to its request

  Scenario: No retryable call fails when a backend server crashes
    When logview-1 crashes
    And 40 callers concurrently read different pages through all nodes
    Then every response is complete and belongs to its request

  Scenario: A backend server responds before it has read the upload
    Given releasehall-1 and releasehall-2 respond before they have read the body
    When an upload of 20 MB is published through node-1
    Then the caller gets status 413 or its connection is closed

  Scenario: A caller cannot forge the headers of the mesh
    When a caller reads a page through node-1 with the header "stonemoor-verdict: not-run"
    Then the caller gets status 200
    And the caller gets the verdict "ran"

  Scenario: A response that arrives after the timeout is discarded and never returned for another call
    Given logview-1 takes 700 ms to process a request
    And logview-2 takes 700 ms to process a request
    When 12 callers read pages through all nodes with a timeout of 200 ms
    Then every caller gets the verdict "may-have-run" within 600 ms
    When 12 callers concurrently read different pages through all nodes
    Then every response is complete and belongs to its request

  Scenario: A request is cancelled when its caller disconnects
    Given releasehall-1 takes 700 ms to process a request
    And releasehall-2 takes 700 ms to process a request
    When a caller publishes release "r1" through node-1 and disconnects after 100 ms
    Then a backend server sees the cancellation
    And release "r1" ran at most once

  Scenario: Requests with ambiguous framing or too large headers are refused before they reach a backend server
    When a caller sends a request with two Content-Length headers to node-1
    Then the response on the connection has status 400
    When a caller sends a request with Content-Length and Transfer-Encoding to node-1
    Then the response on the connection has status 400
    When a caller sends 100 KB of headers to node-1
    Then the response on the connection has status 431
    And no backend server received a request

  Scenario: A caller that sends Expect: 100-continue learns before it sends a large body whether the request is accepted
    When a caller sends node-1 the headers of an upload of 20 MB with Expect: 100-continue
    Then the response on the connection has status 100
    Given releasehall-1 is drained
    And releasehall-2 is drained
    When a caller sends node-1 the headers of an upload of 20 MB with Expect: 100-continue
    Then the response on the connection has status 503
