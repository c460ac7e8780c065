Feature: An accepted configuration is in force on every node and is never reverted

  Scenario: A change is in force on every node
    Given 6 nodes in 3 failure domains
    When an operator submits pool "a" through node-4
    Then the submission is accepted
    And every node has pool "a" in force

  Scenario: A node isolated by a network partition gets the newest configuration when the partition heals
    Given 6 nodes in 2 failure domains
    And a network partition isolates node-5
    When an operator submits pool "a" through node-1
    Then the submission is accepted
    And every node but node-5 has pool "a" in force
    And node-5 does not have pool "a" in force
    When the network partition heals
    Then every node has pool "a" in force

  Scenario: Two relays in one failure domain cause no conflict
    Given 6 nodes in 2 failure domains
    And a network partition isolates node-5 from all nodes, but not from the store
    Then eventually 3 nodes are relays
    When an operator submits pool "a" through node-1
    And an operator submits pool "b" through node-5
    Then every node has pool "a" in force
    And every node has pool "b" in force
    When the network partition heals
    Then eventually 2 nodes are relays
    And the version in force is 2

  Scenario: Changes still reach every node after the relay of a failure domain is killed
    Given 8 nodes in 2 failure domains
    And the relay of domain-2 is killed
    When an operator submits pool "a" through node-1
    Then the submission is accepted
    And every running node has pool "a" in force

  Scenario: The store is down while a network partition separates two failure domains
    Given 6 nodes in 2 failure domains
    And pool "a" is in force
    When a network partition separates domain-1 from domain-2
    And the store is down
    And an operator submits pool "b" through node-1
    Then the submission is unavailable
    And every node has pool "a" in force
    When the store is available again
    And an operator submits pool "b" through node-1
    Then the submission is accepted
    And every node has pool "b" in force

  Scenario: A submission whose write was applied without a response is recognized by its id
    Given 3 nodes in 1 failure domain
    And the store applies the next write, but its response is lost
    When an operator submits pool "a" through node-2 with id "first"
    Then the submission is accepted
    When an operator submits pool "a" through node-3 with id "first"
    Then the submission is reported as already accepted
    And the version in force is 1

  Scenario: A write that was dropped without a response is retried and applied once
    Given 3 nodes in 1 failure domain
    And the store drops the next write without a response
    When an operator submits pool "a" through node-2 with id "first"
    Then the submission is accepted
    And the version in force is 1

  Scenario: One of several conflicting concurrent submissions is accepted
    Given 6 nodes in 3 failure domains
    When 6 operators submit pool "a" through different nodes at once, each as a new item
    Then exactly 1 submission is accepted and the others are conflicts
    And every node has pool "a" in force

  Scenario: An invalid configuration is rejected as a whole
    Given 3 nodes in 1 failure domain
    When an operator submits a route to a pool that does not exist through node-1
    Then the submission is invalid
    And the version in force is 0

  Scenario: A node that restarts while the store is down serves no older version than before
    Given 6 nodes in 2 failure domains
    And pool "a" is in force
    And the store is down
    When node-3 is killed
    And node-3 is restarted
    Then node-3 becomes ready
    And every node has pool "a" in force

  Scenario: Half of the nodes restart at once while the store is down
    Given 8 nodes in 2 failure domains
    And pool "a" is in force
    And the store is down
    When half of the nodes are killed and restarted
    Then every node becomes ready
    And every node has pool "a" in force

  Scenario: All nodes of a failure domain restart at once while the store is down
    Given 8 nodes in 2 failure domains
    And pool "a" is in force
    And the store is down
    When all nodes of domain-2 are killed and restarted
    Then every node becomes ready
    And every node has pool "a" in force

  Scenario: Nodes do not revert to an older configuration when the store is restored from a backup
    Given 4 nodes in 2 failure domains
    And pool "a" is in force
    And a backup of the store is made
    And pool "b" is in force
    When the store is restored from the backup
    And an operator submits pool "c" through node-1
    Then the submission is unavailable
    And every node has pool "b" in force
    When an operator republishes through node-2
    And an operator submits pool "c" through node-1
    Then the submission is accepted
    And every node has pool "c" in force

  Scenario: Concurrent submissions leave no route without its pool
    Given 6 nodes in 2 failure domains
    When routes and their pools are added and removed by concurrent submissions through all nodes
    Then no node ever had a route in force without its pool
